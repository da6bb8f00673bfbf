// Package berth is a worker group: it places tasks on the workers of one rack,
// starts them under leases and reports their outcomes (design sections 4, 5).
package berth

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/crane"
	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Worker is the client of one worker; crane.Client implements it.
	Worker interface {
		Start(ctx context.Context, s crane.Start, check func() error) (crane.Stamp, error)
		Tasks(ctx context.Context, epoch order.Epoch) (crane.Listing, error)
		Renew(ctx context.Context, epoch order.Epoch, lease time.Duration, asOf crane.Stamp, refs []crane.Ref, check func() error) (crane.Renewal, error)
		Events(ctx context.Context, after uint64, wait time.Duration) (crane.Events, error)
		Ack(ctx context.Context, refs []crane.Ref) error
		Stop(ctx context.Context, epoch order.Epoch, ref crane.Ref) error
		Checkpoint(ctx context.Context, epoch order.Epoch, ref crane.Ref) error
		Usage(ctx context.Context) ([]crane.Use, error)
		Close()
	}

	// Deps holds what a group needs from its process.
	Deps struct {
		clock     tide.Clock
		registry  *gauge.Registry
		log       zerolog.Logger
		guard     order.Guard
		poster    order.Poster
		store     depot.Store
		config    func() *sheet.Config
		workers   func() []roster.Worker
		leaving   func(order.WorkerID) bool
		permit    func() bool
		elsewhere func(order.TeamName) float64
		client    func(roster.Worker) Worker
		policy    Policy
		bidLimit  int
	}
)

// Times of the worker group (design section 9).
const (
	offerHold      = 500 * time.Millisecond
	gangHold       = time.Second
	taskLease      = 10 * time.Second
	leaseMargin    = 500 * time.Millisecond
	renewPeriod    = 3 * time.Second
	tickPeriod     = 50 * time.Millisecond
	hostPeriod     = 500 * time.Millisecond
	usagePeriod    = 5 * time.Second
	listRetry      = 500 * time.Millisecond
	pollWait       = 2 * time.Second
	pollRetry      = 200 * time.Millisecond
	startRetry     = 300 * time.Millisecond
	stopRetry      = time.Second
	repostPeriod   = time.Second
	excessPeriod   = time.Second
	bidPeriod      = 500 * time.Millisecond
	allotRetry     = 500 * time.Millisecond
	allotReread    = 2 * time.Second
	allotWanted    = time.Second
	allotPeriod    = 30 * time.Second
	settledPeriod  = time.Minute
	listPatience   = 3 * time.Second
	savePatience   = 5 * time.Second
	startMargin    = 200 * time.Millisecond
	writeThreshold = crane.UserTimeout + startMargin

	// A worker whose last clock reading is older gets no start: the lease
	// counts from the reading, and half of it should remain.
	stampLife = taskLease / 2
)

var emptyConfig = sheet.NewConfig(0)

// NewDeps returns the required dependencies of a group.
func NewDeps(clock tide.Clock, registry *gauge.Registry, log zerolog.Logger) Deps {
	return Deps{
		clock:     clock,
		registry:  registry,
		log:       log,
		permit:    func() bool { return true },
		elsewhere: func(order.TeamName) float64 { return 0 },
		bidLimit:  defaultBidLimit,
		client: func(w roster.Worker) Worker {
			return crane.NewClient(w.ID(), w.URL())
		},
	}
}

// WithGuard returns a copy with the guard of the group's partition.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the way to request and quota partitions.
func (d Deps) WithPoster(poster order.Poster) Deps {
	d.poster = poster
	return d
}

// WithStore returns a copy with the store that holds the allotment records.
func (d Deps) WithStore(store depot.Store) Deps {
	d.store = store
	return d
}

// WithConfig returns a copy with the current configuration.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithWorkers returns a copy with the host list.
func (d Deps) WithWorkers(workers func() []roster.Worker) Deps {
	d.workers = workers
	return d
}

// WithLeaving returns a copy with a direct look-up of leaving workers, which
// is asked before each start; by default the host list is searched.
func (d Deps) WithLeaving(leaving func(order.WorkerID) bool) Deps {
	d.leaving = leaving
	return d
}

// WithPermit returns a copy with a further condition of all starts, for
// example that the process has not alone lost the store.
func (d Deps) WithPermit(permit func() bool) Deps {
	d.permit = permit
	return d
}

// WithElsewhere returns a copy with the use of a team in other groups, as a
// multiple of this group's size. It orders the waiting bids.
func (d Deps) WithElsewhere(elsewhere func(order.TeamName) float64) Deps {
	d.elsewhere = elsewhere
	return d
}

// WithClient returns a copy with another client of workers.
func (d Deps) WithClient(client func(roster.Worker) Worker) Deps {
	d.client = client
	return d
}

// Returns the configuration. Before the first one is known it has no teams,
// so that nothing may start.
func (d Deps) current() *sheet.Config {
	if config := d.config(); config != nil {
		return config
	}
	return emptyConfig
}

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
