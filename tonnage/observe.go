package tonnage

import (
	"sort"

	"chervilhollow/order"
)

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
		if g.known && g.digest.Epoch() != digest.Epoch() {
			m.resendTo(digest.Group())
		}
		g.digest = digest
		g.fresh = true
		g.known = true
	}
	m.order = m.order[:0]
	for id, g := range m.groups {
		m.watchOwner(id, g, o)
		m.order = append(m.order, id)
	}
	sort.Slice(m.order, func(i, j int) bool { return m.order[i] < m.order[j] })
	for _, t := range m.teams {
		clear(t.acked)
	}
}

// resendTo sends the written allotments to the new owner of a group.
func (m *Machine) resendTo(id order.GroupID) {
	for _, t := range m.teams {
		if _, ok := t.record.Groups[id]; ok && t.unsent != nil {
			t.unsent[id] = true
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

func (m *Machine) watchOwner(id order.GroupID, g *group, o Observation) {
	_, missing := m.ownerless[id]
	switch {
	case g.listed || o.owned == nil || o.owned(id):
		delete(m.ownerless, id)
	case !missing:
		m.ownerless[id] = m.now
	}
}

// gone reports whether the host list no longer shows the group, and it had no
// owner for the length of a task lease. What it had is given to others.
func (m *Machine) gone(id order.GroupID) bool {
	since, ok := m.ownerless[id]
	return ok && m.now.Sub(since) >= emptyAfter
}

// observeTeams takes up the teams whose quota partition this is. A team that
// the configuration no longer has keeps its record with a limit of zero.
func (m *Machine) observeTeams() {
	for _, configured := range m.config.Teams() {
		name := configured.Name()
		if _, ok := m.teams[name]; ok || order.QuotaPartition(name) != m.partition {
			continue
		}
		m.teams[name] = &team{
			name:   name,
			record: record{Groups: make(map[order.GroupID]int)},
			acked:  make(map[order.GroupID]use),

			unsettled: make(map[order.GroupID]int),
			above:     make(map[order.GroupID]int),
		}
		m.names = append(m.names, name)
	}
	sort.Slice(m.names, func(i, j int) bool { return m.names[i] < m.names[j] })
}

func (m *Machine) limit(t *team) int {
	if m.config == nil {
		return t.record.Limit
	}
	configured, ok := m.config.Team(t.name)
	if !ok {
		return 0
	}
	return max(configured.Limit(), 0)
}

// demands returns what the team uses and needs in each group, in order of
// group. Groups that the record has and nobody else knows are included.
func (m *Machine) demands(t *team) []demand {
	for id := range t.record.Groups {
		if _, ok := m.groups[id]; !ok {
			m.groupOf(id)
			m.ownerless[id] = m.now
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
		case !m.gone(id):
			// Nothing is known about its use, so it keeps what it has.
			d.running = d.recorded
		}
		if told, ok := t.acked[id]; ok && g.fresh {
			d.running, d.waiting = told.running, told.waiting
		}
		d.queued = d.waiting > 0
		if g.fresh {
			d.waiting = min(d.waiting, g.digest.FreeSlots())
		}
		demands = append(demands, d)
	}
	return demands
}
