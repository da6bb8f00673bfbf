package ownership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/storage"
)

type (
	// protocol is the ownership protocol of one process as a state machine.
	// Inputs carry the local time. The resulting commands are fetched with
	// takeCommands. Other goroutines may use only deadlines and directory.
	protocol struct {
		self      order.MemberID
		domain    order.DomainName
		started   time.Time
		registry  *gauge.Registry
		log       zerolog.Logger
		random    *rand.Rand
		deadlines *deadlines
		directory *directory

		view        view
		liveMembers map[order.MemberID]member
		absences    map[order.MemberID]*absence

		partitions map[order.PartitionID]*partition
		ids        []order.PartitionID
		owned      map[order.PartitionID]*partition
		peers      map[order.MemberID]*peer
		suspects   map[order.MemberID]time.Time

		recordsListed     bool
		lateTick          bool
		permissionsStale  bool
		leaving           bool
		sequence          uint64
		lastTick          time.Time
		claimAfter        time.Time
		lastStoreContact  time.Time
		mostLostUntil     time.Time
		membersCheckedAt  time.Time
		standbyUse        map[order.MemberID]int
		activeMove        move
		lastMoveEnd       time.Time
		standbysCheckedAt time.Time
		moveCursor        int
		pendingAcks       map[order.PartitionID]pendingAck
		canDrain          bool
		commands          []command
	}

	// view is the input of a tick: the state of the other members and of the
	// store.
	view struct {
		members           []roster.Member
		memberListRead    bool
		storeReachable    bool
		lastStoreReply    time.Time
		leaseEnd          time.Time
		majorityLostStore bool
		revision          order.Revision
		hostListed        func(address string) bool
	}

	// member is a live placer. since is when this process first saw it.
	member struct {
		id     order.MemberID
		domain order.DomainName
		since  time.Time
	}

	// absence measures how long a member has had no record while this process
	// could reach the store.
	absence struct {
		total time.Duration
		last  time.Time
	}

	// partition is the state of one partition as seen by this process. version
	// is 0 while no record exists; seenVersion is the newest version seen,
	// including deletions.
	partition struct {
		id           order.PartitionID
		record       Record
		version      storage.Version
		seenVersion  storage.Version
		recordSeenAt time.Time
		ensuredAt    time.Time
		orphanedAt   time.Time

		// promisedUntil is until when this process must not claim the
		// partition.
		promisedUntil time.Time

		pending *pendingWrite
		retryAt time.Time
		backoff time.Duration
		reading bool

		readWanted bool
		nextReadAt time.Time

		permission    *permission
		deadline      time.Time
		acquiredAt    time.Time
		standbySince  time.Time
		firstSequence uint64
		outgoing      *outgoingHandover
		incoming      *incomingHandover
		ackTo         order.MemberID

		// stateDeadline is until when the partition waits for the state of its
		// former owner. It is zero if the partition does not wait.
		stateDeadline time.Time
	}

	// pendingWrite is a compare-and-swap whose result is not known yet. It is
	// uncertain if a failed attempt may have taken effect.
	pendingWrite struct {
		expected  storage.Version
		record    Record
		uncertain bool
	}
)

const (
	// PromiseValidity is how long a promise holds.
	PromiseValidity = 1500 * time.Millisecond

	// HeartbeatPeriod is how often an owner requests promises.
	HeartbeatPeriod = 250 * time.Millisecond

	// TickPeriod is how often the protocol checks its deadlines.
	TickPeriod = 25 * time.Millisecond

	// StoreLossLimit is how long a process may act after the last reply of the
	// store, unless most known members report the same loss.
	StoreLossLimit = 2800 * time.Millisecond

	// ContactLimit is how long an owner may act without any contact with the
	// store, and how long a member must be absent to count as terminated.
	ContactLimit = 15 * time.Minute

	// The owner shortens a promise by this fraction and the standby extends it
	// by the same, so clocks whose rates are off by up to 2% are safe.
	clockDriftDivisor = 50

	// An owner replaces a standby that has not replied for this long. This is
	// three missed heartbeats, and it leaves time for the write and for the
	// first promise of the new standby before the last promise of the old one
	// ends.
	standbyTimeout = 750 * time.Millisecond

	suspicionPeriod = 10 * time.Second

	// A report that most members lost the store is valid this long. At the end
	// of an outage the others may reach the store before this process does,
	// which tries at least twice a second.
	mostLostPeriod = time.Second

	// After a pause the process first reads the messages that are queued, so
	// that it does not claim from an owner whose heartbeats are in its inbox.
	// Only the first of several late ticks counts as a pause, because a process
	// that is always slow must still be able to claim.
	lateTickLimit = 400 * time.Millisecond
	pauseGrace    = 200 * time.Millisecond

	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	minReadInterval = 250 * time.Millisecond
)

var (
	// ownerValidity is how long the owner counts a promise, from when it sent
	// the heartbeat.
	ownerValidity = PromiseValidity - PromiseValidity/clockDriftDivisor

	// standbyValidity is how long the standby counts a promise, from when it
	// replied.
	standbyValidity = PromiseValidity + PromiseValidity/clockDriftDivisor
)

func newProtocol(self order.MemberID, domain order.DomainName, now time.Time, registry *gauge.Registry, log zerolog.Logger) *protocol {
	seed := xxhash.Sum64String(string(self))
	return &protocol{
		self:             self,
		domain:           domain,
		started:          now,
		registry:         registry,
		log:              log,
		random:           rand.New(rand.NewPCG(seed, seed)),
		deadlines:        newDeadlines(now),
		directory:        newDirectory(),
		liveMembers:      make(map[order.MemberID]member),
		absences:         make(map[order.MemberID]*absence),
		partitions:       make(map[order.PartitionID]*partition),
		owned:            make(map[order.PartitionID]*partition),
		peers:            make(map[order.MemberID]*peer),
		suspects:         make(map[order.MemberID]time.Time),
		lastTick:         now,
		lastStoreContact: now,
		pendingAcks:      make(map[order.PartitionID]pendingAck),
		claimAfter:       now.Add(standbyValidity),
	}
}

// takeCommands returns the commands since the last call.
func (c *protocol) takeCommands() []command {
	c.publishPermissions()
	commands := c.commands
	c.commands = nil
	return commands
}

// ensure requests that a record of the partition exists.
func (c *protocol) ensure(now time.Time, id order.PartitionID) {
	if p := c.partition(id); p.ensuredAt.IsZero() {
		p.ensuredAt = now
	}
}

// handleListing handles the end of a listing, after all listed records were
// passed to handleRecord. A known record that was not found was deleted.
func (c *protocol) handleListing(now time.Time, found map[order.PartitionID]bool, version storage.Version) {
	c.recordsListed = true
	for _, id := range c.ids {
		if !found[id] && c.partitions[id].version != 0 {
			c.handleDeletion(now, id, version)
		}
	}
}

// setRevision sets the configuration revision of this process. A higher one may
// end the time in which this process must not act.
func (c *protocol) setRevision(revision order.Revision) {
	if revision == c.view.revision {
		return
	}
	c.view.revision = revision
	c.refreshDeadlines()
}

// tick checks all deadlines and sends the heartbeats that are due.
func (c *protocol) tick(now time.Time, v view) {
	paused := now.Sub(c.lastTick) > lateTickLimit
	if paused && !c.lateTick {
		c.claimAfter = maxTime(c.claimAfter, now.Add(pauseGrace))
	}
	c.lateTick = paused
	c.setRevision(v.revision)
	c.view = v
	c.updateMembers(now)
	c.updateProcessLimit(now)
	c.standbyUse = c.countStandbyUse()
	for _, id := range c.ids {
		c.stepPartition(now, c.partitions[id])
	}
	c.rebalance(now)
	c.lastTick = now
	c.sendHeartbeats(now)
}

// handleRecord handles a record that was read, listed, watched or written.
func (c *protocol) handleRecord(now time.Time, id order.PartitionID, record Record, version storage.Version) {
	p := c.partition(id)
	if version <= p.seenVersion {
		return
	}
	c.checkRecord(p, record)
	before := p.record
	p.record, p.version, p.seenVersion, p.recordSeenAt = record, version, version, now
	p.orphanedAt, p.retryAt, p.backoff = time.Time{}, time.Time{}, 0
	if p.pending != nil && p.pending.uncertain && version > p.pending.expected {
		p.pending = nil
	}
	c.directory.set(id, record)
	switch {
	case record.owner != c.self:
		c.loseOwnership(now, p)
	case p.permission == nil || p.permission.epoch != record.epoch:
		c.loseOwnership(now, p)
		c.acquire(now, p)
	case before.standby != record.standby:
		c.resetStandby(now, p, before.standby)
	}
}

// checkRecord checks the invariants that one process can see from the order of
// records.
func (c *protocol) checkRecord(p *partition, next Record) {
	if p.version == 0 {
		return
	}
	c.registry.Invariant(next.epoch >= p.record.epoch, "epoch_rises",
		"partition %s went from epoch %d to %d", p.id, p.record.epoch, next.epoch)
	c.registry.Invariant(next.epoch != p.record.epoch || next.owner == p.record.owner, "one_owner_per_epoch",
		"partition %s has owners %s and %s at epoch %d", p.id, p.record.owner, next.owner, next.epoch)
}

// handleDeletion handles the deletion of a record, which only an operator can
// cause. The highest epoch is kept for a record that is created later.
func (c *protocol) handleDeletion(now time.Time, id order.PartitionID, version storage.Version) {
	p := c.partition(id)
	if version <= p.seenVersion {
		return
	}
	p.version, p.seenVersion = 0, version
	p.pending = nil
	c.loseOwnership(now, p)
	p.record = Record{epoch: p.record.epoch}
	c.directory.set(id, p.record)
}

// handleSwapResult handles the result of a compare-and-swap. Only
// storage.ErrUnavailable means that it certainly had no effect; after any other
// error the record is read.
func (c *protocol) handleSwapResult(now time.Time, id order.PartitionID, version storage.Version, err error) {
	p := c.partition(id)
	if p.pending == nil {
		return
	}
	switch {
	case err == nil:
		record := p.pending.record
		p.pending = nil
		c.handleRecord(now, id, record, version)
	case definitelyNotWritten(err) && !p.pending.uncertain:
		p.pending = nil
		c.scheduleRetry(now, p)
		c.handleFailedWrite(p)
	default:
		p.pending.uncertain = true
		if p.version > p.pending.expected {
			p.pending = nil
			return
		}
		c.startRead(p)
	}
}

// handleReadResult handles a record that was read, which may also show whether
// an uncertain write took effect.
func (c *protocol) handleReadResult(now time.Time, id order.PartitionID, entry storage.Entry, record Record, err error) {
	p := c.partition(id)
	p.reading = false
	if err != nil {
		c.scheduleRetry(now, p)
		return
	}
	if entry.Exists() {
		c.handleRecord(now, id, record, entry.Version())
	}
	if p.pending == nil || !p.pending.uncertain {
		return
	}
	// The record is unchanged, but the write may still arrive at the store. The
	// same write is retried: once any write at this version is known to have
	// succeeded, the earlier one cannot take effect any more.
	c.scheduleRetry(now, p)
}

// stepPartition takes the next step for one partition.
func (c *protocol) stepPartition(now time.Time, p *partition) {
	c.expireIncoming(now, p)
	c.expireStateWait(now, p)
	switch {
	case p.pending != nil:
		c.retryUncertainWrite(now, p)
		return
	case p.readWanted && !now.Before(p.nextReadAt):
		p.readWanted = false
		p.nextReadAt = now.Add(minReadInterval)
		c.startRead(p)
	}
	switch {
	case p.version == 0:
		c.createRecord(now, p)
	case p.record.owner == c.self:
		c.maintainOwnership(now, p)
	case p.record.standby == c.self:
		c.claimExpired(now, p)
	case now.Equal(c.membersCheckedAt):
		// Absences change only when updateMembers has run in this tick.
		c.adoptOrphan(now, p)
	}
}

// retryUncertainWrite retries an uncertain write until its result is known.
func (c *protocol) retryUncertainWrite(now time.Time, p *partition) {
	if !p.pending.uncertain || p.reading || now.Before(p.retryAt) || !c.view.storeReachable {
		return
	}
	c.scheduleRetry(now, p)
	c.emit(swapCommand{partition: p.id, expected: p.pending.expected, record: p.pending.record})
}

// startWrite starts a compare-and-swap of the record. While it is pending, this
// process counts no new promises: if the write takes effect, another process
// may measure its waiting time from that moment.
func (c *protocol) startWrite(now time.Time, p *partition, record Record) {
	p.pending = &pendingWrite{expected: p.version, record: record}
	if p.permission != nil {
		p.deadline = minTime(p.deadline, now.Add(ownerValidity))
		c.refreshDeadline(p)
	}
	c.emit(swapCommand{partition: p.id, expected: p.version, record: record})
}

// canWrite reports whether a write may be tried now. None is tried while the
// store does not reply, because an uncertain write stops the partition until it
// is resolved.
func (c *protocol) canWrite(now time.Time, p *partition) bool {
	return c.view.storeReachable && c.recordsListed && !now.Before(p.retryAt)
}

// scheduleRetry sets the next retry after an exponential backoff with jitter.
func (c *protocol) scheduleRetry(now time.Time, p *partition) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff/2 + time.Duration(c.random.Int64N(int64(p.backoff))))
}

// requestRead schedules a read of the record, at most one in each
// minReadInterval.
func (c *protocol) requestRead(p *partition) { p.readWanted = true }

func (c *protocol) startRead(p *partition) {
	if p.reading {
		return
	}
	p.reading = true
	c.emit(readCommand{partition: p.id})
}

func (c *protocol) emit(cmd command) { c.commands = append(c.commands, cmd) }

// partition returns the partition and adds it if it is new.
func (c *protocol) partition(id order.PartitionID) *partition {
	p := c.partitions[id]
	if p != nil {
		return p
	}
	p = &partition{id: id}
	c.partitions[id] = p
	i := sort.Search(len(c.ids), func(i int) bool { return c.ids[i] >= id })
	c.ids = append(c.ids, "")
	copy(c.ids[i+1:], c.ids[i:])
	c.ids[i] = id
	return p
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
