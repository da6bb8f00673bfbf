package scheduler

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/order"
)

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
	}
	m.logPlaced(now, p, len(chosen), len(feasible))
}

// reserveForGang reserves the workers that a gang is to get, so that less
// urgent steps do not use their capacity in this round, and requests the
// tickets that the gang lacks. If the gang fits nowhere yet, it reserves all
// feasible workers.
func (m *Scheduler) reserveForGang(now time.Time, p pendingStep, feasible []*worker, reserved map[order.WorkerID]bool) {
	chosen := m.assignGang(p.step, feasible, reserved)
	if chosen == nil {
		m.recordWait(now, p, "gang_room", len(feasible))
		m.requestMoreAdvice(now, p)
		chosen = feasible
	} else {
		m.recordWait(now, p, "tickets", len(feasible))
		m.requestMoreAdvice(now, p)
	}
	for _, w := range chosen {
		reserved[w.id] = true
	}
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
	sorted := slices.Clone(feasible)
	sort.SliceStable(sorted, func(i, j int) bool { return m.score(sorted[i], s) > m.score(sorted[j], s) })
	size := s.spec.Size()
	var chosen []*worker
	for _, w := range sorted {
		if reserved[w.id] {
			continue
		}
		used := w.used
		n := s.tasksOn(w)
		for len(chosen) < len(s.tasks) && used.Plus(size).FitsIn(w.info.capacity) && (s.spec.PerWorker() == 0 || n < s.spec.PerWorker()) {
			used = used.Plus(size)
			n++
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
