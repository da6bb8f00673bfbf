package ownership

import (
	"time"

	"chervilhollow/order"
)

type (
	// move is a planned transfer of one partition to its preferred owner. The
	// target is probed with a heartbeat before the handover starts.
	move struct {
		partition order.PartitionID
		target    order.MemberID
		sequence  uint64
		probedAt  time.Time
	}
)

const (
	// A process moves one partition at a time, and never one that it acquired
	// less than minOwnedTime ago. Otherwise two processes with different views
	// could pass a partition back and forth.
	movePeriod         = 500 * time.Millisecond
	minOwnedTime       = 10 * time.Second
	probeTimeout       = 500 * time.Millisecond
	standbyCheckPeriod = 250 * time.Millisecond
	// moveScanSize is how many partitions each tick checks for a move.
	moveScanSize = 8
)

// rebalance moves partitions to their preferred owners, at most one every
// movePeriod.
func (c *protocol) rebalance(now time.Time) {
	c.expirePendingAcks(now)
	if c.activeMove.target != "" && !c.moveDone(now) {
		return
	}
	if c.leaving || !c.recordsListed || !c.view.memberListRead || !c.view.storeReachable {
		return
	}
	c.replaceMisplacedStandby(now)
	if now.Sub(c.lastMoveEnd) < movePeriod {
		return
	}
	for range min(moveScanSize, len(c.ids)) {
		c.moveCursor = (c.moveCursor + 1) % len(c.ids)
		if p := c.owned[c.ids[c.moveCursor]]; p != nil && c.startMove(now, p) {
			return
		}
	}
}

// startMove probes the preferred owner of the partition and returns false if no
// move is needed or allowed now.
func (c *protocol) startMove(now time.Time, p *partition) bool {
	if p.pending != nil || p.outgoing != nil || now.Sub(p.acquiredAt) < minOwnedTime || !now.Before(p.deadline) {
		return false
	}
	target := c.preferredStable(now, p.id)
	if target == c.self {
		return false
	}
	q := c.peer(target)
	q.lastUsed = now
	if q.claimsStale {
		c.rebuildClaims(q)
	}
	c.sendHeartbeat(now, q)
	c.activeMove = move{partition: p.id, target: target, sequence: c.sequence, probedAt: now}
	return true
}

// handleProbeReply starts the handover once the target of the move has replied.
func (c *protocol) handleProbeReply(now time.Time, from order.MemberID, m order.PromiseMsg) {
	if c.activeMove.target != from || c.activeMove.sequence != m.Sequence() {
		return
	}
	c.activeMove.sequence = 0
	p := c.owned[c.activeMove.partition]
	suitable := m.StoreReachable() && m.Revision() >= c.view.revision
	if !suitable || p == nil || p.pending != nil || p.outgoing != nil || c.leaving || !c.canWrite(now, p) {
		return
	}
	c.registry.Count("harbour.moves")
	c.startHandover(now, p, from, false)
}

// moveDone reports whether the current move has ended, and clears it. A target
// that did not reply to the probe in time becomes a suspect.
func (c *protocol) moveDone(now time.Time) bool {
	if c.activeMove.sequence != 0 {
		if now.Sub(c.activeMove.probedAt) < probeTimeout {
			return false
		}
		c.suspect(now, c.activeMove.target)
	}
	if p := c.owned[c.activeMove.partition]; p != nil && p.outgoing != nil {
		return false
	}
	if _, ok := c.pendingAcks[c.activeMove.partition]; ok {
		return false
	}
	c.activeMove = move{}
	c.lastMoveEnd = now
	return true
}

// replaceMisplacedStandby replaces at most one standby. A standby is misplaced
// if it is in the failure domain of the owner although others are available, or
// if the owner uses more than MaxStandbys.
func (c *protocol) replaceMisplacedStandby(now time.Time) {
	if now.Sub(c.standbysCheckedAt) < standbyCheckPeriod {
		return
	}
	c.standbysCheckedAt = now
	suitable := c.standbyCandidates(c.self, c.domain, c.standbyUse)
	if len(suitable) == 0 {
		return
	}
	for _, id := range c.ids {
		p := c.owned[id]
		if p == nil || p.pending != nil || p.outgoing != nil || p.record.standby == "" || !c.canWrite(now, p) {
			continue
		}
		if !containsMember(suitable, p.record.standby) && !c.isSuspected(p.record.standby) {
			c.registry.Count("harbour.standby_moved")
			c.startWrite(now, p, p.record.withStandby(c.pickStandby(id, suitable)))
			return
		}
	}
}

func containsMember(ids []order.MemberID, id order.MemberID) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}
