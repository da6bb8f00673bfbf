// Package tonnage divides the limits of teams into allotments of worker groups
// (quota division).
package tonnage

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// Command is something that the machine wants to be done.
	Command interface{ command() }

	// PostCmd sends a message to the owner of a group.
	PostCmd struct {
		group order.GroupID
		msg   order.AllotMsg
	}

	// ReadCmd reads the record of a team.
	ReadCmd struct{ team order.TeamName }

	// WriteCmd writes the record of a team if it has the expected version.
	WriteCmd struct {
		team     order.TeamName
		expected depot.Version
		value    []byte
	}

	// Observation is what the process knows about the cell.
	Observation struct {
		config  *sheet.Config
		groups  []order.GroupID
		digests []order.GroupDigest
		owned   func(order.GroupID) bool
	}

	// Machine is the state machine of the divider of a request partition. It
	// is not safe for concurrent use.
	Machine struct {
		partition order.PartitionID
		registry  *gauge.Registry

		now       time.Time
		commands  []Command
		config    *sheet.Config
		groups    map[order.GroupID]*group
		order     []order.GroupID
		teams     map[order.TeamName]*team
		names     []order.TeamName
		ownerless map[order.GroupID]time.Time
	}

	group struct {
		listed bool
		digest order.GroupDigest
		fresh  bool
		known  bool
	}

	// record is the value of a team's key in the store.
	record struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}

	team struct {
		name    order.TeamName
		phase   phase
		record  record
		version depot.Version
		// seen is the highest version that a group acknowledged, which may be
		// of a division that was never written; next is above it.
		seen    uint64
		next    uint64
		retryAt time.Time
		nextAt  time.Time
		backoff time.Duration
		// rewrite tells that groups may have been lowered without a record of
		// it, so the next division is written even if it changes nothing.
		rewrite bool

		// lowering is what groups are asked to go down to, until they have
		// acknowledged it or time is up; lowered is what they acknowledged.
		lowering map[order.GroupID]int
		lowered  map[order.GroupID]int
		until    time.Time
		resendAt time.Time

		// unsettled is what a group may use above its record: a new owner of the
		// group may have read the record before a decrease was written. It
		// ends with an acknowledgement of the written version.
		unsettled map[order.GroupID]int
		// above is what a group uses above its record as it told itself.
		above map[order.GroupID]int
		// raising tells that the last write was a decrease whose increase
		// follows.
		raising bool

		// writing is the record that is being written, and unsent the groups
		// that have not acknowledged the last one.
		writing record
		unsent  map[order.GroupID]bool
		acked   map[order.GroupID]use
	}

	// use is what a group told about a team between two digests.
	use struct{ running, waiting int }

	phase uint8
)

const (
	phaseRead phase = iota
	phaseReading
	phaseIdle
	phaseLowering
	phaseWriting
)

const (
	// Period is the least time between two divisions of one limit.
	Period = time.Second

	ackWait     = 2 * time.Second
	resendEvery = 500 * time.Millisecond
	firstRetry  = 100 * time.Millisecond
	lastRetry   = 5 * time.Second

	// unknownUse marks a group that has not told what it uses.
	unknownUse = 1 << 30

	// emptyAfter is the longest task lease and the transport margin. A group
	// that had no owner for so long runs no task any more.
	emptyAfter = 10*time.Second + 500*time.Millisecond
)

// Key returns the key of a team's record in the store.
func Key(name order.TeamName) string { return "allotment/" + string(name) }

// NewMachine returns the machine of a partition.
func NewMachine(partition order.PartitionID, registry *gauge.Registry) *Machine {
	return &Machine{
		partition: partition,
		registry:  registry,
		groups:    make(map[order.GroupID]*group),
		teams:     make(map[order.TeamName]*team),
		ownerless: make(map[order.GroupID]time.Time),
	}
}

// NewObservation returns an observation of the configuration, the groups that
// the host list shows, their digests, and whether a group has a known owner.
func NewObservation(config *sheet.Config, groups []order.GroupID, digests []order.GroupDigest, owned func(order.GroupID) bool) Observation {
	return Observation{config: config, groups: groups, digests: digests, owned: owned}
}

// Group returns the group that the message goes to.
func (c PostCmd) Group() order.GroupID { return c.group }

// Msg returns the message.
func (c PostCmd) Msg() order.AllotMsg { return c.msg }

// Team returns the team whose record is read.
func (c ReadCmd) Team() order.TeamName { return c.team }

// Team returns the team whose record is written.
func (c WriteCmd) Team() order.TeamName { return c.team }

// Expected returns the version that the key must have.
func (c WriteCmd) Expected() depot.Version { return c.expected }

// Value returns the record.
func (c WriteCmd) Value() []byte { return c.value }

func (PostCmd) command()  {}
func (ReadCmd) command()  {}
func (WriteCmd) command() {}

// Observe takes what the process knows about the cell.
func (m *Machine) Observe(now time.Time, o Observation) []Command {
	m.begin(now)
	if o.config == nil {
		return nil
	}
	m.config = o.config
	m.observeGroups(o)
	m.observeTeams()
	return m.tick()
}

// Tick does what has become due.
func (m *Machine) Tick(now time.Time) []Command {
	m.begin(now)
	return m.tick()
}

// Handle takes the acknowledgement of a group.
func (m *Machine) Handle(now time.Time, msg order.AllotAckMsg) []Command {
	m.begin(now)
	t, ok := m.teams[msg.Team()]
	if !ok {
		return nil
	}
	t.acked[msg.Group()] = use{running: msg.Running(), waiting: msg.Waiting()}
	t.seen = max(t.seen, msg.Version())
	switch {
	case t.phase == phaseIdle && msg.Version() == t.record.Version:
		m.settleGroup(t, msg)
		m.tickTeam(t)
		return m.commands
	case t.phase == phaseIdle && msg.Version() > t.record.Version:
		// The group was lowered by a division that was not written. It takes
		// only a later version.
		t.rewrite = true
		delete(t.unsettled, msg.Group())
	case t.phase == phaseLowering && msg.Version() == t.next:
		target, asked := t.lowering[msg.Group()]
		if !asked {
			return nil
		}
		// What is in force stays recorded, even if more runs than was asked.
		t.lowered[msg.Group()] = min(max(msg.Count(), target), t.record.Groups[msg.Group()])
		delete(t.lowering, msg.Group())
		m.tickTeam(t)
		return m.commands
	}
	return nil
}

// settleGroup notes that a group knows the record, and what it uses above it.
func (m *Machine) settleGroup(t *team, msg order.AllotAckMsg) {
	if g, ok := m.groups[msg.Group()]; ok && msg.Epoch() != 0 && msg.Epoch() < g.digest.Epoch() {
		// A former owner of the group speaks; the present one may use more.
		return
	}
	delete(t.unsent, msg.Group())
	delete(t.unsettled, msg.Group())
	delete(t.above, msg.Group())
	switch above := msg.Count() - t.record.Groups[msg.Group()]; {
	case above > 0:
		t.above[msg.Group()] = above
	case above < 0:
		t.unsent[msg.Group()] = true
	}
	if t.raising && len(t.unsettled) == 0 {
		t.nextAt = m.now
	}
}

// Read takes the answer to a ReadCmd.
func (m *Machine) Read(now time.Time, name order.TeamName, entry depot.Entry, err error) []Command {
	m.begin(now)
	t, ok := m.teams[name]
	if !ok || t.phase != phaseReading {
		return nil
	}
	if err == nil && entry.Exists() {
		t.record = record{}
		err = json.Unmarshal(entry.Value(), &t.record)
	}
	if err != nil {
		m.registry.Count("tonnage.read_failed")
		t.phase = phaseRead
		t.backOff(now)
		return nil
	}
	if !entry.Exists() {
		t.record = record{}
	}
	if t.record.Groups == nil {
		t.record.Groups = make(map[order.GroupID]int)
	}
	t.version = entry.Version()
	t.backoff = 0
	t.unsettled = make(map[order.GroupID]int)
	t.above = make(map[order.GroupID]int)
	for id := range t.record.Groups {
		t.unsettled[id] = unknownUse
	}
	m.enterIdle(t, make(map[order.GroupID]bool))
	m.tickTeam(t)
	return m.commands
}

// Written takes the answer to a WriteCmd. Unless it is certain, the record is
// read again.
func (m *Machine) Written(now time.Time, name order.TeamName, version depot.Version, err error) []Command {
	m.begin(now)
	t, ok := m.teams[name]
	if !ok || t.phase != phaseWriting {
		return nil
	}
	if err != nil {
		m.registry.Count("tonnage.write_failed")
		t.rewrite = true
		t.phase = phaseRead
		if errors.Is(err, depot.ErrUnavailable) {
			// The record is unchanged.
			t.phase = phaseIdle
		}
		t.backOff(now)
		return nil
	}
	m.noteLowered(t)
	unsent := t.changed()
	for id := range unsent {
		// The group tells anew what it uses.
		if above := t.above[id] + t.record.Groups[id] - t.writing.Groups[id]; t.above[id] > 0 {
			t.above[id] = max(above, 0)
		}
	}
	t.record = t.writing
	t.rewrite = false
	t.version = version
	t.backoff = 0
	m.registry.Count("tonnage.written")
	m.enterIdle(t, unsent)
	m.tickTeam(t)
	return m.commands
}

// noteLowered reserves what a group had before a decrease that is written now.
func (m *Machine) noteLowered(t *team) {
	t.raising = false
	for id, n := range t.record.Groups {
		if cut := n - t.writing.Groups[id]; cut > 0 {
			t.unsettled[id] += cut
			t.raising = true
		}
	}
}

// reserved returns how much groups may use above the record, and whether that
// is known.
func (m *Machine) reserved(t *team) (int, bool) {
	sum := 0
	for id, n := range t.unsettled {
		switch {
		case m.gone(id):
			delete(t.unsettled, id)
		case n >= unknownUse:
			return 0, false
		default:
			sum += n
		}
	}
	return sum, true
}

// changed returns the groups that the written record changes for. All groups
// need to know another limit, and a version above one that was not written.
func (t *team) changed() map[order.GroupID]bool {
	all := t.rewrite || t.record.Limit != t.writing.Limit
	changed := make(map[order.GroupID]bool)
	for id, n := range t.writing.Groups {
		if all || n != t.record.Groups[id] {
			changed[id] = true
		}
	}
	return changed
}

// enterIdle lets the record be sent to the groups that do not know it.
func (m *Machine) enterIdle(t *team, unsent map[order.GroupID]bool) {
	t.phase = phaseIdle
	t.resendAt = m.now
	t.unsent = unsent
	for id := range t.unsettled {
		t.unsent[id] = true
	}
}

func (t *team) backOff(now time.Time) {
	t.backoff = min(max(2*t.backoff, firstRetry), lastRetry)
	t.retryAt = now.Add(t.backoff)
}

func (m *Machine) begin(now time.Time) {
	m.now = now
	m.commands = nil
}

func (m *Machine) tick() []Command {
	for _, name := range m.names {
		m.tickTeam(m.teams[name])
	}
	return m.commands
}

func (m *Machine) tickTeam(t *team) {
	if m.now.Before(t.retryAt) {
		return
	}
	switch t.phase {
	case phaseRead:
		t.phase = phaseReading
		m.commands = append(m.commands, ReadCmd{team: t.name})
	case phaseIdle:
		m.resend(t)
		if !m.now.Before(t.nextAt) {
			m.redivide(t)
		}
	case phaseLowering:
		m.tickLowering(t)
	}
}

// resend sends the allotments that were written and not acknowledged.
func (m *Machine) resend(t *team) {
	if len(t.unsent) == 0 || m.now.Before(t.resendAt) {
		return
	}
	t.resendAt = m.now.Add(resendEvery)
	for _, id := range sortedGroups(t.unsent) {
		if g, ok := m.groups[id]; !ok || !g.listed {
			delete(t.unsent, id)
			continue
		}
		m.allot(t, id, t.record.Groups[id], t.record.Version, t.record.Limit)
	}
}

func (m *Machine) allot(t *team, id order.GroupID, count int, version uint64, limit int) {
	m.commands = append(m.commands, PostCmd{group: id, msg: order.AllotMsg{}.
		WithPartition(order.GroupPartition(id)).
		WithTeam(t.name).
		WithCount(count).
		WithVersion(version).
		WithLimit(limit).
		WithQuota(m.partition)})
}

// redivide computes the division anew. A decrease is acknowledged by its groups
// and then written; the increase follows once they know the record.
func (m *Machine) redivide(t *team) {
	demands := m.demands(t)
	if len(demands) == 0 {
		return
	}
	t.nextAt = m.now.Add(Period)
	limit := m.limit(t)
	reserved, known := m.reserved(t)
	reserved += m.coverAbove(t, demands, limit-reserved)
	counts := divide(limit-reserved, demands)
	t.lowered = make(map[order.GroupID]int)
	t.lowering = make(map[order.GroupID]int)
	if !t.raising {
		m.planLowering(t, demands, counts)
	}
	if len(t.lowering)+len(t.lowered) == 0 {
		m.raise(t, demands, counts, limit-reserved, known)
		return
	}
	t.phase = phaseLowering
	t.next = max(t.record.Version, t.seen) + 1
	t.until = m.now.Add(ackWait)
	t.resendAt = m.now
	m.tickLowering(t)
}

// coverAbove counts what groups use above their record as recorded, as far as
// the limit allows, and returns the rest.
func (m *Machine) coverAbove(t *team, demands []demand, limit int) int {
	free := limit - total(values(t.record.Groups))
	rest := 0
	for i := range demands {
		above := t.above[demands[i].group]
		if above == 0 || m.gone(demands[i].group) {
			continue
		}
		covered := max(0, min(above, free))
		demands[i].recorded += covered
		free -= covered
		rest += above - covered
	}
	return rest
}

func (m *Machine) planLowering(t *team, demands []demand, counts []int) {
	for i, d := range demands {
		switch {
		case counts[i] >= d.recorded:
		case m.gone(d.group):
			t.lowered[d.group] = counts[i]
		default:
			t.lowering[d.group] = counts[i]
		}
	}
}

// raise writes the increases that fit below the limit, if it is known what
// all groups use.
func (m *Machine) raise(t *team, demands []demand, counts []int, limit int, known bool) {
	t.raising = false
	sum := 0
	for i, d := range demands {
		if !known || counts[i] < d.recorded {
			counts[i] = d.recorded
		}
		sum += d.recorded
	}
	trim(demands, counts, max(limit, sum))
	changed := t.rewrite || total(counts) != total(values(t.record.Groups)) || known && t.record.Limit != m.newLimit(t, sum)
	if !changed {
		return
	}
	t.next = max(t.record.Version, t.seen) + 1
	m.write(t, demands, counts)
}

// tickLowering waits for the groups that get less, and then writes. Groups that
// did not acknowledge keep their recorded count.
func (m *Machine) tickLowering(t *team) {
	if len(t.lowering) > 0 && m.now.Before(t.until) {
		if m.now.Before(t.resendAt) {
			return
		}
		t.resendAt = m.now.Add(resendEvery)
		for _, id := range sortedCounts(t.lowering) {
			m.allot(t, id, t.lowering[id], t.next, m.limit(t))
		}
		return
	}
	if len(t.lowering) > 0 {
		t.rewrite = true
	}
	demands := m.demands(t)
	counts := make([]int, len(demands))
	for i, d := range demands {
		counts[i] = d.recorded
		if lowered, ok := t.lowered[d.group]; ok {
			counts[i] = lowered
		}
	}
	m.write(t, demands, counts)
}

// newLimit returns the limit under which a sum is recorded. A lowered limit is
// recorded once the sum is below it.
func (m *Machine) newLimit(t *team, sum int) int { return max(m.limit(t), sum) }

func (m *Machine) write(t *team, demands []demand, counts []int) {
	// The version is above that of the decrease, so that a late message of the
	// decrease does not undo what is sent after the write.
	t.next++
	next := record{Version: t.next, Groups: make(map[order.GroupID]int)}
	for i, d := range demands {
		if counts[i] > 0 || d.recorded > 0 && !m.gone(d.group) {
			next.Groups[d.group] = counts[i]
		}
	}
	next.Limit = m.newLimit(t, total(counts))
	m.check(t, next)
	value, err := json.Marshal(next)
	if err != nil {
		panic(fmt.Sprintf("encode allotments of %s: %v", t.name, err))
	}
	t.writing = next
	t.phase = phaseWriting
	m.commands = append(m.commands, WriteCmd{team: t.name, expected: t.version, value: value})
}

// trim takes increases back that exceed the limit, because a decrease that they
// counted on has not happened yet.
func trim(demands []demand, counts []int, limit int) {
	excess := total(counts) - limit
	for i := len(demands) - 1; i >= 0 && excess > 0; i-- {
		cut := max(0, min(counts[i]-demands[i].recorded, excess))
		counts[i] -= cut
		excess -= cut
	}
}

func (m *Machine) check(t *team, next record) {
	sum := 0
	for _, n := range next.Groups {
		sum += n
		m.registry.Invariant(n >= 0, "tonnage.negative", "a group of %s gets %d", t.name, n)
	}
	m.registry.Invariant(sum <= next.Limit, "tonnage.sum", "allotments of %s sum to %d of %d", t.name, sum, next.Limit)
	m.registry.Invariant(sum <= max(m.limit(t), total(values(t.record.Groups))), "tonnage.limit", "allotments of %s rise to %d", t.name, sum)
}

func values(counts map[order.GroupID]int) []int {
	all := make([]int, 0, len(counts))
	for _, n := range counts {
		all = append(all, n)
	}
	return all
}

func sortedCounts(counts map[order.GroupID]int) []order.GroupID {
	ids := make([]order.GroupID, 0, len(counts))
	for id := range counts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func sortedGroups(set map[order.GroupID]bool) []order.GroupID {
	ids := make([]order.GroupID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
