package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/storage"
	"chervilhollow/timers"
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
		store    storage.Store
		clock    timers.Clock
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
	return func(m *Manager) { m.hosts = hosts }
}

// WithDrain sets the function that stops the component of a partition and
// returns its state, for moves between running processes. It may block. A
// LostEvent follows when the partition has moved, and an AcquiredEvent with the
// same epoch when the move is aborted.
func WithDrain(drain func(order.PartitionID) []byte) Option {
	return func(m *Manager) { m.drain = drain }
}

// New returns a Manager, which is idle until Run is called. The domain is the
// failure domain of the process.
func New(self order.MemberID, domain order.DomainName, store storage.Store, clock timers.Clock, sender order.Sender, members Members, state State, registry *gauge.Registry, log zerolog.Logger, opts ...Option) *Manager {
	m := &Manager{
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
		opt(m)
	}
	m.deadlines = m.protocol.deadlines
	m.directory = m.protocol.directory
	m.protocol.canDrain = m.drain != nil
	return m
}

// Run runs the protocol until the context ends or Close is called. Afterwards
// the process may not act for any partition.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.markRunning(cancel) {
		return ErrClosed
	}
	defer close(m.done)
	m.wg.Go(func() { m.followRecords(ctx) })
	m.loop(ctx)
	m.deadlines.setProcessLimit(m.deadlines.base)
	m.wg.Wait()
	close(m.events)
	return nil
}

// Close ends Run and waits for it to return. A later Run returns ErrClosed.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	cancel := m.cancel
	m.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-m.done
}

// Handle queues a message from another process. It never blocks: when the inbox
// is full, the message is dropped as if the network had lost it.
func (m *Manager) Handle(from order.MemberID, msg order.Msg) {
	select {
	case m.inbox <- inbound{from: from, msg: msg}:
	default:
		m.registry.Count("harbour.inbox_full")
	}
}

// Ensure requests that records of the partitions exist. It does not wait until
// they are written.
func (m *Manager) Ensure(ids []order.PartitionID) {
	ids = append([]order.PartitionID(nil), ids...)
	m.post(func(now time.Time) {
		for _, id := range ids {
			m.protocol.ensure(now, id)
		}
	})
}

// Events returns the channel of AcquiredEvents and LostEvents. It is closed
// when Run ends.
func (m *Manager) Events() <-chan Event { return m.events }

// Owner returns the owner and epoch in the last known record of a partition,
// and false if there is no owner.
func (m *Manager) Owner(id order.PartitionID) (order.MemberID, order.Epoch, bool) {
	r, ok := m.directory.get(id)
	return r.owner, r.epoch, ok && r.owner != ""
}

// Remaining returns how long this process may still act for the partition at
// the epoch, or zero if it may not. Any goroutine may call it.
func (m *Manager) Remaining(id order.PartitionID, epoch order.Epoch) time.Duration {
	until := time.Duration(m.deadlines.until(id, epoch))
	if until <= 0 {
		return 0
	}
	return max(until-m.clock.Now().Sub(m.deadlines.base), 0)
}

// Guard returns a guard whose Remaining is that of the partition at the epoch.
func (m *Manager) Guard(id order.PartitionID, epoch order.Epoch) order.Guard {
	return guard{manager: m, partition: id, epoch: epoch}
}

// Remaining implements order.Guard.
func (g guard) Remaining() time.Duration { return g.manager.Remaining(g.partition, g.epoch) }

// Handover transfers all partitions of this process to others before a planned
// stop and stops claiming partitions. The drain function stops the component of
// a partition and returns its state. It may block. Handover returns when the
// new owners have confirmed, or with an error that names the partitions that
// were not confirmed.
func (m *Manager) Handover(ctx context.Context, drain func(order.PartitionID) []byte) error {
	m.mu.Lock()
	m.plannedDrain = drain
	m.mu.Unlock()
	ids, err := m.startLeaving(ctx)
	if err != nil {
		return err
	}
	// Queues move before groups, so that queue confirmations can still reach
	// the groups of this process.
	queues, groups := splitRoles(ids)
	return errors.Join(m.handOverAll(ctx, queues), m.handOverAll(ctx, groups))
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
func (m *Manager) handOverAll(ctx context.Context, ids []order.PartitionID) error {
	var (
		group sync.WaitGroup
		errs  = make([]error, len(ids))
		slots = make(chan struct{}, maxHandovers)
	)
	for i, id := range ids {
		slots <- struct{}{}
		group.Go(func() {
			errs[i] = m.handOver(ctx, id)
			<-slots
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// startLeaving stops claiming and returns the partitions that this process
// owns.
func (m *Manager) startLeaving(ctx context.Context) ([]order.PartitionID, error) {
	reply := make(chan []order.PartitionID, 1)
	m.post(func(time.Time) { reply <- m.protocol.startLeaving() })
	select {
	case ids := <-reply:
		return ids, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.done:
		return nil, ErrClosed
	}
}

func (m *Manager) handOver(ctx context.Context, id order.PartitionID) error {
	reply := make(chan error, 1)
	m.post(func(now time.Time) {
		m.waiters[id] = reply
		m.protocol.startPlannedHandover(now, id)
	})
	var err error
	select {
	case err = <-reply:
	case <-ctx.Done():
		err = ctx.Err()
	case <-m.done:
		err = ErrClosed
	}
	if err != nil {
		return fmt.Errorf("hand over %s: %w", id, err)
	}
	return nil
}

// markRunning returns false if the Manager is closed or already running.
func (m *Manager) markRunning(cancel context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.cancel != nil {
		return false
	}
	m.cancel = cancel
	return true
}

// post passes a step to the event loop. It blocks while the queue is full.
func (m *Manager) post(s step) {
	select {
	case m.steps <- s:
	case <-m.done:
	}
}

// loop is the event loop. It never waits for the store.
func (m *Manager) loop(ctx context.Context) {
	ticks := m.clock.Subscribe(TickPeriod)
	defer ticks.Close()
	for {
		events, next := m.nextEvent()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			m.protocol.tick(m.clock.Now(), m.currentView())
		case in := <-m.inbox:
			m.protocol.setRevision(m.state.Revision())
			m.receive(m.clock.Now(), in)
		case s := <-m.steps:
			m.protocol.setRevision(m.state.Revision())
			s(m.clock.Now())
		case events <- next:
			m.backlog = m.backlog[1:]
		}
		for _, cmd := range m.protocol.takeCommands() {
			m.execute(ctx, cmd)
		}
	}
}

// nextEvent returns the next event for the receiver, or a nil channel, which is
// never ready, if there is none.
func (m *Manager) nextEvent() (chan<- Event, Event) {
	if len(m.backlog) == 0 {
		return nil, nil
	}
	return m.events, m.backlog[0]
}

// currentView returns the inputs of a tick. The member list is fetched only
// every few ticks because each fetch sorts it again.
func (m *Manager) currentView() view {
	if m.tickCount%memberRefreshTicks == 0 {
		m.memberList = m.members.Members()
	}
	m.tickCount++
	reachable := m.members.StoreReachable()
	return view{
		members:           m.memberList,
		memberListRead:    m.members.ListRead(),
		storeReachable:    reachable,
		lastStoreReply:    m.members.LastStoreReply(),
		leaseEnd:          m.members.LeaseEnd(),
		majorityLostStore: !reachable && m.state.MajorityLostStore(),
		revision:          m.state.Revision(),
		hostListed:        m.hostMayExist,
	}
}

// hostMayExist reports whether the host of the address has to be treated as
// existing. A host list older than hostListMaxAge does not prove that a host
// was removed.
func (m *Manager) hostMayExist(address string) bool {
	return m.hosts == nil || m.hosts.ListAge() > hostListMaxAge || m.hosts.Contains(address)
}

func (m *Manager) receive(now time.Time, in inbound) {
	switch msg := in.msg.(type) {
	case order.HeartbeatMsg:
		m.state.RecordState(in.from, msg.Revision(), msg.StoreReachable())
		m.protocol.handleHeartbeat(now, in.from, msg)
	case order.PromiseMsg:
		m.state.RecordState(in.from, msg.Revision(), msg.StoreReachable())
		m.protocol.handlePromise(now, in.from, msg)
	case order.HandoverMsg:
		m.protocol.handleHandover(now, in.from, msg)
	case order.HandoverAckMsg:
		m.protocol.handleHandoverAck(msg)
	}
}

func (m *Manager) execute(ctx context.Context, cmd command) {
	switch cmd := cmd.(type) {
	case sendCommand:
		if err := m.sender.Send(cmd.to, cmd.msg); err != nil {
			m.registry.Count("harbour.send_failed")
		}
	case swapCommand:
		m.goStoreCall(ctx, func() { m.writeRecord(ctx, cmd) })
	case readCommand:
		m.goStoreCall(ctx, func() { m.readRecord(ctx, cmd) })
	case drainCommand:
		m.wg.Go(func() { m.drainPartition(ctx, cmd) })
	case handoverDoneCommand:
		if reply := m.waiters[cmd.partition]; reply != nil {
			delete(m.waiters, cmd.partition)
			reply <- cmd.err
		}
	case eventCommand:
		m.backlog = append(m.backlog, cmd.event)
	}
}

// goStoreCall runs a store call in its own goroutine, at most maxStoreCalls at
// a time.
func (m *Manager) goStoreCall(ctx context.Context, do func()) {
	m.wg.Go(func() {
		select {
		case m.storeCalls <- struct{}{}:
			defer func() { <-m.storeCalls }()
			do()
		case <-ctx.Done():
		}
	})
}

func (m *Manager) writeRecord(ctx context.Context, cmd swapCommand) {
	value, err := json.Marshal(cmd.record)
	if err != nil {
		m.log.Error().Err(err).Msg("harbour: cannot encode partition record")
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := m.store.Swap(call, recordKey(cmd.partition), cmd.expected, value, 0)
	if err != nil {
		m.log.Debug().Err(err).Str("partition", string(cmd.partition)).Msg("harbour: cannot write partition record")
	}
	m.postResult(ctx, func(now time.Time) { m.protocol.handleSwapResult(now, cmd.partition, version, err) })
}

func (m *Manager) readRecord(ctx context.Context, cmd readCommand) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entry, err := m.store.Get(call, recordKey(cmd.partition))
	var record Record
	if err == nil && entry.Exists() {
		err = json.Unmarshal(entry.Value(), &record)
	}
	m.postResult(ctx, func(now time.Time) { m.protocol.handleReadResult(now, cmd.partition, entry, record, err) })
}

func (m *Manager) drainPartition(ctx context.Context, cmd drainCommand) {
	m.mu.Lock()
	drain := m.plannedDrain
	m.mu.Unlock()
	if drain == nil {
		drain = m.drain
	}
	var state []byte
	if drain != nil {
		state = drain(cmd.partition)
	}
	m.postResult(ctx, func(now time.Time) { m.protocol.handleDrained(now, cmd.partition, cmd.epoch, state) })
}

// postResult passes the result of a call to the event loop unless the context
// has ended.
func (m *Manager) postResult(ctx context.Context, s step) {
	select {
	case m.steps <- s:
	case <-ctx.Done():
	}
}

// followRecords lists all records and then watches them. It lists again when
// the store has compacted the versions since the last watch.
func (m *Manager) followRecords(ctx context.Context) {
	var (
		after  storage.Version
		listed bool
	)
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = m.listRecords(ctx)
			listed = err == nil
		} else {
			after, err = m.watchRecords(ctx, after)
			listed = !errors.Is(err, storage.ErrCompacted)
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(watchRetryDelay):
		}
	}
}

func (m *Manager) listRecords(ctx context.Context) (storage.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, version, err := m.store.List(call, recordPrefix)
	if err != nil {
		return 0, err
	}
	m.postResult(ctx, func(now time.Time) {
		found := make(map[order.PartitionID]bool, len(entries))
		for _, entry := range entries {
			found[partitionOf(entry.Key())] = true
			m.handleEntry(now, entry)
		}
		m.protocol.handleListing(now, found, version)
	})
	return version, nil
}

func (m *Manager) watchRecords(ctx context.Context, after storage.Version) (storage.Version, error) {
	call, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	events, version, err := m.store.Watch(call, recordPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	if len(events) > 0 {
		m.postResult(ctx, func(now time.Time) { m.handleChanges(now, events) })
	}
	return version, nil
}

func (m *Manager) handleChanges(now time.Time, events []storage.Event) {
	for _, event := range events {
		entry := event.Entry()
		if event.Deleted() {
			m.log.Error().Str("key", entry.Key()).Msg("harbour: partition record was deleted")
			m.protocol.handleDeletion(now, partitionOf(entry.Key()), entry.Version())
			continue
		}
		m.handleEntry(now, entry)
	}
}

func (m *Manager) handleEntry(now time.Time, entry storage.Entry) {
	var record Record
	if err := json.Unmarshal(entry.Value(), &record); err != nil {
		m.log.Error().Err(err).Str("key", entry.Key()).Msg("harbour: cannot decode partition record")
		return
	}
	m.protocol.handleRecord(now, partitionOf(entry.Key()), record, entry.Version())
}
