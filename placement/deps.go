// Package placement implements a worker group, which places tasks on the
// workers of one rack, starts them under leases and reports their outcomes
// (design sections 4 and 5). A request partition sends a bid for each task. The
// group offers it capacity on a worker and starts the task once the partition
// has confirmed the offer.
//
// The decisions are in machine, a state machine without I/O; Group passes
// events to it and executes its commands. Start reading at machine.step.
package placement

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/dispatch"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// WorkerClient is the client of one worker. dispatch.Client implements it
	// in production. check is called directly before a request is sent; if it
	// returns an error, nothing is sent.
	WorkerClient interface {
		Start(ctx context.Context, s dispatch.StartRequest, check func() error) (dispatch.Stamp, error)
		Tasks(ctx context.Context, epoch order.Epoch) (dispatch.Listing, error)
		Renew(ctx context.Context, epoch order.Epoch, lease time.Duration, asOf dispatch.Stamp, refs []dispatch.AttemptRef, check func() error) (dispatch.Renewal, error)
		Events(ctx context.Context, after uint64, wait time.Duration) (dispatch.Events, error)
		Ack(ctx context.Context, refs []dispatch.AttemptRef) error
		Stop(ctx context.Context, epoch order.Epoch, ref dispatch.AttemptRef) error
		Checkpoint(ctx context.Context, epoch order.Epoch, ref dispatch.AttemptRef) error
		Usage(ctx context.Context) ([]dispatch.TaskUsage, error)
		Close()
	}

	// Deps holds the dependencies of a group. Create it with NewDeps;
	// WithGuard, WithPoster, WithStore, WithConfig and WithWorkers are
	// required.
	Deps struct {
		clock    timers.Clock
		registry *gauge.Registry
		log      zerolog.Logger
		guard    order.Guard
		poster   order.Poster
		store    storage.Store
		config   func() *sheet.Config
		workers  func() []roster.Worker
		leaving  func(order.WorkerID) bool
		permit   func() bool
		otherUse func(order.TeamName) float64
		client   func(roster.Worker) WorkerClient
		policy   Policy
		bidLimit int
	}
)

// Times of the worker group (design section 9).
const (
	// How long capacity stays reserved for an offer, and for the tasks of a
	// gang.
	offerHold = 500 * time.Millisecond
	gangHold  = time.Second

	// A task runs under a lease that is renewed every renewPeriod. The
	// owner considers the lease expired leaseMargin after its end, the time
	// that a message may be in transit.
	taskLease         = 10 * time.Second
	leaseMargin       = 500 * time.Millisecond
	renewPeriod       = 3 * time.Second
	tickPeriod        = 50 * time.Millisecond
	hostRefreshPeriod = 500 * time.Millisecond
	usagePeriod       = 5 * time.Second
	listRetry         = 500 * time.Millisecond
	pollWait          = 2 * time.Second
	pollRetry         = 200 * time.Millisecond
	startRetry        = 300 * time.Millisecond
	stopRetry         = time.Second
	repostPeriod      = time.Second
	excessPeriod      = time.Second
	bidPeriod         = 500 * time.Millisecond

	// The allotment records are read every allotPeriod, and once more
	// allotReread after the first read. missingAllotDelay is the delay of a
	// read that a waiting team without a record causes.
	allotRetry        = 500 * time.Millisecond
	allotReread       = 2 * time.Second
	missingAllotDelay = time.Second
	allotPeriod       = 30 * time.Second

	// tombstoneTTL is how long an ended attempt is remembered.
	tombstoneTTL = time.Minute

	// listGrace is how long after the end of a lease the task list of a
	// reachable worker may still arrive before the task is reported lost.
	listGrace = 3 * time.Second

	// reserveDelay is how long a bid waits before a worker is kept free for
	// it.
	reserveDelay = 5 * time.Second

	// A start or renewal is sent only if the ownership lasts longer than
	// minGuardTime. The kernel may still deliver it for
	// dispatch.TCPUserTimeout; startMargin is added for the time until it is
	// written.
	startMargin  = 200 * time.Millisecond
	minGuardTime = dispatch.TCPUserTimeout + startMargin

	// maxStampAge is the age of a worker's last clock reading from which it
	// gets no start. The lease counts from that reading, and half of it
	// should remain.
	maxStampAge = taskLease / 2
)

var emptyConfig = sheet.NewConfig(0)

// NewDeps returns dependencies with defaults for everything that is optional.
func NewDeps(clock timers.Clock, registry *gauge.Registry, log zerolog.Logger) Deps {
	return Deps{
		clock:    clock,
		registry: registry,
		log:      log,
		permit:   func() bool { return true },
		otherUse: func(order.TeamName) float64 { return 0 },
		bidLimit: defaultBidLimit,
		client: func(w roster.Worker) WorkerClient {
			return dispatch.NewClient(w.ID(), w.URL())
		},
	}
}

// WithGuard returns a copy with the guard of the group's partition. Its
// Remaining method returns how long this process still owns the group.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the poster that sends messages to request and
// quota partitions.
func (d Deps) WithPoster(poster order.Poster) Deps {
	d.poster = poster
	return d
}

// WithStore returns a copy with the store that holds the allotment records.
func (d Deps) WithStore(store storage.Store) Deps {
	d.store = store
	return d
}

// WithConfig returns a copy with the function that returns the current
// configuration, or nil if none was received yet.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithWorkers returns a copy with the function that returns the host list.
func (d Deps) WithWorkers(workers func() []roster.Worker) Deps {
	d.workers = workers
	return d
}

// WithLeaving returns a copy with a function that reports whether a worker is
// leaving. It is called before each start; by default the host list is
// searched.
func (d Deps) WithLeaving(leaving func(order.WorkerID) bool) Deps {
	d.leaving = leaving
	return d
}

// WithPermit returns a copy with a further condition that all starts require,
// for example that this process is not the only one that lost its connection to
// the store.
func (d Deps) WithPermit(permit func() bool) Deps {
	d.permit = permit
	return d
}

// WithOtherGroupsUse returns a copy with the function that returns the use of a
// team in other groups, as a multiple of this group's size. It affects the
// fair-share order of the waiting bids.
func (d Deps) WithOtherGroupsUse(elsewhere func(order.TeamName) float64) Deps {
	d.otherUse = elsewhere
	return d
}

// WithClient returns a copy with the function that creates the client of a
// worker. The default creates a dispatch.Client.
func (d Deps) WithClient(client func(roster.Worker) WorkerClient) Deps {
	d.client = client
	return d
}

// currentConfig returns the current configuration, or an empty one until the
// first is received. An empty configuration has no teams, so nothing may start.
func (d Deps) currentConfig() *sheet.Config {
	if config := d.config(); config != nil {
		return config
	}
	return emptyConfig
}

// isLeaving reports whether a worker is leaving. A worker that is not in the
// host list counts as leaving.
func (d Deps) isLeaving(id order.WorkerID) bool {
	if d.leaving != nil {
		return d.leaving(id)
	}
	for _, w := range d.workers() {
		if w.ID() == id {
			return w.Leaving()
		}
	}
	return true
}
