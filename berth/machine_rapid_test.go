package berth

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
	rapidSteps   = 60
	settleLimit  = 20 * time.Minute
	settlePeriod = time.Second
)

// Guards against a group that breaks G1, G2, G4, G5, G7, G8 or G9, or that
// forgets a task or its room, under any order of faults: lost and late
// answers, crashed, paused, unreachable and failing workers, changes of owner,
// lowered limits, closed domains, leaving workers, cancellation waves and
// declared sizes that are wrong by a factor of ten.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		defer s.explain()
		for range rapid.IntRange(1, rapidSteps).Draw(t, "steps") {
			s.act(rapid.IntRange(0, 21).Draw(t, "action"))
			s.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		s.heal()
		s.settle()
	})
}

func (s *sim) act(action int) {
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
			w.wake()
		}
	case 9:
		w.cut = !w.cut
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
		s.after(time.Duration(rapid.IntRange(500, 4000).Draw(s.t, "pause"))*time.Millisecond, w.wake)
	case 21:
		for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
			if s.rng.IntN(2) == 0 {
				s.tasks[id].cancel = true
			}
		}
	}
}

func (s *sim) heal() {
	s.loss = 0
	s.config = s.config.WithDomain(simDomain, true)
	for _, team := range simTeams {
		s.config = s.config.WithTeam(sheet.NewTeam(team, 1, simLimit))
		s.changeAllotment(team, 8)
	}
	for _, w := range s.workers {
		w.cut, w.failing = false, false
		w.spec = w.spec.WithLeaving(false)
		if w.paused {
			w.wake()
		}
	}
}

// Without further faults all tasks end, and the accounts return to nothing.
func (s *sim) settle() {
	for passed := time.Duration(0); passed < settleLimit; passed += settlePeriod {
		s.advance(settlePeriod)
		for _, team := range simTeams {
			if s.recorded[team].count == 0 {
				s.changeAllotment(team, 4)
			}
		}
		if s.settled() {
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
	for _, e := range m.inOrder(m.entries) {
		s.t.Errorf("entry %s attempt %d on %s: %+v", e.task.ID(), e.attempt, e.host.id(), *e)
		s.t.Errorf("host: %+v", *e.host)
	}
	s.t.Fatalf("not settled: %d entries, %d bids, live %v, held %v", len(m.entries), m.bids.len(), m.live, m.held)
}

func (s *sim) settled() bool {
	for _, task := range s.tasks {
		if task.phase != phaseDone {
			return false
		}
	}
	m := s.owner.machine
	if len(m.entries) > 0 || m.bids.len() > 0 || len(m.live) > 0 || len(m.held) > 0 || len(m.load) > 0 {
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
