package harbour

import (
	"errors"
	"sort"
	"time"

	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// pair is the exchange of heartbeats and promises with one standby.
	pair struct {
		id       order.MemberID
		claims   []order.Claim
		used     time.Time
		sent     time.Time
		heard    time.Time
		revision order.Revision
		dirty    bool
		urgent   bool
		probe    bool

		// requests remembers when each of the last heartbeats was sent.
		requests [outstanding]request
	}

	request struct {
		sequence uint64
		at       time.Time
	}
)

const (
	outstanding = 64

	// Changes within this time share one heartbeat.
	urgentPeriod = 20 * time.Millisecond

	pairLife = 5 * time.Second
)

// acquire makes the process the owner at the epoch of the record.
func (c *protocol) acquire(now time.Time, p *partition) {
	p.hold = &hold{epoch: p.record.epoch}
	p.deadline = time.Time{}
	p.acquired = now
	c.owned[p.id] = p
	c.holdsDirty = true
	c.changeStandby(now, p, "")
	c.registry.Count("harbour.acquired")
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).
		Str("standby", string(p.record.standby)).Msg("harbour: acquired partition")
	state, ok := c.inherit(p)
	if !ok && p.record.handover != "" {
		p.stateUntil = now.Add(stateWait)
		return
	}
	c.begin(p, state)
}

// begin starts the part that serves the partition.
func (c *protocol) begin(p *partition, state []byte) {
	p.stateUntil = time.Time{}
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).
		Bool("handed_over", p.record.handover != "").Int("state_bytes", len(state)).Msg("harbour: partition begins")
	c.emit(eventCommand{AcquiredEvent{partition: p.id, epoch: p.record.epoch, state: state}})
}

// lose ends the ownership, if there is one.
func (c *protocol) lose(now time.Time, p *partition) {
	if p.hold == nil {
		return
	}
	epoch := p.hold.epoch
	p.deadline = time.Time{}
	c.refresh(p)
	p.hold = nil
	p.ackTo = ""
	delete(c.owned, p.id)
	c.holdsDirty = true
	for _, q := range c.pairs {
		q.dirty = true
	}
	c.registry.Count("harbour.lost")
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(epoch)).
		Str("owner", string(p.record.owner)).Msg("harbour: lost partition")
	if p.stateUntil.IsZero() {
		c.emit(eventCommand{LostEvent{partition: p.id, epoch: epoch}})
	}
	p.stateUntil = time.Time{}
	c.releaseEnded(now, p, epoch)
}

// changeStandby starts the exchange with the standby of the record. Promises
// that answer earlier heartbeats do not count.
func (c *protocol) changeStandby(now time.Time, p *partition, before order.MemberID) {
	p.standbySince = now
	p.firstSequence = c.sequence + 1
	c.markPair(before)
	c.markPair(p.record.standby)
}

func (c *protocol) markPair(id order.MemberID) {
	if q := c.pairs[id]; q != nil {
		q.dirty, q.urgent = true, true
	}
}

// own takes the next step for a partition that this process owns.
func (c *protocol) own(now time.Time, p *partition) {
	standby := p.record.standby
	if standby == "" {
		c.ownAlone(now, p)
	}
	switch {
	case p.release != nil:
		c.continueRelease(now, p)
	case !c.mayWrite(now, p):
	case standby == "":
		if next := c.chooseStandby(p.id); next != "" {
			c.issue(now, p, p.record.withStandby(next))
		}
	case now.Sub(later(c.pair(standby).heard, p.standbySince)) > standbySilence:
		c.suspect(now, standby)
		if next := c.chooseStandby(p.id); next != standby {
			c.registry.Count("harbour.standby_replaced")
			c.issue(now, p, p.record.withStandby(next))
		}
	}
}

// ownAlone lets a process without a standby act while its member lease is
// confirmed: no other process claims before that lease has ended. This is
// meant for development and for the time until another placer is seen.
func (c *protocol) ownAlone(now time.Time, p *partition) {
	if p.pending != nil || p.release != nil {
		return
	}
	p.deadline = c.view.leaseUntil
	c.refresh(p)
	if now.Before(p.deadline) {
		c.acting(p)
	}
}

// promise takes the standby's answer to a heartbeat.
func (c *protocol) promise(now time.Time, from order.MemberID, m order.PromiseMsg) {
	q := c.pairs[from]
	if q == nil {
		return
	}
	sentAt, ok := q.sentAt(m.Sequence())
	if !ok {
		c.registry.Count("harbour.promise_unknown")
		return
	}
	q.heard = now
	delete(c.suspects, from)
	if m.StoreReachable() {
		c.contact = later(c.contact, sentAt)
	}
	if m.Revision() > q.revision {
		q.revision = m.Revision()
		c.refreshHolds()
	}
	validity := min(m.ValidFor(), Validity)
	until := sentAt.Add(validity - validity/driftParts)
	for _, claim := range m.Granted() {
		c.granted(from, claim, m.Sequence(), until)
	}
	for _, claim := range m.Refused() {
		c.refused(q, claim)
	}
	c.probed(now, from, m)
}

func (c *protocol) granted(from order.MemberID, claim order.Claim, sequence uint64, until time.Time) {
	p := c.owned[claim.Partition()]
	switch {
	case p == nil || p.hold.epoch != claim.Epoch() || p.record.standby != from:
		return
	case p.pending != nil || p.release != nil || sequence < p.firstSequence:
		return
	}
	if until.After(p.deadline) {
		p.deadline = until
		c.refresh(p)
	}
	c.acting(p)
}

// refused reads the record, because the standby may have claimed.
func (c *protocol) refused(q *pair, claim order.Claim) {
	p := c.owned[claim.Partition()]
	if p == nil || p.hold.epoch != claim.Epoch() || q.revision > c.view.revision {
		return
	}
	c.registry.Count("harbour.promise_refused")
	c.readSoon(p)
}

// acting confirms a handover once the process may act.
func (c *protocol) acting(p *partition) {
	if p.ackTo == "" {
		return
	}
	c.emit(sendCommand{to: p.ackTo, msg: order.HandoverAckMsg{}.WithPartition(p.id).WithEpoch(p.hold.epoch)})
	p.ackTo = ""
}

// refresh publishes until when the process may act for the partition.
func (c *protocol) refresh(p *partition) {
	at := p.deadline
	if q := c.pairs[p.record.standby]; q != nil && q.revision > c.view.revision {
		at = time.Time{}
	}
	if p.release != nil {
		at = time.Time{}
	}
	c.deadlines.set(p.hold, at)
}

func (c *protocol) refreshHolds() {
	for _, p := range c.owned {
		c.refresh(p)
	}
}

// publish makes the present set of holds visible to other goroutines.
func (c *protocol) publish() {
	if !c.holdsDirty {
		return
	}
	c.holdsDirty = false
	holds := make(map[order.PartitionID]*hold, len(c.owned))
	for id, p := range c.owned {
		holds[id] = p.hold
	}
	c.deadlines.publish(holds)
}

// setLimit sets until when the process may act at all. A process that lost the
// store goes on only while most known members report the same loss, and in no
// case longer than ContactLimit after its last contact with the store.
func (c *protocol) setLimit(now time.Time) {
	c.contact = later(c.contact, c.view.storeSeen)
	if c.view.mostLost && !c.view.reachable {
		c.excused = now.Add(mostLimit)
	}
	limit := later(c.view.storeSeen.Add(StoreLossLimit), c.excused)
	c.deadlines.setLimit(sooner(limit, c.contact.Add(ContactLimit-ContactLimit/driftParts)))
}

// beat sends the heartbeats that are due.
func (c *protocol) beat(now time.Time) {
	for _, p := range c.owned {
		if p.record.standby != "" {
			c.pair(p.record.standby)
		}
	}
	c.probeSuspects(now)
	for _, id := range c.pairIDs() {
		q := c.pairs[id]
		if q.dirty {
			c.collectClaims(q)
		}
		c.dropUnused(now, q)
		due := now.Sub(q.sent) >= HeartbeatPeriod
		soon := q.urgent && now.Sub(q.sent) >= urgentPeriod
		if q.probe || (len(q.claims) > 0 && (due || soon)) {
			c.sendHeartbeat(now, q)
		}
	}
}

// probeSuspects asks suspected placers for a sign of life, which ends the
// suspicion. Without it, three lost heartbeats would leave a partition of a
// cell with two placers without a standby for the whole time of the suspicion.
func (c *protocol) probeSuspects(now time.Time) {
	for id := range c.suspects {
		if _, ok := c.live[id]; !ok {
			continue
		}
		q := c.pair(id)
		q.used = now
		if len(q.claims) == 0 {
			q.probe = now.Sub(q.sent) >= HeartbeatPeriod
		}
	}
}

func (c *protocol) collectClaims(q *pair) {
	q.dirty = false
	claims := make([]order.Claim, 0, len(q.claims)+1)
	for _, p := range c.owned {
		if p.record.standby == q.id {
			claims = append(claims, order.Claim{}.WithPartition(p.id).WithEpoch(p.hold.epoch))
		}
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Partition() < claims[j].Partition() })
	q.claims = claims
}

func (c *protocol) dropUnused(now time.Time, q *pair) {
	if len(q.claims) > 0 {
		q.used = now
	}
	if now.Sub(q.used) > pairLife {
		delete(c.pairs, q.id)
	}
}

func (c *protocol) sendHeartbeat(now time.Time, q *pair) {
	c.sequence++
	q.requests[c.sequence%outstanding] = request{sequence: c.sequence, at: now}
	q.sent, q.urgent, q.probe = now, false, false
	c.emit(sendCommand{to: q.id, msg: order.HeartbeatMsg{}.
		WithSequence(c.sequence).
		WithClaims(q.claims).
		WithRevision(c.view.revision).
		WithStoreReachable(c.view.reachable)})
}

func (c *protocol) pair(id order.MemberID) *pair {
	q := c.pairs[id]
	if q == nil {
		q = &pair{id: id, dirty: true, urgent: true}
		c.pairs[id] = q
	}
	return q
}

func (c *protocol) pairIDs() []order.MemberID {
	ids := make([]order.MemberID, 0, len(c.pairs))
	for id := range c.pairs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (q *pair) sentAt(sequence uint64) (time.Time, bool) {
	r := q.requests[sequence%outstanding]
	return r.at, r.sequence == sequence && sequence != 0
}

func certainlyNot(err error) bool {
	return errors.Is(err, depot.ErrUnavailable) && !errors.Is(err, depot.ErrUncertain)
}
