package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/order"
)

// faults injects faults into a simulation. Its methods are the actions of the
// rapid state machine.
type faults struct{ s *sim }

var simDomains = []order.DomainName{"a", "b", "c"}

func drawSim(t *rapid.T, minMembers, maxMembers int) (*sim, []order.PartitionID) {
	s := newSim(rapid.Uint64().Draw(t, "seed"))
	for i := range rapid.IntRange(minMembers, maxMembers).Draw(t, "members") {
		s.add(fmt.Sprintf("m%d", i), simDomains[i%len(simDomains)], drawRate(t))
	}
	ids := []order.PartitionID{"r/00", "r/01", "g/a/1"}[:rapid.IntRange(1, 3).Draw(t, "partitions")]
	for _, m := range s.members {
		for _, id := range ids {
			m.protocol.ensure(m.local(), id)
		}
	}
	return s, ids
}

// drawRate returns a clock rate within the drift margin, often at its limits.
func drawRate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0.9801, 0.99, 1, 1.01, 1.0199}).Draw(t, "rate")
}

// Guards against two members that may act for one partition at the same time,
// and against falling epochs, under lost and delayed messages, pauses, crashes
// and network partitions.
func TestOnlyOneMayAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := drawSim(t, 2, 5)
		f := &faults{s: s}
		f.run(t, 3*time.Second)
		t.Repeat(rapid.StateMachineActions(f))
	})
}

// Check implements rapid.StateMachine. It does nothing, because run checks the
// invariants at each step.
func (f *faults) Check(*rapid.T) {}

func (f *faults) run(t *rapid.T, d time.Duration) {
	if err := f.s.run(d); err != nil {
		t.Fatal(err)
	}
}

func (f *faults) member(t *rapid.T) *simMember {
	return rapid.SampledFrom(f.s.members).Draw(t, "member")
}

// millis draws from a few values, because rapid prefers small integers and
// hardly any time would pass.
func millis(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{20, 100, 300, 800, 1600, 3500}).Draw(t, "ms")) * time.Millisecond
}

// Pass advances the time.
func (f *faults) Pass(t *rapid.T) { f.run(t, millis(t)) }

// Freeze pauses a member.
func (f *faults) Freeze(t *rapid.T) { f.s.freeze(f.member(t), millis(t)) }

// Kill stops a member without a handover.
func (f *faults) Kill(t *rapid.T) {
	f.s.kill(f.member(t))
	f.run(t, millis(t))
}

// Restart replaces a member with a new process at the same address.
func (f *faults) Restart(t *rapid.T) {
	m := f.member(t)
	if m.dead || len(f.s.members) > 8 {
		t.Skip()
	}
	f.s.kill(m)
	f.s.add(m.id.Address(), m.domain, drawRate(t))
}

// Cut cuts a link in one or both directions.
func (f *faults) Cut(t *rapid.T) {
	a, b := f.member(t), f.member(t)
	f.s.cuts[[2]order.MemberID{a.id, b.id}] = true
	if rapid.Bool().Draw(t, "both") {
		f.s.cuts[[2]order.MemberID{b.id, a.id}] = true
	}
	f.run(t, millis(t))
}

// Isolate cuts a member off from the store and drops all messages that it
// sends, so that it only receives.
func (f *faults) Isolate(t *rapid.T) {
	m := f.member(t)
	m.cutOff = true
	for _, other := range f.s.members {
		f.s.cuts[[2]order.MemberID{m.id, other.id}] = true
	}
	f.run(t, millis(t))
}

// Heal restores all links.
func (f *faults) Heal(*rapid.T) {
	clear(f.s.cuts)
	for _, m := range f.s.members {
		m.cutOff = false
	}
}

// CutOffStore cuts a member off from the store, or restores the link.
func (f *faults) CutOffStore(t *rapid.T) {
	m := f.member(t)
	m.cutOff = !m.cutOff
}

// StoreOutage starts or ends an outage of the store.
func (f *faults) StoreOutage(t *rapid.T) {
	f.s.store.outage = !f.s.store.outage
	f.run(t, millis(t))
}

// StoreSlow delays the replies of the store, and its writes, by up to 3 s.
func (f *faults) StoreSlow(t *rapid.T) {
	f.s.store.delay = rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}).Draw(t, "slow")
}

// StoreLosesAnswers drops replies of the store.
func (f *faults) StoreLosesAnswers(t *rapid.T) {
	f.s.store.answerLoss = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lose")
}

// Network sets the loss and the delay of messages.
func (f *faults) Network(t *rapid.T) {
	f.s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	f.s.delay = rapid.SampledFrom([]time.Duration{0, 4 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
}

// MostLost toggles whether a member sees that most others lost the store.
// Ownership must be safe whatever the members report.
func (f *faults) MostLost(t *rapid.T) {
	m := f.member(t)
	m.mostLost = !m.mostLost
}

// Revision gives a member a newer configuration.
func (f *faults) Revision(t *rapid.T) { f.member(t).revision++ }

// Handover starts a planned stop, which the member may cancel.
func (f *faults) Handover(t *rapid.T) {
	m := f.member(t)
	if !m.running() {
		t.Skip()
	}
	for _, id := range m.protocol.startLeaving() {
		m.protocol.startPlannedHandover(m.local(), id)
	}
	m.protocol.leaving = rapid.Bool().Draw(t, "leaves")
}

// Guards against a takeover that takes longer than 3.5 s after a member was
// killed while the store and the standbys run, and against partitions that stay
// without a standby.
func TestTakeoverInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ids := drawSim(t, 2, 6)
		s.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss")
		s.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond}).Draw(t, "delay")
		s.store.delay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond}).Draw(t, "slow")
		warmup := time.Duration(rapid.IntRange(6000, 9000).Draw(t, "settle")) * time.Millisecond
		if err := s.run(warmup); err != nil {
			t.Fatal(err)
		}
		for began := s.now; !s.allHaveStandbys(ids); {
			if s.now.Sub(began) > 2*time.Second {
				t.Fatal("a partition has no standby for 2 s")
			}
			if err := s.run(10 * time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		s.kill(rapid.SampledFrom(s.members).Draw(t, "victim"))
		for range 3500 / 10 {
			if err := s.run(10 * time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if s.allServed(ids) {
				return
			}
		}
		for _, id := range ids {
			t.Logf("%s: %+v", id, s.store.records[id].record)
		}
		t.Fatal("not all partitions are served 3.5 s after the kill")
	})
}

func (s *sim) allServed(ids []order.PartitionID) bool {
	for _, id := range ids {
		if len(s.activeOwners(id)) != 1 {
			return false
		}
	}
	return true
}

func (s *sim) allHaveStandbys(ids []order.PartitionID) bool {
	for _, id := range ids {
		if s.store.records[id].record.standby == "" {
			return false
		}
	}
	return true
}
