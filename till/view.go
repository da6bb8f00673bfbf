package till

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// Observation is what the process knows about the cell.
	Observation struct {
		groups  []order.GroupID
		digests []order.GroupDigest
		placers []order.MemberID
		config  *sheet.Config
		owned   func(order.GroupID) bool
	}

	// view holds the groups that bids may go to.
	view struct {
		groups    map[order.GroupID]*groupView
		list      []*groupView
		known     map[order.GroupID]bool
		placers   []order.MemberID
		ownerless map[order.GroupID]time.Time
		// whole tells that a digest of every known group has arrived.
		whole bool
		teams map[order.TeamName]teamView
	}

	// teamView is what a team may use of the cell.
	teamView struct {
		open    bool
		largest []order.Resources
	}

	groupView struct {
		digest order.GroupDigest
		// fresh tells that the digest arrived lately.
		fresh bool
		// bids counts the bids sent since the digest arrived.
		bids int
	}
)

// emptyAfter is the longest task lease and the transport margin. A group that
// had no owner for so long runs no task any more.
const emptyAfter = 10*time.Second + 500*time.Millisecond

// NewObservation returns an empty observation.
func NewObservation() Observation { return Observation{} }

// WithGroups returns a copy with the groups that the host list shows.
func (o Observation) WithGroups(groups []order.GroupID) Observation {
	o.groups = groups
	return o
}

// WithDigests returns a copy with the current digests.
func (o Observation) WithDigests(digests []order.GroupDigest) Observation {
	o.digests = digests
	return o
}

// WithPlacers returns a copy with the live placers.
func (o Observation) WithPlacers(placers []order.MemberID) Observation {
	o.placers = placers
	return o
}

// WithConfig returns a copy with the configuration.
func (o Observation) WithConfig(config *sheet.Config) Observation {
	o.config = config
	return o
}

// WithOwned returns a copy with the function that tells whether a group has a
// known owner.
func (o Observation) WithOwned(owned func(order.GroupID) bool) Observation {
	o.owned = owned
	return o
}

// Observe takes what the process knows about the cell. It is called at the
// period of the digests.
func (m *Machine) Observe(now time.Time, o Observation) []Command {
	m.begin(now)
	if m.stopped {
		return nil
	}
	m.config = o.config
	moved := m.view.update(o)
	for _, group := range m.view.lost(now, o) {
		m.loseGroup(group)
	}
	if len(moved) > 0 {
		m.repeatBids(moved)
	}
	m.probe()
	m.askInventory()
	m.checkInventory()
	m.backlog.dirty = true
	return m.finishStep()
}

func newView() view {
	return view{
		groups:    make(map[order.GroupID]*groupView),
		known:     make(map[order.GroupID]bool),
		ownerless: make(map[order.GroupID]time.Time),
		teams:     make(map[order.TeamName]teamView),
	}
}

// update replaces the digests. It returns the groups whose owner changed. The
// last digest of a group that the host list still shows is kept, for the size
// of its largest worker.
func (v *view) update(o Observation) map[order.GroupID]bool {
	v.placers = o.placers
	clear(v.known)
	for _, group := range o.groups {
		v.known[group] = true
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
	v.whole = v.complete()
	clear(v.teams)
	return moved
}

func (v *view) rebuild() {
	v.list = v.list[:0]
	for id, g := range v.groups {
		if !g.fresh && !v.known[id] {
			delete(v.groups, id)
			continue
		}
		v.list = append(v.list, g)
	}
	sort.Slice(v.list, func(i, j int) bool { return v.list[i].digest.Group() < v.list[j].digest.Group() })
}

// lost returns the groups that had no owner for the length of a task lease.
func (v *view) lost(now time.Time, o Observation) []order.GroupID {
	if o.owned == nil {
		return nil
	}
	for id := range v.known {
		v.watch(now, id, o.owned(id))
	}
	for id := range v.ownerless {
		v.watch(now, id, o.owned(id))
	}
	var lost []order.GroupID
	for id, since := range v.ownerless {
		if now.Sub(since) >= emptyAfter {
			lost = append(lost, id)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	return lost
}

func (v *view) watch(now time.Time, id order.GroupID, owned bool) {
	_, missing := v.ownerless[id]
	switch {
	case owned:
		delete(v.ownerless, id)
	case !missing:
		v.ownerless[id] = now
	}
}

// epoch returns the epoch of the group's last digest, or zero.
func (v *view) epoch(id order.GroupID) order.Epoch {
	if g, ok := v.groups[id]; ok {
		return g.digest.Epoch()
	}
	return 0
}

// empty reports whether the group certainly runs nothing.
func (v *view) empty(now time.Time, id order.GroupID) bool {
	since, ok := v.ownerless[id]
	return ok && now.Sub(since) >= emptyAfter
}

// complete reports whether a digest of every known group has arrived.
func (v *view) complete() bool {
	for id := range v.known {
		if _, ok := v.groups[id]; !ok {
			return false
		}
	}
	return len(v.known) > 0
}

// refusal returns why no group could ever hold the request, or Done.
func (v *view) refusal(config *sheet.Config, r order.Request) order.Code {
	if config == nil || !v.whole {
		return order.Done
	}
	team, ok := config.Team(r.Team())
	if !ok {
		return order.Done
	}
	seen := v.team(config, team)
	for _, largest := range seen.largest {
		if !fitsIn(r.Size(), largest) {
			continue
		}
		if !seen.open {
			return order.NoDomain
		}
		return order.Done
	}
	return order.TooLarge
}

// team returns what the team may use. It is kept until the next digests.
func (v *view) team(config *sheet.Config, team sheet.Team) teamView {
	if seen, ok := v.teams[team.Name()]; ok {
		return seen
	}
	var seen teamView
	for _, g := range v.list {
		domain := g.digest.Domain()
		if !team.MayUse(domain) {
			continue
		}
		seen.open = seen.open || config.DomainOpen(domain)
		if !slices.Contains(seen.largest, g.digest.Largest()) {
			seen.largest = append(seen.largest, g.digest.Largest())
		}
	}
	v.teams[team.Name()] = seen
	return seen
}

func fitsIn(size, room order.Resources) bool {
	return size.Cores() <= room.Cores() &&
		size.Memory() <= room.Memory() &&
		size.Accelerators() <= room.Accelerators()
}
