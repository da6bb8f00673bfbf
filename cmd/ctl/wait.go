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

	"chervilhollow/order"
	"chervilhollow/ownership"
	"chervilhollow/roster"
	"chervilhollow/storage"
)

type (
	// member is the part of a member record in the store that ctl reads.
	// Admin is the address of the process's admin server.
	member struct {
		ID     order.MemberID   `json:"id"`
		Role   string           `json:"role"`
		Domain order.DomainName `json:"domain"`
		Admin  string           `json:"admin"`
	}

	// memberStatus is the revision that a process has applied, as its admin
	// server reports it, or the error of the request.
	memberStatus struct {
		Revision       order.Revision `json:"revision"`
		StoreReachable bool           `json:"store_reachable"`
		err            error
	}

	// pendingMember is a process that has not reported the revision, and why.
	pendingMember struct {
		id     order.MemberID
		reason string
	}

	// poller checks which processes that may act have applied a revision.
	// The maps hold what earlier polls found: the last member record of each
	// process, the processes that reported the revision, and the time at which
	// a process was first found without a member record.
	poller struct {
		app         *app
		store       storage.Store
		hosts       *roster.HostListClient
		client      *http.Client
		revision    order.Revision
		records     map[order.MemberID]member
		accepted    map[order.MemberID]bool
		absentSince map[order.MemberID]time.Time
	}
)

const (
	memberPrefix       = "member/"
	partitionPrefix    = "partition/"
	pollInterval       = 500 * time.Millisecond
	statusTimeout      = time.Second
	maxParallelFetches = 32
	maxStatusBytes     = 4 << 10

	// absenceLimit is how long a process must be without a member record to be
	// presumed dead. An owner without contact to the store stops acting after
	// the same time.
	absenceLimit = 15 * time.Minute
)

func (a *app) newPoller(store storage.Store, revision order.Revision) *poller {
	return &poller{
		app:         a,
		store:       store,
		hosts:       roster.NewHostListClient(a.hostsURL, a.clock),
		client:      &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		revision:    revision,
		records:     make(map[order.MemberID]member),
		accepted:    make(map[order.MemberID]bool),
		absentSince: make(map[order.MemberID]time.Time),
	}
}

// awaitAcceptance polls until the revision is accepted and then prints that. In
// the meantime it prints the pending processes whenever they change. It returns
// a notAcceptedError when ctx ends first.
func (a *app) awaitAcceptance(ctx context.Context, store storage.Store, revision order.Revision) error {
	p := a.newPoller(store, revision)
	lastText := ""
	var lastPending []pendingMember
	for {
		pending, err := p.poll(ctx)
		if err == nil && len(pending) == 0 {
			a.printf("accepted revision %d by %d processes\n", revision, len(p.accepted))
			return nil
		}
		text := formatPending(pending)
		if err != nil {
			text = fmt.Sprintf("the store to list the processes (%v)", err)
		}
		if ctx.Err() == nil {
			lastPending = pending
			if text != lastText {
				a.printf("waiting for %s\n", text)
				lastText = text
			}
		}
		select {
		case <-ctx.Done():
			return &notAcceptedError{revision: revision, pending: lastPending}
		case <-a.clock.After(pollInterval):
		}
	}
}

// poll returns the processes that may act and have not reported the revision.
// It checks the registered members and the owners and standbys in the partition
// records: a process whose lease has expired may still act on a promise until
// another process has claimed its partitions.
func (p *poller) poll(ctx context.Context) ([]pendingMember, error) {
	members, err := p.listMembers(ctx)
	if err != nil {
		return nil, err
	}
	registered := make(map[order.MemberID]bool, len(members))
	toPoll := make([]member, 0, len(members))
	for _, m := range members {
		registered[m.ID] = true
		toPoll = append(toPoll, m)
	}
	partitionMembers, err := p.listPartitionMembers(ctx)
	if err != nil {
		return nil, err
	}
	for _, id := range partitionMembers {
		if !registered[id] && !p.presumedDead(ctx, id, members) {
			toPoll = append(toPoll, member{ID: id, Admin: p.records[id].Admin})
		}
	}
	return p.pollMembers(ctx, toPoll, registered), nil
}

// pollMembers requests the status of the given members, except those that
// reported the revision earlier, and returns the ones that still lack it.
func (p *poller) pollMembers(ctx context.Context, members []member, registered map[order.MemberID]bool) []pendingMember {
	var unaccepted []member
	for _, m := range members {
		if !p.accepted[m.ID] {
			unaccepted = append(unaccepted, m)
		}
	}
	statuses := p.fetchStatuses(ctx, unaccepted)
	var pending []pendingMember
	for _, m := range unaccepted {
		status := statuses[m.ID]
		switch {
		case status.err == nil && status.Revision >= p.revision:
			p.accepted[m.ID] = true
		case status.err == nil:
			pending = append(pending, pendingMember{id: m.ID, reason: fmt.Sprintf("has revision %d", status.Revision)})
		case !registered[m.ID]:
			pending = append(pending, pendingMember{id: m.ID, reason: "not registered, but named in a partition record"})
		default:
			pending = append(pending, pendingMember{id: m.ID, reason: "does not answer"})
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].id < pending[j].id })
	return pending
}

// listMembers reads the member records and keeps them in p.records.
func (p *poller) listMembers(ctx context.Context) ([]member, error) {
	entries, _, err := p.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	members := make([]member, 0, len(entries))
	for _, entry := range entries {
		var m member
		if err := json.Unmarshal(entry.Value(), &m); err != nil {
			return nil, fmt.Errorf("read %s: %w", entry.Key(), err)
		}
		p.records[m.ID] = m
		members = append(members, m)
	}
	return members, nil
}

// listPartitionMembers returns the owners and standbys in the partition
// records, each once.
func (p *poller) listPartitionMembers(ctx context.Context) ([]order.MemberID, error) {
	entries, _, err := p.store.List(ctx, partitionPrefix)
	if err != nil {
		return nil, err
	}
	seen := make(map[order.MemberID]bool)
	var ids []order.MemberID
	for _, entry := range entries {
		var record ownership.Record
		if err := json.Unmarshal(entry.Value(), &record); err != nil {
			return nil, fmt.Errorf("read %s: %w", entry.Key(), err)
		}
		for _, id := range []order.MemberID{record.Owner(), record.Standby()} {
			if id != "" && !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// presumedDead reports whether a process without a member record can no longer
// act: the host list does not have its host, a newer process has its address,
// or it has been without a member record for absenceLimit.
func (p *poller) presumedDead(ctx context.Context, id order.MemberID, members []member) bool {
	for _, m := range members {
		if m.ID.Address() == id.Address() && m.ID > id {
			return true
		}
	}
	now := p.app.clock.Now()
	since, ok := p.absentSince[id]
	if !ok {
		p.absentSince[id] = now
		since = now
	}
	if now.Sub(since) >= absenceLimit {
		return true
	}
	return p.hosts.Fetch(ctx) == nil && !p.hosts.Contains(id.Address())
}

// fetchStatuses requests the status of all members in parallel.
func (p *poller) fetchStatuses(ctx context.Context, members []member) map[order.MemberID]memberStatus {
	var (
		group     sync.WaitGroup
		mu        sync.Mutex
		semaphore = make(chan struct{}, maxParallelFetches)
		statuses  = make(map[order.MemberID]memberStatus, len(members))
	)
	for _, m := range members {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			status := p.fetchStatus(ctx, m.Admin)
			mu.Lock()
			defer mu.Unlock()
			statuses[m.ID] = status
		})
	}
	group.Wait()
	return statuses
}

// fetchStatus requests the revision from the admin server at the address.
func (p *poller) fetchStatus(ctx context.Context, admin string) memberStatus {
	if admin == "" {
		return memberStatus{err: errors.New("no admin address known")}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/v1/revision", nil)
	if err != nil {
		return memberStatus{err: err}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return memberStatus{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return memberStatus{err: fmt.Errorf("HTTP status %s", response.Status)}
	}
	var status memberStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return memberStatus{err: err}
	}
	return status
}

func (s memberStatus) formatRevision() string {
	if s.err != nil {
		return "no answer"
	}
	return fmt.Sprint(s.Revision)
}

func (s memberStatus) formatStore() string {
	switch {
	case s.err != nil:
		return "-"
	case s.StoreReachable:
		return "reachable"
	}
	return "lost"
}

func formatPending(pending []pendingMember) string {
	texts := make([]string, 0, len(pending))
	for _, m := range pending {
		texts = append(texts, fmt.Sprintf("%s (%s)", m.id, m.reason))
	}
	return strings.Join(texts, ", ")
}
