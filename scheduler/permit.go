package scheduler

import (
	"fmt"
	"sync/atomic"
	"time"
)

type (
	// permit allows an order to be sent. The scheduler withdraws it when the
	// order is no longer wanted, and the runner uses it before each attempt. It
	// is safe for concurrent use.
	permit struct {
		// expiry is when the permit ends by itself; zero means never.
		expiry time.Time
		state  atomic.Uint32
	}
)

// States of a permit.
const (
	permitUnused uint32 = iota
	permitUsed
	permitWithdrawn
)

// errWithdrawn reports that an order was not sent because its permit had been
// withdrawn or had expired.
var errWithdrawn = fmt.Errorf("%w: withdrawn or expired", ErrNotSent)

// leasePermit returns a permit that expires shortly before a lease that is
// granted now.
func (m *Scheduler) leasePermit(now time.Time) *permit {
	return &permit{expiry: now.Add(m.leaseLength(now) - leaseMargin)}
}

// startPermit returns a permit for a start that is decided now. Beside its lease
// it expires when the last confirmation gets too old to start tasks.
func (m *Scheduler) startPermit(now time.Time) *permit {
	p := m.leasePermit(now)
	if end := now.Add(m.limits.cancelBound - m.ownershipAge(now)); end.Before(p.expiry) {
		p.expiry = end
	}
	return p
}

// use reports whether the order may be sent now.
func (p *permit) use(now time.Time) bool {
	if !p.expiry.IsZero() && !now.Before(p.expiry) {
		return false
	}
	return p.state.CompareAndSwap(permitUnused, permitUsed) || p.state.Load() == permitUsed
}

// withdraw ends the permit. It reports whether that came before the first use,
// so that the order is never sent. A nil permit belongs to no order.
func (p *permit) withdraw() bool {
	if p == nil {
		return false
	}
	if p.state.CompareAndSwap(permitUnused, permitWithdrawn) {
		return true
	}
	p.state.Store(permitWithdrawn)
	return false
}

// unused reports whether the order was neither sent nor withdrawn yet.
func (p *permit) unused() bool { return p != nil && p.state.Load() == permitUnused }
