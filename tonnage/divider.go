package tonnage

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Deps is what a divider needs from its process.
	Deps struct {
		clock    tide.Clock
		registry *gauge.Registry
		log      zerolog.Logger
		guard    order.Guard
		poster   order.Poster
		config   func() *sheet.Config
		digests  func() []order.GroupDigest
		groups   func() []order.GroupID
		owned    func(order.GroupID) bool
	}

	// Divider runs the machine of one request partition.
	Divider struct {
		partition order.PartitionID
		store     depot.Store
		deps      Deps
		machine   *Machine
		inbox     chan order.AllotAckMsg
		answers   chan func(now time.Time) []Command
		calls     sync.WaitGroup

		closing   chan struct{}
		closeOnce sync.Once
		startOnce sync.Once
		done      chan struct{}
	}
)

const (
	inboxSize     = 4096
	answersSize   = 64
	tickPeriod    = 100 * time.Millisecond
	observePeriod = 500 * time.Millisecond
	callTimeout   = time.Second
)

// NewDeps returns dependencies without any; all but the log must be set.
func NewDeps() Deps { return Deps{log: zerolog.Nop()} }

// WithClock returns a copy with the clock.
func (d Deps) WithClock(clock tide.Clock) Deps {
	d.clock = clock
	return d
}

// WithRegistry returns a copy with the registry of counters and invariants.
func (d Deps) WithRegistry(registry *gauge.Registry) Deps {
	d.registry = registry
	return d
}

// WithLog returns a copy with the log.
func (d Deps) WithLog(log zerolog.Logger) Deps {
	d.log = log
	return d
}

// WithGuard returns a copy with the guard of the partition.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the poster to the groups.
func (d Deps) WithPoster(poster order.Poster) Deps {
	d.poster = poster
	return d
}

// WithConfig returns a copy with the function that returns the configuration.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithDigests returns a copy with the function that returns the current
// digests of the groups.
func (d Deps) WithDigests(digests func() []order.GroupDigest) Deps {
	d.digests = digests
	return d
}

// WithGroups returns a copy with the function that returns the groups that the
// host list shows.
func (d Deps) WithGroups(groups func() []order.GroupID) Deps {
	d.groups = groups
	return d
}

// WithOwned returns a copy with the function that tells whether a group has a
// known owner.
func (d Deps) WithOwned(owned func(order.GroupID) bool) Deps {
	d.owned = owned
	return d
}

// New returns the divider of the teams whose quota partition is the given one.
func New(partition order.PartitionID, epoch order.Epoch, store depot.Store, deps Deps) *Divider {
	deps.log = deps.log.With().Str("partition", string(partition)).Uint64("epoch", uint64(epoch)).Logger()
	return &Divider{
		partition: partition,
		store:     store,
		deps:      deps,
		machine:   NewMachine(partition, deps.registry),
		inbox:     make(chan order.AllotAckMsg, inboxSize),
		answers:   make(chan func(time.Time) []Command, answersSize),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// Handle takes an acknowledgement of a group. It never blocks: a message that
// does not fit is dropped, because allotments are sent again.
func (d *Divider) Handle(_ order.MemberID, m order.Msg) {
	ack, ok := m.(order.AllotAckMsg)
	if !ok {
		return
	}
	select {
	case d.inbox <- ack:
	default:
		d.deps.registry.Count("tonnage.dropped.inbox_full")
	}
}

// Run works until the context ends or Close is called.
func (d *Divider) Run(ctx context.Context) error {
	started := false
	d.startOnce.Do(func() { started = true })
	if !started {
		return nil
	}
	defer close(d.done)
	ctx, cancel := context.WithCancel(ctx)
	defer d.calls.Wait()
	defer cancel()
	ticks := d.deps.clock.Subscribe(tickPeriod)
	defer ticks.Close()
	observations := d.deps.clock.Subscribe(observePeriod)
	defer observations.Close()
	d.observe(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.closing:
			return nil
		case ack := <-d.inbox:
			d.execute(ctx, d.machine.Handle(d.deps.clock.Now(), ack))
		case answer := <-d.answers:
			d.execute(ctx, answer(d.deps.clock.Now()))
		case <-observations.C():
			d.observe(ctx)
		case <-ticks.C():
			d.execute(ctx, d.machine.Tick(d.deps.clock.Now()))
		}
	}
}

// Close ends Run and waits for it.
func (d *Divider) Close() {
	d.closeOnce.Do(func() { close(d.closing) })
	d.startOnce.Do(func() { close(d.done) })
	<-d.done
}

func (d *Divider) observe(ctx context.Context) {
	o := NewObservation(d.deps.config(), d.deps.groups(), d.deps.digests(), d.deps.owned)
	d.execute(ctx, d.machine.Observe(d.deps.clock.Now(), o))
}

func (d *Divider) execute(ctx context.Context, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case PostCmd:
			d.post(c)
		case ReadCmd:
			d.call(ctx, func(ctx context.Context) func(time.Time) []Command {
				entry, err := d.store.Get(ctx, Key(c.team))
				return func(now time.Time) []Command { return d.machine.Read(now, c.team, entry, err) }
			})
		case WriteCmd:
			d.call(ctx, func(ctx context.Context) func(time.Time) []Command {
				version, err := d.write(ctx, c)
				return func(now time.Time) []Command { return d.machine.Written(now, c.team, version, err) }
			})
		}
	}
}

// write reads the guard directly before the call: the next owner of the
// partition may divide already.
func (d *Divider) write(ctx context.Context, c WriteCmd) (depot.Version, error) {
	if d.deps.guard.Remaining() <= 0 {
		d.deps.registry.Count("tonnage.dropped.guard")
		return 0, depot.ErrUnavailable
	}
	return d.store.Swap(ctx, Key(c.team), c.expected, c.value, 0)
}

func (d *Divider) post(c PostCmd) {
	if d.deps.guard.Remaining() <= 0 {
		d.deps.registry.Count("tonnage.dropped.guard")
		return
	}
	if err := d.deps.poster.Post(order.GroupPartition(c.group), c.msg); err != nil {
		d.deps.registry.Count("tonnage.dropped.post")
	}
}

// call makes one call to the store beside the loop, so that a slow store does
// not delay the acknowledgements. Each team has at most one call open.
func (d *Divider) call(ctx context.Context, do func(context.Context) func(time.Time) []Command) {
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer := do(limited)
		select {
		case d.answers <- answer:
		case <-ctx.Done():
		}
	}()
}
