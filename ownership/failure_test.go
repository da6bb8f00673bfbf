package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/storage"
)

const testPartition = order.PartitionID("r/00")

// newSteadySim returns a simulation whose members have served the partitions
// for 20 s.
func newSteadySim(t *testing.T, members int, ids ...order.PartitionID) *sim {
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

// runUntil runs until the condition holds and returns how long that took.
func (s *sim) runUntil(t *testing.T, timeout time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	began := s.now
	for s.now.Sub(began) < timeout {
		if ok() {
			return s.now.Sub(began)
		}
		s.mustRun(t, 10*time.Millisecond)
	}
	t.Fatalf("%s: not within %s", what, timeout)
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

func (s *sim) cutLink(a, b order.MemberID) {
	s.cuts[[2]order.MemberID{a, b}] = true
	s.cuts[[2]order.MemberID{b, a}] = true
}

func (s *sim) setMostLost(lost bool) {
	for _, m := range s.members {
		m.mostLost = lost
	}
}

func (m *simMember) mayAct(id order.PartitionID) bool {
	_, ok := m.permittedEpoch(id)
	return ok && m.running()
}

func (m *simMember) count(name string) int64 { return m.registry.Counter(name) }

// Failure case "placer pauses past its promise". Guards against a process that
// still acts after a pause. It also counts the case that only the fencing token
// catches: a start that was checked before the pause and written after it.
func TestPauseEndsPermission(t *testing.T) {
	is := is.New(t)
	s := newSteadySim(t, 3, testPartition)
	first := s.owner(testPartition)
	s.freeze(first, 5*time.Second)
	took := s.runUntil(t, 3500*time.Millisecond, "takeover", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
	t.Logf("takeover took %s", took)
	second := s.owner(testPartition)
	is.True(second != first)
	s.mustRun(t, 4*time.Second)
	is.True(!first.mayAct(testPartition))
	is.Equal(first.count("harbour.lost"), int64(1))
	is.Equal(s.lateWrites, 1)
}

// Failure case "owner cut off from standby". Guards against a partition that
// gets no owner, or two, when only the link between owner and standby is down.
func TestLinkToStandbyCut(t *testing.T) {
	is := is.New(t)
	s := newSteadySim(t, 4, testPartition)
	owner, standby := s.owner(testPartition), s.standby(testPartition)
	s.cutLink(owner.id, standby.id)
	s.mustRun(t, 1600*time.Millisecond)
	s.runUntil(t, 1900*time.Millisecond, "partition served", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
	is.Equal(s.owner(testPartition), owner)
	is.True(s.standby(testPartition) != standby)
}

// Failure case "owner cut off from the store". Guards against an owner that
// still starts work 3 s after it lost the store while the others reach it.
func TestOwnerCutOffFromStore(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	owner := s.owner(testPartition)
	owner.cutOff = true
	s.mustRun(t, 1400*time.Millisecond)
	if !owner.mayAct(testPartition) {
		t.Fatal("owner stopped 1.4 s after it lost the store")
	}
	s.mustRun(t, 1600*time.Millisecond)
	if owner.mayAct(testPartition) {
		t.Fatal("owner still acts 3 s after it lost the store alone")
	}
	owner.cutOff = false
	s.runUntil(t, time.Second, "acts again", func() bool { return owner.mayAct(testPartition) })
}

// Failure cases "store down" and "owner and standby without the store for 15
// min". Guards against placement that stops in a store outage, and against an
// owner that never stops.
func TestStoreDown(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	owner := s.owner(testPartition)
	s.store.outage = true
	s.setMostLost(true)
	for range 60 {
		s.mustRun(t, time.Second)
		if !owner.mayAct(testPartition) {
			t.Fatalf("owner stopped %s after the start of the outage", s.now.Sub(simStart)-20*time.Second)
		}
	}
	s.mustRun(t, ContactLimit-70*time.Second-ContactLimit/clockDriftDivisor)
	if !owner.mayAct(testPartition) {
		t.Fatal("owner stopped before ContactLimit")
	}
	s.mustRun(t, ContactLimit/clockDriftDivisor+20*time.Second)
	if owner.mayAct(testPartition) {
		t.Fatal("owner still acts 15 min after the last contact with the store")
	}
	s.store.outage = false
	s.setMostLost(false)
	s.runUntil(t, 5*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
}

// Guards against a partition that is not taken over after a store outage in
// which its owner crashed.
func TestOwnerCrashInOutage(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	s.store.outage = true
	s.setMostLost(true)
	s.mustRun(t, 2*time.Second)
	s.kill(s.owner(testPartition))
	s.mustRun(t, 30*time.Second)
	if len(s.activeOwners(testPartition)) != 0 {
		t.Fatal("partition claimed without the store")
	}
	s.store.outage = false
	s.setMostLost(false)
	s.runUntil(t, 6*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
}

// Failure case "store slow". Guards against heartbeats that wait for a store
// call.
func TestStoreSlow(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	owner := s.owner(testPartition)
	s.store.delay = 5 * time.Second
	for range 100 {
		s.mustRun(t, 100*time.Millisecond)
		if !owner.mayAct(testPartition) {
			t.Fatal("owner stopped because the store is slow")
		}
	}
}

// Failure case "store answer lost". Guards against a partition that has no
// owner because the reply to a claim was lost.
func TestStoreAnswerLost(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	s.kill(s.owner(testPartition))
	s.mustRun(t, time.Second)
	s.store.answerLoss = 1
	s.mustRun(t, 2*time.Second)
	s.store.answerLoss = 0
	s.runUntil(t, 4*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
}

// Failure cases "failure domain gone" and "failure domain back". Guards against
// a slow takeover of a whole failure domain, against ownership that does not
// return within 30 s, and against ownership that oscillates afterwards.
func TestDomainLossAndReturn(t *testing.T) {
	is := is.New(t)
	ids := []order.PartitionID{"g/a/1", "g/a/2", "g/b/1", "g/c/1"}
	for i := range order.RequestPartitions {
		ids = append(ids, order.RequestPartitionAt(i))
	}
	s := newSteadySim(t, 9, ids...)
	s.mustRun(t, 30*time.Second)
	is.Equal(s.owner("g/a/1").domain, order.DomainName("a"))
	s.checkPlacement(t, ids)
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
	s.checkPlacement(t, ids)
	changes := len(s.store.log)
	s.mustRun(t, 2*time.Minute)
	is.Equal(len(s.store.log), changes)
}

// checkPlacement checks the failure domains of owners and standbys and how many
// standbys each process uses.
func (s *sim) checkPlacement(t *testing.T, ids []order.PartitionID) {
	t.Helper()
	standbys := make(map[order.MemberID]map[order.MemberID]bool)
	for _, id := range ids {
		owner, standby := s.owner(id), s.standby(id)
		if standby == nil || owner.domain == standby.domain {
			t.Fatalf("%s: owner %s and standby %v are not in different domains", id, owner.id, standby)
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

// Failure case "regions apart". Guards against owners that still act on the
// side without the store, and against partitions that are not served on the
// side with the store because it waits for the other side.
func TestNetworkPartition(t *testing.T) {
	ids := []order.PartitionID{"r/00", "r/01", "r/02", "r/03", "g/a/1"}
	s := newSteadySim(t, 9, ids...)
	for _, m := range s.members {
		m.cutOff = m.domain == "a"
		for _, other := range s.members {
			if m.domain == "a" && other.domain != "a" {
				s.cutLink(m.id, other.id)
			}
		}
	}
	s.mustRun(t, 3500*time.Millisecond)
	for _, id := range ids {
		found := s.activeOwners(id)
		if len(found) != 1 || found[0].cutOff {
			t.Errorf("%s is not served by the side with the store", id)
		}
	}
}

// Failure case "owner and standby gone". Guards against a partition that no
// process claims after both processes crashed, and against a claim that is
// based only on their expired leases.
func TestOwnerAndStandbyCrash(t *testing.T) {
	s := newSteadySim(t, 5, testPartition)
	owner, standby := s.owner(testPartition), s.standby(testPartition)
	s.kill(owner)
	s.kill(standby)
	s.mustRun(t, 4*time.Second)
	if len(s.activeOwners(testPartition)) != 0 {
		t.Fatal("partition claimed while its owner or standby may still run")
	}
	s.runUntil(t, 15*time.Second, "partition served", func() bool { return s.allServed([]order.PartitionID{testPartition}) })
}

// Guards against a claim after 15 min of absence that counts time in which the
// claiming process did not reach the store, and against an absence that never
// counts, here in a process whose ticks are always late.
func TestTerminatedByAbsence(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleListing(now, nil, 0)
	c.handleRecord(now, testPartition, NewRecord("x/1", "y/1", 4), 7)
	c.takeCommands()
	v := view{memberListRead: true, storeReachable: true, hostListed: func(string) bool { return true }}
	advance := func(d time.Duration) []command {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			v.lastStoreReply = now
			c.tick(now, v)
		}
		return c.takeCommands()
	}
	is.Equal(len(advance(14*time.Minute)), 0)
	v.storeReachable = false
	is.Equal(len(advance(10*time.Minute)), 0)
	v.storeReachable = true
	is.Equal(len(advance(30*time.Second)), 0)
	out := advance(2 * time.Minute)
	is.True(len(out) > 0)
	is.Equal(out[0].(swapCommand).record, NewRecord("self/1", "", 5))
}

// Guards against a process that does not claim although a new process at the
// address of the owner proves that the owner has terminated.
func TestTerminatedByNewAddress(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleListing(now, nil, 0)
	c.handleRecord(now, testPartition, NewRecord("x/1", "", 4), 7)
	v := view{memberListRead: true, storeReachable: true, hostListed: func(string) bool { return true }}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		c.tick(now, v)
	}
	is.Equal(len(c.takeCommands()), 0)
	v.members = []roster.Member{roster.NewMember("x/2", order.RolePlacer, "a", "")}
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		c.tick(now, v)
	}
	out := c.takeCommands()
	is.True(len(out) > 0)
	is.Equal(out[0].(swapCommand).record.owner, order.MemberID("self/1"))
}

// Guards against an owner that acts with an older configuration than its
// standby, and against a standby that gives promises to such an owner.
func TestOlderRevisionMayNotAct(t *testing.T) {
	s := newSteadySim(t, 3, testPartition)
	owner, standby := s.owner(testPartition), s.standby(testPartition)
	standby.revision = 5
	s.runUntil(t, 300*time.Millisecond, "owner stops", func() bool { return !owner.mayAct(testPartition) })
	s.mustRun(t, time.Second)
	if owner.mayAct(testPartition) {
		t.Fatal("owner acts with an old configuration")
	}
	owner.revision = 5
	s.runUntil(t, 300*time.Millisecond, "owner acts again", func() bool { return owner.mayAct(testPartition) })
}

// Guards against a single placer that cannot act at all, and against one that
// acts without a confirmed lease.
func TestSinglePlacer(t *testing.T) {
	s := newSteadySim(t, 1, testPartition)
	m := s.members[0]
	s.store.outage = true
	s.runUntil(t, 3*time.Second, "stops without the store", func() bool { return !m.mayAct(testPartition) })
	m.mostLost = true
	s.runUntil(t, time.Second, "acts under its lease", func() bool { return m.mayAct(testPartition) })
	s.mustRun(t, 10*time.Second)
	if m.mayAct(testPartition) {
		t.Fatal("placer acts after its lease expired")
	}
}

// Guards against a planned stop that leaves a partition without an owner for
// more than 500 ms, and against a leaving process that claims again.
func TestHandover(t *testing.T) {
	is := is.New(t)
	s := newSteadySim(t, 3, testPartition, "r/01")
	leaving := s.owner(testPartition)
	for _, id := range leaving.protocol.startLeaving() {
		leaving.protocol.startPlannedHandover(leaving.local(), id)
	}
	took := s.runUntil(t, 500*time.Millisecond, "new owner", func() bool {
		return s.owner(testPartition) != leaving && s.allServed([]order.PartitionID{testPartition, "r/01"})
	})
	t.Logf("handover took %s", took)
	s.mustRun(t, 10*time.Second)
	is.Equal(len(leaving.protocol.owned), 0)
	is.True(s.owner(testPartition).count("harbour.acquired") > 0)
}

// Guards against a new owner that starts without the state of the previous one
// because the record of the handover arrived before the message with the state.
func TestStateAfterRecord(t *testing.T) {
	for _, late := range []bool{false, true} {
		is := is.New(t)
		c, now := newTestProtocol()
		c.handleListing(now, nil, 0)
		c.tick(now, reachableView(now))
		record := NewRecord("self/1", "y/1", 5)
		record.handover = "h1"
		c.handleRecord(now, testPartition, record, 9)
		is.Equal(len(acquiredEvents(c)), 0) // waits for the state
		if late {
			now = now.Add(stateTimeout)
			c.tick(now, reachableView(now))
			is.Equal(string(acquiredEvents(c)[0].State()), "") // starts without it
		}
		c.handleHandover(now, "x/1", order.HandoverMsg{}.WithPartition(testPartition).WithEpoch(5).WithState([]byte("state")).WithHandover("h1"))
		events := acquiredEvents(c)
		if late {
			is.Equal(len(events), 0) // starts only once
			continue
		}
		is.Equal(len(events), 1)
		is.Equal(string(events[0].State()), "state")
	}
}

// acquiredEvents returns the AcquiredEvents since the last call.
func acquiredEvents(c *protocol) []AcquiredEvent {
	var events []AcquiredEvent
	for _, cmd := range c.takeCommands() {
		if e, ok := cmd.(eventCommand); ok {
			if a, ok := e.event.(AcquiredEvent); ok {
				events = append(events, a)
			}
		}
	}
	return events
}

func newTestProtocol() (*protocol, time.Time) {
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	c := newProtocol("self/1", "a", simStart, registry, zerolog.Nop())
	return c, simStart.Add(time.Minute)
}

// promiseFor returns the reply to a heartbeat with one claim.
func promiseFor(c *protocol, now time.Time, from order.MemberID, epoch order.Epoch) order.PromiseMsg {
	claim := order.Claim{}.WithPartition(testPartition).WithEpoch(epoch)
	c.handleHeartbeat(now, from, order.HeartbeatMsg{}.WithSequence(1).WithClaims([]order.Claim{claim}))
	out := c.takeCommands()
	return out[len(out)-1].(sendCommand).msg.(order.PromiseMsg)
}

func reachableView(now time.Time) view {
	return view{
		memberListRead: true, storeReachable: true, lastStoreReply: now,
		hostListed: func(string) bool { return true },
	}
}

// Guards against a standby that gives a promise while its own claim may still
// take effect.
func TestNoPromiseWhileClaimPending(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleListing(now, nil, 0)
	c.handleRecord(now, testPartition, NewRecord("x/1", "self/1", 4), 7)
	c.tick(now, reachableView(now))
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 1)
	now = now.Add(standbyValidity)
	c.tick(now, reachableView(now))
	now = now.Add(300 * time.Millisecond)
	c.tick(now, reachableView(now))
	claim := c.takeCommands()[0].(swapCommand)
	is.Equal(claim.record.epoch, order.Epoch(5))
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 0)

	// The reply is lost and the record unchanged: the write may still arrive.
	c.handleSwapResult(now, testPartition, 0, storage.ErrUncertain)
	is.Equal(c.takeCommands(), []command{readCommand{partition: testPartition}})
	value := storage.NewEntry(recordKey(testPartition), nil, 7)
	c.handleReadResult(now, testPartition, value, NewRecord("x/1", "self/1", 4), nil)
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 0)
	now = now.Add(300 * time.Millisecond)
	c.tick(now, reachableView(now))
	is.Equal(c.takeCommands()[0].(swapCommand), claim)

	// Even if the second attempt certainly failed, the first may take effect.
	c.handleSwapResult(now, testPartition, 0, storage.ErrUnavailable)
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 0)
	c.handleRecord(now, testPartition, NewRecord("x/1", "z/1", 4), 9)
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 1)
}

// Guards against a promise to an owner whose epoch has ended.
func TestNoPromiseForOldEpoch(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleRecord(now, testPartition, NewRecord("z/1", "w/1", 6), 9)
	is.Equal(len(promiseFor(c, now, "x/1", 4).Granted()), 0)
	is.Equal(len(promiseFor(c, now, "z/1", 6).Granted()), 1)
}

// Guards against a process that gives promises directly after its start: it may
// have given one to another owner, or claimed, before it restarted.
func TestNoPromiseAfterStart(t *testing.T) {
	is := is.New(t)
	c, _ := newTestProtocol()
	is.Equal(len(promiseFor(c, simStart.Add(PromiseValidity), "x/1", 4).Granted()), 0)
	is.Equal(len(promiseFor(c, simStart.Add(standbyValidity), "x/1", 4).Granted()), 1)
}

// Guards against a promise that counts from its receipt: it may have been in
// transit for longer than it is valid.
func TestPromiseCountsFromSending(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleRecord(now, testPartition, NewRecord("self/1", "y/1", 4), 7)
	c.tick(now, reachableView(now))
	sent := now
	var heartbeat order.HeartbeatMsg
	for _, cmd := range c.takeCommands() {
		if m, ok := cmd.(sendCommand); ok {
			heartbeat = m.msg.(order.HeartbeatMsg)
		}
	}
	now = now.Add(time.Second)
	c.tick(now, reachableView(now))
	c.handlePromise(now, "y/1", order.PromiseMsg{}.
		WithSequence(heartbeat.Sequence()).
		WithGranted(heartbeat.Claims()).
		WithValidFor(PromiseValidity))
	until := time.Duration(c.deadlines.until(testPartition, 4))
	is.Equal(until, sent.Add(ownerValidity).Sub(c.deadlines.base))
	is.Equal(c.deadlines.until(testPartition, 3), int64(0))
	is.Equal(c.deadlines.until(testPartition, 5), int64(0))
}

// Guards against the state of an aborted handover that is used for a later
// handover to the same process.
func TestStateOfOtherHandover(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.handleHandover(now, "x/1", order.HandoverMsg{}.
		WithPartition(testPartition).WithEpoch(5).WithState([]byte("old")).WithHandover("first"))
	record := NewRecord("self/1", "y/1", 5)
	record.handover = "second"
	c.handleRecord(now, testPartition, record, 9)
	is.Equal(len(acquiredEvents(c)), 0) // the state of its own handover may still come
	now = now.Add(stateTimeout)
	c.expireStateWait(now, c.partition(testPartition))
	event := acquiredEvents(c)[0]
	is.True(event.State() == nil)

	c.handleHandover(now, "x/1", order.HandoverMsg{}.
		WithPartition("r/01").WithEpoch(5).WithState([]byte("new")).WithHandover("third"))
	record.handover = "third"
	c.handleRecord(now, "r/01", record, 10)
	event = acquiredEvents(c)[0]
	is.Equal(string(event.State()), "new")
}

// Guards against a component that stays stopped after a move between two
// running processes was aborted, and against a promise that counts during the
// move.
func TestMoveAborted(t *testing.T) {
	is := is.New(t)
	c, now := newTestProtocol()
	c.canDrain = true
	c.handleListing(now, nil, 0)
	c.handleRecord(now, testPartition, NewRecord("self/1", "y/1", 4), 7)
	c.tick(now, reachableView(now))
	c.takeCommands()
	p := c.owned[testPartition]
	p.deadline = now.Add(ownerValidity)
	c.startHandover(now, p, "z/1", false)
	is.Equal(c.takeCommands()[0].(drainCommand).epoch, order.Epoch(4))
	is.Equal(c.deadlines.until(testPartition, 4), int64(0))
	c.handleDrained(now, testPartition, 4, []byte("state"))
	out := c.takeCommands()
	is.Equal(string(out[0].(sendCommand).msg.(order.HandoverMsg).State()), "state")
	is.Equal(out[1].(swapCommand).record.epoch, order.Epoch(5))
	c.handleSwapResult(now, testPartition, 0, storage.ErrUnavailable)
	out = c.takeCommands()
	event := out[0].(eventCommand).event.(AcquiredEvent)
	is.Equal(event.Epoch(), order.Epoch(4))
	is.Equal(string(event.State()), "state")
	is.True(c.deadlines.until(testPartition, 4) > 0)
}

// Guards against invariant checks that report nothing: two owners at one epoch,
// a falling epoch and a claim within a promise must be reported.
func TestInvariantsReported(t *testing.T) {
	is := is.New(t)
	registry := gauge.New(zerolog.Nop())
	c := newProtocol("self/1", "a", simStart, registry, zerolog.Nop())
	now := simStart.Add(time.Minute)
	c.handleRecord(now, testPartition, NewRecord("x/1", "y/1", 4), 7)
	c.handleRecord(now, testPartition, NewRecord("z/1", "y/1", 4), 8)
	is.Equal(registry.Counter("invariant.broken.one_owner_per_epoch"), int64(1))
	c.handleRecord(now, testPartition, NewRecord("z/1", "y/1", 3), 9)
	is.Equal(registry.Counter("invariant.broken.epoch_rises"), int64(1))
	is.Equal(len(promiseFor(c, now, "x/1", 3).Granted()), 0)
	is.Equal(registry.Counter("invariant.broken.one_owner_per_epoch"), int64(2))
	c.partitions[testPartition].promisedUntil = now.Add(time.Second)
	c.takeOver(now, c.partitions[testPartition])
	is.Equal(registry.Counter("invariant.broken.no_claim_within_promise"), int64(1))
}
