package harbour

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
)

const part = order.PartitionID("r/00")

// settledSim returns members that have served the partitions for a while.
func settledSim(t *testing.T, members int, ids ...order.PartitionID) *sim {
	t.Helper()
	s := newSim(1)
	for i := range members {
		s.add(fmt.Sprintf("m%d", i), simDomains[i%len(simDomains)], 1)
	}
	for _, m := range s.members {
		for _, id := range ids {
			m.protocol.ensure(m.local(), id)
		}
	}
	s.mustRun(t, 20*time.Second)
	if !s.allServed(ids) {
		t.Fatal("not all partitions are served after the start")
	}
	return s
}

func (s *sim) mustRun(t *testing.T, d time.Duration) {
	t.Helper()
	if err := s.run(d); err != nil {
		t.Fatal(err)
	}
}

// runUntil returns how long it took until the condition held.
func (s *sim) runUntil(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	began := s.now
	for s.now.Sub(began) < limit {
		if ok() {
			return s.now.Sub(began)
		}
		s.mustRun(t, 10*time.Millisecond)
	}
	t.Fatalf("%s: not within %s", what, limit)
	return 0
}

func (s *sim) member(id order.MemberID) *simMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (s *sim) owner(id order.PartitionID) *simMember {
	return s.member(s.store.records[id].record.owner)
}

func (s *sim) standby(id order.PartitionID) *simMember {
	return s.member(s.store.records[id].record.standby)
}

func (s *sim) cut(a, b order.MemberID) {
	s.cuts[[2]order.MemberID{a, b}] = true
	s.cuts[[2]order.MemberID{b, a}] = true
}

func (s *sim) setMostLost(lost bool) {
	for _, m := range s.members {
		m.mostLost = lost
	}
}

func (m *simMember) acts(id order.PartitionID) bool {
	_, ok := m.may(id)
	return ok && m.runs()
}

func (m *simMember) count(name string) int64 { return m.registry.Counter(name) }

// Row "placer pauses past its promise". Guards against a process that goes on
// after a pause, and shows what only the fence catches: a start whose check
// lies before the pause and whose write lies after it.
func TestPauseEndsPermission(t *testing.T) {
	is := is.New(t)
	s := settledSim(t, 3, part)
	first := s.owner(part)
	s.freeze(first, 5*time.Second)
	took := s.runUntil(t, 3500*time.Millisecond, "takeover", func() bool { return s.allServed([]order.PartitionID{part}) })
	t.Logf("takeover took %s", took)
	second := s.owner(part)
	is.True(second != first)
	s.mustRun(t, 4*time.Second)
	is.True(!first.acts(part))
	is.Equal(first.count("harbour.lost"), int64(1))
	is.Equal(s.late, 1)
}

// Row "owner cut off from standby". Guards against a partition that stays
// without an owner, or gets two, when only this link is cut.
func TestLinkToStandbyCut(t *testing.T) {
	is := is.New(t)
	s := settledSim(t, 4, part)
	owner, standby := s.owner(part), s.standby(part)
	s.cut(owner.id, standby.id)
	s.mustRun(t, 1600*time.Millisecond)
	s.runUntil(t, 1900*time.Millisecond, "partition served", func() bool { return s.allServed([]order.PartitionID{part}) })
	is.Equal(s.owner(part), owner)
	is.True(s.standby(part) != standby)
}

// Row "owner cut off from the store". Guards against an owner that starts work
// later than 3 s after it lost the store while the others still reach it.
func TestOwnerCutOffFromStore(t *testing.T) {
	s := settledSim(t, 3, part)
	owner := s.owner(part)
	owner.cutOff = true
	s.mustRun(t, 1400*time.Millisecond)
	if !owner.acts(part) {
		t.Fatal("stops before the loss of the store is certain")
	}
	s.mustRun(t, 1600*time.Millisecond)
	if owner.acts(part) {
		t.Fatal("still acts 3 s after it lost the store alone")
	}
	owner.cutOff = false
	s.runUntil(t, time.Second, "acts again", func() bool { return owner.acts(part) })
}

// Rows "store down" and "owner and standby without the store for 15 min".
// Guards against a stop of placement in a store outage, and against an owner
// that never stops.
func TestStoreDown(t *testing.T) {
	s := settledSim(t, 3, part)
	owner := s.owner(part)
	s.store.outage = true
	s.setMostLost(true)
	for range 60 {
		s.mustRun(t, time.Second)
		if !owner.acts(part) {
			t.Fatalf("stopped %s after the start of the outage", s.now.Sub(simStart)-20*time.Second)
		}
	}
	s.mustRun(t, ContactLimit-70*time.Second-ContactLimit/driftParts)
	if !owner.acts(part) {
		t.Fatal("stopped before the limit")
	}
	s.mustRun(t, ContactLimit/driftParts+20*time.Second)
	if owner.acts(part) {
		t.Fatal("still acts 15 min after the last contact with the store")
	}
	s.store.outage = false
	s.setMostLost(false)
	s.runUntil(t, 5*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{part}) })
}

// Guards against a partition that is not taken over after an outage in which
// its owner died.
func TestOwnerDiesInOutage(t *testing.T) {
	s := settledSim(t, 3, part)
	s.store.outage = true
	s.setMostLost(true)
	s.mustRun(t, 2*time.Second)
	s.kill(s.owner(part))
	s.mustRun(t, 30*time.Second)
	if len(s.actors(part)) != 0 {
		t.Fatal("claimed without the store")
	}
	s.store.outage = false
	s.setMostLost(false)
	s.runUntil(t, 6*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{part}) })
}

// Row "store slow". Guards against heartbeats that wait for the store.
func TestStoreSlow(t *testing.T) {
	s := settledSim(t, 3, part)
	owner := s.owner(part)
	s.store.slow = 5 * time.Second
	for range 100 {
		s.mustRun(t, 100*time.Millisecond)
		if !owner.acts(part) {
			t.Fatal("a slow store stopped the owner")
		}
	}
}

// Row "store answer lost". Guards against a claim whose lost answer leaves the
// partition without an owner.
func TestStoreAnswerLost(t *testing.T) {
	s := settledSim(t, 3, part)
	s.kill(s.owner(part))
	s.mustRun(t, time.Second)
	s.store.lose = 1
	s.mustRun(t, 2*time.Second)
	s.store.lose = 0
	s.runUntil(t, 4*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{part}) })
}

// Rows "failure domain gone" and "failure domain back". Guards against a slow
// takeover of a whole domain, against ownership that does not return within
// 30 s, and against ownership that oscillates afterwards.
func TestDomainGoneAndBack(t *testing.T) {
	is := is.New(t)
	ids := []order.PartitionID{"g/a/1", "g/a/2", "g/b/1", "g/c/1"}
	for i := range order.RequestPartitions {
		ids = append(ids, order.RequestPartitionAt(i))
	}
	s := settledSim(t, 9, ids...)
	s.mustRun(t, 30*time.Second)
	is.Equal(s.owner("g/a/1").domain, order.DomainName("a"))
	s.checkPlaces(t, ids)
	for _, m := range s.members[:9] {
		if m.domain == "a" {
			s.kill(m)
		}
	}
	took := s.runUntil(t, 3500*time.Millisecond, "takeover", func() bool { return s.allServed(ids) })
	t.Logf("takeover took %s", took)
	s.mustRun(t, 30*time.Second)
	for i := range 3 {
		s.add(fmt.Sprintf("m%d", 3*i), "a", 1)
	}
	s.runUntil(t, 30*time.Second, "groups return", func() bool {
		return s.owner("g/a/1").domain == "a" && s.owner("g/a/2").domain == "a"
	})
	s.mustRun(t, 20*time.Second)
	s.checkPlaces(t, ids)
	changes := len(s.store.log)
	s.mustRun(t, 2*time.Minute)
	is.Equal(len(s.store.log), changes)
}

// checkPlaces asserts where owners and standbys are and how many standbys a
// process uses.
func (s *sim) checkPlaces(t *testing.T, ids []order.PartitionID) {
	t.Helper()
	standbys := make(map[order.MemberID]map[order.MemberID]bool)
	for _, id := range ids {
		owner, standby := s.owner(id), s.standby(id)
		if standby == nil || owner.domain == standby.domain {
			t.Fatalf("%s: owner %s and standby %v are not in two domains", id, owner.id, standby)
		}
		if group, ok := id.Group(); ok && owner.domain != group.Domain() {
			t.Errorf("%s: owner is in domain %s", id, owner.domain)
		}
		if standbys[owner.id] == nil {
			standbys[owner.id] = make(map[order.MemberID]bool)
		}
		standbys[owner.id][standby.id] = true
		if len(standbys[owner.id]) > MaxStandbys {
			t.Errorf("%s uses more than %d standbys", owner.id, MaxStandbys)
		}
	}
}

// Row "regions apart". Guards against a side without the store that goes on,
// and against the other side waiting for it.
func TestRegionsApart(t *testing.T) {
	ids := []order.PartitionID{"r/00", "r/01", "r/02", "r/03", "g/a/1"}
	s := settledSim(t, 9, ids...)
	for _, m := range s.members {
		m.cutOff = m.domain == "a"
		for _, other := range s.members {
			if m.domain == "a" && other.domain != "a" {
				s.cut(m.id, other.id)
			}
		}
	}
	s.mustRun(t, 3500*time.Millisecond)
	for _, id := range ids {
		found := s.actors(id)
		if len(found) != 1 || found[0].cutOff {
			t.Errorf("%s is not served by the side with the store", id)
		}
	}
}

// Row "owner and standby gone". Guards against a partition that nobody claims
// when both processes died, and against a claim while only the leases ended.
func TestOwnerAndStandbyGone(t *testing.T) {
	s := settledSim(t, 5, part)
	owner, standby := s.owner(part), s.standby(part)
	s.kill(owner)
	s.kill(standby)
	s.mustRun(t, 4*time.Second)
	if len(s.actors(part)) != 0 {
		t.Fatal("claimed while the members may live")
	}
	s.runUntil(t, 15*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{part}) })
}

// Guards against a claim by the 15 min rule that counts time in which the
// claimer did not reach the store, and against a rule that never applies, here
// in a process whose ticks are always late.
func TestGoneByAbsence(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.listedAll(now, nil, 0)
	c.observe(now, part, NewRecord("x/1", "y/1", 4), 7)
	c.take()
	v := view{listed: true, reachable: true, shows: func(string) bool { return true }}
	pass := func(d time.Duration) []command {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			v.storeSeen = now
			c.tick(now, v)
		}
		return c.take()
	}
	is.Equal(len(pass(14*time.Minute)), 0)
	v.reachable = false
	is.Equal(len(pass(10*time.Minute)), 0)
	v.reachable = true
	is.Equal(len(pass(30*time.Second)), 0)
	out := pass(2 * time.Minute)
	is.True(len(out) > 0)
	is.Equal(out[0].(swapCommand).record, NewRecord("self/1", "", 5))
}

// Guards against a claimer that waits although a new process at the addresses
// of owner and standby proves that both have ended.
func TestGoneByNewAddress(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.listedAll(now, nil, 0)
	c.observe(now, part, NewRecord("x/1", "", 4), 7)
	v := view{listed: true, reachable: true, shows: func(string) bool { return true }}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		c.tick(now, v)
	}
	is.Equal(len(c.take()), 0)
	v.members = []roster.Member{roster.NewMember("x/2", order.RolePlacer, "a", "")}
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		c.tick(now, v)
	}
	out := c.take()
	is.True(len(out) > 0)
	is.Equal(out[0].(swapCommand).record.owner, order.MemberID("self/1"))
}

// Guards against an owner that acts under an older configuration than its
// standby's, and against a standby that promises to such an owner.
func TestOlderRevisionMayNotAct(t *testing.T) {
	s := settledSim(t, 3, part)
	owner, standby := s.owner(part), s.standby(part)
	standby.revision = 5
	s.runUntil(t, 300*time.Millisecond, "owner stops", func() bool { return !owner.acts(part) })
	s.mustRun(t, time.Second)
	if owner.acts(part) {
		t.Fatal("acts under an old configuration")
	}
	owner.revision = 5
	s.runUntil(t, 300*time.Millisecond, "owner acts again", func() bool { return owner.acts(part) })
}

// Guards against a single placer that cannot run, and against one that acts
// without a confirmed lease.
func TestSinglePlacer(t *testing.T) {
	s := settledSim(t, 1, part)
	m := s.members[0]
	s.store.outage = true
	s.runUntil(t, 3*time.Second, "stops without the store", func() bool { return !m.acts(part) })
	m.mostLost = true
	s.runUntil(t, time.Second, "acts under its lease", func() bool { return m.acts(part) })
	s.mustRun(t, 10*time.Second)
	if m.acts(part) {
		t.Fatal("acts after its lease ended")
	}
}

// Guards against a planned stop that leaves a gap or loses the state, and
// against a process that claims again while it leaves.
func TestHandover(t *testing.T) {
	is := is.New(t)
	s := settledSim(t, 3, part, "r/01")
	leaver := s.owner(part)
	for _, id := range leaver.protocol.leave() {
		leaver.protocol.releasePlanned(leaver.local(), id)
	}
	took := s.runUntil(t, 500*time.Millisecond, "new owner", func() bool {
		return s.owner(part) != leaver && s.allServed([]order.PartitionID{part, "r/01"})
	})
	t.Logf("handover took %s", took)
	s.mustRun(t, 10*time.Second)
	is.Equal(len(leaver.protocol.owned), 0)
	is.True(s.owner(part).count("harbour.acquired") > 0)
}

// Guards against a new owner that starts without the state of the former one
// because the record of the handover came before the message with the state.
func TestStateAfterRecord(t *testing.T) {
	for _, late := range []bool{false, true} {
		is := is.New(t)
		c, now := bareProtocol()
		c.listedAll(now, nil, 0)
		c.tick(now, reachableView(now))
		record := NewRecord("self/1", "y/1", 5)
		record.handover = "h1"
		c.observe(now, part, record, 9)
		is.Equal(len(acquired(c)), 0) // waits for the state
		if late {
			now = now.Add(stateWait)
			c.tick(now, reachableView(now))
			is.Equal(string(acquired(c)[0].State()), "") // begins without it
		}
		c.handover(now, "x/1", order.HandoverMsg{}.WithPartition(part).WithEpoch(5).WithState([]byte("state")).WithHandover("h1"))
		events := acquired(c)
		if late {
			is.Equal(len(events), 0) // begins once only
			continue
		}
		is.Equal(len(events), 1)
		is.Equal(string(events[0].State()), "state")
	}
}

// acquired returns the partitions that began since the last call.
func acquired(c *protocol) []AcquiredEvent {
	var events []AcquiredEvent
	for _, cmd := range c.take() {
		if e, ok := cmd.(eventCommand); ok {
			if a, ok := e.event.(AcquiredEvent); ok {
				events = append(events, a)
			}
		}
	}
	return events
}

func bareProtocol() (*protocol, time.Time) {
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	c := newProtocol("self/1", "a", simStart, registry, zerolog.Nop())
	return c, simStart.Add(time.Minute)
}

// heartbeatOf returns the promise that a heartbeat with one claim gets.
func heartbeatOf(c *protocol, now time.Time, from order.MemberID, epoch order.Epoch) order.PromiseMsg {
	claim := order.Claim{}.WithPartition(part).WithEpoch(epoch)
	c.heartbeat(now, from, order.HeartbeatMsg{}.WithSequence(1).WithClaims([]order.Claim{claim}))
	out := c.take()
	return out[len(out)-1].(sendCommand).msg.(order.PromiseMsg)
}

func reachableView(now time.Time) view {
	return view{
		listed: true, reachable: true, storeSeen: now,
		shows: func(string) bool { return true },
	}
}

// Guards against a standby that promises while its own claim may still take
// effect.
func TestNoPromiseWhileClaimPending(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.listedAll(now, nil, 0)
	c.observe(now, part, NewRecord("x/1", "self/1", 4), 7)
	c.tick(now, reachableView(now))
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 1)
	now = now.Add(standbyValidity)
	c.tick(now, reachableView(now))
	now = now.Add(300 * time.Millisecond)
	c.tick(now, reachableView(now))
	claim := c.take()[0].(swapCommand)
	is.Equal(claim.record.epoch, order.Epoch(5))
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 0)

	// The answer is lost and the record unchanged: the write may still come.
	c.swapped(now, part, 0, depot.ErrUncertain)
	is.Equal(c.take(), []command{readCommand{partition: part}})
	value := depot.NewEntry(recordKey(part), nil, 7)
	c.wasRead(now, part, value, NewRecord("x/1", "self/1", 4), nil)
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 0)
	now = now.Add(300 * time.Millisecond)
	c.tick(now, reachableView(now))
	is.Equal(c.take()[0].(swapCommand), claim)

	// Even a definite failure of the second try says nothing of the first.
	c.swapped(now, part, 0, depot.ErrUnavailable)
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 0)
	c.observe(now, part, NewRecord("x/1", "z/1", 4), 9)
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 1)
}

// Guards against a promise to an owner whose epoch is over.
func TestNoPromiseForOldEpoch(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.observe(now, part, NewRecord("z/1", "w/1", 6), 9)
	is.Equal(len(heartbeatOf(c, now, "x/1", 4).Granted()), 0)
	is.Equal(len(heartbeatOf(c, now, "z/1", 6).Granted()), 1)
}

// Guards against a process that promises directly after its start: it may have
// promised to another owner, or claimed, before it restarted.
func TestNoPromiseAfterStart(t *testing.T) {
	is := is.New(t)
	c, _ := bareProtocol()
	is.Equal(len(heartbeatOf(c, simStart.Add(Validity), "x/1", 4).Granted()), 0)
	is.Equal(len(heartbeatOf(c, simStart.Add(standbyValidity), "x/1", 4).Granted()), 1)
}

// Guards against a promise that is counted from its receipt: it may have been
// on its way for longer than it is valid.
func TestPromiseCountsFromSending(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.observe(now, part, NewRecord("self/1", "y/1", 4), 7)
	c.tick(now, reachableView(now))
	sent := now
	var beat order.HeartbeatMsg
	for _, cmd := range c.take() {
		if m, ok := cmd.(sendCommand); ok {
			beat = m.msg.(order.HeartbeatMsg)
		}
	}
	now = now.Add(time.Second)
	c.tick(now, reachableView(now))
	c.promise(now, "y/1", order.PromiseMsg{}.
		WithSequence(beat.Sequence()).
		WithGranted(beat.Claims()).
		WithValidFor(Validity))
	until := time.Duration(c.deadlines.until(part, 4))
	is.Equal(until, sent.Add(ownerValidity).Sub(c.deadlines.base))
	is.Equal(c.deadlines.until(part, 3), int64(0))
	is.Equal(c.deadlines.until(part, 5), int64(0))
}

// Guards against the state of a handover that was broken off, used later with
// another handover to the same process.
func TestStateOfOtherHandover(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.handover(now, "x/1", order.HandoverMsg{}.
		WithPartition(part).WithEpoch(5).WithState([]byte("old")).WithHandover("first"))
	record := NewRecord("self/1", "y/1", 5)
	record.handover = "second"
	c.observe(now, part, record, 9)
	is.Equal(len(acquired(c)), 0) // the state of its own handover may still come
	now = now.Add(stateWait)
	c.expireState(now, c.at(part))
	event := acquired(c)[0]
	is.True(event.State() == nil)

	c.handover(now, "x/1", order.HandoverMsg{}.
		WithPartition("r/01").WithEpoch(5).WithState([]byte("new")).WithHandover("third"))
	record.handover = "third"
	c.observe(now, "r/01", record, 10)
	event = acquired(c)[0]
	is.Equal(string(event.State()), "new")
}

// Guards against a part that stays stopped when a move between two running
// processes is broken off, and against a promise that counts meanwhile.
func TestMoveBrokenOff(t *testing.T) {
	is := is.New(t)
	c, now := bareProtocol()
	c.collects = true
	c.listedAll(now, nil, 0)
	c.observe(now, part, NewRecord("self/1", "y/1", 4), 7)
	c.tick(now, reachableView(now))
	c.take()
	p := c.owned[part]
	p.deadline = now.Add(ownerValidity)
	c.startRelease(now, p, "z/1", false)
	is.Equal(c.take()[0].(collectCommand).epoch, order.Epoch(4))
	is.Equal(c.deadlines.until(part, 4), int64(0))
	c.collected(now, part, 4, []byte("state"))
	out := c.take()
	is.Equal(string(out[0].(sendCommand).msg.(order.HandoverMsg).State()), "state")
	is.Equal(out[1].(swapCommand).record.epoch, order.Epoch(5))
	c.swapped(now, part, 0, depot.ErrUnavailable)
	out = c.take()
	event := out[0].(eventCommand).event.(AcquiredEvent)
	is.Equal(event.Epoch(), order.Epoch(4))
	is.Equal(string(event.State()), "state")
	is.True(c.deadlines.until(part, 4) > 0)
}

// Guards against an invariant check that never fires: two owners of one epoch
// and an epoch that falls must be reported.
func TestInvariantsFire(t *testing.T) {
	is := is.New(t)
	registry := gauge.New(zerolog.Nop())
	c := newProtocol("self/1", "a", simStart, registry, zerolog.Nop())
	now := simStart.Add(time.Minute)
	c.observe(now, part, NewRecord("x/1", "y/1", 4), 7)
	c.observe(now, part, NewRecord("z/1", "y/1", 4), 8)
	is.Equal(registry.Counter("invariant.broken.one_owner_per_epoch"), int64(1))
	c.observe(now, part, NewRecord("z/1", "y/1", 3), 9)
	is.Equal(registry.Counter("invariant.broken.epoch_rises"), int64(1))
	is.Equal(len(heartbeatOf(c, now, "x/1", 3).Granted()), 0)
	is.Equal(registry.Counter("invariant.broken.one_owner_per_epoch"), int64(2))
	c.partitions[part].promised = now.Add(time.Second)
	c.takeOver(now, c.partitions[part])
	is.Equal(registry.Counter("invariant.broken.no_claim_within_promise"), int64(1))
}
