package quota

import (
	"sort"

	"chervilhollow/order"
)

// observeGroups updates the groups from an observation. Uses that groups
// reported earlier are replaced by the digests.
func (m *Machine) observeGroups(o Observation) {
	for _, g := range m.groups {
		g.listed = false
		g.fresh = false
	}
	for _, id := range o.groups {
		m.groupOf(id).listed = true
	}
	for _, digest := range o.digests {
		g := m.groupOf(digest.Group())
		if g.hasDigest && g.digest.Epoch() != digest.Epoch() {
			m.resendToNewOwner(digest.Group())
		}
		g.digest = digest
		g.fresh = true
		g.hasDigest = true
	}
	m.order = m.order[:0]
	for id, g := range m.groups {
		m.trackOwner(id, g, o)
		m.order = append(m.order, id)
	}
	sort.Slice(m.order, func(i, j int) bool { return m.order[i] < m.order[j] })
	for _, t := range m.teams {
		clear(t.reported)
	}
}

// resendToNewOwner schedules the written allotments for the new owner of a
// group.
func (m *Machine) resendToNewOwner(id order.GroupID) {
	for _, t := range m.teams {
		if _, ok := t.record.Groups[id]; ok && t.unacked != nil {
			t.unacked[id] = true
		}
	}
}

func (m *Machine) groupOf(id order.GroupID) *group {
	g, ok := m.groups[id]
	if !ok {
		g = &group{}
		m.groups[id] = g
	}
	return g
}

// trackOwner records since when an unlisted group has had no owner.
func (m *Machine) trackOwner(id order.GroupID, g *group, o Observation) {
	_, tracked := m.ownerlessSince[id]
	switch {
	case g.listed || o.owned == nil || o.owned(id):
		delete(m.ownerlessSince, id)
	case !tracked:
		m.ownerlessSince[id] = m.now
	}
}

// leasesExpired reports whether every task lease in the group must have
// expired: it is not in the host list and had no owner for ownerlessTimeout.
// Its allotment can then go to other groups.
func (m *Machine) leasesExpired(id order.GroupID) bool {
	since, ok := m.ownerlessSince[id]
	return ok && m.now.Sub(since) >= ownerlessTimeout
}

// observeTeams adds the configured teams whose quota partition this is. A team
// that is removed from the configuration keeps its record, with a limit of
// zero.
func (m *Machine) observeTeams() {
	for _, configured := range m.config.Teams() {
		name := configured.Name()
		if _, ok := m.teams[name]; ok || order.QuotaPartition(name) != m.partition {
			continue
		}
		m.teams[name] = &team{
			name:     name,
			record:   record{Groups: make(map[order.GroupID]int)},
			reported: make(map[order.GroupID]reportedUse),

			unconfirmed: make(map[order.GroupID]int),
			excess:      make(map[order.GroupID]int),
		}
		m.names = append(m.names, name)
	}
	sort.Slice(m.names, func(i, j int) bool { return m.names[i] < m.names[j] })
}

// configuredLimit returns the team's limit in the configuration, zero if the
// team was removed from it, or the recorded limit if no configuration is known.
func (m *Machine) configuredLimit(t *team) int {
	if m.config == nil {
		return t.record.Limit
	}
	configured, ok := m.config.Team(t.name)
	if !ok {
		return 0
	}
	return max(configured.Limit(), 0)
}

// demands returns the team's use and need in each group, in the order of
// m.order. Groups that appear only in the record are added to it.
func (m *Machine) demands(t *team) []demand {
	for id := range t.record.Groups {
		if _, ok := m.groups[id]; !ok {
			m.groupOf(id)
			m.ownerlessSince[id] = m.now
			m.order = append(m.order, id)
		}
	}
	demands := make([]demand, 0, len(m.order))
	configured, _ := m.config.Team(t.name)
	for _, id := range m.order {
		g := m.groups[id]
		d := demand{group: id, recorded: t.record.Groups[id]}
		switch {
		case g.fresh:
			d.running = g.digest.Running()[t.name]
			d.waiting = g.digest.Waiting()[t.name]
			d.slots = g.digest.Slots()
			d.eligible = g.listed && m.config.DomainOpen(id.Domain()) && configured.MayUse(id.Domain())
		case !m.leasesExpired(id):
			// The use of the group is unknown, so its recorded
			// count is treated as in use.
			d.running = d.recorded
		}
		if use, ok := t.reported[id]; ok && g.fresh {
			d.running, d.waiting = use.running, use.waiting
		}
		d.hasBids = d.waiting > 0
		if g.fresh {
			d.waiting = min(d.waiting, g.digest.FreeSlots())
		}
		demands = append(demands, d)
	}
	return demands
}
