package window

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Lease tells how long the member record of this process is certain to
	// exist.
	Lease interface {
		LeaseUntil() time.Time
	}

	// Reports tells what the other members report about the store.
	Reports interface {
		MostLostStore() bool
	}

	// Admission decides whether the gate may accept work. A change of the
	// configuration counts as in force without this gate once the lease of
	// its member record has ended, so a gate without lease accepts nothing,
	// unless most members lost the store as well and nothing can change. A
	// gate that lost its lease, or was paused that long, reads the revision
	// in the store after it has a lease again and accepts work once it has
	// that configuration.
	Admission struct {
		lease    Lease
		reports  Reports
		revision func() order.Revision
		store    depot.Store
		clock    tide.Clock
		log      zerolog.Logger

		mu      sync.Mutex
		seen    time.Time
		lapses  uint64
		checked uint64
		wanted  order.Revision
		waiting bool
	}
)

const (
	rootKey         = "config/root"
	admissionPeriod = 100 * time.Millisecond
	rootCall        = time.Second
)

// NewAdmission returns an admission that accepts nothing before it has a lease
// and the configuration of the store.
func NewAdmission(lease Lease, reports Reports, revision func() order.Revision, store depot.Store, clock tide.Clock, log zerolog.Logger) *Admission {
	return &Admission{
		lease: lease, reports: reports, revision: revision,
		store: store, clock: clock, log: log, lapses: 1,
	}
}

// MayAccept reports whether the gate may accept work now.
func (a *Admission) MayAccept() bool {
	if a.holds() && a.current() {
		return true
	}
	return a.revision() > 0 && a.reports.MostLostStore()
}

// Run checks the configuration after each lapse of the lease until the context
// ends.
func (a *Admission) Run(ctx context.Context) error {
	ticks := a.clock.Subscribe(admissionPeriod)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C():
			a.step(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Admission) step(ctx context.Context) {
	if !a.holds() || a.current() {
		return
	}
	a.mu.Lock()
	lapses, waiting := a.lapses, a.waiting
	a.mu.Unlock()
	if waiting {
		return
	}
	wanted, err := a.storeRevision(ctx)
	if err != nil {
		a.log.Debug().Err(err).Msg("window: configuration not checked")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lapses == lapses {
		a.wanted, a.waiting = wanted, true
	}
}

// holds reports whether the lease holds. A lease whose last known end has
// passed counts as lost in between even if it was renewed since, because this
// process may have been paused past its end.
func (a *Admission) holds() bool {
	now, until := a.clock.Now(), a.lease.LeaseUntil()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.seen.IsZero() && !now.Before(a.seen) {
		a.lapses++
		a.waiting = false
		a.seen = time.Time{}
		a.log.Warn().Msg("window: member lease lost, checking the configuration before accepting work")
	}
	if !now.Before(until) {
		return false
	}
	a.seen = until
	return true
}

// current reports whether the configuration was checked since the last lapse.
func (a *Admission) current() bool {
	revision := a.revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting && revision >= a.wanted {
		a.checked = a.lapses
		a.waiting = false
	}
	return a.checked == a.lapses
}

// storeRevision returns the revision of the configuration in the store.
func (a *Admission) storeRevision(ctx context.Context) (order.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, rootCall)
	defer cancel()
	entry, err := a.store.Get(ctx, rootKey)
	if err != nil || !entry.Exists() {
		return 0, err
	}
	var root struct {
		Revision order.Revision `json:"revision"`
	}
	if err := json.Unmarshal(entry.Value(), &root); err != nil {
		return 0, fmt.Errorf("read configuration root: %w", err)
	}
	return root.Revision, nil
}
