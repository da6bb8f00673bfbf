package ownership

import (
	"errors"
	"sort"
	"time"

	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// peer is the exchange of heartbeats and promises with another placer: a
	// standby, a suspect, or the target of a move.
	peer struct {
		id          order.MemberID
		claims      []order.Claim
		lastUsed    time.Time
		lastSent    time.Time
		lastReply   time.Time
		revision    order.Revision
		claimsStale bool
		sendSoon    bool
		probeDue    bool

		// recentHeartbeats is a ring buffer of the last heartbeats, by
		// sequence.
		recentHeartbeats [maxRecentHeartbeats]sentHeartbeat
	}

	sentHeartbeat struct {
		sequence uint64
		at       time.Time
	}
)

const (
	maxRecentHeartbeats = 64

	// Changes of the claims within this interval share one heartbeat.
	minHeartbeatInterval = 20 * time.Millisecond

	peerIdleTimeout = 5 * time.Second
)

// acquire makes this process the owner at the epoch of the record.
func (c *protocol) acquire(now time.Time, p *partition) {
	p.permission = &permission{epoch: p.record.epoch}
	p.deadline = time.Time{}
	p.acquiredAt = now
	c.owned[p.id] = p
	c.permissionsStale = true
	c.resetStandby(now, p, "")
	c.registry.Count("harbour.acquired")
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).
		Str("standby", string(p.record.standby)).Msg("harbour: acquired partition")
	state, ok := c.takeIncomingState(p)
	if !ok && p.record.handover != "" {
		p.stateDeadline = now.Add(stateTimeout)
		return
	}
	c.startServing(p, state)
}

// startServing emits the event on which the component of the partition starts.
func (c *protocol) startServing(p *partition, state []byte) {
	p.stateDeadline = time.Time{}
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).
		Bool("handed_over", p.record.handover != "").Int("state_bytes", len(state)).Msg("harbour: serving partition")
	c.emit(eventCommand{AcquiredEvent{partition: p.id, epoch: p.record.epoch, state: state}})
}

// loseOwnership ends the ownership if this process has it.
func (c *protocol) loseOwnership(now time.Time, p *partition) {
	if p.permission == nil {
		return
	}
	epoch := p.permission.epoch
	p.deadline = time.Time{}
	c.refreshDeadline(p)
	p.permission = nil
	p.ackTo = ""
	delete(c.owned, p.id)
	c.permissionsStale = true
	for _, q := range c.peers {
		q.claimsStale = true
	}
	c.registry.Count("harbour.lost")
	c.log.Info().Str("partition", string(p.id)).Uint64("epoch", uint64(epoch)).
		Str("owner", string(p.record.owner)).Msg("harbour: lost partition")
	if p.stateDeadline.IsZero() {
		c.emit(eventCommand{LostEvent{partition: p.id, epoch: epoch}})
	}
	p.stateDeadline = time.Time{}
	c.endHandover(now, p, epoch)
}

// resetStandby starts the exchange with the standby of the record. Promises in
// reply to earlier heartbeats do not count.
func (c *protocol) resetStandby(now time.Time, p *partition, before order.MemberID) {
	p.standbySince = now
	p.firstSequence = c.sequence + 1
	c.markPeer(before)
	c.markPeer(p.record.standby)
}

// markPeer schedules a heartbeat with rebuilt claims to the member.
func (c *protocol) markPeer(id order.MemberID) {
	if q := c.peers[id]; q != nil {
		q.claimsStale, q.sendSoon = true, true
	}
}

// maintainOwnership takes the next step for a partition that this process owns:
// it continues a handover, or chooses or replaces the standby.
func (c *protocol) maintainOwnership(now time.Time, p *partition) {
	standby := p.record.standby
	if standby == "" {
		c.extendByMemberLease(now, p)
	}
	switch {
	case p.outgoing != nil:
		c.continueHandover(now, p)
	case !c.canWrite(now, p):
	case standby == "":
		if next := c.chooseStandby(p.id); next != "" {
			c.startWrite(now, p, p.record.withStandby(next))
		}
	case now.Sub(maxTime(c.peer(standby).lastReply, p.standbySince)) > standbyTimeout:
		c.suspect(now, standby)
		if next := c.chooseStandby(p.id); next != standby {
			c.registry.Count("harbour.standby_replaced")
			c.startWrite(now, p, p.record.withStandby(next))
		}
	}
}

// extendByMemberLease lets a process without a standby act while its member
// lease is confirmed: no other process claims before that lease has ended. This
// serves development, and the time until another placer is seen.
func (c *protocol) extendByMemberLease(now time.Time, p *partition) {
	if p.pending != nil || p.outgoing != nil {
		return
	}
	p.deadline = c.view.leaseEnd
	c.refreshDeadline(p)
	if now.Before(p.deadline) {
		c.confirmHandover(p)
	}
}

// handlePromise handles the reply to a heartbeat. Promises count from the time
// the heartbeat was sent, not from the receipt of the reply.
func (c *protocol) handlePromise(now time.Time, from order.MemberID, m order.PromiseMsg) {
	q := c.peers[from]
	if q == nil {
		return
	}
	sentAt, ok := q.sentAt(m.Sequence())
	if !ok {
		c.registry.Count("harbour.promise_unknown")
		return
	}
	q.lastReply = now
	delete(c.suspects, from)
	if m.StoreReachable() {
		c.lastStoreContact = maxTime(c.lastStoreContact, sentAt)
	}
	if m.Revision() > q.revision {
		q.revision = m.Revision()
		c.refreshDeadlines()
	}
	validity := min(m.ValidFor(), PromiseValidity)
	until := sentAt.Add(validity - validity/clockDriftDivisor)
	for _, claim := range m.Granted() {
		c.applyGrant(from, claim, m.Sequence(), until)
	}
	for _, claim := range m.Refused() {
		c.applyRefusal(q, claim)
	}
	c.handleProbeReply(now, from, m)
}

// applyGrant extends the permission to act. Only the current standby, epoch and
// exchange count, and nothing counts during a write or a handover.
func (c *protocol) applyGrant(from order.MemberID, claim order.Claim, sequence uint64, until time.Time) {
	p := c.owned[claim.Partition()]
	switch {
	case p == nil || p.permission.epoch != claim.Epoch() || p.record.standby != from:
		return
	case p.pending != nil || p.outgoing != nil || sequence < p.firstSequence:
		return
	}
	if until.After(p.deadline) {
		p.deadline = until
		c.refreshDeadline(p)
	}
	c.confirmHandover(p)
}

// applyRefusal requests a read of the record, because the standby may have
// claimed the partition.
func (c *protocol) applyRefusal(q *peer, claim order.Claim) {
	p := c.owned[claim.Partition()]
	if p == nil || p.permission.epoch != claim.Epoch() || q.revision > c.view.revision {
		return
	}
	c.registry.Count("harbour.promise_refused")
	c.requestRead(p)
}

// confirmHandover sends the confirmation of a handover to the former owner,
// once this process may act.
func (c *protocol) confirmHandover(p *partition) {
	if p.ackTo == "" {
		return
	}
	c.emit(sendCommand{to: p.ackTo, msg: order.HandoverAckMsg{}.WithPartition(p.id).WithEpoch(p.permission.epoch)})
	p.ackTo = ""
}

// refreshDeadline publishes until when this process may act for the partition.
// It may not act during a handover, or while the standby has a newer
// configuration.
func (c *protocol) refreshDeadline(p *partition) {
	at := p.deadline
	if q := c.peers[p.record.standby]; q != nil && q.revision > c.view.revision {
		at = time.Time{}
	}
	if p.outgoing != nil {
		at = time.Time{}
	}
	c.deadlines.set(p.permission, at)
}

func (c *protocol) refreshDeadlines() {
	for _, p := range c.owned {
		c.refreshDeadline(p)
	}
}

// publishPermissions makes the current set of permissions visible to other
// goroutines.
func (c *protocol) publishPermissions() {
	if !c.permissionsStale {
		return
	}
	c.permissionsStale = false
	permissions := make(map[order.PartitionID]*permission, len(c.owned))
	for id, p := range c.owned {
		permissions[id] = p.permission
	}
	c.deadlines.publish(permissions)
}

// updateProcessLimit sets until when the process may act at all. A process that
// lost the store may continue only while most known members report the same
// loss, and never longer than ContactLimit after its last contact with the
// store.
func (c *protocol) updateProcessLimit(now time.Time) {
	c.lastStoreContact = maxTime(c.lastStoreContact, c.view.lastStoreReply)
	if c.view.majorityLostStore && !c.view.storeReachable {
		c.mostLostUntil = now.Add(mostLostPeriod)
	}
	limit := maxTime(c.view.lastStoreReply.Add(StoreLossLimit), c.mostLostUntil)
	c.deadlines.setProcessLimit(minTime(limit, c.lastStoreContact.Add(ContactLimit-ContactLimit/clockDriftDivisor)))
}

// sendHeartbeats sends the heartbeats that are due.
func (c *protocol) sendHeartbeats(now time.Time) {
	for _, p := range c.owned {
		if p.record.standby != "" {
			c.peer(p.record.standby)
		}
	}
	c.probeSuspects(now)
	for _, id := range c.peerIDs() {
		q := c.peers[id]
		if q.claimsStale {
			c.rebuildClaims(q)
		}
		c.dropIdle(now, q)
		due := now.Sub(q.lastSent) >= HeartbeatPeriod
		soon := q.sendSoon && now.Sub(q.lastSent) >= minHeartbeatInterval
		if q.probeDue || (len(q.claims) > 0 && (due || soon)) {
			c.sendHeartbeat(now, q)
		}
	}
}

// probeSuspects sends heartbeats to suspected placers, because a reply ends the
// suspicion. Without it, three lost heartbeats would leave a partition of a
// cluster with two placers without a standby for the whole suspicionPeriod.
func (c *protocol) probeSuspects(now time.Time) {
	for id := range c.suspects {
		if _, ok := c.liveMembers[id]; !ok {
			continue
		}
		q := c.peer(id)
		q.lastUsed = now
		if len(q.claims) == 0 {
			q.probeDue = now.Sub(q.lastSent) >= HeartbeatPeriod
		}
	}
}

func (c *protocol) rebuildClaims(q *peer) {
	q.claimsStale = false
	claims := make([]order.Claim, 0, len(q.claims)+1)
	for _, p := range c.owned {
		if p.record.standby == q.id {
			claims = append(claims, order.Claim{}.WithPartition(p.id).WithEpoch(p.permission.epoch))
		}
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Partition() < claims[j].Partition() })
	q.claims = claims
}

// dropIdle removes a peer that has had no claims for peerIdleTimeout.
func (c *protocol) dropIdle(now time.Time, q *peer) {
	if len(q.claims) > 0 {
		q.lastUsed = now
	}
	if now.Sub(q.lastUsed) > peerIdleTimeout {
		delete(c.peers, q.id)
	}
}

func (c *protocol) sendHeartbeat(now time.Time, q *peer) {
	c.sequence++
	q.recentHeartbeats[c.sequence%maxRecentHeartbeats] = sentHeartbeat{sequence: c.sequence, at: now}
	q.lastSent, q.sendSoon, q.probeDue = now, false, false
	c.emit(sendCommand{to: q.id, msg: order.HeartbeatMsg{}.
		WithSequence(c.sequence).
		WithClaims(q.claims).
		WithRevision(c.view.revision).
		WithStoreReachable(c.view.storeReachable)})
}

// peer returns the peer for the member and creates it if needed.
func (c *protocol) peer(id order.MemberID) *peer {
	q := c.peers[id]
	if q == nil {
		q = &peer{id: id, claimsStale: true, sendSoon: true}
		c.peers[id] = q
	}
	return q
}

func (c *protocol) peerIDs() []order.MemberID {
	ids := make([]order.MemberID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// sentAt returns when the heartbeat was sent, and false if it is not among the
// recent ones.
func (q *peer) sentAt(sequence uint64) (time.Time, bool) {
	r := q.recentHeartbeats[sequence%maxRecentHeartbeats]
	return r.at, r.sequence == sequence && sequence != 0
}

// definitelyNotWritten reports whether the error proves that a write had no
// effect.
func definitelyNotWritten(err error) bool {
	return errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrUncertain)
}
