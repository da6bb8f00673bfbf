package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"chervilhollow/depot"
	"chervilhollow/harbour"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	// member is the part of a member record that ctl needs.
	member struct {
		ID     order.MemberID   `json:"id"`
		Role   string           `json:"role"`
		Domain order.DomainName `json:"domain"`
		Admin  string           `json:"admin"`
	}

	// answer is what a process reports of itself.
	answer struct {
		Revision       order.Revision `json:"revision"`
		StoreReachable bool           `json:"store_reachable"`
		err            error
	}

	// missing is a process that has not reported the revision.
	missing struct {
		id     order.MemberID
		reason string
	}

	// waiter waits until all processes that may act have a revision in force.
	waiter struct {
		app      *app
		store    depot.Store
		hosts    *roster.Hosts
		client   *http.Client
		revision order.Revision
		known    map[order.MemberID]member
		accepted map[order.MemberID]bool
		absent   map[order.MemberID]time.Time
	}
)

const (
	memberPrefix    = "member/"
	partitionPrefix = "partition/"
	pollInterval    = 500 * time.Millisecond
	askTimeout      = time.Second
	askParallel     = 32
	maxAnswer       = 4 << 10

	// goneAfter is the both-gone rule of the ownership protocol.
	goneAfter = 15 * time.Minute
)

func (a *app) newWaiter(store depot.Store, revision order.Revision) *waiter {
	return &waiter{
		app:      a,
		store:    store,
		hosts:    roster.NewHosts(a.hostsAt, a.clock),
		client:   &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		revision: revision,
		known:    make(map[order.MemberID]member),
		accepted: make(map[order.MemberID]bool),
		absent:   make(map[order.MemberID]time.Time),
	}
}

// await waits until the revision is accepted and prints so. It prints the
// processes that are missing whenever they change.
func (a *app) await(ctx context.Context, store depot.Store, revision order.Revision) error {
	w := a.newWaiter(store, revision)
	printed := ""
	var last []missing
	for {
		missing, err := w.poll(ctx)
		if err == nil && len(missing) == 0 {
			a.printf("accepted revision %d by %d processes\n", revision, len(w.accepted))
			return nil
		}
		text := missingText(missing)
		if err != nil {
			text = fmt.Sprintf("the store, to list the processes (%v)", err)
		}
		if ctx.Err() == nil {
			last = missing
			if text != printed {
				a.printf("waiting for %s\n", text)
				printed = text
			}
		}
		select {
		case <-ctx.Done():
			return &notAcceptedError{revision: revision, missing: last}
		case <-a.clock.After(pollInterval):
		}
	}
}

// poll asks the processes that have not reported the revision yet. These are
// the registered members, and the owners and standbys in the partition
// records: a process whose lease has expired may hold a promise and still act
// until another one has claimed its partitions.
func (w *waiter) poll(ctx context.Context) ([]missing, error) {
	members, err := w.listMembers(ctx)
	if err != nil {
		return nil, err
	}
	registered := make(map[order.MemberID]bool, len(members))
	waiting := make([]member, 0, len(members))
	for _, m := range members {
		registered[m.ID] = true
		waiting = append(waiting, m)
	}
	holders, err := w.listHolders(ctx)
	if err != nil {
		return nil, err
	}
	for _, id := range holders {
		if !registered[id] && !w.gone(ctx, id, members) {
			waiting = append(waiting, member{ID: id, Admin: w.known[id].Admin})
		}
	}
	return w.ask(ctx, waiting, registered), nil
}

// ask returns the processes of the list that do not report the revision.
func (w *waiter) ask(ctx context.Context, waiting []member, registered map[order.MemberID]bool) []missing {
	var open []member
	for _, m := range waiting {
		if !w.accepted[m.ID] {
			open = append(open, m)
		}
	}
	answers := w.askAll(ctx, open)
	var left []missing
	for _, m := range open {
		a := answers[m.ID]
		switch {
		case a.err == nil && a.Revision >= w.revision:
			w.accepted[m.ID] = true
		case a.err == nil:
			left = append(left, missing{id: m.ID, reason: fmt.Sprintf("has revision %d", a.Revision)})
		case !registered[m.ID]:
			left = append(left, missing{id: m.ID, reason: "not registered, but named in a partition record"})
		default:
			left = append(left, missing{id: m.ID, reason: "does not answer"})
		}
	}
	sort.Slice(left, func(i, j int) bool { return left[i].id < left[j].id })
	return left
}

func (w *waiter) listMembers(ctx context.Context) ([]member, error) {
	entries, _, err := w.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	members := make([]member, 0, len(entries))
	for _, entry := range entries {
		var m member
		if err := json.Unmarshal(entry.Value(), &m); err != nil {
			return nil, fmt.Errorf("read %s: %w", entry.Key(), err)
		}
		w.known[m.ID] = m
		members = append(members, m)
	}
	return members, nil
}

// listHolders returns the owners and standbys in the partition records.
func (w *waiter) listHolders(ctx context.Context) ([]order.MemberID, error) {
	entries, _, err := w.store.List(ctx, partitionPrefix)
	if err != nil {
		return nil, err
	}
	seen := make(map[order.MemberID]bool)
	var holders []order.MemberID
	for _, entry := range entries {
		var record harbour.Record
		if err := json.Unmarshal(entry.Value(), &record); err != nil {
			return nil, fmt.Errorf("read %s: %w", entry.Key(), err)
		}
		for _, id := range []order.MemberID{record.Owner(), record.Standby()} {
			if id != "" && !seen[id] {
				seen[id] = true
				holders = append(holders, id)
			}
		}
	}
	return holders, nil
}

// gone applies the rule by which a process without a member record counts as
// gone: the host list does not show its host, a newer process has its
// address, or 15 min have passed.
func (w *waiter) gone(ctx context.Context, id order.MemberID, members []member) bool {
	for _, m := range members {
		if m.ID.Address() == id.Address() && m.ID > id {
			return true
		}
	}
	now := w.app.clock.Now()
	since, ok := w.absent[id]
	if !ok {
		w.absent[id] = now
		since = now
	}
	if now.Sub(since) >= goneAfter {
		return true
	}
	return w.hosts.Fetch(ctx) == nil && !w.hosts.Shows(id.Address())
}

// askAll asks all processes at once.
func (w *waiter) askAll(ctx context.Context, members []member) map[order.MemberID]answer {
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		places  = make(chan struct{}, askParallel)
		answers = make(map[order.MemberID]answer, len(members))
	)
	for _, m := range members {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			a := w.askOne(ctx, m.Admin)
			mu.Lock()
			defer mu.Unlock()
			answers[m.ID] = a
		})
	}
	group.Wait()
	return answers
}

func (w *waiter) askOne(ctx context.Context, admin string) answer {
	if admin == "" {
		return answer{err: errors.New("no admin address known")}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/v1/revision", nil)
	if err != nil {
		return answer{err: err}
	}
	response, err := w.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{err: fmt.Errorf("answer %s", response.Status)}
	}
	var a answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&a); err != nil {
		return answer{err: err}
	}
	return a
}

func (a answer) revisionText() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprint(a.Revision)
}

func (a answer) storeText() string {
	switch {
	case a.err != nil:
		return "-"
	case a.StoreReachable:
		return "reachable"
	}
	return "lost"
}

func missingText(left []missing) string {
	texts := make([]string, 0, len(left))
	for _, m := range left {
		texts = append(texts, fmt.Sprintf("%s (%s)", m.id, m.reason))
	}
	return strings.Join(texts, ", ")
}
