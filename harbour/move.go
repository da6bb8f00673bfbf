package harbour

import (
	"time"

	"chervilhollow/order"
)

type (
	// move is the transfer of one partition to its preferred owner. The target
	// is first asked for a sign of life.
	move struct {
		partition order.PartitionID
		target    order.MemberID
		sequence  uint64
		asked     time.Time
	}
)

const (
	// A process moves one partition at a time, and not one that it has just
	// acquired, so that two processes with different views do not pass a
	// partition back and forth.
	movePeriod   = 500 * time.Millisecond
	moveSettled  = 10 * time.Second
	probeLimit   = 500 * time.Millisecond
	trimPeriod   = 250 * time.Millisecond
	moveLookSize = 8
)

// rebalance moves partitions to their preferred owners, slowly.
func (c *protocol) rebalance(now time.Time) {
	c.expireAwaited(now)
	if c.move.target != "" && !c.moveOver(now) {
		return
	}
	if c.leaving || !c.listed || !c.view.listed || !c.view.reachable {
		return
	}
	c.trimStandbys(now)
	if now.Sub(c.moved) < movePeriod {
		return
	}
	for range min(moveLookSize, len(c.ids)) {
		c.cursor = (c.cursor + 1) % len(c.ids)
		if p := c.owned[c.ids[c.cursor]]; p != nil && c.startMove(now, p) {
			return
		}
	}
}

func (c *protocol) startMove(now time.Time, p *partition) bool {
	if p.pending != nil || p.release != nil || now.Sub(p.acquired) < moveSettled || !now.Before(p.deadline) {
		return false
	}
	target := c.preferredSettled(now, p.id)
	if target == c.self {
		return false
	}
	q := c.pair(target)
	q.used = now
	if q.dirty {
		c.collectClaims(q)
	}
	c.sendHeartbeat(now, q)
	c.move = move{partition: p.id, target: target, sequence: c.sequence, asked: now}
	return true
}

// probed goes on with the move once its target has answered.
func (c *protocol) probed(now time.Time, from order.MemberID, m order.PromiseMsg) {
	if c.move.target != from || c.move.sequence != m.Sequence() {
		return
	}
	c.move.sequence = 0
	p := c.owned[c.move.partition]
	fit := m.StoreReachable() && m.Revision() >= c.view.revision
	if !fit || p == nil || p.pending != nil || p.release != nil || c.leaving || !c.mayWrite(now, p) {
		return
	}
	c.registry.Count("harbour.moves")
	c.startRelease(now, p, from, false)
}

// moveOver reports whether the last move has come to its end.
func (c *protocol) moveOver(now time.Time) bool {
	if c.move.sequence != 0 {
		if now.Sub(c.move.asked) < probeLimit {
			return false
		}
		c.suspect(now, c.move.target)
	}
	if p := c.owned[c.move.partition]; p != nil && p.release != nil {
		return false
	}
	if _, ok := c.awaiting[c.move.partition]; ok {
		return false
	}
	c.move = move{}
	c.moved = now
	return true
}

// trimStandbys replaces one standby that is not where it should be: in the
// failure domain of the owner although others are at hand, or one too many.
func (c *protocol) trimStandbys(now time.Time) {
	if now.Sub(c.trimmed) < trimPeriod {
		return
	}
	c.trimmed = now
	fit := c.standbys(c.self, c.domain, c.inUse)
	if len(fit) == 0 {
		return
	}
	for _, id := range c.ids {
		p := c.owned[id]
		if p == nil || p.pending != nil || p.release != nil || p.record.standby == "" || !c.mayWrite(now, p) {
			continue
		}
		if !containsMember(fit, p.record.standby) && !c.suspected(p.record.standby) {
			c.registry.Count("harbour.standby_moved")
			c.issue(now, p, p.record.withStandby(c.pick(id, fit)))
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
