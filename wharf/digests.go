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

		mu      sync.RWMutex
		groups  map[order.GroupID]datedDigest
		running map[order.TeamName]int
	}

	datedDigest struct {
		digest  order.GroupDigest
		arrived time.Time
	}
)

// NewDigests returns an empty collection.
func NewDigests(clock tide.Clock) *Digests {
	return &Digests{clock: clock, groups: make(map[order.GroupID]datedDigest), running: make(map[order.TeamName]int)}
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
		d.count(known.digest, -1)
		d.count(digest, 1)
		d.groups[digest.Group()] = datedDigest{digest: digest, arrived: now}
	}
}

// count adds the running tasks of a digest to the sums per team, with the sign.
func (d *Digests) count(digest order.GroupDigest, sign int) {
	for team, running := range digest.Running() {
		d.running[team] += sign * running
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

// Elsewhere returns the running tasks of a team in all other groups, as a
// multiple of the slots of the given group.
func (d *Digests) Elsewhere(group order.GroupID, team order.TeamName) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	own, ok := d.groups[group]
	if !ok || own.digest.Slots() == 0 {
		return 0
	}
	running := d.running[team] - own.digest.Running()[team]
	return float64(running) / float64(own.digest.Slots())
}
