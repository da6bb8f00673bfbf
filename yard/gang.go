package yard

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/order"
)

// placeGang starts all tasks of a step together, or none.
func (m *Machine) placeGang(now time.Time, t turn, reserved map[order.WorkerID]bool) {
	s := t.step
	options := m.options(now, t)
	chosen := m.arrange(s, t.ticketed(now, options), reserved)
	if chosen == nil {
		m.holdRoom(now, t, options, reserved)
		return
	}
	run := 0
	for _, task := range s.tasks {
		run = max(run, m.nextRun(task))
	}
	for i, task := range s.tasks {
		m.start(now, task, chosen[i], run)
	}
	m.logPlaced(now, t, len(chosen), len(options))
}

// holdRoom keeps the room that a gang is to have from the steps behind it, and
// asks for the tickets that it lacks.
func (m *Machine) holdRoom(now time.Time, t turn, options []*worker, reserved map[order.WorkerID]bool) {
	chosen := m.arrange(t.step, options, reserved)
	if chosen == nil {
		m.waiting(now, t, "gang_room", len(options))
		m.askMore(now, t)
		chosen = options
	} else {
		m.waiting(now, t, "tickets", len(options))
		m.renew(now, t, chosen, options)
	}
	for _, w := range chosen {
		reserved[w.id] = true
	}
}

// arrange returns a worker for each task of a gang, or nil if they do not fit.
// A gang that is slow across racks is kept on one rack where that is possible.
func (m *Machine) arrange(s *step, options []*worker, reserved map[order.WorkerID]bool) []*worker {
	if s.spec.SameRack() {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range options {
			if racks[w.rack] == nil {
				names = append(names, w.rack)
			}
			racks[w.rack] = append(racks[w.rack], w)
		}
		for _, name := range names {
			if chosen := m.fill(s, racks[name], reserved); chosen != nil {
				return chosen
			}
		}
	}
	return m.fill(s, options, reserved)
}

func (m *Machine) fill(s *step, options []*worker, reserved map[order.WorkerID]bool) []*worker {
	sorted := slices.Clone(options)
	sort.SliceStable(sorted, func(i, j int) bool { return m.score(sorted[i], s) > m.score(sorted[j], s) })
	size := s.spec.Size()
	var chosen []*worker
	for _, w := range sorted {
		if reserved[w.id] {
			continue
		}
		used := w.used
		n := s.onWorker(w)
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
