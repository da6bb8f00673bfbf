package placement

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

const (
	rapidSteps      = 60
	convergeTimeout = 20 * time.Minute
	convergeStep    = time.Second
)

// Guards against a group that violates G1, G2, G4, G5, G7, G8 or G9, or that
// loses a task or leaks its capacity, under any sequence of faults: lost and
// late answers, crashed, paused, unreachable and failing workers, changes of
// owner, lowered limits, closed domains, leaving workers, mass cancellations
// and declared sizes that are wrong by a factor of ten.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		defer s.logHistory()
		for range rapid.IntRange(1, rapidSteps).Draw(t, "steps") {
			s.applyFault(rapid.IntRange(0, 21).Draw(t, "action"))
			s.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		s.clearFaults()
		s.waitUntilIdle()
	})
}

func (s *sim) applyFault(action int) {
	w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(s.t, "worker")]
	team := simTeams[rapid.IntRange(0, len(simTeams)-1).Draw(s.t, "team")]
	switch action {
	case 0, 1, 2, 3, 4:
		s.addTasks(rapid.IntRange(1, 8).Draw(s.t, "tasks"), false)
	case 5:
		s.addTasks(rapid.IntRange(2, 4).Draw(s.t, "gang"), true)
	case 6:
		w.crash()
	case 7:
		w.paused = true
	case 8:
		if w.paused {
			w.resume()
		}
	case 9:
		w.disconnected = !w.disconnected
	case 10:
		w.failing = !w.failing
	case 11:
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(s.t, "loss")
	case 12:
		s.config = s.config.WithDomain(simDomain, !s.config.DomainOpen(simDomain))
	case 13:
		w.spec = w.spec.WithLeaving(!w.spec.Leaving())
	case 14:
		limit := rapid.IntRange(0, simLimit).Draw(s.t, "limit")
		s.config = s.config.WithTeam(sheet.NewTeam(team, 1, limit))
	case 15, 16:
		s.changeAllotment(team, rapid.IntRange(0, 8).Draw(s.t, "allotment"))
	case 17, 18:
		s.takeover(rapid.IntRange(0, 2).Draw(s.t, "kind"))
	case 19, 20:
		w.paused = true
		s.after(time.Duration(rapid.IntRange(500, 4000).Draw(s.t, "pause"))*time.Millisecond, w.resume)
	case 21:
		for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
			if s.rng.IntN(2) == 0 {
				s.tasks[id].cancel = true
			}
		}
	}
}

// clearFaults ends all faults and restores the limits and allotments.
func (s *sim) clearFaults() {
	s.loss = 0
	s.config = s.config.WithDomain(simDomain, true)
	for _, team := range simTeams {
		s.config = s.config.WithTeam(sheet.NewTeam(team, 1, simLimit))
		s.changeAllotment(team, 8)
	}
	for _, w := range s.workers {
		w.disconnected, w.failing = false, false
		w.spec = w.spec.WithLeaving(false)
		if w.paused {
			w.resume()
		}
	}
}

// waitUntilIdle checks that without further faults all tasks end and all counts
// return to zero.
func (s *sim) waitUntilIdle() {
	for passed := time.Duration(0); passed < convergeTimeout; passed += convergeStep {
		s.advance(convergeStep)
		for _, team := range simTeams {
			if s.recorded[team].count == 0 {
				s.changeAllotment(team, 4)
			}
		}
		if s.idle() {
			return
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		if task := s.tasks[id]; task.phase != phaseDone {
			s.t.Errorf("task %s attempt %d is still in phase %d:\n%s", id, task.attempt, task.phase,
				strings.Join(s.history[id][:min(60, len(s.history[id]))], "\n"))
		}
	}
	m := s.owner.machine
	for _, e := range m.sortedEntries(m.entries) {
		s.t.Errorf("entry %s attempt %d on %s: %+v", e.task.ID(), e.attempt, e.host.id(), *e)
		s.t.Errorf("host: %+v", *e.host)
	}
	s.t.Fatalf("not idle: %d entries, %d bids, active %v, held %v", len(m.entries), m.bids.len(), m.active, m.held)
}

// idle reports whether all tasks have ended and all counts are zero.
func (s *sim) idle() bool {
	for _, task := range s.tasks {
		if task.phase != phaseDone {
			return false
		}
	}
	m := s.owner.machine
	if len(m.entries) > 0 || m.bids.len() > 0 || len(m.active) > 0 || len(m.held) > 0 || len(m.load) > 0 {
		return false
	}
	for _, h := range m.hosts {
		if len(h.tasks) > 0 || h.reserved != (amount{}) || len(s.byID[h.id()].running) > 0 {
			return false
		}
	}
	return true
}

var _ order.Guard = (*simOwner)(nil)
