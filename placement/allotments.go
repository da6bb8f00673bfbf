package placement

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// allotment is the part of a team's limit that this group may use. limit is
	// the team's limit that was divided, and version that of the division.
	// lowered is set if the limit decreased, so that tasks above it are
	// checkpointed.
	allotment struct {
		count int
		// maxCount is the highest count since the takeover.
		maxCount int
		version  uint64
		limit    int
		lowered  bool
	}

	// allotmentRecord is the value of allotment/<team> in the store.
	allotmentRecord struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}
)

const allotmentPrefix = "allotment/"

// allowed returns how many tasks of the team may run here now. If the
// configured limit is below the one that was divided, the allotment is reduced
// in proportion.
func (m *machine) allowed(team order.TeamName) int {
	a, ok := m.allotments[team]
	if !ok {
		return 0
	}
	t, ok := m.deps.currentConfig().Team(team)
	if !ok {
		return 0
	}
	if t.Limit() >= a.limit || a.limit <= 0 {
		return a.count
	}
	return max(0, a.count*t.Limit()/a.limit)
}

func (m *machine) onAllotmentsResult(now time.Time, r allotmentsResult) {
	m.readingAllotments = false
	if r.err != nil {
		m.nextAllotRead = now.Add(allotRetry)
		return
	}
	m.lastAllotRead = now
	m.nextAllotRead = now.Add(allotPeriod)
	if !m.allotmentsRead {
		// A decrease that the former owner acknowledged may be written after
		// this first read, so the records are read again after allotReread.
		m.nextAllotRead = now.Add(allotReread)
	}
	m.allotmentsRead = true
	for team, a := range r.records {
		known, ok := m.allotments[team]
		if ok && known.version >= a.version {
			continue
		}
		a.lowered = ok && a.limit < known.limit
		a.maxCount = max(a.count, known.maxCount)
		m.allotments[team] = a
	}
}

// checkMissingAllotments schedules an early read of the allotment records if a
// waiting team has no record, for example because it was just added.
func (m *machine) checkMissingAllotments() {
	for _, teams := range m.bids.classes {
		for team := range teams {
			at := m.lastAllotRead.Add(missingAllotDelay)
			if _, ok := m.allotments[team]; !ok && at.Before(m.nextAllotRead) {
				m.nextAllotRead = at
			}
		}
	}
}

func (m *machine) onAllot(msg order.AllotMsg) {
	if !m.allotmentsRead {
		// Without the records, the number of tasks that an earlier
		// owner may have started is unknown, so the message cannot be
		// acknowledged. The quota owner sends it again.
		m.deps.registry.Count("berth.early_allotment")
		return
	}
	team := msg.Team()
	known, ok := m.allotments[team]
	if !ok || msg.Version() >= known.version {
		next := allotment{count: msg.Count(), version: msg.Version(), limit: msg.Limit()}
		next.maxCount = max(next.count, known.maxCount)
		next.lowered = ok && (next.limit < known.limit || known.lowered && next.limit == known.limit)
		m.allotments[team] = next
	}
	quota := msg.Quota()
	if quota == "" {
		quota = order.QuotaPartition(team)
	}
	m.post(quota, m.allotAck(team))
}

// allotAck builds the acknowledgement of an allotment. Its count is never below
// the number of active tasks, so that the quota owner does not give away what
// is still in use. Workers whose task list has not been read may run more
// tasks, up to the highest allotment since the takeover.
func (m *machine) allotAck(team order.TeamName) order.AllotAckMsg {
	a := m.allotments[team]
	live := m.active[team]
	inForce := max(a.count, live, min(a.maxCount, live+m.unknownTasks()))
	return order.AllotAckMsg{}.
		WithPartition(order.QuotaPartition(team)).
		WithTeam(team).
		WithGroup(m.group).
		WithCount(inForce).
		WithVersion(a.version).
		WithRunning(live).
		WithEpoch(m.epoch).
		WithWaiting(m.bids.teamWaiting(team))
}

// checkpointExcess checkpoints the running tasks above a lowered limit, the
// youngest first.
func (m *machine) checkpointExcess(now time.Time) {
	if now.Before(m.nextExcessCheck) {
		return
	}
	m.nextExcessCheck = now.Add(excessPeriod)
	for team, a := range m.allotments {
		t, ok := m.deps.currentConfig().Team(team)
		if !ok || (!a.lowered && t.Limit() >= a.limit) {
			continue
		}
		excess := m.active[team] - m.allowed(team)
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
