package harbour

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/tide"
)

type (
	// Members provides the member list, the time of the last reply of the
	// store, and the lease of the member record. roster.Membership implements it.
	Members interface {
		Members() []roster.Member
		ListRead() bool
		StoreReachable() bool
		LastStoreReply() time.Time
		LeaseEnd() time.Time
	}

	// State provides the configuration revision of this process and what other
	// members report about the store. RecordState records a report from a
	// heartbeat or a promise. roster.StateExchange implements it.
	State interface {
		Revision() order.Revision
		MajorityLostStore() bool
		RecordState(from order.MemberID, revision order.Revision, reachable bool)
	}

	// Hosts is the platform's list of the hosts that run placers, with its age.
	// roster.HostListClient implements it.
	Hosts interface {
		Contains(address string) bool
		ListAge() time.Duration
	}

	// Manager runs the ownership protocol of one process: it passes messages,
	// timer ticks and store replies to the protocol and executes the commands
	// that result. Run may be called once. The other methods may be called from
	// any goroutine.
	Manager struct {
		store    depot.Store
		clock    tide.Clock
		sender   order.Sender
		members  Members
		state    State
		hosts    Hosts
		registry *gauge.Registry
		log      zerolog.Logger
		drain    func(order.PartitionID) []byte

		protocol   *protocol
		deadlines  *deadlines
		directory  *directory
		inbox      chan inbound
		steps      chan step
		events     chan Event
		backlog    []Event
		waiters    map[order.PartitionID]chan error
		storeCalls chan struct{}
		wg         sync.WaitGroup
		memberList []roster.Member
		tickCount  int

		mu           sync.Mutex
		plannedDrain func(order.PartitionID) []byte
		cancel       context.CancelFunc
		done         chan struct{}
		closed       bool
	}

	// Option configures a Manager in New.
	Option func(*Manager)

	inbound struct {
		from order.MemberID
		msg  order.Msg
	}

	// step is an input of the protocol. The event loop runs it.
	step func(now time.Time)

	guard struct {
		manager   *Manager
		partition order.PartitionID
		epoch     order.Epoch
	}
)

const (
	inboxSize          = 1024
	stepQueueSize      = 256
	maxStoreCalls      = 32
	maxHandovers       = 8
	storeCallTimeout   = time.Second
	watchWait          = 5 * time.Second
	watchRetryDelay    = 250 * time.Millisecond
	hostListMaxAge     = 10 * time.Second
	memberRefreshTicks = 4
)

// ErrClosed reports that the Manager was closed or is already running.
var ErrClosed = errors.New("ownership protocol closed")

// WithHosts sets the host list. Without it, only the other rules of the
// protocol decide whether a member has terminated.
func WithHosts(hosts Hosts) Option {
	return func(k *Manager) { k.hosts = hosts }
}

// WithDrain sets the function that stops the component of a partition and
// returns its state, for moves between running processes. It may block. A
// LostEvent follows when the partition has moved, and an AcquiredEvent with the
// same epoch when the move is aborted.
func WithDrain(drain func(order.PartitionID) []byte) Option {
	return func(k *Manager) { k.drain = drain }
}

// New returns a Manager, which is idle until Run is called. The domain is the
// failure domain of the process.
func New(self order.MemberID, domain order.DomainName, store depot.Store, clock tide.Clock, sender order.Sender, members Members, state State, registry *gauge.Registry, log zerolog.Logger, opts ...Option) *Manager {
	k := &Manager{
		store:      store,
		clock:      clock,
		sender:     sender,
		members:    members,
		state:      state,
		registry:   registry,
		log:        log,
		protocol:   newProtocol(self, domain, clock.Now(), registry, log),
		inbox:      make(chan inbound, inboxSize),
		steps:      make(chan step, stepQueueSize),
		events:     make(chan Event),
		waiters:    make(map[order.PartitionID]chan error),
		storeCalls: make(chan struct{}, maxStoreCalls),
		done:       make(chan struct{}),
	}
	for _, opt := range opts {
		opt(k)
	}
	k.deadlines = k.protocol.deadlines
	k.directory = k.protocol.directory
	k.protocol.canDrain = k.drain != nil
	return k
}

// Run runs the protocol until the context ends or Close is called. Afterwards
// the process may not act for any partition.
func (k *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !k.markRunning(cancel) {
		return ErrClosed
	}
	defer close(k.done)
	k.wg.Go(func() { k.followRecords(ctx) })
	k.loop(ctx)
	k.deadlines.setProcessLimit(k.deadlines.base)
	k.wg.Wait()
	close(k.events)
	return nil
}

// Close ends Run and waits for it to return. A later Run returns ErrClosed.
func (k *Manager) Close() {
	k.mu.Lock()
	k.closed = true
	cancel := k.cancel
	k.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-k.done
}

// Handle queues a message from another process. It never blocks: when the inbox
// is full, the message is dropped as if the network had lost it.
func (k *Manager) Handle(from order.MemberID, m order.Msg) {
	select {
	case k.inbox <- inbound{from: from, msg: m}:
	default:
		k.registry.Count("harbour.inbox_full")
	}
}

// Ensure requests that records of the partitions exist. It does not wait until
// they are written.
func (k *Manager) Ensure(ids []order.PartitionID) {
	ids = append([]order.PartitionID(nil), ids...)
	k.post(func(now time.Time) {
		for _, id := range ids {
			k.protocol.ensure(now, id)
		}
	})
}

// Events returns the channel of AcquiredEvents and LostEvents. It is closed
// when Run ends.
func (k *Manager) Events() <-chan Event { return k.events }

// Owner returns the owner and epoch in the last known record of a partition,
// and false if there is no owner.
func (k *Manager) Owner(id order.PartitionID) (order.MemberID, order.Epoch, bool) {
	r, ok := k.directory.get(id)
	return r.owner, r.epoch, ok && r.owner != ""
}

// Remaining returns how long this process may still act for the partition at
// the epoch, or zero if it may not. Any goroutine may call it.
func (k *Manager) Remaining(id order.PartitionID, epoch order.Epoch) time.Duration {
	until := time.Duration(k.deadlines.until(id, epoch))
	if until <= 0 {
		return 0
	}
	return max(until-k.clock.Now().Sub(k.deadlines.base), 0)
}

// Guard returns a guard whose Remaining is that of the partition at the epoch.
func (k *Manager) Guard(id order.PartitionID, epoch order.Epoch) order.Guard {
	return guard{manager: k, partition: id, epoch: epoch}
}

// Remaining implements order.Guard.
func (g guard) Remaining() time.Duration { return g.manager.Remaining(g.partition, g.epoch) }

// Handover transfers all partitions of this process to others before a planned
// stop and stops claiming partitions. The drain function stops the component of
// a partition and returns its state. It may block. Handover returns when the
// new owners have confirmed, or with an error that names the partitions that
// were not confirmed.
func (k *Manager) Handover(ctx context.Context, drain func(order.PartitionID) []byte) error {
	k.mu.Lock()
	k.plannedDrain = drain
	k.mu.Unlock()
	ids, err := k.startLeaving(ctx)
	if err != nil {
		return err
	}
	// Queues move before groups, so that queue confirmations can still reach
	// the groups of this process.
	queues, groups := splitRoles(ids)
	return errors.Join(k.handOverAll(ctx, queues), k.handOverAll(ctx, groups))
}

func splitRoles(ids []order.PartitionID) (queues, groups []order.PartitionID) {
	for _, id := range ids {
		if id.IsRequest() {
			queues = append(queues, id)
		} else {
			groups = append(groups, id)
		}
	}
	return queues, groups
}

// handOverAll transfers partitions, at most maxHandovers at a time.
func (k *Manager) handOverAll(ctx context.Context, ids []order.PartitionID) error {
	var (
		group sync.WaitGroup
		errs  = make([]error, len(ids))
		slots = make(chan struct{}, maxHandovers)
	)
	for i, id := range ids {
		slots <- struct{}{}
		group.Go(func() {
			errs[i] = k.handOver(ctx, id)
			<-slots
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// startLeaving stops claiming and returns the partitions that this process
// owns.
func (k *Manager) startLeaving(ctx context.Context) ([]order.PartitionID, error) {
	reply := make(chan []order.PartitionID, 1)
	k.post(func(time.Time) { reply <- k.protocol.startLeaving() })
	select {
	case ids := <-reply:
		return ids, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.done:
		return nil, ErrClosed
	}
}

func (k *Manager) handOver(ctx context.Context, id order.PartitionID) error {
	reply := make(chan error, 1)
	k.post(func(now time.Time) {
		k.waiters[id] = reply
		k.protocol.startPlannedHandover(now, id)
	})
	var err error
	select {
	case err = <-reply:
	case <-ctx.Done():
		err = ctx.Err()
	case <-k.done:
		err = ErrClosed
	}
	if err != nil {
		return fmt.Errorf("hand over %s: %w", id, err)
	}
	return nil
}

// markRunning returns false if the Manager is closed or already running.
func (k *Manager) markRunning(cancel context.CancelFunc) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.cancel != nil {
		return false
	}
	k.cancel = cancel
	return true
}

// post passes a step to the event loop. It blocks while the queue is full.
func (k *Manager) post(s step) {
	select {
	case k.steps <- s:
	case <-k.done:
	}
}

// loop is the event loop. It never waits for the store.
func (k *Manager) loop(ctx context.Context) {
	ticks := k.clock.Subscribe(TickPeriod)
	defer ticks.Close()
	for {
		events, next := k.nextEvent()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			k.protocol.tick(k.clock.Now(), k.currentView())
		case in := <-k.inbox:
			k.protocol.setRevision(k.state.Revision())
			k.receive(k.clock.Now(), in)
		case s := <-k.steps:
			k.protocol.setRevision(k.state.Revision())
			s(k.clock.Now())
		case events <- next:
			k.backlog = k.backlog[1:]
		}
		for _, cmd := range k.protocol.takeCommands() {
			k.execute(ctx, cmd)
		}
	}
}

// nextEvent returns the next event for the receiver, or a nil channel, which is
// never ready, if there is none.
func (k *Manager) nextEvent() (chan<- Event, Event) {
	if len(k.backlog) == 0 {
		return nil, nil
	}
	return k.events, k.backlog[0]
}

// currentView returns the inputs of a tick. The member list is fetched only
// every few ticks because each fetch sorts it again.
func (k *Manager) currentView() view {
	if k.tickCount%memberRefreshTicks == 0 {
		k.memberList = k.members.Members()
	}
	k.tickCount++
	reachable := k.members.StoreReachable()
	return view{
		members:           k.memberList,
		memberListRead:    k.members.ListRead(),
		storeReachable:    reachable,
		lastStoreReply:    k.members.LastStoreReply(),
		leaseEnd:          k.members.LeaseEnd(),
		majorityLostStore: !reachable && k.state.MajorityLostStore(),
		revision:          k.state.Revision(),
		hostListed:        k.hostMayExist,
	}
}

// hostMayExist reports whether the host of the address has to be treated as
// existing. A host list older than hostListMaxAge does not prove that a host
// was removed.
func (k *Manager) hostMayExist(address string) bool {
	return k.hosts == nil || k.hosts.ListAge() > hostListMaxAge || k.hosts.Contains(address)
}

func (k *Manager) receive(now time.Time, in inbound) {
	switch m := in.msg.(type) {
	case order.HeartbeatMsg:
		k.state.RecordState(in.from, m.Revision(), m.StoreReachable())
		k.protocol.handleHeartbeat(now, in.from, m)
	case order.PromiseMsg:
		k.state.RecordState(in.from, m.Revision(), m.StoreReachable())
		k.protocol.handlePromise(now, in.from, m)
	case order.HandoverMsg:
		k.protocol.handleHandover(now, in.from, m)
	case order.HandoverAckMsg:
		k.protocol.handleHandoverAck(m)
	}
}

func (k *Manager) execute(ctx context.Context, cmd command) {
	switch cmd := cmd.(type) {
	case sendCommand:
		if err := k.sender.Send(cmd.to, cmd.msg); err != nil {
			k.registry.Count("harbour.send_failed")
		}
	case swapCommand:
		k.goStoreCall(ctx, func() { k.writeRecord(ctx, cmd) })
	case readCommand:
		k.goStoreCall(ctx, func() { k.readRecord(ctx, cmd) })
	case drainCommand:
		k.wg.Go(func() { k.drainPartition(ctx, cmd) })
	case handoverDoneCommand:
		if reply := k.waiters[cmd.partition]; reply != nil {
			delete(k.waiters, cmd.partition)
			reply <- cmd.err
		}
	case eventCommand:
		k.backlog = append(k.backlog, cmd.event)
	}
}

// goStoreCall runs a store call in its own goroutine, at most maxStoreCalls at
// a time.
func (k *Manager) goStoreCall(ctx context.Context, do func()) {
	k.wg.Go(func() {
		select {
		case k.storeCalls <- struct{}{}:
			defer func() { <-k.storeCalls }()
			do()
		case <-ctx.Done():
		}
	})
}

func (k *Manager) writeRecord(ctx context.Context, cmd swapCommand) {
	value, err := json.Marshal(cmd.record)
	if err != nil {
		k.log.Error().Err(err).Msg("harbour: cannot encode partition record")
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := k.store.Swap(call, recordKey(cmd.partition), cmd.expected, value, 0)
	if err != nil {
		k.log.Debug().Err(err).Str("partition", string(cmd.partition)).Msg("harbour: cannot write partition record")
	}
	k.postResult(ctx, func(now time.Time) { k.protocol.handleSwapResult(now, cmd.partition, version, err) })
}

func (k *Manager) readRecord(ctx context.Context, cmd readCommand) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entry, err := k.store.Get(call, recordKey(cmd.partition))
	var record Record
	if err == nil && entry.Exists() {
		err = json.Unmarshal(entry.Value(), &record)
	}
	k.postResult(ctx, func(now time.Time) { k.protocol.handleReadResult(now, cmd.partition, entry, record, err) })
}

func (k *Manager) drainPartition(ctx context.Context, cmd drainCommand) {
	k.mu.Lock()
	drain := k.plannedDrain
	k.mu.Unlock()
	if drain == nil {
		drain = k.drain
	}
	var state []byte
	if drain != nil {
		state = drain(cmd.partition)
	}
	k.postResult(ctx, func(now time.Time) { k.protocol.handleDrained(now, cmd.partition, cmd.epoch, state) })
}

// postResult passes the result of a call to the event loop unless the context
// has ended.
func (k *Manager) postResult(ctx context.Context, s step) {
	select {
	case k.steps <- s:
	case <-ctx.Done():
	}
}

// followRecords lists all records and then watches them. It lists again when
// the store has compacted the versions since the last watch.
func (k *Manager) followRecords(ctx context.Context) {
	var (
		after  depot.Version
		listed bool
	)
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = k.listRecords(ctx)
			listed = err == nil
		} else {
			after, err = k.watchRecords(ctx, after)
			listed = !errors.Is(err, depot.ErrCompacted)
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(watchRetryDelay):
		}
	}
}

func (k *Manager) listRecords(ctx context.Context) (depot.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, version, err := k.store.List(call, recordPrefix)
	if err != nil {
		return 0, err
	}
	k.postResult(ctx, func(now time.Time) {
		found := make(map[order.PartitionID]bool, len(entries))
		for _, entry := range entries {
			found[partitionOf(entry.Key())] = true
			k.handleEntry(now, entry)
		}
		k.protocol.handleListing(now, found, version)
	})
	return version, nil
}

func (k *Manager) watchRecords(ctx context.Context, after depot.Version) (depot.Version, error) {
	call, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	events, version, err := k.store.Watch(call, recordPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	if len(events) > 0 {
		k.postResult(ctx, func(now time.Time) { k.handleChanges(now, events) })
	}
	return version, nil
}

func (k *Manager) handleChanges(now time.Time, events []depot.Event) {
	for _, event := range events {
		entry := event.Entry()
		if event.Deleted() {
			k.log.Error().Str("key", entry.Key()).Msg("harbour: partition record was deleted")
			k.protocol.handleDeletion(now, partitionOf(entry.Key()), entry.Version())
			continue
		}
		k.handleEntry(now, entry)
	}
}

func (k *Manager) handleEntry(now time.Time, entry depot.Entry) {
	var record Record
	if err := json.Unmarshal(entry.Value(), &record); err != nil {
		k.log.Error().Err(err).Str("key", entry.Key()).Msg("harbour: cannot decode partition record")
		return
	}
	k.protocol.handleRecord(now, partitionOf(entry.Key()), record, entry.Version())
}
