package harbour

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	// protocol is the ownership protocol of one process as a state machine.
	// Inputs carry the local time; the commands that they cause are fetched
	// with take. Only deadlines and directory may be used by other goroutines.
	protocol struct {
		self      order.MemberID
		domain    order.DomainName
		started   time.Time
		registry  *gauge.Registry
		log       zerolog.Logger
		random    *rand.Rand
		deadlines *deadlines
		directory *directory

		view     view
		live     map[order.MemberID]member
		absences map[order.MemberID]*absence

		partitions map[order.PartitionID]*partition
		ids        []order.PartitionID
		owned      map[order.PartitionID]*partition
		pairs      map[order.MemberID]*pair
		suspects   map[order.MemberID]time.Time

		listed     bool
		paused     bool
		holdsDirty bool
		leaving    bool
		sequence   uint64
		ticked     time.Time
		claimAfter time.Time
		contact    time.Time
		excused    time.Time
		followed   time.Time
		inUse      map[order.MemberID]int
		move       move
		moved      time.Time
		trimmed    time.Time
		cursor     int
		awaiting   map[order.PartitionID]awaited
		collects   bool
		out        []command
	}

	// view is what the process knows of the others and of the store.
	view struct {
		members    []roster.Member
		listed     bool
		reachable  bool
		storeSeen  time.Time
		leaseUntil time.Time
		mostLost   bool
		revision   order.Revision
		shows      func(address string) bool
	}

	// member is a live placer.
	member struct {
		id     order.MemberID
		domain order.DomainName
		since  time.Time
	}

	// absence counts how long a member has had no record while this process
	// could see the store.
	absence struct {
		total time.Duration
		last  time.Time
	}

	// partition is what the process knows of one partition.
	partition struct {
		id      order.PartitionID
		record  Record
		version depot.Version
		seen    depot.Version
		changed time.Time
		ensured time.Time
		orphan  time.Time

		// promised is until when this process must not claim the partition.
		promised time.Time

		pending *pending
		retryAt time.Time
		backoff time.Duration
		reading bool

		readWanted bool
		readAt     time.Time

		hold          *hold
		deadline      time.Time
		acquired      time.Time
		standbySince  time.Time
		firstSequence uint64
		release       *release
		inherited     *inheritance
		ackTo         order.MemberID

		// stateUntil is until when the partition waits for the state of its
		// former owner; zero if it does not wait.
		stateUntil time.Time
	}

	// pending is a compare-and-swap whose result is not known yet.
	pending struct {
		expected  depot.Version
		record    Record
		uncertain bool
	}
)

const (
	// Validity is how long a promise holds.
	Validity = 1500 * time.Millisecond

	// HeartbeatPeriod is how often an owner asks for promises.
	HeartbeatPeriod = 250 * time.Millisecond

	// TickPeriod is how often the protocol looks at its deadlines.
	TickPeriod = 25 * time.Millisecond

	// StoreLossLimit is how long after the last answer of the store a process
	// may act while most known members do not report the same loss.
	StoreLossLimit = 2800 * time.Millisecond

	// ContactLimit is how long an owner may act without any contact to the
	// store, and how long a member must be absent to count as gone.
	ContactLimit = 15 * time.Minute

	// The owner counts a promise shorter and the standby counts it longer by
	// this part, so clocks whose rates are off by up to 2% are safe.
	driftParts = 50

	// An owner replaces a standby after this silence, which is three missed
	// heartbeats and leaves time for the write and the first promise of the
	// new standby before the last promise of the old one ends.
	standbySilence = 750 * time.Millisecond

	suspicion = 10 * time.Second

	// The report that most members lost the store holds this long. At the end
	// of an outage the others may reach the store before this process does,
	// which tries at least twice a second.
	mostLimit = time.Second

	// After a pause of its own the process first reads the messages that
	// waited, so that it does not claim from an owner whose heartbeats are in
	// its inbox. Only the first of several long ticks counts as a pause: a
	// process that is always slow must still claim.
	longTick   = 400 * time.Millisecond
	pauseGrace = 200 * time.Millisecond

	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	readPeriod = 250 * time.Millisecond
)

var (
	// ownerValidity is how long the owner counts a promise from the moment it
	// sent the request.
	ownerValidity = Validity - Validity/driftParts

	// standbyValidity is how long the standby counts it from the moment it
	// answered.
	standbyValidity = Validity + Validity/driftParts
)

func newProtocol(self order.MemberID, domain order.DomainName, now time.Time, registry *gauge.Registry, log zerolog.Logger) *protocol {
	seed := xxhash.Sum64String(string(self))
	return &protocol{
		self:       self,
		domain:     domain,
		started:    now,
		registry:   registry,
		log:        log,
		random:     rand.New(rand.NewPCG(seed, seed)),
		deadlines:  newDeadlines(now),
		directory:  newDirectory(),
		live:       make(map[order.MemberID]member),
		absences:   make(map[order.MemberID]*absence),
		partitions: make(map[order.PartitionID]*partition),
		owned:      make(map[order.PartitionID]*partition),
		pairs:      make(map[order.MemberID]*pair),
		suspects:   make(map[order.MemberID]time.Time),
		ticked:     now,
		contact:    now,
		awaiting:   make(map[order.PartitionID]awaited),
		claimAfter: now.Add(standbyValidity),
	}
}

// take returns the commands since the last call.
func (c *protocol) take() []command {
	c.publish()
	out := c.out
	c.out = nil
	return out
}

// ensure asks that a record of the partition exists.
func (c *protocol) ensure(now time.Time, id order.PartitionID) {
	if p := c.at(id); p.ensured.IsZero() {
		p.ensured = now
	}
}

// listedAll tells that all records of the store were passed to observe. A
// known record that is not among them was deleted.
func (c *protocol) listedAll(now time.Time, found map[order.PartitionID]bool, version depot.Version) {
	c.listed = true
	for _, id := range c.ids {
		if !found[id] && c.partitions[id].version != 0 {
			c.removed(now, id, version)
		}
	}
}

// setRevision sets the configuration revision of this process. A higher one
// may end the time in which it must not act.
func (c *protocol) setRevision(revision order.Revision) {
	if revision == c.view.revision {
		return
	}
	c.view.revision = revision
	c.refreshHolds()
}

// tick looks at all deadlines.
func (c *protocol) tick(now time.Time, v view) {
	paused := now.Sub(c.ticked) > longTick
	if paused && !c.paused {
		c.claimAfter = later(c.claimAfter, now.Add(pauseGrace))
	}
	c.paused = paused
	c.setRevision(v.revision)
	c.view = v
	c.followMembers(now)
	c.setLimit(now)
	c.inUse = c.standbysInUse()
	for _, id := range c.ids {
		c.decide(now, c.partitions[id])
	}
	c.rebalance(now)
	c.ticked = now
	c.beat(now)
}

// observe takes a record that was read from the store or reported by a watch.
func (c *protocol) observe(now time.Time, id order.PartitionID, record Record, version depot.Version) {
	p := c.at(id)
	if version <= p.seen {
		return
	}
	c.checkRecord(p, record)
	before := p.record
	p.record, p.version, p.seen, p.changed = record, version, version, now
	p.orphan, p.retryAt, p.backoff = time.Time{}, time.Time{}, 0
	if p.pending != nil && p.pending.uncertain && version > p.pending.expected {
		p.pending = nil
	}
	c.directory.set(id, record)
	switch {
	case record.owner != c.self:
		c.lose(now, p)
	case p.hold == nil || p.hold.epoch != record.epoch:
		c.lose(now, p)
		c.acquire(now, p)
	case before.standby != record.standby:
		c.changeStandby(now, p, before.standby)
	}
}

// checkRecord asserts what one process can see of the order of records.
func (c *protocol) checkRecord(p *partition, next Record) {
	if p.version == 0 {
		return
	}
	c.registry.Invariant(next.epoch >= p.record.epoch, "epoch_rises",
		"partition %s went from epoch %d to %d", p.id, p.record.epoch, next.epoch)
	c.registry.Invariant(next.epoch != p.record.epoch || next.owner == p.record.owner, "one_owner_per_epoch",
		"partition %s has owners %s and %s at epoch %d", p.id, p.record.owner, next.owner, next.epoch)
}

// removed takes the deletion of a record, which only an operator can cause. The
// highest epoch is kept for a record that is written anew.
func (c *protocol) removed(now time.Time, id order.PartitionID, version depot.Version) {
	p := c.at(id)
	if version <= p.seen {
		return
	}
	p.version, p.seen = 0, version
	p.pending = nil
	c.lose(now, p)
	p.record = Record{epoch: p.record.epoch}
	c.directory.set(id, p.record)
}

// swapped takes the result of a compare-and-swap. Only ErrUnavailable says
// that it certainly had no effect; after every other error the record is read.
func (c *protocol) swapped(now time.Time, id order.PartitionID, version depot.Version, err error) {
	p := c.at(id)
	if p.pending == nil {
		return
	}
	switch {
	case err == nil:
		record := p.pending.record
		p.pending = nil
		c.observe(now, id, record, version)
	case certainlyNot(err) && !p.pending.uncertain:
		p.pending = nil
		c.postpone(now, p)
		c.swapFailed(p)
	default:
		p.pending.uncertain = true
		if p.version > p.pending.expected {
			p.pending = nil
			return
		}
		c.read(p)
	}
}

// wasRead takes the result of a read.
func (c *protocol) wasRead(now time.Time, id order.PartitionID, entry depot.Entry, record Record, err error) {
	p := c.at(id)
	p.reading = false
	if err != nil {
		c.postpone(now, p)
		return
	}
	if entry.Exists() {
		c.observe(now, id, record, entry.Version())
	}
	if p.pending == nil || !p.pending.uncertain {
		return
	}
	// The record is unchanged, but the write may still be on its way. The same
	// write is tried again: once any write at this version is known to have
	// succeeded, the earlier one cannot take effect any more.
	c.postpone(now, p)
}

// decide takes the next step for one partition.
func (c *protocol) decide(now time.Time, p *partition) {
	c.expireInherited(now, p)
	c.expireState(now, p)
	switch {
	case p.pending != nil:
		c.resolve(now, p)
		return
	case p.readWanted && !now.Before(p.readAt):
		p.readWanted = false
		p.readAt = now.Add(readPeriod)
		c.read(p)
	}
	switch {
	case p.version == 0:
		c.create(now, p)
	case p.record.owner == c.self:
		c.own(now, p)
	case p.record.standby == c.self:
		c.claim(now, p)
	case now.Equal(c.followed):
		// Absences change only when the members are looked at.
		c.adopt(now, p)
	}
}

// resolve tries an uncertain write again until its result is known.
func (c *protocol) resolve(now time.Time, p *partition) {
	if !p.pending.uncertain || p.reading || now.Before(p.retryAt) || !c.view.reachable {
		return
	}
	c.postpone(now, p)
	c.emit(swapCommand{partition: p.id, expected: p.pending.expected, record: p.pending.record})
}

// issue starts a compare-and-swap of the record. While it is pending the
// process counts no new promises: if the write takes effect, another process
// may count its waiting time from that moment.
func (c *protocol) issue(now time.Time, p *partition, record Record) {
	p.pending = &pending{expected: p.version, record: record}
	if p.hold != nil {
		p.deadline = sooner(p.deadline, now.Add(ownerValidity))
		c.refresh(p)
	}
	c.emit(swapCommand{partition: p.id, expected: p.version, record: record})
}

// mayWrite reports whether a write should be tried now. None is tried while
// the store does not answer, because an uncertain one stops the partition
// until it is resolved.
func (c *protocol) mayWrite(now time.Time, p *partition) bool {
	return c.view.reachable && c.listed && !now.Before(p.retryAt)
}

func (c *protocol) postpone(now time.Time, p *partition) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff/2 + time.Duration(c.random.Int64N(int64(p.backoff))))
}

// readSoon reads the record, at most once in each readPeriod.
func (c *protocol) readSoon(p *partition) { p.readWanted = true }

func (c *protocol) read(p *partition) {
	if p.reading {
		return
	}
	p.reading = true
	c.emit(readCommand{partition: p.id})
}

func (c *protocol) emit(cmd command) { c.out = append(c.out, cmd) }

// at returns the partition, new if it is not known yet.
func (c *protocol) at(id order.PartitionID) *partition {
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
