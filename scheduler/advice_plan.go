package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

type (
	// adviceCandidate is a worker that a step may request advice on. room is
	// how many of the step's tasks it is expected to take.
	adviceCandidate struct {
		id   order.WorkerID
		room float64
		free float64
	}

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
	advicePlanInterval = 40 * time.Millisecond

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
	if !m.adviceHostFree(now, p.queue, 1) {
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

// workersToName returns the workers on which the step needs advice, those
// known to be allowed first.
func (m *Scheduler) workersToName(now time.Time, p pendingStep) []order.WorkerID {
	s := p.step
	need := adviceSurplus * float64(len(s.tasks)-s.done-s.placed())
	share := m.grants(s.job.queue).estimate()
	horizon := now.Add(p.queue.Advice().Duration(minAdviceWorkers))
	var renewals, others []adviceCandidate
	for _, w := range m.sortedWorkers() {
		if !m.schedulable(now, w, p.queue.Service()) || !m.feasible(w, s) {
			continue
		}
		c := adviceCandidate{id: w.id, room: w.expectedRoom(s), free: w.freeFraction()}
		t, allowed := s.tickets[w.id]
		switch {
		case allowed && (s.openRequests[w.id] || t.validUntil.After(horizon)):
			need -= c.room
		case allowed:
			renewals = append(renewals, c)
		case s.openRequests[w.id]:
			need -= share * c.room
		case !s.requestedWorkers[w.id]:
			others = append(others, c)
		}
	}
	list := takeCandidates(nil, renewals, &need, 1)
	return takeCandidates(list, others, &need, share)
}

// takeCandidates appends the candidates with the most room until they cover
// the need. Each is allowed with the given probability. A list that is not
// empty is extended to minAdviceWorkers, since a response on fewer workers
// comes hardly sooner.
func takeCandidates(list []order.WorkerID, candidates []adviceCandidate, need *float64, probability float64) []order.WorkerID {
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(b.free, a.free))
	})
	for _, c := range candidates {
		if *need <= 0 && (len(list) == 0 || len(list) >= minAdviceWorkers) {
			break
		}
		list = append(list, c.id)
		*need -= probability * c.room
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
	size, free := s.spec.Size(), w.info.capacity.Minus(w.used)
	room := len(s.tasks)
	if limit := s.spec.PerWorker(); limit > 0 {
		room = min(room, limit-s.tasksOn(w))
	}
	if cores := size.Cores(); cores > 0 {
		room = min(room, int(free.Cores()/cores))
	}
	if memory := size.Memory(); memory > 0 {
		room = min(room, int(free.Memory()/memory))
	}
	if accelerators := size.Accelerators(); accelerators > 0 {
		room = min(room, int(free.Accelerators()/accelerators))
	}
	if room <= 0 {
		return occupiedRoom
	}
	return float64(room)
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
