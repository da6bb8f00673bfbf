package wharf

import (
	"sync"
	"time"

	"chervilhollow/order"
	"chervilhollow/tide"
)

// digestRetention is how long a digest counts after it arrived. It covers
// several missed sends at one every 500 ms.
const digestRetention = 5 * time.Second

type (
	// Digests keeps the newest digest of each worker group.
	Digests struct {
		clock tide.Clock

		mu     sync.RWMutex
		groups map[order.GroupID]datedDigest
	}

	datedDigest struct {
		digest  order.GroupDigest
		arrived time.Time
	}
)

// NewDigests returns an empty collection.
func NewDigests(clock tide.Clock) *Digests {
	return &Digests{clock: clock, groups: make(map[order.GroupID]datedDigest)}
}

// Store keeps the digests of a message, but for those of an older epoch than
// one that is kept already.
func (d *Digests) Store(m order.DigestMsg) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, digest := range m.Groups() {
		known, ok := d.groups[digest.Group()]
		if ok && known.digest.Epoch() > digest.Epoch() {
			continue
		}
		d.groups[digest.Group()] = datedDigest{digest: digest, arrived: now}
	}
}

// Current returns the digests that arrived within the retention period.
func (d *Digests) Current() []order.GroupDigest {
	oldest := d.clock.Now().Add(-digestRetention)
	d.mu.RLock()
	defer d.mu.RUnlock()
	current := make([]order.GroupDigest, 0, len(d.groups))
	for _, dated := range d.groups {
		if dated.arrived.After(oldest) {
			current = append(current, dated.digest)
		}
	}
	return current
}
