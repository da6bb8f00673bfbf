package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// Group runs the state machine of one worker group: it passes messages,
	// ticks and call results to the machine, and executes the commands that
	// the machine returns. The exported methods may be called concurrently.
	Group struct {
		group         order.GroupID
		epoch         order.Epoch
		deps          Deps
		inbox         chan event
		results       chan event
		ctx           context.Context
		cancel        context.CancelFunc
		calls         sync.WaitGroup
		done          chan struct{}
		started       atomic.Bool
		handoverState []byte

		draining       atomic.Bool
		startsInFlight atomic.Int64

		// mu guards machine and clients.
		mu      sync.Mutex
		machine *machine
		clients map[order.WorkerID]*workerClient
	}

	// Option configures a group in New.
	Option func(*Group)

	// workerClient is the client of one worker. startSlots limits the
	// concurrent starts, so that a slow worker delays no other worker.
	workerClient struct {
		client     WorkerClient
		startSlots chan struct{}
	}
)

const (
	inboxSize       = 4096
	resultsSize     = 1024
	startsPerWorker = 4
)

// ErrClosed is returned by Run if Close was called before or Run was called
// already.
var ErrClosed = errors.New("group is closed or already running")

// WithInbox sets how many messages may wait in the inbox; the default is
// inboxSize.
func WithInbox(size int) Option {
	return func(g *Group) { g.inbox = make(chan event, size) }
}

// New returns the group for a process that owns it at the given epoch. The
// epoch must be higher than that of every earlier owner, because workers use it
// as a fencing token. Call Run to start it.
func New(group order.GroupID, epoch order.Epoch, deps Deps, opts ...Option) *Group {
	deps.log = deps.log.With().Str("group", string(group)).Logger()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		group:   group,
		epoch:   epoch,
		inbox:   make(chan event, inboxSize),
		results: make(chan event, resultsSize),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		clients: make(map[order.WorkerID]*workerClient),
	}
	permit := deps.permit
	g.deps = deps.WithPermit(func() bool { return !g.draining.Load() && permit() })
	g.machine = newMachine(group, epoch, g.deps, deps.clock.Now())
	for _, opt := range opts {
		opt(g)
	}
	if err := g.machine.importState(deps.clock.Now(), g.handoverState); err != nil {
		deps.log.Error().Err(err).Msg("berth: invalid handover state ignored")
	}
	return g
}

// Run places tasks until the context is cancelled or Close is called. Tasks
// that are running by then keep running on their workers, and the next owner
// adopts them. Run may be called only once.
func (g *Group) Run(ctx context.Context) error {
	if !g.started.CompareAndSwap(false, true) {
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
		case ev := <-g.results:
			g.handle(ev)
		case <-ticks.C():
			g.handle(tickEvent{})
		case <-g.ctx.Done():
		}
	}
	g.calls.Wait()
	for _, wc := range g.clients {
		wc.client.Close()
	}
	return ctx.Err()
}

// Close stops Run and waits until it has returned. It may be called before Run,
// which then returns ErrClosed.
func (g *Group) Close() {
	g.cancel()
	if !g.started.CompareAndSwap(false, true) {
		<-g.done
	}
}

// Handle queues a message for the group. It never blocks: if the inbox is full,
// a bid is refused and any other message is dropped, because its sender sends
// it again.
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

// Digest returns a summary of free capacity, running and waiting tasks. Request
// partitions use it to choose a group for a task.
func (g *Group) Digest() order.GroupDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.digest(g.deps.clock.Now())
}

// Inventory returns the tasks that belong to a request partition. It may lack
// tasks until Adopted returns true.
func (g *Group) Inventory(request order.PartitionID) []order.InventoryEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.inventory(request)
}

// Adopted reports whether every task that an earlier owner started is either
// known or has an expired lease. Until then, Inventory may lack tasks of
// workers that have not answered.
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
		g.callWorker(c.worker, func(w WorkerClient) event {
			listing, err := w.Tasks(g.ctx, g.epoch)
			return listResult{worker: c.worker, listing: listing, err: err}
		})
	case renewCommand:
		g.callWorker(c.worker, func(w WorkerClient) event {
			check := func() error { return checkGuard(g.deps) }
			renewal, err := w.Renew(g.ctx, g.epoch, taskLease, c.stamp, c.refs, check)
			return renewResult{worker: c.worker, renewal: renewal, err: err}
		})
	case pollCommand:
		g.callWorker(c.worker, func(w WorkerClient) event {
			events, err := w.Events(g.ctx, c.after, pollWait)
			return pollResult{worker: c.worker, events: events, err: err}
		})
	case ackCommand:
		g.callWorker(c.worker, func(w WorkerClient) event {
			return ackResult{worker: c.worker, refs: c.refs, err: w.Ack(g.ctx, c.refs)}
		})
	case stopCommand:
		g.callWorker(c.worker, func(w WorkerClient) event { return g.stop(w, c) })
	case usageCommand:
		g.callWorker(c.worker, func(w WorkerClient) event {
			uses, err := w.Usage(g.ctx)
			return usageResult{worker: c.worker, uses: uses, err: err}
		})
	case readAllotmentsCommand:
		g.runAsync(g.readAllotments)
	case closeClientCommand:
		g.closeClient(c.worker)
	}
}

func (g *Group) post(partition order.PartitionID, msg order.Msg) {
	if err := g.deps.poster.Post(partition, msg); err != nil {
		g.deps.registry.Count("berth.post_failed")
	}
}

func (g *Group) start(c startCommand) {
	wc := g.clientOf(c.worker)
	ref := dispatch.NewAttemptRef(c.start.Task().ID(), c.start.Attempt())
	check := func() error { return checkStartAllowed(g.deps, g.group, c.worker) }
	g.startsInFlight.Add(1)
	g.runAsync(func() event {
		defer g.startsInFlight.Add(-1)
		if wc == nil {
			return startResult{worker: c.worker, ref: ref, err: dispatch.ErrNotSent}
		}
		select {
		case wc.startSlots <- struct{}{}:
		case <-g.ctx.Done():
			return nil
		}
		defer func() { <-wc.startSlots }()
		stamp, err := wc.client.Start(g.ctx, c.start, check)
		return startResult{worker: c.worker, ref: ref, stamp: stamp, err: err}
	})
}

// stop executes a stop or checkpoint. It reports no error, because the state
// machine repeats the command until the task ends.
func (g *Group) stop(w WorkerClient, c stopCommand) event {
	call := w.Stop
	if c.checkpoint {
		call = w.Checkpoint
	}
	if err := call(g.ctx, g.epoch, c.ref); err != nil {
		g.deps.registry.Count("berth.stop_failed")
	}
	return nil
}

func (g *Group) callWorker(worker order.WorkerID, call func(WorkerClient) event) {
	if wc := g.clientOf(worker); wc != nil {
		g.runAsync(func() event { return call(wc.client) })
	}
}

// runAsync runs a call in its own goroutine and sends its result to the event
// loop. The state machine has at most one open call of each kind per worker,
// and no more starts than the worker has slots.
func (g *Group) runAsync(call func() event) {
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		ev := call()
		if ev == nil {
			return
		}
		select {
		case g.results <- ev:
		case <-g.ctx.Done():
		}
	}()
}

// clientOf returns the client of a worker, creating it on first use, or nil if
// the worker is not in the group.
func (g *Group) clientOf(id order.WorkerID) *workerClient {
	if wc, ok := g.clients[id]; ok {
		return wc
	}
	h, ok := g.machine.byID[id]
	if !ok {
		return nil
	}
	wc := &workerClient{client: g.deps.client(h.worker), startSlots: make(chan struct{}, startsPerWorker)}
	g.clients[id] = wc
	return wc
}

func (g *Group) closeClient(id order.WorkerID) {
	if wc, ok := g.clients[id]; ok {
		delete(g.clients, id)
		wc.client.Close()
	}
}

func (g *Group) readAllotments() event {
	entries, _, err := g.deps.store.List(g.ctx, allotmentPrefix)
	if err != nil {
		g.deps.log.Warn().Err(err).Msg("berth: failed to read allotments")
		return allotmentsResult{err: err}
	}
	return allotmentsResult{records: parseAllotments(g.group, entries, g.deps.log)}
}

func parseAllotments(group order.GroupID, entries []storage.Entry, log zerolog.Logger) map[order.TeamName]allotment {
	records := make(map[order.TeamName]allotment)
	for _, entry := range entries {
		team := order.TeamName(strings.TrimPrefix(entry.Key(), allotmentPrefix))
		record, err := parseAllotment(entry.Value())
		if err != nil {
			log.Error().Err(err).Str("team", string(team)).Msg("berth: invalid allotment record")
			continue
		}
		records[team] = allotment{count: record.Groups[group], version: record.Version, limit: record.Limit}
	}
	return records
}

func parseAllotment(data []byte) (allotmentRecord, error) {
	var record allotmentRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return allotmentRecord{}, fmt.Errorf("parse allotment record: %w", err)
	}
	return record, nil
}
