package berth

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"chervilhollow/crane"
	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// Group runs the worker group of one partition.
	Group struct {
		group  order.GroupID
		epoch  order.Epoch
		deps   Deps
		inbox  chan event
		result chan event
		ctx    context.Context
		cancel context.CancelFunc
		calls  sync.WaitGroup
		done   chan struct{}
		began  atomic.Bool
		state  []byte

		draining atomic.Bool
		starting atomic.Int64

		mu      sync.Mutex
		machine *machine
		lanes   map[order.WorkerID]*lane
	}

	// Option changes a group.
	Option func(*Group)

	// lane is the client of one worker with a bound on concurrent starts, so
	// that a slow worker delays nobody else.
	lane struct {
		client Worker
		starts chan struct{}
	}
)

const (
	inboxSize  = 4096
	resultSize = 1024
	laneStarts = 4
)

// ErrClosed reports that the group was closed or runs already.
var ErrClosed = errors.New("the group is closed or runs already")

// WithInbox sets the number of messages that may wait.
func WithInbox(size int) Option {
	return func(g *Group) { g.inbox = make(chan event, size) }
}

// New returns the group that this process owns at the epoch.
func New(group order.GroupID, epoch order.Epoch, deps Deps, opts ...Option) *Group {
	deps.log = deps.log.With().Str("group", string(group)).Logger()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		group:  group,
		epoch:  epoch,
		inbox:  make(chan event, inboxSize),
		result: make(chan event, resultSize),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		lanes:  make(map[order.WorkerID]*lane),
	}
	permit := deps.permit
	g.deps = deps.WithPermit(func() bool { return !g.draining.Load() && permit() })
	g.machine = newMachine(group, epoch, g.deps, deps.clock.Now())
	for _, opt := range opts {
		opt(g)
	}
	if err := g.machine.importState(deps.clock.Now(), g.state); err != nil {
		deps.log.Error().Err(err).Msg("berth: state of the former owner ignored")
	}
	return g
}

// Run places tasks until the context ends or Close is called. Running tasks
// stay on their workers for the next owner.
func (g *Group) Run(ctx context.Context) error {
	if !g.began.CompareAndSwap(false, true) {
		return ErrClosed
	}
	defer close(g.done)
	stop := context.AfterFunc(ctx, g.cancel)
	defer stop()
	ticks := g.deps.clock.Subscribe(tickPeriod)
	defer ticks.Close()
	g.deps.log.Info().Uint64("epoch", uint64(g.epoch)).Msg("berth: took over group")
	g.handle(tickEvent{})
	for g.ctx.Err() == nil {
		select {
		case ev := <-g.inbox:
			g.handle(ev)
		case ev := <-g.result:
			g.handle(ev)
		case <-ticks.C():
			g.handle(tickEvent{})
		case <-g.ctx.Done():
		}
	}
	g.calls.Wait()
	for _, l := range g.lanes {
		l.client.Close()
	}
	return ctx.Err()
}

// Close ends Run, if it was called, and waits for it.
func (g *Group) Close() {
	g.cancel()
	if !g.began.CompareAndSwap(false, true) {
		<-g.done
	}
}

// Handle takes a message. It never blocks: a full inbox refuses a bid and
// drops other messages, whose senders repeat them.
func (g *Group) Handle(_ order.MemberID, msg order.Msg) {
	select {
	case g.inbox <- messageEvent{message: msg}:
		return
	default:
	}
	g.deps.registry.Count("berth.refused.inbox_full")
	if bid, ok := msg.(order.BidMsg); ok {
		partition := requestPartitionOf(bid.Task())
		g.post(partition, order.BidRefusedMsg{}.
			WithPartition(partition).
			WithTask(bid.Task().ID()).
			WithAttempt(bid.Attempt()).
			WithGroup(g.group).
			WithCode(order.QueueFull).
			WithText("the group's inbox is full"))
	}
}

// Digest summarises the group for request partitions.
func (g *Group) Digest() order.GroupDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.digest(g.deps.clock.Now())
}

// Inventory lists the tasks of a request partition. It is complete once
// Adopted reports true.
func (g *Group) Inventory(request order.PartitionID) []order.InventoryEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.inventory(request)
}

// Adopted reports whether all tasks of earlier owners are known or over. Until
// then the inventory may lack tasks of workers that have not answered.
func (g *Group) Adopted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.adopted()
}

func (g *Group) handle(ev event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.machine.step(g.deps.clock.Now(), ev) {
		g.execute(c)
	}
}

func (g *Group) execute(c command) {
	switch c := c.(type) {
	case postCommand:
		g.post(c.partition, c.message)
	case startCommand:
		g.start(c)
	case listCommand:
		g.call(c.worker, func(w Worker) event {
			listing, err := w.Tasks(g.ctx, g.epoch)
			return listResult{worker: c.worker, listing: listing, err: err}
		})
	case renewCommand:
		g.call(c.worker, func(w Worker) event {
			check := func() error { return mayRenew(g.deps) }
			renewal, err := w.Renew(g.ctx, g.epoch, taskLease, c.stamp, c.refs, check)
			return renewResult{worker: c.worker, renewal: renewal, err: err}
		})
	case pollCommand:
		g.call(c.worker, func(w Worker) event {
			events, err := w.Events(g.ctx, c.after, pollWait)
			return pollResult{worker: c.worker, events: events, err: err}
		})
	case ackCommand:
		g.call(c.worker, func(w Worker) event {
			return ackResult{worker: c.worker, refs: c.refs, err: w.Ack(g.ctx, c.refs)}
		})
	case stopCommand:
		g.call(c.worker, func(w Worker) event { return g.stop(w, c) })
	case usageCommand:
		g.call(c.worker, func(w Worker) event {
			uses, err := w.Usage(g.ctx)
			return usageResult{worker: c.worker, uses: uses, err: err}
		})
	case readAllotmentsCommand:
		g.spawn(g.readAllotments)
	case dropCommand:
		g.drop(c.worker)
	}
}

func (g *Group) post(partition order.PartitionID, msg order.Msg) {
	if err := g.deps.poster.Post(partition, msg); err != nil {
		g.deps.registry.Count("berth.post_failed")
	}
}

func (g *Group) start(c startCommand) {
	l := g.lane(c.worker)
	ref := crane.NewRef(c.start.Task().ID(), c.start.Attempt())
	check := func() error { return mayWrite(g.deps, g.group, c.worker) }
	g.starting.Add(1)
	g.spawn(func() event {
		defer g.starting.Add(-1)
		if l == nil {
			return startResult{worker: c.worker, ref: ref, err: crane.ErrNotSent}
		}
		select {
		case l.starts <- struct{}{}:
		case <-g.ctx.Done():
			return nil
		}
		defer func() { <-l.starts }()
		stamp, err := l.client.Start(g.ctx, c.start, check)
		return startResult{worker: c.worker, ref: ref, stamp: stamp, err: err}
	})
}

// A stop that fails is repeated by the state machine until the task ends.
func (g *Group) stop(w Worker, c stopCommand) event {
	act := w.Stop
	if c.checkpoint {
		act = w.Checkpoint
	}
	if err := act(g.ctx, g.epoch, c.ref); err != nil {
		g.deps.registry.Count("berth.stop_failed")
	}
	return nil
}

func (g *Group) call(worker order.WorkerID, act func(Worker) event) {
	if l := g.lane(worker); l != nil {
		g.spawn(func() event { return act(l.client) })
	}
}

// Runs a call off the event loop. The state machine keeps at most one call of
// each kind per worker open, and no more starts than there are slots.
func (g *Group) spawn(act func() event) {
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		ev := act()
		if ev == nil {
			return
		}
		select {
		case g.result <- ev:
		case <-g.ctx.Done():
		}
	}()
}

func (g *Group) lane(id order.WorkerID) *lane {
	if l, ok := g.lanes[id]; ok {
		return l
	}
	h, ok := g.machine.byID[id]
	if !ok {
		return nil
	}
	l := &lane{client: g.deps.client(h.worker), starts: make(chan struct{}, laneStarts)}
	g.lanes[id] = l
	return l
}

func (g *Group) drop(id order.WorkerID) {
	if l, ok := g.lanes[id]; ok {
		delete(g.lanes, id)
		l.client.Close()
	}
}

func (g *Group) readAllotments() event {
	entries, _, err := g.deps.store.List(g.ctx, allotmentPrefix)
	if err != nil {
		g.deps.log.Warn().Err(err).Msg("berth: allotments not read")
		return allotmentsResult{err: err}
	}
	return allotmentsResult{records: parseAllotments(g.group, entries, g.deps.log)}
}

func parseAllotments(group order.GroupID, entries []depot.Entry, log zerolog.Logger) map[order.TeamName]allotment {
	records := make(map[order.TeamName]allotment)
	for _, entry := range entries {
		team := order.TeamName(strings.TrimPrefix(entry.Key(), allotmentPrefix))
		record, err := parseAllotment(entry.Value())
		if err != nil {
			log.Error().Err(err).Str("team", string(team)).Msg("berth: bad allotment record")
			continue
		}
		records[team] = allotment{count: record.Groups[group], version: record.Version, limit: record.Limit}
	}
	return records
}

func parseAllotment(data []byte) (allotmentRecord, error) {
	var record allotmentRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return allotmentRecord{}, fmt.Errorf("allotment record: %w", err)
	}
	return record, nil
}
