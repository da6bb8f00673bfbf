package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
)

// scoredWorker is a worker with its room for the tasks of a step.
type scoredWorker struct {
	worker *worker
	room   int
	score  float64
}

// placeGang starts all tasks of a gang together, or none of them.
func (m *Scheduler) placeGang(now time.Time, p pendingStep, reserved map[order.WorkerID]bool) {
	s := p.step
	feasible := m.feasibleWorkers(now, p)
	chosen := m.assignGang(s, p.withTickets(now, feasible), reserved)
	if chosen == nil {
		m.reserveForGang(now, p, feasible, reserved)
		return
	}
	run := 0
	for _, task := range s.tasks {
		run = max(run, m.nextRun(task))
	}
	for i, task := range s.tasks {
		m.start(now, task, chosen[i], run)
		m.headroom.take(p.queue.Service(), s.spec.Size())
	}
	m.logPlaced(now, p, len(chosen), len(feasible))
}

// reserveForGang reserves the workers that a gang is to get, so that less
// urgent steps do not use their capacity in this round, and requests the
// tickets that the gang lacks. If the gang fits nowhere yet, it reserves the
// workers that are likely to have capacity for it first. A gang that could not
// start even if all other work ended reserves nothing.
func (m *Scheduler) reserveForGang(now time.Time, p pendingStep, feasible []*worker, reserved map[order.WorkerID]bool) {
	chosen := m.assignGang(p.step, feasible, reserved)
	switch {
	case chosen != nil:
		m.recordWait(now, p, "tickets", len(feasible))
	case m.fitsOnceFree(now, p):
		m.recordWait(now, p, "gang_room", len(feasible))
		chosen = m.likelyWorkers(p.step, feasible, reserved)
	default:
		m.recordWait(now, p, "gang_too_large", len(feasible))
	}
	m.requestMoreAdvice(now, p)
	for _, w := range chosen {
		reserved[w.id] = true
	}
}

// fitsOnceFree reports whether the gang would fit if all runs ended that end by
// themselves. Workers that the advice service has not been asked about count as
// allowed.
func (m *Scheduler) fitsOnceFree(now time.Time, p pendingStep) bool {
	s := p.step
	missing := len(s.tasks)
	for _, w := range m.sortedWorkers() {
		if !m.schedulable(now, w, p.queue.Service()) || !m.feasible(w, s) {
			continue
		}
		if _, ok := s.tickets[w.id]; p.queue.Advice().Needed() && !ok && s.requestedWorkers[w.id] {
			continue
		}
		missing -= s.roomIn(w.info.capacity.Minus(w.lastingUse()), 0)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// lastingUse returns what the long-running tasks on the worker use.
func (w *worker) lastingUse() order.Resources {
	var used order.Resources
	for _, a := range w.attempts {
		if a.task != nil && a.task.step.spec.Lasting() {
			used = used.Plus(a.size)
		}
	}
	return used
}

// likelyWorkers returns the workers with the most free capacity, as many as the
// gang would need if each took a task more than it has room for. Less urgent
// steps may use the others.
func (m *Scheduler) likelyWorkers(s *step, feasible []*worker, reserved map[order.WorkerID]bool) []*worker {
	list := make([]scoredWorker, 0, len(feasible))
	for _, w := range feasible {
		if !reserved[w.id] {
			list = append(list, scoredWorker{worker: w, room: w.room(s) + 1, score: w.free})
		}
	}
	slices.SortStableFunc(list, func(a, b scoredWorker) int { return cmp.Compare(b.score, a.score) })
	var likely []*worker
	for room, i := 0, 0; room < len(s.tasks) && i < len(list); i++ {
		likely = append(likely, list[i].worker)
		room += list[i].room
	}
	return likely
}

// assignGang returns a worker for each task of a gang, or nil if they do not
// fit. A gang that is slow across racks gets a single rack where possible.
func (m *Scheduler) assignGang(s *step, feasible []*worker, reserved map[order.WorkerID]bool) []*worker {
	if s.spec.SameRack() {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range feasible {
			if racks[w.rack] == nil {
				names = append(names, w.rack)
			}
			racks[w.rack] = append(racks[w.rack], w)
		}
		for _, name := range names {
			if chosen := m.packGang(s, racks[name], reserved); chosen != nil {
				return chosen
			}
		}
	}
	return m.packGang(s, feasible, reserved)
}

// packGang assigns the tasks of a gang to workers in order of their score, as
// many to each as fit.
func (m *Scheduler) packGang(s *step, feasible []*worker, reserved map[order.WorkerID]bool) []*worker {
	usable := make([]scoredWorker, 0, len(feasible))
	total := 0
	for _, w := range feasible {
		if reserved[w.id] {
			continue
		}
		if room := w.room(s); room > 0 {
			usable = append(usable, scoredWorker{worker: w, room: room, score: m.score(w, s)})
			total += room
		}
	}
	if total < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(usable, func(a, b scoredWorker) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]*worker, 0, len(s.tasks))
	for _, u := range usable {
		for range min(u.room, len(s.tasks)-len(chosen)) {
			chosen = append(chosen, u.worker)
		}
	}
	return chosen
}

// room returns how many tasks of the step the worker can start now.
func (w *worker) room(s *step) int {
	return s.roomIn(w.info.capacity.Minus(w.used), s.tasksOn(w))
}

// roomIn returns how many more tasks of the step fit into the free resources of
// a worker on which the given number of them take up capacity.
func (s *step) roomIn(free order.Resources, present int) int {
	size, room := s.spec.Size(), len(s.tasks)
	if limit := s.spec.PerWorker(); limit > 0 {
		room = min(room, limit-present)
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
	return max(0, room)
}
