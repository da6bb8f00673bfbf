package scheduler

import (
	"time"

	"chervilhollow/order"
)

// unconfirmedInterval limits how often the tasks that may run on workers without
// a report are counted, which visits all jobs.
const unconfirmedInterval = 100 * time.Millisecond

// updateUnconfirmed updates what the teams may have running on workers that have
// not reported to this owner yet. It is nil once the cell is recovered. Reports
// only make it smaller, so that an older value is safe until the discovery lists
// workers.
func (m *Scheduler) updateUnconfirmed(now time.Time, recovered bool) {
	switch {
	case recovered:
		m.unconfirmed = nil
	case m.unconfirmed == nil || now.Sub(m.unconfirmedAt) >= unconfirmedInterval:
		m.unconfirmed, m.unconfirmedAt = m.unconfirmedUsage(now), now
	}
}

// unconfirmedUsage sums up what the tasks of earlier owners may use that could be
// running and are not known to be. They run on workers without a report, so a
// team uses no more than these have.
func (m *Scheduler) unconfirmedUsage(now time.Time) map[order.TeamName]order.Resources {
	type share struct {
		team    order.TeamName
		service string
	}
	most := make(map[share]order.Resources)
	for _, j := range m.jobs {
		if j.epoch >= m.epoch || (j.state.Ended() && now.Sub(j.ended) > m.limits.maxLease) {
			continue
		}
		key := share{team: j.team}
		if q, ok := m.queueOf(j); ok {
			key.service = q.Service()
		}
		most[key] = most[key].Plus(j.mostUnreported(now, m.epoch))
	}
	usage := make(map[order.TeamName]order.Resources)
	bounds := make(map[string]order.Resources)
	for key, u := range most {
		if key.service != "" {
			bound, ok := bounds[key.service]
			if !ok {
				bound = m.unreportedCapacity(key.service)
				bounds[key.service] = bound
			}
			u = u.Min(bound)
		}
		usage[key.team] = usage[key.team].Plus(u)
	}
	return usage
}

// unreportedCapacity returns the capacity of the service's workers that have not
// reported to this owner and may hold a lease of an earlier one. A worker that
// is no longer listed counts as large as the largest one.
func (m *Scheduler) unreportedCapacity(service string) order.Resources {
	var largest, total order.Resources
	for _, w := range m.workers {
		if w.info.service == service {
			largest = largest.Max(w.info.capacity)
		}
	}
	for _, w := range m.workers {
		switch {
		case w.info.service != service || w.contacted || m.lapsed(w):
		case w.info.capacity == order.Resources{}:
			total = total.Plus(largest)
		default:
			total = total.Plus(w.info.capacity)
		}
	}
	return total
}

// mostUnreported returns the most that tasks of the job can use at a time which
// this owner does not know to run. A step may run although the store lacks the
// last ends of the steps before it, but not beside them.
func (j *job) mostUnreported(now time.Time, epoch order.Epoch) order.Resources {
	var total order.Resources
	after := make([]order.Resources, len(j.steps))
	for i := len(j.steps) - 1; i >= 0; i-- {
		s := j.steps[i]
		var unreported order.Resources
		for _, t := range s.tasks {
			waiting := t.state == taskWaiting && j.state != order.JobCompleted && !s.notBefore().After(now)
			// An earlier owner may have given up the run before this one found
			// its end, and repeat it.
			if waiting || t.foundDoneIn == epoch {
				unreported = unreported.Plus(s.spec.Size())
			}
		}
		most := unreported.Max(after[i])
		if before := s.spec.After(); len(before) > 0 {
			first := i - s.index + before[0]
			after[first] = after[first].Plus(most)
			continue
		}
		total = total.Plus(most)
	}
	return total
}
