package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/storage"
)

type (
	// sim runs the protocol of several members against a simulated store and
	// network that lose, delay and reorder. It has the true time; each member
	// has a clock with its own rate.
	sim struct {
		now        time.Time
		random     *rand.Rand
		members    []*simMember
		queue      []simEvent
		lastSerial int
		store      simStore
		cuts       map[[2]order.MemberID]bool
		loss       float64
		delay      time.Duration

		// actorOf is the member that acted for a partition at an epoch. fences
		// holds the highest epoch at which a member acted.
		actorOf    map[simEpoch]order.MemberID
		fences     map[order.PartitionID]order.Epoch
		lateWrites int
	}

	simEpoch struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// simEvent runs at its time, on the member if it has one.
	simEvent struct {
		at     time.Time
		serial int
		member *simMember
		run    func()
	}

	simStore struct {
		version    storage.Version
		records    map[order.PartitionID]simRecord
		log        []simRecord
		outage     bool
		delay      time.Duration
		answerLoss float64
	}

	simRecord struct {
		id      order.PartitionID
		record  Record
		version storage.Version
	}

	// simMember is a process with its own clock. killed, frozen and leaseEnds
	// are true times; the other times are on its clock.
	simMember struct {
		sim      *sim
		id       order.MemberID
		domain   order.DomainName
		rate     float64
		registry *gauge.Registry
		protocol *protocol

		dead         bool
		killed       time.Time
		frozen       time.Time
		lastTick     time.Time
		cutOff       bool
		nextLogIndex int
		leaseEnds    time.Time
		leaseUntil   time.Time
		renewedAt    time.Time
		storeSeen    time.Time
		revision     order.Revision
		mostLost     bool

		// staleChecks is what the member was allowed to do when it was frozen.
		staleChecks []simEpoch
	}
)

const (
	simStep    = 2 * time.Millisecond
	simTimeout = time.Second
)

var simStart = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func newSim(seed uint64) *sim {
	return &sim{
		now:     simStart,
		random:  rand.New(rand.NewPCG(seed, seed)),
		store:   simStore{records: make(map[order.PartitionID]simRecord)},
		cuts:    make(map[[2]order.MemberID]bool),
		actorOf: make(map[simEpoch]order.MemberID),
		fences:  make(map[order.PartitionID]order.Epoch),
		delay:   4 * time.Millisecond,
	}
}

func (s *sim) add(address string, domain order.DomainName, rate float64) *simMember {
	m := &simMember{
		sim:      s,
		id:       order.MemberID(fmt.Sprintf("%s/%03d", address, len(s.members))),
		domain:   domain,
		rate:     rate,
		registry: gauge.New(zerolog.Nop()),
	}
	m.registry.SetStrict(true)
	m.protocol = newProtocol(m.id, domain, m.local(), m.registry, zerolog.Nop())
	m.protocol.handleListing(m.local(), nil, 0)
	s.members = append(s.members, m)
	return m
}

// local returns the time on the clock of the member.
func (m *simMember) local() time.Time {
	return simStart.Add(time.Duration(float64(m.sim.now.Sub(simStart)) * m.rate))
}

func (m *simMember) running() bool { return !m.dead && !m.sim.now.Before(m.frozen) }

func (m *simMember) reachesStore() bool { return !m.cutOff && !m.sim.store.outage }

// permittedEpoch returns the epoch at which the member may act for the
// partition now, and whether it may.
func (m *simMember) permittedEpoch(id order.PartitionID) (order.Epoch, bool) {
	h := (*m.protocol.deadlines.permissions.Load())[id]
	if h == nil {
		return 0, false
	}
	until := time.Duration(m.protocol.deadlines.until(id, h.epoch))
	return h.epoch, until > m.local().Sub(m.protocol.deadlines.base)
}

// run advances the true time. It returns an error when an invariant is
// violated.
func (s *sim) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) step() (err error) {
	defer func() {
		if broken, ok := recover().(error); ok {
			err = broken
		}
	}()
	// A member may tick before or after it reads its inbox when it resumes.
	if s.random.Float64() < 0.5 {
		s.deliver()
	}
	for _, m := range s.members {
		m.step()
	}
	s.deliver()
	return s.check()
}

// deliver runs the events that are due. Those of a frozen member wait.
func (s *sim) deliver() {
	sort.Slice(s.queue, func(i, j int) bool {
		a, b := s.queue[i], s.queue[j]
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.serial < b.serial
	})
	due := s.queue
	s.queue = nil
	for _, e := range due {
		switch {
		case e.at.After(s.now) || (e.member != nil && !e.member.dead && !e.member.running()):
			s.queue = append(s.queue, e)
		case e.member == nil || !e.member.dead:
			e.run()
		}
	}
}

func (s *sim) schedule(d time.Duration, m *simMember, do func()) {
	s.lastSerial++
	s.queue = append(s.queue, simEvent{at: s.now.Add(d), serial: s.lastSerial, member: m, run: do})
}

func (s *sim) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// step writes stale starts, reads new records of the store and ticks.
func (m *simMember) step() {
	if !m.running() {
		return
	}
	m.writeStaleStarts()
	m.followStore()
	m.protocol.setRevision(m.revision)
	if m.local().Sub(m.lastTick) >= TickPeriod {
		m.lastTick = m.local()
		m.protocol.tick(m.local(), m.view())
	}
	m.execute()
}

// writeStaleStarts performs starts that were allowed before a pause. A worker
// that checks the fencing token rejects one if a higher epoch has acted.
func (m *simMember) writeStaleStarts() {
	for _, c := range m.staleChecks {
		if c.epoch < m.sim.fences[c.partition] {
			m.sim.lateWrites++
		}
	}
	m.staleChecks = nil
}

func (m *simMember) followStore() {
	if !m.reachesStore() {
		return
	}
	s := m.sim
	m.storeSeen = m.local()
	if m.local().Sub(m.renewedAt) >= 3*time.Second || s.now.After(m.leaseEnds) {
		m.renewedAt = m.local()
		m.leaseUntil = m.local().Add(roster.MemberLeaseTTL - roster.MemberLeaseTTL/50)
		m.leaseEnds = s.now.Add(roster.MemberLeaseTTL)
	}
	for m.nextLogIndex < len(s.store.log) && s.random.Float64() < 0.5 {
		r := s.store.log[m.nextLogIndex]
		m.nextLogIndex++
		m.protocol.handleRecord(m.local(), r.id, r.record, r.version)
	}
}

func (m *simMember) view() view {
	s := m.sim
	v := view{
		memberListRead:    true,
		storeReachable:    m.local().Sub(m.storeSeen) < 1500*time.Millisecond && !m.storeSeen.IsZero(),
		lastStoreReply:    m.storeSeen,
		leaseEnd:          m.leaseUntil,
		majorityLostStore: m.mostLost,
		revision:          m.revision,
		hostListed:        s.hostListed,
	}
	for _, other := range s.members {
		if s.now.Before(other.leaseEnds) {
			v.members = append(v.members, roster.NewMember(other.id, order.RolePlacer, other.domain, ""))
		}
	}
	return v
}

// hostListed simulates the host list, which drops a host 5 s after its member
// crashed.
func (s *sim) hostListed(address string) bool {
	for _, m := range s.members {
		if m.id.Address() == address && (!m.dead || s.now.Sub(m.killed) < 5*time.Second) {
			return true
		}
	}
	return false
}

func (m *simMember) execute() {
	for _, cmd := range m.protocol.takeCommands() {
		switch cmd := cmd.(type) {
		case sendCommand:
			m.send(cmd)
		case swapCommand:
			m.swap(cmd)
		case readCommand:
			m.read(cmd)
		case drainCommand:
			m.sim.schedule(m.sim.jitter(20*time.Millisecond), m, func() {
				m.protocol.handleDrained(m.local(), cmd.partition, cmd.epoch, []byte("state"))
				m.execute()
			})
		}
	}
}

func (m *simMember) send(cmd sendCommand) {
	s := m.sim
	if s.cuts[[2]order.MemberID{m.id, cmd.to}] || s.random.Float64() < s.loss {
		return
	}
	for _, to := range s.members {
		if to.id == cmd.to {
			s.schedule(s.jitter(s.delay), to, func() { to.receive(m.id, cmd.msg) })
		}
	}
}

func (m *simMember) receive(from order.MemberID, msg order.Msg) {
	m.protocol.setRevision(m.revision)
	switch msg := msg.(type) {
	case order.HeartbeatMsg:
		m.protocol.handleHeartbeat(m.local(), from, msg)
	case order.PromiseMsg:
		m.protocol.handlePromise(m.local(), from, msg)
	case order.HandoverMsg:
		m.protocol.handleHandover(m.local(), from, msg)
	case order.HandoverAckMsg:
		m.protocol.handleHandoverAck(msg)
	}
	m.execute()
}

// swap sends a write to the store. A slow store may execute it long after the
// call has timed out.
func (m *simMember) swap(cmd swapCommand) {
	s := m.sim
	replied := false
	reply := func(version storage.Version, err error) {
		if replied {
			return
		}
		replied = true
		m.protocol.handleSwapResult(m.local(), cmd.partition, version, err)
		m.execute()
	}
	s.schedule(simTimeout, m, func() { reply(0, storage.ErrUncertain) })
	if m.cutOff {
		s.schedule(0, m, func() { reply(0, storage.ErrUnavailable) })
		return
	}
	s.schedule(s.jitter(2*time.Millisecond+s.store.delay), nil, func() {
		version, err := s.apply(cmd)
		if s.random.Float64() < s.store.answerLoss {
			return
		}
		s.schedule(s.jitter(2*time.Millisecond+s.store.delay), m, func() { reply(version, err) })
	})
}

func (s *sim) apply(cmd swapCommand) (storage.Version, error) {
	if s.store.outage {
		return 0, storage.ErrUnavailable
	}
	if s.store.records[cmd.partition].version != cmd.expected {
		return 0, storage.ErrConflict
	}
	s.store.version++
	r := simRecord{id: cmd.partition, record: cmd.record, version: s.store.version}
	s.store.records[cmd.partition] = r
	s.store.log = append(s.store.log, r)
	return r.version, nil
}

func (m *simMember) read(cmd readCommand) {
	s := m.sim
	s.schedule(s.jitter(2*time.Millisecond+s.store.delay), nil, func() {
		r := s.store.records[cmd.partition]
		var err error
		if !m.reachesStore() || s.random.Float64() < s.store.answerLoss {
			err = storage.ErrUnavailable
		}
		entry := storage.NewEntry(recordKey(cmd.partition), nil, r.version)
		s.schedule(s.jitter(2*time.Millisecond+s.store.delay), m, func() {
			m.protocol.handleReadResult(m.local(), cmd.partition, entry, r.record, err)
			m.execute()
		})
	})
}

// freeze pauses a member directly after it checked what it may do.
func (s *sim) freeze(m *simMember, d time.Duration) {
	if !m.running() {
		return
	}
	m.frozen = s.now.Add(d)
	for id := range s.store.records {
		if epoch, ok := m.permittedEpoch(id); ok {
			m.staleChecks = append(m.staleChecks, simEpoch{id, epoch})
		}
	}
}

func (s *sim) kill(m *simMember) {
	if !m.dead {
		m.dead, m.killed = true, s.now
	}
}

// activeOwners returns the members that may act for the partition now.
func (s *sim) activeOwners(id order.PartitionID) []*simMember {
	var found []*simMember
	for _, m := range s.members {
		if _, ok := m.permittedEpoch(id); ok && m.running() {
			found = append(found, m)
		}
	}
	return found
}

// check checks what no single member can see: at most one member may act for a
// partition, epochs rise, and only one member acts at each epoch.
func (s *sim) check() error {
	for id := range s.store.records {
		found := s.activeOwners(id)
		if len(found) > 1 {
			return fmt.Errorf("%s and %s may act at once for %s after %s",
				found[0].id, found[1].id, id, s.now.Sub(simStart))
		}
		for _, m := range found {
			epoch, _ := m.permittedEpoch(id)
			if epoch < s.fences[id] {
				return fmt.Errorf("%s may act for %s at epoch %d after epoch %d", m.id, id, epoch, s.fences[id])
			}
			s.fences[id] = epoch
			key := simEpoch{id, epoch}
			if other, ok := s.actorOf[key]; ok && other != m.id {
				return fmt.Errorf("%s and %s acted for %s at epoch %d", other, m.id, id, epoch)
			}
			s.actorOf[key] = m.id
		}
	}
	return s.checkLog()
}

func (s *sim) checkLog() error {
	last := make(map[order.PartitionID]order.Epoch)
	for _, r := range s.store.log {
		if r.record.epoch < last[r.id] {
			return errors.New("the epoch of " + string(r.id) + " decreased in the store")
		}
		last[r.id] = r.record.epoch
	}
	return nil
}
