package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// MemberLease returns the time until which the lease of this process's
	// member record is guaranteed to be valid. roster.Membership implements it.
	MemberLease interface {
		LeaseEnd() time.Time
	}

	// StoreReports reports whether most other members cannot reach the store.
	// roster.StateExchange implements it.
	StoreReports interface {
		MajorityLostStore() bool
	}

	// Admission decides whether the gate may accept requests. A change of the
	// configuration takes effect without waiting for gates whose lease has
	// expired, so a gate without a lease accepts nothing. The exception is an
	// outage of the store for most members, in which the configuration cannot
	// change. A gate whose lease expired, also while the process was paused,
	// accepts requests again once it has a new lease and at least the
	// configuration revision that it then reads from the store.
	Admission struct {
		lease    MemberLease
		reports  StoreReports
		revision func() order.Revision
		store    storage.Store
		clock    timers.Clock
		log      zerolog.Logger

		mu               sync.Mutex
		leaseEnd         time.Time
		leaseExpiries    uint64
		checkedExpiry    uint64
		requiredRevision order.Revision
		awaitingRevision bool
	}
)

const (
	configRootKey   = "config/root"
	checkInterval   = 100 * time.Millisecond
	rootReadTimeout = time.Second
)

// NewAdmission returns an Admission that accepts nothing before the process has
// a lease and the configuration in the store.
func NewAdmission(lease MemberLease, reports StoreReports, revision func() order.Revision, store storage.Store, clock timers.Clock, log zerolog.Logger) *Admission {
	return &Admission{
		lease: lease, reports: reports, revision: revision,
		store: store, clock: clock, log: log, leaseExpiries: 1,
	}
}

// MayAccept reports whether the gate may accept a request now. It is safe for
// concurrent use.
func (a *Admission) MayAccept() bool {
	if a.leaseValid() && a.configChecked() {
		return true
	}
	return a.revision() > 0 && a.reports.MajorityLostStore()
}

// Run checks the configuration after each expiry of the lease until the context
// ends.
func (a *Admission) Run(ctx context.Context) error {
	ticks := a.clock.Subscribe(checkInterval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C():
			a.check(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// check reads the required revision from the store if the lease is valid again
// and none is awaited yet. The result is discarded if the lease expired again
// in the meantime.
func (a *Admission) check(ctx context.Context) {
	if !a.leaseValid() || a.configChecked() {
		return
	}
	a.mu.Lock()
	leaseExpiries, awaiting := a.leaseExpiries, a.awaitingRevision
	a.mu.Unlock()
	if awaiting {
		return
	}
	revision, err := a.storeRevision(ctx)
	if err != nil {
		a.log.Debug().Err(err).Msg("window: configuration not checked")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaseExpiries == leaseExpiries {
		a.requiredRevision, a.awaitingRevision = revision, true
	}
}

// leaseValid reports whether the lease is valid. If its last known end has
// passed, it counts as expired in between even if it was renewed since, because
// this process may have been paused beyond that end.
func (a *Admission) leaseValid() bool {
	now, until := a.clock.Now(), a.lease.LeaseEnd()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaseEnd.IsZero() && !now.Before(a.leaseEnd) {
		a.leaseExpiries++
		a.awaitingRevision = false
		a.leaseEnd = time.Time{}
		a.log.Warn().Msg("window: member lease expired; checking the configuration before accepting requests")
	}
	if !now.Before(until) {
		return false
	}
	a.leaseEnd = until
	return true
}

// configChecked reports whether this process has had the required revision of
// the configuration since the last expiry of the lease.
func (a *Admission) configChecked() bool {
	revision := a.revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaitingRevision && revision >= a.requiredRevision {
		a.checkedExpiry = a.leaseExpiries
		a.awaitingRevision = false
	}
	return a.checkedExpiry == a.leaseExpiries
}

// storeRevision reads the revision of the configuration in the store. It
// returns 0 if there is no configuration.
func (a *Admission) storeRevision(ctx context.Context) (order.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, rootReadTimeout)
	defer cancel()
	entry, err := a.store.Get(ctx, configRootKey)
	if err != nil || !entry.Exists() {
		return 0, err
	}
	var root struct {
		Revision order.Revision `json:"revision"`
	}
	if err := json.Unmarshal(entry.Value(), &root); err != nil {
		return 0, fmt.Errorf("decode configuration root: %w", err)
	}
	return root.Revision, nil
}
