// Package counter is the HTTP front end for callers: it authenticates keys,
// admits requests, forwards them to the partition that owns them and matches
// the answers.
package counter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Directory tells who owns a partition.
	Directory interface {
		Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool)
	}

	// Admission tells whether the process may accept work. It may not once it
	// can no longer know whether a key was withdrawn.
	Admission interface {
		MayAccept() bool
	}

	// Option changes one setting of a Counter.
	Option func(*Counter)

	// Deps holds what a Counter works with.
	Deps struct {
		sender    order.Sender
		directory Directory
		admission Admission
		config    func() *sheet.Config
		clock     tide.Clock
		registry  *gauge.Registry
		log       zerolog.Logger
	}

	// Counter serves the callers of one gate.
	Counter struct {
		deps   Deps
		limits limits
		mux    *http.ServeMux
		table  *table
		rates  *rates
		slots  chan struct{}
		memory *semaphore.Weighted
		quit   chan struct{}

		mu       sync.Mutex
		stopping bool
		open     sync.WaitGroup
	}

	limits struct {
		body            int64
		header          int
		memory          int64
		open            int
		tasks           int
		headerTimeout   time.Duration
		readTimeout     time.Duration
		idleTimeout     time.Duration
		defaultDeadline time.Duration
		maxDeadline     time.Duration
		maxWait         time.Duration
		callTimeout     time.Duration
		ownerWait       time.Duration
		grace           time.Duration
		resend          time.Duration
		rate            float64
		burst           int
	}
)

const (
	defaultBody       = 1 << 20
	defaultHeader     = 16 << 10
	defaultMemory     = 128 << 20
	defaultOpen       = 16384
	defaultTasks      = 4096
	defaultHeaderTime = 2 * time.Second
	defaultReadTime   = 10 * time.Second
	defaultIdleTime   = time.Minute
	defaultDeadline   = time.Minute
	defaultMax        = 24 * time.Hour
	defaultWait       = time.Minute
	defaultCall       = 5 * time.Second
	defaultOwnerWait  = 10 * time.Second
	defaultGrace      = 500 * time.Millisecond
	defaultResend     = 250 * time.Millisecond
	defaultRate       = 2000
	defaultBurst      = 4000

	// directoryPoll is how often the owners of all request partitions are
	// compared with the last known ones.
	directoryPoll = 100 * time.Millisecond

	// writeTimeout limits how long a caller may take to read an answer.
	writeTimeout = 10 * time.Second
)

// NewDeps returns dependencies on which the clock, registry and log are set.
func NewDeps(clock tide.Clock, registry *gauge.Registry, log zerolog.Logger) Deps {
	return Deps{clock: clock, registry: registry, log: log}
}

// WithSender returns a copy with the sender of messages set.
func (d Deps) WithSender(s order.Sender) Deps {
	d.sender = s
	return d
}

// WithDirectory returns a copy with the directory of owners set.
func (d Deps) WithDirectory(dir Directory) Deps {
	d.directory = dir
	return d
}

// WithAdmission returns a copy with the admission rule set.
func (d Deps) WithAdmission(a Admission) Deps {
	d.admission = a
	return d
}

// WithConfig returns a copy with the source of the configuration set; it
// returns nil while there is none.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithBodyLimit sets the sizes of the largest body and header in bytes.
func WithBodyLimit(body int64, header int) Option {
	return func(c *Counter) { c.limits.body, c.limits.header = body, header }
}

// WithMemoryLimit sets how many bytes the bodies of all open submissions may
// have.
func WithMemoryLimit(bytes int64) Option {
	return func(c *Counter) { c.limits.memory = bytes }
}

// WithOpenLimit sets how many calls may be open at once.
func WithOpenLimit(calls int) Option {
	return func(c *Counter) { c.limits.open = calls }
}

// WithTaskLimit sets how many tasks one request may ask for.
func WithTaskLimit(tasks int) Option {
	return func(c *Counter) { c.limits.tasks = tasks }
}

// WithReadTimeouts sets how long reading a header and a body may take, and how
// long a connection may be idle.
func WithReadTimeouts(header, body, idle time.Duration) Option {
	return func(c *Counter) {
		c.limits.headerTimeout, c.limits.readTimeout, c.limits.idleTimeout = header, body, idle
	}
}

// WithDeadlines sets the default and the longest deadline of a request.
func WithDeadlines(byDefault, longest time.Duration) Option {
	return func(c *Counter) { c.limits.defaultDeadline, c.limits.maxDeadline = byDefault, longest }
}

// WithCallTimeouts sets how long a status or cancel call may take, and the
// longest wait for a result.
func WithCallTimeouts(call, wait time.Duration) Option {
	return func(c *Counter) { c.limits.callTimeout, c.limits.maxWait = call, wait }
}

// WithOwnerWait sets how long a submission waits for an owner of its partition
// before it is refused.
func WithOwnerWait(wait time.Duration) Option {
	return func(c *Counter) { c.limits.ownerWait = wait }
}

// WithGrace sets how long after the deadline the gate waits for the
// partition's own answer about it.
func WithGrace(grace time.Duration) Option {
	return func(c *Counter) { c.limits.grace = grace }
}

// WithResend sets the time without acknowledgement before a message is sent
// again.
func WithResend(interval time.Duration) Option {
	return func(c *Counter) { c.limits.resend = interval }
}

// WithTeamRate sets the calls per second of each team and the burst above it.
func WithTeamRate(perSecond float64, burst int) Option {
	return func(c *Counter) { c.limits.rate, c.limits.burst = perSecond, burst }
}

// New returns a counter that accepts calls.
func New(deps Deps, opts ...Option) *Counter {
	c := &Counter{
		deps: deps,
		limits: limits{
			body: defaultBody, header: defaultHeader, memory: defaultMemory, open: defaultOpen, tasks: defaultTasks,
			headerTimeout: defaultHeaderTime, readTimeout: defaultReadTime, idleTimeout: defaultIdleTime,
			defaultDeadline: defaultDeadline, maxDeadline: defaultMax, maxWait: defaultWait,
			callTimeout: defaultCall, ownerWait: defaultOwnerWait, grace: defaultGrace,
			resend: defaultResend, rate: defaultRate, burst: defaultBurst,
		},
		table: newTable(deps.registry),
		quit:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.memory = semaphore.NewWeighted(max(c.limits.memory, c.limits.body))
	c.slots = make(chan struct{}, c.limits.open)
	c.rates = newRates(c.limits.rate, c.limits.burst)
	c.mux = c.routes()
	return c
}

// Handle takes a message from a process. It never blocks.
func (c *Counter) Handle(from order.MemberID, m order.Msg) { c.table.handle(from, m) }

// Run wakes open calls when the owner of their partition changes. It returns
// when the context ends.
func (c *Counter) Run(ctx context.Context) error {
	ticks := c.deps.clock.Subscribe(directoryPoll)
	defer ticks.Close()
	known := make(map[order.PartitionID]order.MemberID)
	for {
		select {
		case <-ticks.C():
			c.wakeMoved(known)
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Counter) wakeMoved(known map[order.PartitionID]order.MemberID) {
	for n := range order.RequestPartitions {
		partition := order.RequestPartitionAt(n)
		owner, _, ok := c.deps.directory.Owner(partition)
		if ok && known[partition] != owner {
			known[partition] = owner
			c.table.wake(partition)
		}
	}
}

// Stopping reports whether Drain was called.
func (c *Counter) Stopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// Drain refuses new calls and waits until the open ones have ended. When the
// context ends, it answers the rest with what is known about them.
func (c *Counter) Drain(ctx context.Context) {
	c.mu.Lock()
	first := !c.stopping
	c.stopping = true
	c.mu.Unlock()
	if !first {
		return
	}
	ended := make(chan struct{})
	go func() {
		c.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		close(c.quit)
		<-ended
	}
}

// begin counts an open call. It reports false once the counter is stopping.
func (c *Counter) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false
	}
	c.open.Add(1)
	return true
}
