// Package frontend is the HTTP API for callers, which runs in the gate process.
// It checks keys and rate limits, sends each request to the process that owns
// the request's partition, resends it until that process answers, and writes
// the answer. Start with Handler; exchange.go holds the resend logic.
package frontend

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
	"chervilhollow/timers"
)

type (
	// Directory returns the process that owns a partition and the epoch of its
	// ownership. The bool is false while no owner is known.
	Directory interface {
		Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool)
	}

	// Admission reports whether the process may accept work. It may not while
	// its configuration may be too old to show that a key was withdrawn.
	Admission interface {
		MayAccept() bool
	}

	// Option changes one setting in New.
	Option func(*Handler)

	// Deps holds the dependencies of a Handler. NewDeps and the With methods
	// set them; New needs all of them.
	Deps struct {
		sender    order.Sender
		directory Directory
		admission Admission
		config    func() *sheet.Config
		clock     timers.Clock
		registry  *gauge.Registry
		log       zerolog.Logger
	}

	// Handler serves the HTTP calls of callers. Its methods may be called
	// concurrently.
	Handler struct {
		deps      Deps
		limits    limits
		mux       *http.ServeMux
		exchanges *exchangeTable
		limiter   *rateLimiter
		callSlots chan struct{}
		memory    *semaphore.Weighted
		quit      chan struct{}

		mu        sync.Mutex
		stopping  bool
		openCalls sync.WaitGroup
	}

	// limits holds the settings of a Handler. Sizes are in bytes; open is the
	// number of calls that may be open at once, tasks the number per request.
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
		teamRate        float64
		teamBurst       int
	}
)

// Defaults of the options. Sizes are in bytes, the rate is in calls per second.
const (
	defaultBody          = 1 << 20
	defaultHeader        = 16 << 10
	defaultMemory        = 128 << 20
	defaultOpen          = 16384
	defaultTasks         = 4096
	defaultHeaderTimeout = 2 * time.Second
	defaultReadTimeout   = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultDeadline      = time.Minute
	defaultMaxDeadline   = 24 * time.Hour
	defaultMaxWait       = time.Minute
	defaultCallTimeout   = 5 * time.Second
	defaultOwnerWait     = 10 * time.Second
	defaultGrace         = 500 * time.Millisecond
	defaultResend        = 250 * time.Millisecond
	defaultTeamRate      = 2000
	defaultTeamBurst     = 4000

	// directoryPollInterval is how often Run compares the owners of all request
	// partitions with those of the previous poll.
	directoryPollInterval = 100 * time.Millisecond

	// writeTimeout limits how long a caller may take to read an answer.
	writeTimeout = 10 * time.Second
)

// NewDeps returns dependencies without a sender, directory, admission and
// configuration; the With methods add them.
func NewDeps(clock timers.Clock, registry *gauge.Registry, log zerolog.Logger) Deps {
	return Deps{clock: clock, registry: registry, log: log}
}

// WithSender returns a copy with the sender of messages to partition owners.
func (d Deps) WithSender(s order.Sender) Deps {
	d.sender = s
	return d
}

// WithDirectory returns a copy with the directory of partition owners.
func (d Deps) WithDirectory(dir Directory) Deps {
	d.directory = dir
	return d
}

// WithAdmission returns a copy with the rule that is checked before each call.
func (d Deps) WithAdmission(a Admission) Deps {
	d.admission = a
	return d
}

// WithConfig returns a copy with the function that returns the current
// configuration, or nil while there is none.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithBodyLimit sets the largest sizes of a body and a header, in bytes.
func WithBodyLimit(body int64, header int) Option {
	return func(h *Handler) { h.limits.body, h.limits.header = body, header }
}

// WithMemoryLimit sets how many bytes the bodies of all open submissions may
// have together.
func WithMemoryLimit(bytes int64) Option {
	return func(h *Handler) { h.limits.memory = bytes }
}

// WithOpenLimit sets how many calls may be open at once.
func WithOpenLimit(calls int) Option {
	return func(h *Handler) { h.limits.open = calls }
}

// WithTaskLimit sets how many tasks one request may have.
func WithTaskLimit(tasks int) Option {
	return func(h *Handler) { h.limits.tasks = tasks }
}

// WithReadTimeouts sets how long reading a header and a body may take, and how
// long a connection may be idle.
func WithReadTimeouts(header, body, idle time.Duration) Option {
	return func(h *Handler) {
		h.limits.headerTimeout, h.limits.readTimeout, h.limits.idleTimeout = header, body, idle
	}
}

// WithDeadlines sets the default and the longest deadline of a request.
func WithDeadlines(byDefault, longest time.Duration) Option {
	return func(h *Handler) { h.limits.defaultDeadline, h.limits.maxDeadline = byDefault, longest }
}

// WithCallTimeouts sets how long a status or cancel call may take, and the
// longest wait for a result.
func WithCallTimeouts(call, wait time.Duration) Option {
	return func(h *Handler) { h.limits.callTimeout, h.limits.maxWait = call, wait }
}

// WithOwnerWait sets how long a submission waits until its partition has an
// owner. After that it is refused with order.NoOwner.
func WithOwnerWait(wait time.Duration) Option {
	return func(h *Handler) { h.limits.ownerWait = wait }
}

// WithGrace sets how long a submission waits after its deadline for the
// partition's owner to report that the deadline passed.
func WithGrace(grace time.Duration) Option {
	return func(h *Handler) { h.limits.grace = grace }
}

// WithResend sets how long a message stays unacknowledged before it is first
// resent.
func WithResend(interval time.Duration) Option {
	return func(h *Handler) { h.limits.resend = interval }
}

// WithTeamRate sets the rate limit of each team, in calls per second, and the
// largest burst.
func WithTeamRate(perSecond float64, burst int) Option {
	return func(h *Handler) { h.limits.teamRate, h.limits.teamBurst = perSecond, burst }
}

// New returns a Handler with the default limits, changed by the options. It
// accepts calls at once; Run must also run for it.
func New(deps Deps, opts ...Option) *Handler {
	h := &Handler{
		deps: deps,
		limits: limits{
			body: defaultBody, header: defaultHeader, memory: defaultMemory, open: defaultOpen, tasks: defaultTasks,
			headerTimeout: defaultHeaderTimeout, readTimeout: defaultReadTimeout, idleTimeout: defaultIdleTimeout,
			defaultDeadline: defaultDeadline, maxDeadline: defaultMaxDeadline, maxWait: defaultMaxWait,
			callTimeout: defaultCallTimeout, ownerWait: defaultOwnerWait, grace: defaultGrace,
			resend: defaultResend, teamRate: defaultTeamRate, teamBurst: defaultTeamBurst,
		},
		exchanges: newExchangeTable(deps.registry),
		quit:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.memory = semaphore.NewWeighted(max(h.limits.memory, h.limits.body))
	h.callSlots = make(chan struct{}, h.limits.open)
	h.limiter = newRateLimiter(h.limits.teamRate, h.limits.teamBurst)
	h.mux = h.routes()
	return h
}

// Handle processes a message from another process. It never blocks: a message
// for which there is no room or no open call is dropped and counted.
func (h *Handler) Handle(from order.MemberID, m order.Msg) { h.exchanges.handle(from, m) }

// Run checks the directory at an interval and makes open calls resend when the
// owner of their partition changes. It returns nil when the context ends.
func (h *Handler) Run(ctx context.Context) error {
	ticks := h.deps.clock.Subscribe(directoryPollInterval)
	defer ticks.Close()
	lastOwners := make(map[order.PartitionID]order.MemberID)
	for {
		select {
		case <-ticks.C():
			h.notifyOwnerChanges(lastOwners)
		case <-ctx.Done():
			return nil
		}
	}
}

// notifyOwnerChanges notifies the exchanges of each partition whose owner is
// not the one in lastOwners, which it updates.
func (h *Handler) notifyOwnerChanges(lastOwners map[order.PartitionID]order.MemberID) {
	for n := range order.RequestPartitions {
		partition := order.RequestPartitionAt(n)
		owner, _, ok := h.deps.directory.Owner(partition)
		if ok && lastOwners[partition] != owner {
			lastOwners[partition] = owner
			h.exchanges.notifyOwnerChange(partition)
		}
	}
}

// Stopping reports whether Drain was called.
func (h *Handler) Stopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// Drain refuses new calls and waits until the open ones have ended. When the
// context ends, it answers the remaining calls with their last known state and
// returns when these answers are written. Only the first call has an effect.
func (h *Handler) Drain(ctx context.Context) {
	h.mu.Lock()
	first := !h.stopping
	h.stopping = true
	h.mu.Unlock()
	if !first {
		return
	}
	ended := make(chan struct{})
	go func() {
		h.openCalls.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		close(h.quit)
		<-ended
	}
}

// beginCall adds a call to the open ones. It reports false, and adds none, once
// Drain was called.
func (h *Handler) beginCall() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return false
	}
	h.openCalls.Add(1)
	return true
}
