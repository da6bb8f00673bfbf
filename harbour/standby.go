package harbour

import (
	"time"

	"chervilhollow/order"
)

const (
	// The preferred process for a partition without owner or record goes
	// first; after this time any other does.
	firstChoice = 2 * time.Second

	followPeriod = 100 * time.Millisecond
)

// heartbeat answers an owner that asks for promises.
func (c *protocol) heartbeat(now time.Time, from order.MemberID, m order.HeartbeatMsg) {
	answer := order.PromiseMsg{}.
		WithSequence(m.Sequence()).
		WithValidFor(Validity).
		WithRevision(c.view.revision).
		WithStoreReachable(c.view.reachable)
	granted, refused := c.judge(now, from, m)
	c.emit(sendCommand{to: from, msg: answer.WithGranted(granted).WithRefused(refused)})
}

// judge promises what can be promised. The slice of the message is returned
// unchanged in the usual case that all of it is granted.
func (c *protocol) judge(now time.Time, from order.MemberID, m order.HeartbeatMsg) (granted, refused []order.Claim) {
	claims := m.Claims()
	if m.Revision() < c.view.revision || now.Sub(c.started) < standbyValidity {
		c.registry.Count("harbour.refused_all")
		return nil, claims
	}
	for i, claim := range claims {
		ok := c.grant(now, from, claim)
		if !ok && refused == nil {
			granted = append(granted, claims[:i]...)
		}
		switch {
		case !ok:
			refused = append(refused, claim)
		case refused != nil:
			granted = append(granted, claim)
		}
	}
	if refused == nil {
		return claims, nil
	}
	return granted, refused
}

// grant promises not to claim the partition for the validity. It is safe to
// promise for a record that this process has not seen yet: the promise binds
// only itself, and the owner counts only promises of its confirmed standby.
func (c *protocol) grant(now time.Time, from order.MemberID, claim order.Claim) bool {
	p := c.at(claim.Partition())
	if p.version != 0 && p.record.epoch == claim.Epoch() && p.record.owner != from {
		c.registry.Invariant(false, "one_owner_per_epoch",
			"partition %s at epoch %d is owned by %s and claimed by %s", p.id, p.record.epoch, p.record.owner, from)
		return false
	}
	switch {
	case p.record.epoch > claim.Epoch():
		return false
	case p.pending != nil:
		return false
	case p.hold != nil:
		// The sender is at a higher epoch than this process knows of.
		c.readSoon(p)
		return false
	}
	p.promised = later(p.promised, now.Add(standbyValidity))
	return true
}

// claim takes a partition whose owner let its promise expire. A process that
// became the standby without giving a promise waits as long from the moment it
// saw the record: until its write is confirmed, the owner may act under the
// last promise of the previous standby.
func (c *protocol) claim(now time.Time, p *partition) {
	free := later(later(p.promised, p.changed.Add(standbyValidity)), c.claimAfter)
	if now.Before(free) || c.leaving || !c.mayWrite(now, p) {
		return
	}
	c.registry.Count("harbour.claims")
	c.suspect(now, p.record.owner)
	c.takeOver(now, p)
}

// adopt takes a partition whose owner and standby are both gone.
func (c *protocol) adopt(now time.Time, p *partition) {
	if c.leaving || !c.mayWrite(now, p) || !c.gone(p.record.owner) ||
		(p.record.standby != "" && !c.gone(p.record.standby)) {
		p.orphan = time.Time{}
		return
	}
	if p.orphan.IsZero() {
		p.orphan = now
	}
	free := later(p.promised, c.claimAfter)
	if now.Before(free) || !c.myTurn(now, p.id, p.orphan) {
		return
	}
	c.registry.Count("harbour.adoptions")
	c.takeOver(now, p)
}

// create writes the first record of a partition.
func (c *protocol) create(now time.Time, p *partition) {
	if p.ensured.IsZero() || c.leaving || !c.view.listed || !c.mayWrite(now, p) || !c.myTurn(now, p.id, p.ensured) {
		return
	}
	c.takeOver(now, p)
}

// takeOver writes this process into the record as the owner of the next epoch.
func (c *protocol) takeOver(now time.Time, p *partition) {
	c.registry.Invariant(!now.Before(p.promised), "no_claim_within_promise",
		"partition %s is claimed before the promise ended", p.id)
	c.issue(now, p, NewRecord(c.self, c.chooseStandby(p.id), p.record.epoch+1))
}

func (c *protocol) myTurn(now time.Time, id order.PartitionID, since time.Time) bool {
	return now.Sub(since) >= firstChoice || c.preferred(id) == c.self
}

// followMembers notes which placers live and how long others are absent.
func (c *protocol) followMembers(now time.Time) {
	if !c.followed.IsZero() && now.Sub(c.followed) < followPeriod {
		return
	}
	c.followed = now
	live := make(map[order.MemberID]member, len(c.live))
	for _, m := range c.view.members {
		if m.Role() != order.RolePlacer || m.ID() == c.self {
			continue
		}
		since := now
		if known, ok := c.live[m.ID()]; ok {
			since = known.since
		}
		live[m.ID()] = member{id: m.ID(), domain: m.Domain(), since: since}
		delete(c.absences, m.ID())
	}
	c.live = live
	c.countAbsences(now)
	for id, until := range c.suspects {
		if now.After(until) {
			delete(c.suspects, id)
		}
	}
}

// countAbsences adds the time since the last look, if the store was in reach
// during it.
func (c *protocol) countAbsences(now time.Time) {
	if !c.view.listed {
		return
	}
	for _, id := range c.ids {
		r := c.partitions[id].record
		c.noteAbsence(now, r.owner)
		c.noteAbsence(now, r.standby)
	}
	for _, a := range c.absences {
		if c.view.reachable {
			a.total += now.Sub(a.last)
		}
		a.last = now
	}
}

func (c *protocol) noteAbsence(now time.Time, id order.MemberID) {
	if id == "" || id == c.self || c.absences[id] != nil {
		return
	}
	if _, ok := c.live[id]; !ok {
		c.absences[id] = &absence{last: now}
	}
}

// gone reports whether a member has certainly ended: its lease has expired,
// and the host list does not show its host, or a newer process has registered
// its address, or it has been absent for ContactLimit.
func (c *protocol) gone(id order.MemberID) bool {
	a := c.absences[id]
	if a == nil || !c.view.reachable {
		return false
	}
	if a.total >= ContactLimit || !c.view.shows(id.Address()) {
		return true
	}
	for _, m := range c.view.members {
		if m.ID().Address() == id.Address() && m.ID() > id {
			return true
		}
	}
	return false
}

func (c *protocol) suspect(now time.Time, id order.MemberID) {
	c.suspects[id] = now.Add(suspicion)
}
