package placer

import (
	"sync"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

// digestTTL is how long a received digest is valid. It covers several lost
// messages at one every 500 ms.
const digestTTL = 5 * time.Second

type (
	// Digests caches the newest load summary (digest) of each worker group,
	// as received from the placers that own them. It is safe for concurrent
	// use.
	Digests struct {
		clock timers.Clock

		mu            sync.RWMutex
		groups        map[order.GroupID]receivedDigest
		runningByTeam map[order.TeamName]int
	}

	receivedDigest struct {
		digest     order.GroupDigest
		receivedAt time.Time
	}
)

// NewDigests returns an empty cache. The clock decides when digests expire.
func NewDigests(clock timers.Clock) *Digests {
	return &Digests{clock: clock, groups: make(map[order.GroupID]receivedDigest), runningByTeam: make(map[order.TeamName]int)}
}

// Store replaces the cached digests of the groups in the message. A digest of
// an older epoch than the cached one comes from a former owner and is ignored.
func (d *Digests) Store(m order.DigestMsg) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, digest := range m.Groups() {
		previous, ok := d.groups[digest.Group()]
		if ok && previous.digest.Epoch() > digest.Epoch() {
			continue
		}
		d.addRunning(previous.digest, -1)
		d.addRunning(digest, 1)
		d.groups[digest.Group()] = receivedDigest{digest: digest, receivedAt: now}
	}
}

// addRunning adds the running tasks of a digest to the totals per team, or
// subtracts them if sign is -1.
func (d *Digests) addRunning(digest order.GroupDigest, sign int) {
	for team, running := range digest.Running() {
		d.runningByTeam[team] += sign * running
	}
}

// Current returns the digests that have not expired, in no particular order.
func (d *Digests) Current() []order.GroupDigest {
	oldest := d.clock.Now().Add(-digestTTL)
	d.mu.RLock()
	defer d.mu.RUnlock()
	current := make([]order.GroupDigest, 0, len(d.groups))
	for _, entry := range d.groups {
		if entry.receivedAt.After(oldest) {
			current = append(current, entry.digest)
		}
	}
	return current
}

// OtherGroupsUse returns the number of running tasks of a team in all other
// groups, divided by the number of slots of the given group. It returns 0 as
// long as the group has no digest. Expired digests still count.
func (d *Digests) OtherGroupsUse(group order.GroupID, team order.TeamName) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	own, ok := d.groups[group]
	if !ok || own.digest.Slots() == 0 {
		return 0
	}
	running := d.runningByTeam[team] - own.digest.Running()[team]
	return float64(running) / float64(own.digest.Slots())
}
