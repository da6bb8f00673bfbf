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
	// Members tells which processes live and whether the store answers.
	Members interface {
		Members() []roster.Member
		Listed() bool
		StoreReachable() bool
		StoreSeen() time.Time
		LeaseUntil() time.Time
	}

	// State tells the configuration revision of this process and what the
	// other members report, and takes what they report in heartbeats and
	// promises.
	State interface {
		Revision() order.Revision
		MostLostStore() bool
		Observe(from order.MemberID, revision order.Revision, reachable bool)
	}

	// Hosts tells which entry hosts the platform shows.
	Hosts interface {
		Shows(address string) bool
		Age() time.Duration
	}

	// Keeper runs the ownership protocol of one process.
	Keeper struct {
		store    depot.Store
		clock    tide.Clock
		sender   order.Sender
		members  Members
		state    State
		hosts    Hosts
		registry *gauge.Registry
		log      zerolog.Logger
		collect  func(order.PartitionID) []byte

		protocol  *protocol
		deadlines *deadlines
		directory *directory
		inbox     chan inbound
		steps     chan step
		events    chan Event
		backlog   []Event
		waiters   map[order.PartitionID]chan error
		slots     chan struct{}
		workers   sync.WaitGroup
		current   []roster.Member
		looks     int

		mu      sync.Mutex
		planned func(order.PartitionID) []byte
		cancel  context.CancelFunc
		done    chan struct{}
		closed  bool
	}

	// Option changes a Keeper when it is made.
	Option func(*Keeper)

	inbound struct {
		from order.MemberID
		msg  order.Msg
	}

	// step is one input of the protocol, executed by the event loop.
	step func(now time.Time)

	guard struct {
		keeper    *Keeper
		partition order.PartitionID
		epoch     order.Epoch
	}
)

const (
	inboxSize      = 1024
	stepsSize      = 256
	storeSlots     = 32
	handoverSlots  = 8
	storeCall      = time.Second
	recordWatch    = 5 * time.Second
	watchRetry     = 250 * time.Millisecond
	hostListMaxAge = 10 * time.Second
	membersEvery   = 4
)

// ErrClosed reports that the Keeper does not run any more.
var ErrClosed = errors.New("ownership keeper closed")

// WithHosts sets the host list. Without it, a member counts as gone only by
// the other rules.
func WithHosts(hosts Hosts) Option {
	return func(k *Keeper) { k.hosts = hosts }
}

// WithCollect sets the function that stops the part that serves a partition
// and returns its state, for moves between running processes. It may block. A
// LostEvent follows when the partition has moved, and an AcquiredEvent with the
// same epoch when the move was broken off.
func WithCollect(collect func(order.PartitionID) []byte) Option {
	return func(k *Keeper) { k.collect = collect }
}

// New returns the keeper of the process.
func New(self order.MemberID, domain order.DomainName, store depot.Store, clock tide.Clock, sender order.Sender, members Members, state State, registry *gauge.Registry, log zerolog.Logger, opts ...Option) *Keeper {
	k := &Keeper{
		store:    store,
		clock:    clock,
		sender:   sender,
		members:  members,
		state:    state,
		registry: registry,
		log:      log,
		protocol: newProtocol(self, domain, clock.Now(), registry, log),
		inbox:    make(chan inbound, inboxSize),
		steps:    make(chan step, stepsSize),
		events:   make(chan Event),
		waiters:  make(map[order.PartitionID]chan error),
		slots:    make(chan struct{}, storeSlots),
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(k)
	}
	k.deadlines = k.protocol.deadlines
	k.directory = k.protocol.directory
	k.protocol.collects = k.collect != nil
	return k
}

// Run runs the protocol until the context ends or Close is called. Afterwards
// the process may act for no partition.
func (k *Keeper) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !k.begin(cancel) {
		return ErrClosed
	}
	defer close(k.done)
	k.workers.Go(func() { k.follow(ctx) })
	k.loop(ctx)
	k.deadlines.setLimit(k.deadlines.base)
	k.workers.Wait()
	close(k.events)
	return nil
}

// Close ends Run and waits for it.
func (k *Keeper) Close() {
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

// Handle takes a message of another process. It never blocks; a message that
// finds the inbox full is dropped, like one lost on the way.
func (k *Keeper) Handle(from order.MemberID, m order.Msg) {
	select {
	case k.inbox <- inbound{from: from, msg: m}:
	default:
		k.registry.Count("harbour.inbox_full")
	}
}

// Ensure asks that records of the partitions exist. It returns at once.
func (k *Keeper) Ensure(ids []order.PartitionID) {
	ids = append([]order.PartitionID(nil), ids...)
	k.post(func(now time.Time) {
		for _, id := range ids {
			k.protocol.ensure(now, id)
		}
	})
}

// Events returns the channel of acquired and lost partitions. It is closed
// when Run ends.
func (k *Keeper) Events() <-chan Event { return k.events }

// Owner returns the owner and epoch of a partition by the last known record.
func (k *Keeper) Owner(id order.PartitionID) (order.MemberID, order.Epoch, bool) {
	r, ok := k.directory.get(id)
	return r.owner, r.epoch, ok && r.owner != ""
}

// Remaining returns how long this process may still act for the partition at
// the epoch, zero if it may not. Any goroutine may call it.
func (k *Keeper) Remaining(id order.PartitionID, epoch order.Epoch) time.Duration {
	until := time.Duration(k.deadlines.until(id, epoch))
	if until <= 0 {
		return 0
	}
	return max(until-k.clock.Now().Sub(k.deadlines.base), 0)
}

// Guard returns the guard of a partition at an epoch.
func (k *Keeper) Guard(id order.PartitionID, epoch order.Epoch) order.Guard {
	return guard{keeper: k, partition: id, epoch: epoch}
}

// Remaining implements order.Guard.
func (g guard) Remaining() time.Duration { return g.keeper.Remaining(g.partition, g.epoch) }

// Handover hands all own partitions over for a planned stop and claims nothing
// more. The function stops the part that serves a partition and returns its
// state; it may block. Handover returns when the new owners have confirmed, or
// with an error that names the partitions for which that is not certain.
func (k *Keeper) Handover(ctx context.Context, collect func(order.PartitionID) []byte) error {
	k.mu.Lock()
	k.planned = collect
	k.mu.Unlock()
	ids, err := k.leave(ctx)
	if err != nil {
		return err
	}
	// Queues move before groups, so that the confirmations of a queue still
	// reach the groups of this process.
	queues, groups := splitRoles(ids)
	return errors.Join(k.releaseAll(ctx, queues), k.releaseAll(ctx, groups))
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

// releaseAll hands partitions over, several at a time.
func (k *Keeper) releaseAll(ctx context.Context, ids []order.PartitionID) error {
	var (
		group sync.WaitGroup
		errs  = make([]error, len(ids))
		slots = make(chan struct{}, handoverSlots)
	)
	for i, id := range ids {
		slots <- struct{}{}
		group.Go(func() {
			errs[i] = k.release(ctx, id)
			<-slots
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

func (k *Keeper) leave(ctx context.Context) ([]order.PartitionID, error) {
	reply := make(chan []order.PartitionID, 1)
	k.post(func(time.Time) { reply <- k.protocol.leave() })
	select {
	case ids := <-reply:
		return ids, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.done:
		return nil, ErrClosed
	}
}

func (k *Keeper) release(ctx context.Context, id order.PartitionID) error {
	reply := make(chan error, 1)
	k.post(func(now time.Time) {
		k.waiters[id] = reply
		k.protocol.releasePlanned(now, id)
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

func (k *Keeper) begin(cancel context.CancelFunc) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.cancel != nil {
		return false
	}
	k.cancel = cancel
	return true
}

// post passes a step to the event loop. It waits while the loop is behind.
func (k *Keeper) post(s step) {
	select {
	case k.steps <- s:
	case <-k.done:
	}
}

// loop is the event loop. It calls nothing that waits for the store.
func (k *Keeper) loop(ctx context.Context) {
	ticks := k.clock.Subscribe(TickPeriod)
	defer ticks.Close()
	for {
		events, next := k.nextEvent()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			k.protocol.tick(k.clock.Now(), k.look())
		case in := <-k.inbox:
			k.protocol.setRevision(k.state.Revision())
			k.receive(k.clock.Now(), in)
		case s := <-k.steps:
			k.protocol.setRevision(k.state.Revision())
			s(k.clock.Now())
		case events <- next:
			k.backlog = k.backlog[1:]
		}
		for _, cmd := range k.protocol.take() {
			k.execute(ctx, cmd)
		}
	}
}

// nextEvent returns a nil channel while there is no event.
func (k *Keeper) nextEvent() (chan<- Event, Event) {
	if len(k.backlog) == 0 {
		return nil, nil
	}
	return k.events, k.backlog[0]
}

// look returns what the process knows of the others. The list of members is
// sorted anew for each caller, so it is fetched less often.
func (k *Keeper) look() view {
	if k.looks%membersEvery == 0 {
		k.current = k.members.Members()
	}
	k.looks++
	reachable := k.members.StoreReachable()
	return view{
		members:    k.current,
		listed:     k.members.Listed(),
		reachable:  reachable,
		storeSeen:  k.members.StoreSeen(),
		leaseUntil: k.members.LeaseUntil(),
		mostLost:   !reachable && k.state.MostLostStore(),
		revision:   k.state.Revision(),
		shows:      k.shows,
	}
}

// shows reports whether the host of the address must be taken to exist. An old
// host list proves nothing.
func (k *Keeper) shows(address string) bool {
	return k.hosts == nil || k.hosts.Age() > hostListMaxAge || k.hosts.Shows(address)
}

func (k *Keeper) receive(now time.Time, in inbound) {
	switch m := in.msg.(type) {
	case order.HeartbeatMsg:
		k.state.Observe(in.from, m.Revision(), m.StoreReachable())
		k.protocol.heartbeat(now, in.from, m)
	case order.PromiseMsg:
		k.state.Observe(in.from, m.Revision(), m.StoreReachable())
		k.protocol.promise(now, in.from, m)
	case order.HandoverMsg:
		k.protocol.handover(now, in.from, m)
	case order.HandoverAckMsg:
		k.protocol.acknowledged(m)
	}
}

func (k *Keeper) execute(ctx context.Context, cmd command) {
	switch cmd := cmd.(type) {
	case sendCommand:
		if err := k.sender.Send(cmd.to, cmd.msg); err != nil {
			k.registry.Count("harbour.send_failed")
		}
	case swapCommand:
		k.work(ctx, func() { k.swap(ctx, cmd) })
	case readCommand:
		k.work(ctx, func() { k.read(ctx, cmd) })
	case collectCommand:
		k.workers.Go(func() { k.collectState(ctx, cmd) })
	case releasedCommand:
		if reply := k.waiters[cmd.partition]; reply != nil {
			delete(k.waiters, cmd.partition)
			reply <- cmd.err
		}
	case eventCommand:
		k.backlog = append(k.backlog, cmd.event)
	}
}

// work runs a call to the store outside the event loop.
func (k *Keeper) work(ctx context.Context, do func()) {
	k.workers.Go(func() {
		select {
		case k.slots <- struct{}{}:
			defer func() { <-k.slots }()
			do()
		case <-ctx.Done():
		}
	})
}

func (k *Keeper) swap(ctx context.Context, cmd swapCommand) {
	value, err := json.Marshal(cmd.record)
	if err != nil {
		k.log.Error().Err(err).Msg("harbour: record not encoded")
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	version, err := k.store.Swap(call, recordKey(cmd.partition), cmd.expected, value, 0)
	if err != nil {
		k.log.Debug().Err(err).Str("partition", string(cmd.partition)).Msg("harbour: record not written")
	}
	k.answer(ctx, func(now time.Time) { k.protocol.swapped(now, cmd.partition, version, err) })
}

func (k *Keeper) read(ctx context.Context, cmd readCommand) {
	call, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	entry, err := k.store.Get(call, recordKey(cmd.partition))
	var record Record
	if err == nil && entry.Exists() {
		err = json.Unmarshal(entry.Value(), &record)
	}
	k.answer(ctx, func(now time.Time) { k.protocol.wasRead(now, cmd.partition, entry, record, err) })
}

func (k *Keeper) collectState(ctx context.Context, cmd collectCommand) {
	k.mu.Lock()
	collect := k.planned
	k.mu.Unlock()
	if collect == nil {
		collect = k.collect
	}
	var state []byte
	if collect != nil {
		state = collect(cmd.partition)
	}
	k.answer(ctx, func(now time.Time) { k.protocol.collected(now, cmd.partition, cmd.epoch, state) })
}

// answer passes the result of a call to the event loop, unless it has ended.
func (k *Keeper) answer(ctx context.Context, s step) {
	select {
	case k.steps <- s:
	case <-ctx.Done():
	}
}

// follow reads all records and then the changes.
func (k *Keeper) follow(ctx context.Context) {
	var (
		after  depot.Version
		listed bool
	)
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = k.list(ctx)
			listed = err == nil
		} else {
			after, err = k.watch(ctx, after)
			listed = !errors.Is(err, depot.ErrCompacted)
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(watchRetry):
		}
	}
}

func (k *Keeper) list(ctx context.Context) (depot.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	entries, version, err := k.store.List(call, recordPrefix)
	if err != nil {
		return 0, err
	}
	k.answer(ctx, func(now time.Time) {
		found := make(map[order.PartitionID]bool, len(entries))
		for _, entry := range entries {
			found[partitionOf(entry.Key())] = true
			k.observe(now, entry)
		}
		k.protocol.listedAll(now, found, version)
	})
	return version, nil
}

func (k *Keeper) watch(ctx context.Context, after depot.Version) (depot.Version, error) {
	call, cancel := context.WithTimeout(ctx, recordWatch+storeCall)
	defer cancel()
	events, version, err := k.store.Watch(call, recordPrefix, after, recordWatch)
	if err != nil {
		return after, err
	}
	if len(events) > 0 {
		k.answer(ctx, func(now time.Time) { k.changed(now, events) })
	}
	return version, nil
}

func (k *Keeper) changed(now time.Time, events []depot.Event) {
	for _, event := range events {
		entry := event.Entry()
		if event.Deleted() {
			k.log.Error().Str("key", entry.Key()).Msg("harbour: record was deleted")
			k.protocol.removed(now, partitionOf(entry.Key()), entry.Version())
			continue
		}
		k.observe(now, entry)
	}
}

func (k *Keeper) observe(now time.Time, entry depot.Entry) {
	var record Record
	if err := json.Unmarshal(entry.Value(), &record); err != nil {
		k.log.Error().Err(err).Str("key", entry.Key()).Msg("harbour: record unreadable")
		return
	}
	k.protocol.observe(now, partitionOf(entry.Key()), record, entry.Version())
}
