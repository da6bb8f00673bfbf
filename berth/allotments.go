package berth

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// allotment is the part of a team's limit that the group may use.
	allotment struct {
		count   int
		most    int // the highest count since the takeover
		version uint64
		limit   int
		lowered bool
	}

	// allotmentRecord is the value of allotment/<team> in the store.
	allotmentRecord struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}
)

const allotmentPrefix = "allotment/"

// Returns how many tasks of the team may run here now. A configuration with a
// lower limit than the one that was divided scales the allotment down.
func (m *machine) allowed(team order.TeamName) int {
	a, ok := m.allotments[team]
	if !ok {
		return 0
	}
	t, ok := m.deps.current().Team(team)
	if !ok {
		return 0
	}
	if t.Limit() >= a.limit || a.limit <= 0 {
		return a.count
	}
	return max(0, a.count*t.Limit()/a.limit)
}

func (m *machine) onAllotments(now time.Time, r allotmentsResult) {
	m.readingAllotments = false
	if r.err != nil {
		m.allotAt = now.Add(allotRetry)
		return
	}
	m.allotReadAt = now
	m.allotAt = now.Add(allotPeriod)
	if !m.allotmentsRead {
		// A decrease that the previous owner acknowledged may be written
		// after this read, so the records are soon read once more.
		m.allotAt = now.Add(allotReread)
	}
	m.allotmentsRead = true
	for team, a := range r.records {
		known, ok := m.allotments[team]
		if ok && known.version >= a.version {
			continue
		}
		a.lowered = ok && a.limit < known.limit
		a.most = max(a.count, known.most)
		m.allotments[team] = a
	}
}

// Reads the records again soon if a team waits that has none, as after the
// team was added.
func (m *machine) wantAllotments() {
	for _, teams := range m.bids.classes {
		for team := range teams {
			at := m.allotReadAt.Add(allotWanted)
			if _, ok := m.allotments[team]; !ok && at.Before(m.allotAt) {
				m.allotAt = at
			}
		}
	}
}

func (m *machine) onAllot(msg order.AllotMsg) {
	if !m.allotmentsRead {
		// What an earlier owner may have running is not known yet, so nothing
		// can be acknowledged. The quota owner sends the allotment again.
		m.deps.registry.Count("berth.early_allotment")
		return
	}
	team := msg.Team()
	known, ok := m.allotments[team]
	if !ok || msg.Version() >= known.version {
		next := allotment{count: msg.Count(), version: msg.Version(), limit: msg.Limit()}
		next.most = max(next.count, known.most)
		next.lowered = ok && (next.limit < known.limit || known.lowered && next.limit == known.limit)
		m.allotments[team] = next
	}
	quota := msg.Quota()
	if quota == "" {
		quota = order.QuotaPartition(team)
	}
	m.post(quota, m.allotAck(team))
}

// The number in force is never below what runs, so that the quota owner does
// not give away what is still used. Workers that were not read may run
// anything up to the highest allotment since the takeover.
func (m *machine) allotAck(team order.TeamName) order.AllotAckMsg {
	a := m.allotments[team]
	live := m.live[team]
	inForce := max(a.count, live, min(a.most, live+m.unknownTasks()))
	return order.AllotAckMsg{}.
		WithPartition(order.QuotaPartition(team)).
		WithTeam(team).
		WithGroup(m.group).
		WithCount(inForce).
		WithVersion(a.version).
		WithRunning(live).
		WithEpoch(m.epoch).
		WithWaiting(m.bids.waitingOf(team))
}

// Checkpoints what runs above a lowered limit, youngest first.
func (m *machine) checkpointExcess(now time.Time) {
	if now.Before(m.excessAt) {
		return
	}
	m.excessAt = now.Add(excessPeriod)
	for team, a := range m.allotments {
		t, ok := m.deps.current().Team(team)
		if !ok || (!a.lowered && t.Limit() >= a.limit) {
			continue
		}
		excess := m.live[team] - m.allowed(team)
		if excess > 0 {
			m.checkpointYoungest(now, team, excess)
		}
	}
}

func (m *machine) checkpointYoungest(now time.Time, team order.TeamName, excess int) {
	var running []*entry
	for _, e := range m.entries {
		if e.task.Team() != team || e.state != order.TaskRunning {
			continue
		}
		if e.stopping {
			excess--
			continue
		}
		if e.task.Checkpoint() {
			running = append(running, e)
		}
	}
	slices.SortFunc(running, func(a, b *entry) int {
		if c := b.startedAt.Compare(a.startedAt); c != 0 {
			return c
		}
		return cmp.Compare(b.task.ID(), a.task.ID())
	})
	for i, e := range running {
		if i >= excess {
			return
		}
		e.stopping, e.checkpoint = true, true
		m.deps.registry.Count("berth.checkpointed")
		m.sendStop(now, e)
	}
}
