package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

type (
	// grantShare estimates which share of the workers that a queue's requests
	// name get a ticket.
	grantShare struct{ named, granted float64 }
)

const (
	// adviceSurplus is how many times the tasks of a step its tickets have to
	// cover, since other steps use the same workers in the meantime.
	adviceSurplus = 2.5

	// occupiedRoom is the room expected on a worker that has none now, as part
	// of a task. Some of its runs end before the ticket expires.
	occupiedRoom = 0.25

	// initialGrantShare is the estimate for a queue without responses. It
	// weighs as much as a response on minAdviceWorkers workers.
	initialGrantShare = 0.5

	// grantHistory is for how many named workers the estimate remembers
	// responses.
	grantHistory = 2000

	// minGrantShare bounds the number of workers that a step asks about if the
	// last responses granted almost none.
	minGrantShare = 0.05

	// advicePlanInterval is how often a step considers new requests.
	advicePlanInterval = 100 * time.Millisecond

	// adviceStride is how many workers apart two successive plans begin. It is
	// prime, so that the plans cover all workers alike.
	adviceStride = 61

	// stepHostDivisor sets which part of the free hosts one step may use at a
	// time: one in this many.
	stepHostDivisor = 2
)

// record adds a response with tickets for so many of the named workers.
func (g *grantShare) record(named, granted int) {
	if g.named > grantHistory {
		g.named, g.granted = g.named/2, g.granted/2
	}
	g.named += float64(named)
	g.granted += float64(granted)
}

// estimate returns the expected share.
func (g *grantShare) estimate() float64 {
	share := (g.granted + initialGrantShare*minAdviceWorkers) / (g.named + minAdviceWorkers)
	return max(minGrantShare, share)
}

// advise requests the advice that a step needs: new tickets for workers that
// are known to be allowed and whose tickets expire soon, and advice on further
// workers, until the expected room covers the waiting tasks. It returns false
// if no host was free for a request.
func (m *Scheduler) advise(now time.Time, p pendingStep) bool {
	s := p.step
	if now.Before(s.advisePlanAt) {
		return true
	}
	if _, ok := m.adviceHost(now, p.queue, 1); !ok {
		return false
	}
	s.advisePlanAt = now.Add(advicePlanInterval)
	workers := m.workersToName(now, p)
	limit := m.requestLimit(now, p.queue, len(workers))
	size := m.requestSize(p.queue, len(workers), limit)
	for ; len(workers) > 0 && limit > 0; limit-- {
		n := min(size, len(workers))
		if !m.requestAdvice(now, s, p.queue, workers[:n]) {
			break
		}
		workers = workers[n:]
	}
	return true
}

// requestLimit returns how many requests a step may send now.
func (m *Scheduler) requestLimit(now time.Time, q policy.Queue, workers int) int {
	if !isLong(q, min(workers, minAdviceWorkers)) {
		return len(m.hosts)
	}
	return max(1, (m.maxBusyHosts()-m.busyHosts(now))/stepHostDivisor)
}

// requestSize returns how many workers each of several requests names. Small
// requests are answered sooner.
func (m *Scheduler) requestSize(q policy.Queue, workers, requests int) int {
	return min(m.maxWorkersPerRequest(q), max(minAdviceWorkers, (workers+requests-1)/requests))
}

// workersToName returns the workers on which the step needs advice: those known
// to be allowed first, then others with room, then others without. Steps begin
// at different workers, so that they compete less for the same room.
func (m *Scheduler) workersToName(now time.Time, p pendingStep) []order.WorkerID {
	s := p.step
	need := adviceSurplus * float64(len(s.tasks)-s.done-s.placed())
	share := m.grants(s.job.queue).estimate()
	horizon := now.Add(p.queue.Advice().Duration(minAdviceWorkers))
	for id := range s.openRequests {
		if w := m.workers[id]; w != nil {
			need -= share * w.expectedRoom(s)
		}
	}
	var list []order.WorkerID
	var expiring []*worker
	for _, w := range m.feasibleWorkers(now, p) {
		switch {
		case s.openRequests[w.id]:
		case s.tickets[w.id].validUntil.After(horizon):
			need -= w.expectedRoom(s)
		default:
			expiring = append(expiring, w)
		}
	}
	if p.rank == rankBestEffort {
		// Tickets that would expire unused take the hosts from other steps.
		expiring = slices.DeleteFunc(expiring, func(w *worker) bool { return w.room(s) == 0 })
	}
	slices.SortStableFunc(expiring, func(a, b *worker) int { return cmp.Compare(b.free, a.free) })
	for _, w := range expiring {
		if need <= 0 {
			return list
		}
		list = append(list, w.id)
		need -= w.expectedRoom(s)
	}
	if need <= 0 {
		return list
	}
	return m.appendUnknown(now, p, list, need/share)
}

// appendUnknown appends workers that the step has not asked about, until their
// expected room covers the need. The list is extended to minAdviceWorkers,
// since a response on fewer workers comes hardly sooner.
func (m *Scheduler) appendUnknown(now time.Time, p pendingStep, list []order.WorkerID, need float64) []order.WorkerID {
	all := m.sortedWorkers()
	if len(all) == 0 {
		return list
	}
	m.adviceOffset = (m.adviceOffset + adviceStride) % len(all)
	for _, wantRoom := range []bool{true, false} {
		if !wantRoom && p.rank == rankBestEffort && p.step.tickets != nil {
			break
		}
		for i := range all {
			if need <= 0 && len(list) >= minAdviceWorkers {
				return list
			}
			w := all[(m.adviceOffset+i)%len(all)]
			room := w.expectedRoom(p.step)
			if (room >= 1) != wantRoom || p.step.requestedWorkers[w.id] || p.step.openRequests[w.id] ||
				!m.schedulable(now, w, p.queue.Service()) || !m.feasible(w, p.step) {
				continue
			}
			list = append(list, w.id)
			need -= room
		}
	}
	return list
}

// placed counts the tasks of the step that have a run.
func (s *step) placed() int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskPlaced {
			n++
		}
	}
	return n
}

// expectedRoom returns how many tasks of the step the worker is expected to
// take by the time of a response.
func (w *worker) expectedRoom(s *step) float64 {
	if room := w.room(s); room > 0 {
		return float64(room)
	}
	return occupiedRoom
}

// grants returns the estimate of the queue.
func (m *Scheduler) grants(queue order.QueueName) *grantShare {
	g, ok := m.grantShares[queue]
	if !ok {
		g = &grantShare{}
		m.grantShares[queue] = g
	}
	return g
}
