package queue

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// Observation is a snapshot of the groups, placers and configuration that
	// the process has received.
	Observation struct {
		groups  []order.GroupID
		digests []order.GroupDigest
		placers []order.MemberID
		config  *sheet.Config
		owned   func(order.GroupID) bool
	}

	// view is the Machine's copy of the last observation. Groups are sorted by
	// ID in list.
	view struct {
		groups map[order.GroupID]*groupView
		list   []*groupView
		// listed are the groups on the host list, and ownerless those without
		// an owner, with the time since.
		listed    map[order.GroupID]bool
		placers   []order.MemberID
		ownerless map[order.GroupID]time.Time
		// digestsComplete is set if there is a digest of every listed group.
		digestsComplete bool
		teams           map[order.TeamName]teamView
	}

	// teamView caches which workers a team may use: whether one of its failure
	// domains is open, and the sizes of the largest workers.
	teamView struct {
		hasOpenDomain  bool
		largestWorkers []order.Resources
	}

	groupView struct {
		digest order.GroupDigest
		// fresh is set if the last observation had a digest of the group.
		fresh bool
		// newBids counts the bids sent to the group since its digest arrived.
		// They are subtracted from its free slots.
		newBids int
	}
)

// ownerlessTimeout is the longest task lease plus the transport margin. A group
// that had no owner for so long runs no tasks.
const ownerlessTimeout = 10*time.Second + 500*time.Millisecond

// NewObservation returns an observation without groups or configuration.
func NewObservation() Observation { return Observation{} }

// WithGroups returns a copy with the groups on the host list.
func (o Observation) WithGroups(groups []order.GroupID) Observation {
	o.groups = groups
	return o
}

// WithDigests returns a copy with the latest digests of the groups.
func (o Observation) WithDigests(digests []order.GroupDigest) Observation {
	o.digests = digests
	return o
}

// WithPlacers returns a copy with the placers that are running.
func (o Observation) WithPlacers(placers []order.MemberID) Observation {
	o.placers = placers
	return o
}

// WithConfig returns a copy with the configuration, or nil before one has
// arrived.
func (o Observation) WithConfig(config *sheet.Config) Observation {
	o.config = config
	return o
}

// WithOwned returns a copy with a function that reports whether the group has a
// known owner. Without one, no group counts as lost.
func (o Observation) WithOwned(owned func(order.GroupID) bool) Observation {
	o.owned = owned
	return o
}

// Observe updates the view, handles groups that were lost or have a new owner,
// and continues a recovery. Call it at the period of the digests.
func (m *Machine) Observe(now time.Time, o Observation) []Command {
	m.beginStep(now)
	if m.stopped {
		return nil
	}
	m.config = o.config
	moved := m.view.update(o)
	for _, group := range m.view.lostGroups(now, o) {
		m.markGroupLost(group)
	}
	if len(moved) > 0 {
		m.renewMovedBids(moved)
	}
	m.probeMovedGroups()
	m.requestInventory()
	m.checkRecovery()
	m.backlog.changed = true
	return m.finishStep()
}

func newView() view {
	return view{
		groups:    make(map[order.GroupID]*groupView),
		listed:    make(map[order.GroupID]bool),
		ownerless: make(map[order.GroupID]time.Time),
		teams:     make(map[order.TeamName]teamView),
	}
}

// update replaces the digests and returns the groups with a new owner. It keeps
// the last digest of a group on the host list, whose largest worker still
// counts in checkFit.
func (v *view) update(o Observation) map[order.GroupID]bool {
	v.placers = o.placers
	clear(v.listed)
	for _, group := range o.groups {
		v.listed[group] = true
	}
	for _, g := range v.groups {
		g.fresh = false
	}
	moved := make(map[order.GroupID]bool)
	for _, digest := range o.digests {
		g, ok := v.groups[digest.Group()]
		if !ok {
			g = &groupView{}
			v.groups[digest.Group()] = g
		}
		if ok && g.digest.Epoch() != digest.Epoch() {
			moved[digest.Group()] = true
		}
		*g = groupView{digest: digest, fresh: true}
	}
	v.rebuild()
	v.digestsComplete = v.hasAllDigests()
	clear(v.teams)
	return moved
}

func (v *view) rebuild() {
	v.list = v.list[:0]
	for id, g := range v.groups {
		if !g.fresh && !v.listed[id] {
			delete(v.groups, id)
			continue
		}
		v.list = append(v.list, g)
	}
	sort.Slice(v.list, func(i, j int) bool { return v.list[i].digest.Group() < v.list[j].digest.Group() })
}

// lostGroups returns the groups that had no owner for ownerlessTimeout.
func (v *view) lostGroups(now time.Time, o Observation) []order.GroupID {
	if o.owned == nil {
		return nil
	}
	for id := range v.listed {
		v.trackOwner(now, id, o.owned(id))
	}
	for id := range v.ownerless {
		v.trackOwner(now, id, o.owned(id))
	}
	var lost []order.GroupID
	for id, since := range v.ownerless {
		if now.Sub(since) >= ownerlessTimeout {
			lost = append(lost, id)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	return lost
}

func (v *view) trackOwner(now time.Time, id order.GroupID, owned bool) {
	_, missing := v.ownerless[id]
	switch {
	case owned:
		delete(v.ownerless, id)
	case !missing:
		v.ownerless[id] = now
	}
}

// epoch returns the epoch in the group's last digest, or zero.
func (v *view) epoch(id order.GroupID) order.Epoch {
	if g, ok := v.groups[id]; ok {
		return g.digest.Epoch()
	}
	return 0
}

// leasesExpired reports whether the group had no owner for so long that the
// leases of its tasks have expired.
func (v *view) leasesExpired(now time.Time, id order.GroupID) bool {
	since, ok := v.ownerless[id]
	return ok && now.Sub(since) >= ownerlessTimeout
}

// hasAllDigests reports whether there is a digest of every listed group.
func (v *view) hasAllDigests() bool {
	for id := range v.listed {
		if _, ok := v.groups[id]; !ok {
			return false
		}
	}
	return len(v.listed) > 0
}

// checkFit returns the code to refuse a request with that fits into no worker,
// or Done. Without the configuration and all digests it returns Done.
func (v *view) checkFit(config *sheet.Config, r order.Request) order.Code {
	if config == nil || !v.digestsComplete {
		return order.Done
	}
	team, ok := config.Team(r.Team())
	if !ok {
		return order.Done
	}
	usable := v.team(config, team)
	for _, largest := range usable.largestWorkers {
		if !fits(r.Size(), largest) {
			continue
		}
		if !usable.hasOpenDomain {
			return order.NoDomain
		}
		return order.Done
	}
	return order.TooLarge
}

// team returns the view of the team, which is cached until the next digests.
func (v *view) team(config *sheet.Config, team sheet.Team) teamView {
	if usable, ok := v.teams[team.Name()]; ok {
		return usable
	}
	var usable teamView
	for _, g := range v.list {
		domain := g.digest.Domain()
		if !team.MayUse(domain) {
			continue
		}
		usable.hasOpenDomain = usable.hasOpenDomain || config.DomainOpen(domain)
		if !slices.Contains(usable.largestWorkers, g.digest.Largest()) {
			usable.largestWorkers = append(usable.largestWorkers, g.digest.Largest())
		}
	}
	v.teams[team.Name()] = usable
	return usable
}

func fits(size, available order.Resources) bool {
	return size.Cores() <= available.Cores() &&
		size.Memory() <= available.Memory() &&
		size.Accelerators() <= available.Accelerators()
}
