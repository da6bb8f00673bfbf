package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Deps holds the dependencies of a divider. Create it with NewDeps.
	Deps struct {
		clock    timers.Clock
		registry *gauge.Registry
		log      zerolog.Logger
		guard    order.Guard
		poster   order.Poster
		config   func() *sheet.Config
		digests  func() []order.GroupDigest
		groups   func() []order.GroupID
		owned    func(order.GroupID) bool
	}

	// Divider runs the machine of one request partition: it passes ticks,
	// acknowledgements and store results to the machine and executes its
	// commands.
	Divider struct {
		partition order.PartitionID
		store     storage.Store
		deps      Deps
		machine   *Machine
		inbox     chan order.AllotAckMsg
		results   chan func(now time.Time) []Command
		calls     sync.WaitGroup

		closing   chan struct{}
		closeOnce sync.Once
		startOnce sync.Once
		done      chan struct{}
	}
)

const (
	inboxSize   = 4096
	resultsSize = 64
	tickPeriod  = 100 * time.Millisecond
	// observePeriod is the time between two observations of the cell.
	observePeriod = 500 * time.Millisecond
	callTimeout   = time.Second
)

// NewDeps returns empty dependencies. All of them must be set before New,
// except the log, which discards its messages by default.
func NewDeps() Deps { return Deps{log: zerolog.Nop()} }

// WithClock returns a copy with the clock for ticks and timestamps.
func (d Deps) WithClock(clock timers.Clock) Deps {
	d.clock = clock
	return d
}

// WithRegistry returns a copy with the registry of counters and invariants.
func (d Deps) WithRegistry(registry *gauge.Registry) Deps {
	d.registry = registry
	return d
}

// WithLog returns a copy with the log. New adds the partition and epoch.
func (d Deps) WithLog(log zerolog.Logger) Deps {
	d.log = log
	return d
}

// WithGuard returns a copy with the guard of the partition. After it has
// expired, nothing is written or sent.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the poster that sends allotments to groups.
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

// WithGroups returns a copy with the function that returns the groups in the
// host list.
func (d Deps) WithGroups(groups func() []order.GroupID) Deps {
	d.groups = groups
	return d
}

// WithHasOwner returns a copy with the function that reports whether a group
// has a known owner.
func (d Deps) WithHasOwner(owned func(order.GroupID) bool) Deps {
	d.owned = owned
	return d
}

// New returns the divider for the teams whose quota partition is the given one.
// Call Run to start it.
func New(partition order.PartitionID, epoch order.Epoch, store storage.Store, deps Deps) *Divider {
	deps.log = deps.log.With().Str("partition", string(partition)).Uint64("epoch", uint64(epoch)).Logger()
	return &Divider{
		partition: partition,
		store:     store,
		deps:      deps,
		machine:   NewMachine(partition, deps.registry),
		inbox:     make(chan order.AllotAckMsg, inboxSize),
		results:   make(chan func(time.Time) []Command, resultsSize),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// Handle queues an acknowledgement of a group and ignores other messages. It
// never blocks: if the inbox is full, the message is dropped, and the group
// acknowledges again when the allotment is sent again.
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

// Run divides the limits until the context is cancelled or Close is called. It
// returns at once if it ran before or Close was called.
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
			d.execute(ctx, d.machine.HandleAck(d.deps.clock.Now(), ack))
		case result := <-d.results:
			d.execute(ctx, result(d.deps.clock.Now()))
		case <-observations.C():
			d.observe(ctx)
		case <-ticks.C():
			d.execute(ctx, d.machine.Tick(d.deps.clock.Now()))
		}
	}
}

// Close stops Run and waits until it has returned. It may be called before Run.
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
				entry, err := d.store.Get(ctx, RecordKey(c.team))
				return func(now time.Time) []Command { return d.machine.HandleRead(now, c.team, entry, err) }
			})
		case WriteCmd:
			d.call(ctx, func(ctx context.Context) func(time.Time) []Command {
				version, err := d.write(ctx, c)
				return func(now time.Time) []Command { return d.machine.HandleWritten(now, c.team, version, err) }
			})
		}
	}
}

// write checks the guard directly before the call, because the next owner of
// the partition may already divide the limits.
func (d *Divider) write(ctx context.Context, c WriteCmd) (storage.Version, error) {
	if d.deps.guard.Remaining() <= 0 {
		d.deps.registry.Count("tonnage.dropped.guard")
		return 0, storage.ErrUnavailable
	}
	return d.store.Swap(ctx, RecordKey(c.team), c.expected, c.value, 0)
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

// call makes one store call in its own goroutine, so that a slow store does not
// delay acknowledgements. Each team has at most one open call. fn returns a
// function that passes the result to the machine in the event loop.
func (d *Divider) call(ctx context.Context, fn func(context.Context) func(time.Time) []Command) {
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result := fn(limited)
		select {
		case d.results <- result:
		case <-ctx.Done():
		}
	}()
}
