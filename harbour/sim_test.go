package harbour

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	// sim runs the protocol of several members against a store and a network
	// that lose, delay and reorder. It knows the true time; each member has a
	// clock of its own rate.
	sim struct {
		now     time.Time
		random  *rand.Rand
		members []*simMember
		queue   []simEvent
		serial  int
		store   simStore
		cuts    map[[2]order.MemberID]bool
		loss    float64
		delay   time.Duration

		// acted is the member that acted for a partition at an epoch.
		acted map[simEpoch]order.MemberID
		fence map[order.PartitionID]order.Epoch
		late  int
	}

	simEpoch struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// simEvent is executed at its time, by the member if it has one.
	simEvent struct {
		at     time.Time
		serial int
		member *simMember
		do     func()
	}

	simStore struct {
		version depot.Version
		records map[order.PartitionID]simRecord
		log     []simRecord
		outage  bool
		slow    time.Duration
		lose    float64
	}

	simRecord struct {
		id      order.PartitionID
		record  Record
		version depot.Version
	}

	simMember struct {
		sim      *sim
		id       order.MemberID
		domain   order.DomainName
		rate     float64
		registry *gauge.Registry
		protocol *protocol

		dead       bool
		killed     time.Time
		frozen     time.Time
		ticked     time.Time
		cutOff     bool
		watched    int
		leaseEnds  time.Time
		leaseUntil time.Time
		renewed    time.Time
		storeSeen  time.Time
		revision   order.Revision
		mostLost   bool

		// checked is what the member found allowed directly before it froze.
		checked []simEpoch
	}
)

const (
	simStep    = 2 * time.Millisecond
	simTimeout = time.Second
)

var simStart = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func newSim(seed uint64) *sim {
	return &sim{
		now:    simStart,
		random: rand.New(rand.NewPCG(seed, seed)),
		store:  simStore{records: make(map[order.PartitionID]simRecord)},
		cuts:   make(map[[2]order.MemberID]bool),
		acted:  make(map[simEpoch]order.MemberID),
		fence:  make(map[order.PartitionID]order.Epoch),
		delay:  4 * time.Millisecond,
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
	m.protocol.listedAll(m.local(), nil, 0)
	s.members = append(s.members, m)
	return m
}

// local returns the time on the clock of the member.
func (m *simMember) local() time.Time {
	return simStart.Add(time.Duration(float64(m.sim.now.Sub(simStart)) * m.rate))
}

func (m *simMember) runs() bool { return !m.dead && !m.sim.now.Before(m.frozen) }

func (m *simMember) reachesStore() bool { return !m.cutOff && !m.sim.store.outage }

// may reports whether the member may act for the partition now, and at which
// epoch.
func (m *simMember) may(id order.PartitionID) (order.Epoch, bool) {
	h := (*m.protocol.deadlines.holds.Load())[id]
	if h == nil {
		return 0, false
	}
	until := time.Duration(m.protocol.deadlines.until(id, h.epoch))
	return h.epoch, until > m.local().Sub(m.protocol.deadlines.base)
}

// run advances the true time. It returns an error when an invariant breaks.
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
	// A member that wakes up may tick before or after it reads its inbox.
	if s.random.Float64() < 0.5 {
		s.deliver()
	}
	for _, m := range s.members {
		m.work()
	}
	s.deliver()
	return s.check()
}

// deliver executes the events that are due. Those of a frozen member wait.
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
		case e.at.After(s.now) || (e.member != nil && !e.member.dead && !e.member.runs()):
			s.queue = append(s.queue, e)
		case e.member == nil || !e.member.dead:
			e.do()
		}
	}
}

func (s *sim) at(d time.Duration, m *simMember, do func()) {
	s.serial++
	s.queue = append(s.queue, simEvent{at: s.now.Add(d), serial: s.serial, member: m, do: do})
}

func (s *sim) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// work lets a member act late on what it checked before it froze, follow the
// store and tick.
func (m *simMember) work() {
	if !m.runs() {
		return
	}
	m.actLate()
	m.followStore()
	m.protocol.setRevision(m.revision)
	if m.local().Sub(m.ticked) >= TickPeriod {
		m.ticked = m.local()
		m.protocol.tick(m.local(), m.look())
	}
	m.execute()
}

// actLate writes a start that was allowed before the pause. A worker with
// fence support rejects it once a higher epoch has acted.
func (m *simMember) actLate() {
	for _, c := range m.checked {
		if c.epoch < m.sim.fence[c.partition] {
			m.sim.late++
		}
	}
	m.checked = nil
}

func (m *simMember) followStore() {
	if !m.reachesStore() {
		return
	}
	s := m.sim
	m.storeSeen = m.local()
	if m.local().Sub(m.renewed) >= 3*time.Second || s.now.After(m.leaseEnds) {
		m.renewed = m.local()
		m.leaseUntil = m.local().Add(roster.MemberLease - roster.MemberLease/50)
		m.leaseEnds = s.now.Add(roster.MemberLease)
	}
	for m.watched < len(s.store.log) && s.random.Float64() < 0.5 {
		r := s.store.log[m.watched]
		m.watched++
		m.protocol.observe(m.local(), r.id, r.record, r.version)
	}
}

func (m *simMember) look() view {
	s := m.sim
	v := view{
		listed:     true,
		reachable:  m.local().Sub(m.storeSeen) < 1500*time.Millisecond && !m.storeSeen.IsZero(),
		storeSeen:  m.storeSeen,
		leaseUntil: m.leaseUntil,
		mostLost:   m.mostLost,
		revision:   m.revision,
		shows:      s.shows,
	}
	for _, other := range s.members {
		if s.now.Before(other.leaseEnds) {
			v.members = append(v.members, roster.NewMember(other.id, order.RolePlacer, other.domain, ""))
		}
	}
	return v
}

// shows is the host list: it drops a host some time after it died.
func (s *sim) shows(address string) bool {
	for _, m := range s.members {
		if m.id.Address() == address && (!m.dead || s.now.Sub(m.killed) < 5*time.Second) {
			return true
		}
	}
	return false
}

func (m *simMember) execute() {
	for _, cmd := range m.protocol.take() {
		switch cmd := cmd.(type) {
		case sendCommand:
			m.send(cmd)
		case swapCommand:
			m.swap(cmd)
		case readCommand:
			m.read(cmd)
		case collectCommand:
			m.sim.at(m.sim.jitter(20*time.Millisecond), m, func() {
				m.protocol.collected(m.local(), cmd.partition, cmd.epoch, []byte("state"))
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
			s.at(s.jitter(s.delay), to, func() { to.receive(m.id, cmd.msg) })
		}
	}
}

func (m *simMember) receive(from order.MemberID, msg order.Msg) {
	m.protocol.setRevision(m.revision)
	switch msg := msg.(type) {
	case order.HeartbeatMsg:
		m.protocol.heartbeat(m.local(), from, msg)
	case order.PromiseMsg:
		m.protocol.promise(m.local(), from, msg)
	case order.HandoverMsg:
		m.protocol.handover(m.local(), from, msg)
	case order.HandoverAckMsg:
		m.protocol.acknowledged(msg)
	}
	m.execute()
}

// swap sends a write to the store. A slow store may execute it long after the
// caller has given up.
func (m *simMember) swap(cmd swapCommand) {
	s := m.sim
	answered := false
	answer := func(version depot.Version, err error) {
		if answered {
			return
		}
		answered = true
		m.protocol.swapped(m.local(), cmd.partition, version, err)
		m.execute()
	}
	s.at(simTimeout, m, func() { answer(0, depot.ErrUncertain) })
	if m.cutOff {
		s.at(0, m, func() { answer(0, depot.ErrUnavailable) })
		return
	}
	s.at(s.jitter(2*time.Millisecond+s.store.slow), nil, func() {
		version, err := s.apply(cmd)
		if s.random.Float64() < s.store.lose {
			return
		}
		s.at(s.jitter(2*time.Millisecond+s.store.slow), m, func() { answer(version, err) })
	})
}

func (s *sim) apply(cmd swapCommand) (depot.Version, error) {
	if s.store.outage {
		return 0, depot.ErrUnavailable
	}
	if s.store.records[cmd.partition].version != cmd.expected {
		return 0, depot.ErrConflict
	}
	s.store.version++
	r := simRecord{id: cmd.partition, record: cmd.record, version: s.store.version}
	s.store.records[cmd.partition] = r
	s.store.log = append(s.store.log, r)
	return r.version, nil
}

func (m *simMember) read(cmd readCommand) {
	s := m.sim
	s.at(s.jitter(2*time.Millisecond+s.store.slow), nil, func() {
		r := s.store.records[cmd.partition]
		var err error
		if !m.reachesStore() || s.random.Float64() < s.store.lose {
			err = depot.ErrUnavailable
		}
		entry := depot.NewEntry(recordKey(cmd.partition), nil, r.version)
		s.at(s.jitter(2*time.Millisecond+s.store.slow), m, func() {
			m.protocol.wasRead(m.local(), cmd.partition, entry, r.record, err)
			m.execute()
		})
	})
}

// freeze stops a member for a while, directly after it checked what it may do.
func (s *sim) freeze(m *simMember, d time.Duration) {
	if !m.runs() {
		return
	}
	m.frozen = s.now.Add(d)
	for id := range s.store.records {
		if epoch, ok := m.may(id); ok {
			m.checked = append(m.checked, simEpoch{id, epoch})
		}
	}
}

func (s *sim) kill(m *simMember) {
	if !m.dead {
		m.dead, m.killed = true, s.now
	}
}

// actors returns the members that may act for the partition now.
func (s *sim) actors(id order.PartitionID) []*simMember {
	var found []*simMember
	for _, m := range s.members {
		if _, ok := m.may(id); ok && m.runs() {
			found = append(found, m)
		}
	}
	return found
}

// check asserts what only an omniscient observer sees: at most one member may
// act for a partition, and epochs rise and belong to one member each.
func (s *sim) check() error {
	for id := range s.store.records {
		found := s.actors(id)
		if len(found) > 1 {
			return fmt.Errorf("%s and %s may act at once for %s after %s",
				found[0].id, found[1].id, id, s.now.Sub(simStart))
		}
		for _, m := range found {
			epoch, _ := m.may(id)
			if epoch < s.fence[id] {
				return fmt.Errorf("%s may act for %s at epoch %d after epoch %d", m.id, id, epoch, s.fence[id])
			}
			s.fence[id] = epoch
			key := simEpoch{id, epoch}
			if other, ok := s.acted[key]; ok && other != m.id {
				return fmt.Errorf("%s and %s acted for %s at epoch %d", other, m.id, id, epoch)
			}
			s.acted[key] = m.id
		}
	}
	return s.checkLog()
}

func (s *sim) checkLog() error {
	last := make(map[order.PartitionID]order.Epoch)
	for _, r := range s.store.log {
		if r.record.epoch < last[r.id] {
			return errors.New("the epoch of " + string(r.id) + " fell in the store")
		}
		last[r.id] = r.record.epoch
	}
	return nil
}
