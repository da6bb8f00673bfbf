// Package quota implements quota division: it divides the limit of each team
// into allotments, the number of tasks that each worker group may run for the
// team.
//
// Machine decides without I/O, Divider executes its commands, and divide
// computes a division. Start reading at Machine.redivide.
package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/storage"
)

type (
	// Command is an action that the machine requests: a PostCmd, ReadCmd or
	// WriteCmd.
	Command interface{ command() }

	// PostCmd sends an allotment to the owner of a group.
	PostCmd struct {
		group order.GroupID
		msg   order.AllotMsg
	}

	// ReadCmd reads the record of a team. The result goes to HandleRead.
	ReadCmd struct{ team order.TeamName }

	// WriteCmd writes the record of a team if the key has the expected
	// version. The result goes to HandleWritten.
	WriteCmd struct {
		team     order.TeamName
		expected storage.Version
		value    []byte
	}

	// Observation holds the configuration, groups, digests and owners as this
	// process sees them at one time.
	Observation struct {
		config  *sheet.Config
		groups  []order.GroupID
		digests []order.GroupDigest
		owned   func(order.GroupID) bool
	}

	// Machine is the state machine that divides the limits of the teams
	// whose quota partition it serves. It does no I/O and is not safe for
	// concurrent use.
	Machine struct {
		partition order.PartitionID
		registry  *gauge.Registry

		now      time.Time
		commands []Command
		config   *sheet.Config
		groups   map[order.GroupID]*group
		// order holds the IDs of groups; observeGroups sorts it.
		order []order.GroupID
		teams map[order.TeamName]*team
		names []order.TeamName
		// ownerlessSince holds the groups that are not listed and have
		// no owner.
		ownerlessSince map[order.GroupID]time.Time
	}

	// group is the last observed state of a group. fresh is set if the last
	// observation had its digest, hasDigest if any observation had one.
	group struct {
		listed    bool
		digest    order.GroupDigest
		fresh     bool
		hasDigest bool
	}

	// record is the value of a team's key in the store: the allotments of
	// the groups and the limit that was divided.
	record struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}

	// team is the state of one team's division.
	team struct {
		name    order.TeamName
		phase   phase
		record  record
		version storage.Version
		// maxSeenVersion is the highest version that a group
		// acknowledged. It may belong to a division that was never
		// written. nextVersion, used for the next division, is higher.
		maxSeenVersion uint64
		nextVersion    uint64
		retryAt        time.Time
		nextDivision   time.Time
		backoff        time.Duration
		// mustWrite is set if groups may have received a decrease that is not
		// recorded, so the next division is written even if it changes nothing.
		mustWrite bool

		// pendingDecreases holds the lower counts that groups have not
		// acknowledged yet, until ackDeadline; ackedDecreases those
		// that they acknowledged.
		pendingDecreases map[order.GroupID]int
		ackedDecreases   map[order.GroupID]int
		ackDeadline      time.Time
		resendAt         time.Time

		// unconfirmed is how much a group may use above its record,
		// because its new owner may have read the record before a
		// decrease was written. It ends when the group acknowledges the
		// written version.
		unconfirmed map[order.GroupID]int
		// excess is how much a group uses above its record, as it
		// reported.
		excess map[order.GroupID]int
		// increasePending is set if the last write was a decrease and the
		// matching increase follows.
		increasePending bool

		// writing is the record that is being written. unacked holds
		// the groups that have not acknowledged the last written one.
		writing record
		unacked map[order.GroupID]bool
		// reported is the use that groups reported since their last
		// digest.
		reported map[order.GroupID]reportedUse
	}

	// reportedUse is the number of running and waiting tasks of a team that
	// a group reported in an acknowledgement.
	reportedUse struct{ running, waiting int }

	phase uint8
)

const (
	// phaseUnread: the record must be read.
	phaseUnread phase = iota
	// phaseReading: a ReadCmd is open.
	phaseReading
	// phaseIdle: the record is known; unacked groups are sent their
	// allotment.
	phaseIdle
	// phaseLowering: groups have to acknowledge lower counts.
	phaseLowering
	// phaseWriting: a WriteCmd is open.
	phaseWriting
)

const (
	// DivisionPeriod is the minimum time between two divisions of a limit.
	DivisionPeriod = time.Second

	// ackTimeout is how long the groups have to acknowledge a decrease.
	ackTimeout   = 2 * time.Second
	resendPeriod = 500 * time.Millisecond
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second

	// unknownUse marks a group that has not reported its use.
	unknownUse = 1 << 30

	// ownerlessTimeout is the longest task lease plus the transport margin.
	// A group that had no owner for this long runs no task any more.
	ownerlessTimeout = 10*time.Second + 500*time.Millisecond
)

// RecordKey returns the store key of a team's record.
func RecordKey(name order.TeamName) string { return "allotment/" + string(name) }

// NewMachine returns a machine for the teams whose quota partition is the given
// one. It reads their records before it divides anything.
func NewMachine(partition order.PartitionID, registry *gauge.Registry) *Machine {
	return &Machine{
		partition:      partition,
		registry:       registry,
		groups:         make(map[order.GroupID]*group),
		teams:          make(map[order.TeamName]*team),
		ownerlessSince: make(map[order.GroupID]time.Time),
	}
}

// NewObservation returns an observation of the configuration, the groups in the
// host list, and their digests. The function owned reports whether a group has
// a known owner; if it is nil, every group counts as owned.
func NewObservation(config *sheet.Config, groups []order.GroupID, digests []order.GroupDigest, owned func(order.GroupID) bool) Observation {
	return Observation{config: config, groups: groups, digests: digests, owned: owned}
}

// Group returns the group whose owner gets the message.
func (c PostCmd) Group() order.GroupID { return c.group }

// Msg returns the allotment to send.
func (c PostCmd) Msg() order.AllotMsg { return c.msg }

// Team returns the team whose record is to be read.
func (c ReadCmd) Team() order.TeamName { return c.team }

// Team returns the team whose record is to be written.
func (c WriteCmd) Team() order.TeamName { return c.team }

// Expected returns the version that the key must have for the write.
func (c WriteCmd) Expected() storage.Version { return c.expected }

// Value returns the encoded record.
func (c WriteCmd) Value() []byte { return c.value }

func (PostCmd) command()  {}
func (ReadCmd) command()  {}
func (WriteCmd) command() {}

// Observe updates the machine with a new observation, and redivides the limits
// that are due. An observation without a configuration is ignored.
func (m *Machine) Observe(now time.Time, o Observation) []Command {
	m.reset(now)
	if o.config == nil {
		return nil
	}
	m.config = o.config
	m.observeGroups(o)
	m.observeTeams()
	return m.tick()
}

// Tick runs the retries, timeouts and divisions that are due.
func (m *Machine) Tick(now time.Time) []Command {
	m.reset(now)
	return m.tick()
}

// HandleAck handles the acknowledgement of an allotment by a group.
// Acknowledgements of other teams are ignored.
func (m *Machine) HandleAck(now time.Time, msg order.AllotAckMsg) []Command {
	m.reset(now)
	t, ok := m.teams[msg.Team()]
	if !ok {
		return nil
	}
	t.reported[msg.Group()] = reportedUse{running: msg.Running(), waiting: msg.Waiting()}
	t.maxSeenVersion = max(t.maxSeenVersion, msg.Version())
	switch {
	case t.phase == phaseIdle && msg.Version() == t.record.Version:
		m.recordAck(t, msg)
		m.tickTeam(t)
		return m.commands
	case t.phase == phaseIdle && msg.Version() > t.record.Version:
		// The group has a decrease from a division that was never
		// written. It accepts only a higher version.
		t.mustWrite = true
		delete(t.unconfirmed, msg.Group())
	case t.phase == phaseLowering && msg.Version() == t.nextVersion:
		target, requested := t.pendingDecreases[msg.Group()]
		if !requested {
			return nil
		}
		// A count that is still in use stays recorded, even if it is
		// above the requested one.
		t.ackedDecreases[msg.Group()] = min(max(msg.Count(), target), t.record.Groups[msg.Group()])
		delete(t.pendingDecreases, msg.Group())
		m.tickTeam(t)
		return m.commands
	}
	return nil
}

// recordAck records that a group has the written record, and how much it uses
// above it. An acknowledgement below the record makes the allotment be sent
// again.
func (m *Machine) recordAck(t *team, msg order.AllotAckMsg) {
	if g, ok := m.groups[msg.Group()]; ok && msg.Epoch() != 0 && msg.Epoch() < g.digest.Epoch() {
		// The message is from a former owner of the group; the current
		// one may use more.
		return
	}
	delete(t.unacked, msg.Group())
	delete(t.unconfirmed, msg.Group())
	delete(t.excess, msg.Group())
	switch above := msg.Count() - t.record.Groups[msg.Group()]; {
	case above > 0:
		t.excess[msg.Group()] = above
	case above < 0:
		t.unacked[msg.Group()] = true
	}
	if t.increasePending && len(t.unconfirmed) == 0 {
		t.nextDivision = m.now
	}
}

// HandleRead handles the result of a ReadCmd.
func (m *Machine) HandleRead(now time.Time, name order.TeamName, entry storage.Entry, err error) []Command {
	m.reset(now)
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
		t.phase = phaseUnread
		t.scheduleRetry(now)
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
	t.unconfirmed = make(map[order.GroupID]int)
	t.excess = make(map[order.GroupID]int)
	for id := range t.record.Groups {
		t.unconfirmed[id] = unknownUse
	}
	m.enterIdle(t, make(map[order.GroupID]bool))
	m.tickTeam(t)
	return m.commands
}

// HandleWritten handles the result of a WriteCmd. If the write may or may not
// have happened, the record is read again.
func (m *Machine) HandleWritten(now time.Time, name order.TeamName, version storage.Version, err error) []Command {
	m.reset(now)
	t, ok := m.teams[name]
	if !ok || t.phase != phaseWriting {
		return nil
	}
	if err != nil {
		m.registry.Count("tonnage.write_failed")
		t.mustWrite = true
		t.phase = phaseUnread
		if errors.Is(err, storage.ErrUnavailable) {
			// The record is unchanged.
			t.phase = phaseIdle
		}
		t.scheduleRetry(now)
		return nil
	}
	m.reserveDecreases(t)
	unacked := t.changedGroups()
	for id := range unacked {
		// Until the group reports its use again, it is taken as
		// unchanged while the record of the group changes.
		if above := t.excess[id] + t.record.Groups[id] - t.writing.Groups[id]; t.excess[id] > 0 {
			t.excess[id] = max(above, 0)
		}
	}
	t.record = t.writing
	t.mustWrite = false
	t.version = version
	t.backoff = 0
	m.registry.Count("tonnage.written")
	m.enterIdle(t, unacked)
	m.tickTeam(t)
	return m.commands
}

// reserveDecreases adds the decreases of a written record to unconfirmed: until
// the groups acknowledge the record, they may use what they had before.
func (m *Machine) reserveDecreases(t *team) {
	t.increasePending = false
	for id, n := range t.record.Groups {
		if cut := n - t.writing.Groups[id]; cut > 0 {
			t.unconfirmed[id] += cut
			t.increasePending = true
		}
	}
}

// unconfirmedUse returns how much groups may use above the record in total. It
// returns false if a group has not reported its use yet.
func (m *Machine) unconfirmedUse(t *team) (int, bool) {
	sum := 0
	for id, n := range t.unconfirmed {
		switch {
		case m.leasesExpired(id):
			delete(t.unconfirmed, id)
		case n >= unknownUse:
			return 0, false
		default:
			sum += n
		}
	}
	return sum, true
}

// changedGroups returns the groups that must be sent the written record. These
// are all groups if the limit changed or if some of them acknowledged a version
// that was never written.
func (t *team) changedGroups() map[order.GroupID]bool {
	all := t.mustWrite || t.record.Limit != t.writing.Limit
	changed := make(map[order.GroupID]bool)
	for id, n := range t.writing.Groups {
		if all || n != t.record.Groups[id] {
			changed[id] = true
		}
	}
	return changed
}

// enterIdle ends a read or write and sends the record to the groups that may
// not have it.
func (m *Machine) enterIdle(t *team, unacked map[order.GroupID]bool) {
	t.phase = phaseIdle
	t.resendAt = m.now
	t.unacked = unacked
	for id := range t.unconfirmed {
		t.unacked[id] = true
	}
}

// scheduleRetry delays the next store call with exponential backoff.
func (t *team) scheduleRetry(now time.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.retryAt = now.Add(t.backoff)
}

func (m *Machine) reset(now time.Time) {
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
	case phaseUnread:
		t.phase = phaseReading
		m.commands = append(m.commands, ReadCmd{team: t.name})
	case phaseIdle:
		m.resendUnacked(t)
		if !m.now.Before(t.nextDivision) {
			m.redivide(t)
		}
	case phaseLowering:
		m.tickLowering(t)
	}
}

// resendUnacked sends the written allotments again to the groups that have not
// acknowledged them.
func (m *Machine) resendUnacked(t *team) {
	if len(t.unacked) == 0 || m.now.Before(t.resendAt) {
		return
	}
	t.resendAt = m.now.Add(resendPeriod)
	for _, id := range sortedGroups(t.unacked) {
		if g, ok := m.groups[id]; !ok || !g.listed {
			delete(t.unacked, id)
			continue
		}
		m.sendAllotment(t, id, t.record.Groups[id], t.record.Version, t.record.Limit)
	}
}

func (m *Machine) sendAllotment(t *team, id order.GroupID, count int, version uint64, limit int) {
	m.commands = append(m.commands, PostCmd{group: id, msg: order.AllotMsg{}.
		WithPartition(order.GroupPartition(id)).
		WithTeam(t.name).
		WithCount(count).
		WithVersion(version).
		WithLimit(limit).
		WithQuota(m.partition)})
}

// redivide computes a new division. Decreases come first: the groups
// acknowledge them, then they are written. Increases follow once those groups
// have acknowledged the written record, so that the sum in use does not rise
// above the limit.
func (m *Machine) redivide(t *team) {
	demands := m.demands(t)
	if len(demands) == 0 {
		return
	}
	t.nextDivision = m.now.Add(DivisionPeriod)
	limit := m.configuredLimit(t)
	reserved, known := m.unconfirmedUse(t)
	reserved += m.coverExcess(t, demands, limit-reserved)
	counts := divide(limit-reserved, demands)
	t.ackedDecreases = make(map[order.GroupID]int)
	t.pendingDecreases = make(map[order.GroupID]int)
	if !t.increasePending {
		m.planDecreases(t, demands, counts)
	}
	if len(t.pendingDecreases)+len(t.ackedDecreases) == 0 {
		m.writeIncreases(t, demands, counts, limit-reserved, known)
		return
	}
	t.phase = phaseLowering
	t.nextVersion = max(t.record.Version, t.maxSeenVersion) + 1
	t.ackDeadline = m.now.Add(ackTimeout)
	t.resendAt = m.now
	m.tickLowering(t)
}

// coverExcess adds what groups use above their record to the recorded counts,
// as far as the limit allows, and returns what did not fit.
func (m *Machine) coverExcess(t *team, demands []demand, limit int) int {
	free := limit - total(values(t.record.Groups))
	uncovered := 0
	for i := range demands {
		excess := t.excess[demands[i].group]
		if excess == 0 || m.leasesExpired(demands[i].group) {
			continue
		}
		covered := max(0, min(excess, free))
		demands[i].recorded += covered
		free -= covered
		uncovered += excess - covered
	}
	return uncovered
}

// planDecreases collects the groups that get less. A group whose leases have
// all expired need not acknowledge it.
func (m *Machine) planDecreases(t *team, demands []demand, counts []int) {
	for i, d := range demands {
		switch {
		case counts[i] >= d.recorded:
		case m.leasesExpired(d.group):
			t.ackedDecreases[d.group] = counts[i]
		default:
			t.pendingDecreases[d.group] = counts[i]
		}
	}
}

// writeIncreases writes the increases that fit within the limit, provided that
// the use of all groups is known.
func (m *Machine) writeIncreases(t *team, demands []demand, counts []int, limit int, known bool) {
	t.increasePending = false
	sum := 0
	for i, d := range demands {
		if !known || counts[i] < d.recorded {
			counts[i] = d.recorded
		}
		sum += d.recorded
	}
	trimIncreases(demands, counts, max(limit, sum))
	changed := t.mustWrite || total(counts) != total(values(t.record.Groups)) || known && t.record.Limit != m.limitToRecord(t, sum)
	if !changed {
		return
	}
	t.nextVersion = max(t.record.Version, t.maxSeenVersion) + 1
	m.writeRecord(t, demands, counts)
}

// tickLowering waits until the groups have acknowledged their lower counts or
// ackTimeout has passed, then writes. Groups that did not acknowledge keep
// their recorded count.
func (m *Machine) tickLowering(t *team) {
	if len(t.pendingDecreases) > 0 && m.now.Before(t.ackDeadline) {
		if m.now.Before(t.resendAt) {
			return
		}
		t.resendAt = m.now.Add(resendPeriod)
		for _, id := range sortedCounts(t.pendingDecreases) {
			m.sendAllotment(t, id, t.pendingDecreases[id], t.nextVersion, m.configuredLimit(t))
		}
		return
	}
	if len(t.pendingDecreases) > 0 {
		t.mustWrite = true
	}
	demands := m.demands(t)
	counts := make([]int, len(demands))
	for i, d := range demands {
		counts[i] = d.recorded
		if lowered, ok := t.ackedDecreases[d.group]; ok {
			counts[i] = lowered
		}
	}
	m.writeRecord(t, demands, counts)
}

// limitToRecord returns the limit to record with a sum of allotments. A lowered
// limit is recorded only once the sum has fallen to it.
func (m *Machine) limitToRecord(t *team, sum int) int { return max(m.configuredLimit(t), sum) }

func (m *Machine) writeRecord(t *team, demands []demand, counts []int) {
	// The version is above that of the decrease, so that a delayed message
	// of the decrease cannot undo what is sent after the write.
	t.nextVersion++
	next := record{Version: t.nextVersion, Groups: make(map[order.GroupID]int)}
	for i, d := range demands {
		if counts[i] > 0 || d.recorded > 0 && !m.leasesExpired(d.group) {
			next.Groups[d.group] = counts[i]
		}
	}
	next.Limit = m.limitToRecord(t, total(counts))
	m.checkInvariants(t, next)
	value, err := json.Marshal(next)
	if err != nil {
		panic(fmt.Sprintf("encode allotments of %s: %v", t.name, err))
	}
	t.writing = next
	t.phase = phaseWriting
	m.commands = append(m.commands, WriteCmd{team: t.name, expected: t.version, value: value})
}

// trimIncreases takes back increases that exceed the limit. They depend on a
// decrease that has not happened yet.
func trimIncreases(demands []demand, counts []int, limit int) {
	excess := total(counts) - limit
	for i := len(demands) - 1; i >= 0 && excess > 0; i-- {
		cut := max(0, min(counts[i]-demands[i].recorded, excess))
		counts[i] -= cut
		excess -= cut
	}
}

// checkInvariants checks a record before it is written.
func (m *Machine) checkInvariants(t *team, next record) {
	sum := 0
	for _, n := range next.Groups {
		sum += n
		m.registry.Invariant(n >= 0, "tonnage.negative", "a group of %s gets %d", t.name, n)
	}
	m.registry.Invariant(sum <= next.Limit, "tonnage.sum", "allotments of %s sum to %d of %d", t.name, sum, next.Limit)
	m.registry.Invariant(sum <= max(m.configuredLimit(t), total(values(t.record.Groups))), "tonnage.limit", "allotments of %s rise to %d", t.name, sum)
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
