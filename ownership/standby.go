package ownership

import (
	"time"

	"chervilhollow/order"
)

const (
	// Only the preferred process may take over a partition without owner or
	// record at first. After this time any process may.
	preferredHeadStart = 2 * time.Second

	memberCheckPeriod = 100 * time.Millisecond
)

// handleHeartbeat replies to an owner that requests promises.
func (c *protocol) handleHeartbeat(now time.Time, from order.MemberID, m order.HeartbeatMsg) {
	reply := order.PromiseMsg{}.
		WithSequence(m.Sequence()).
		WithValidFor(PromiseValidity).
		WithRevision(c.view.revision).
		WithStoreReachable(c.view.storeReachable)
	granted, refused := c.evaluateClaims(now, from, m)
	c.emit(sendCommand{to: from, msg: reply.WithGranted(granted).WithRefused(refused)})
}

// evaluateClaims splits the claims of a heartbeat into granted and refused
// ones. In the usual case that all are granted, the slice of the message is
// returned unchanged.
func (c *protocol) evaluateClaims(now time.Time, from order.MemberID, m order.HeartbeatMsg) (granted, refused []order.Claim) {
	claims := m.Claims()
	if m.Revision() < c.view.revision || now.Sub(c.started) < standbyValidity {
		c.registry.Count("harbour.refused_all")
		return nil, claims
	}
	for i, claim := range claims {
		ok := c.grantPromise(now, from, claim)
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

// grantPromise promises not to claim the partition for standbyValidity, and
// returns false if it cannot. A promise is safe for a record that this process
// has not seen yet: it binds only this process, and an owner counts only
// promises of its confirmed standby.
func (c *protocol) grantPromise(now time.Time, from order.MemberID, claim order.Claim) bool {
	p := c.partition(claim.Partition())
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
	case p.permission != nil:
		// The sender is at a higher epoch than this process has seen.
		c.requestRead(p)
		return false
	}
	p.promisedUntil = maxTime(p.promisedUntil, now.Add(standbyValidity))
	return true
}

// claimExpired claims a partition from an owner that let its promise expire. A
// process that became the standby without giving a promise waits just as long
// from the moment it saw the record, because the owner may act under the last
// promise of the previous standby until its write is confirmed.
func (c *protocol) claimExpired(now time.Time, p *partition) {
	earliest := maxTime(maxTime(p.promisedUntil, p.recordSeenAt.Add(standbyValidity)), c.claimAfter)
	if now.Before(earliest) || c.leaving || !c.canWrite(now, p) {
		return
	}
	c.registry.Count("harbour.claims")
	c.suspect(now, p.record.owner)
	c.takeOver(now, p)
}

// adoptOrphan claims a partition whose owner and standby have both terminated.
func (c *protocol) adoptOrphan(now time.Time, p *partition) {
	if c.leaving || !c.canWrite(now, p) || !c.hasTerminated(p.record.owner) ||
		(p.record.standby != "" && !c.hasTerminated(p.record.standby)) {
		p.orphanedAt = time.Time{}
		return
	}
	if p.orphanedAt.IsZero() {
		p.orphanedAt = now
	}
	earliest := maxTime(p.promisedUntil, c.claimAfter)
	if now.Before(earliest) || !c.mayTakeOver(now, p.id, p.orphanedAt) {
		return
	}
	c.registry.Count("harbour.adoptions")
	c.takeOver(now, p)
}

// createRecord writes the first record of a partition.
func (c *protocol) createRecord(now time.Time, p *partition) {
	if p.ensuredAt.IsZero() || c.leaving || !c.view.memberListRead || !c.canWrite(now, p) || !c.mayTakeOver(now, p.id, p.ensuredAt) {
		return
	}
	c.takeOver(now, p)
}

// takeOver writes a record with this process as the owner at the next epoch.
func (c *protocol) takeOver(now time.Time, p *partition) {
	c.registry.Invariant(!now.Before(p.promisedUntil), "no_claim_within_promise",
		"partition %s is claimed before the promise ended", p.id)
	c.startWrite(now, p, NewRecord(c.self, c.chooseStandby(p.id), p.record.epoch+1))
}

// mayTakeOver reports whether this process is the preferred one or
// preferredHeadStart has passed.
func (c *protocol) mayTakeOver(now time.Time, id order.PartitionID, since time.Time) bool {
	return now.Sub(since) >= preferredHeadStart || c.preferred(id) == c.self
}

// updateMembers updates the live placers, the absences of others, and the
// suspects.
func (c *protocol) updateMembers(now time.Time) {
	if !c.membersCheckedAt.IsZero() && now.Sub(c.membersCheckedAt) < memberCheckPeriod {
		return
	}
	c.membersCheckedAt = now
	members := make(map[order.MemberID]member, len(c.liveMembers))
	for _, m := range c.view.members {
		if m.Role() != order.RolePlacer || m.ID() == c.self {
			continue
		}
		since := now
		if known, ok := c.liveMembers[m.ID()]; ok {
			since = known.since
		}
		members[m.ID()] = member{id: m.ID(), domain: m.Domain(), since: since}
		delete(c.absences, m.ID())
	}
	c.liveMembers = members
	c.updateAbsences(now)
	for id, until := range c.suspects {
		if now.After(until) {
			delete(c.suspects, id)
		}
	}
}

// updateAbsences adds the time since the last check to each absence if the
// store is reachable.
func (c *protocol) updateAbsences(now time.Time) {
	if !c.view.memberListRead {
		return
	}
	for _, id := range c.ids {
		r := c.partitions[id].record
		c.trackAbsence(now, r.owner)
		c.trackAbsence(now, r.standby)
	}
	for _, a := range c.absences {
		if c.view.storeReachable {
			a.total += now.Sub(a.last)
		}
		a.last = now
	}
}

func (c *protocol) trackAbsence(now time.Time, id order.MemberID) {
	if id == "" || id == c.self || c.absences[id] != nil {
		return
	}
	if _, ok := c.liveMembers[id]; !ok {
		c.absences[id] = &absence{last: now}
	}
}

// hasTerminated reports whether a member has certainly terminated. Its lease
// must have expired, and one of these must hold: the host list does not contain
// its host, a newer process has registered its address, or it has been absent
// for ContactLimit.
func (c *protocol) hasTerminated(id order.MemberID) bool {
	a := c.absences[id]
	if a == nil || !c.view.storeReachable {
		return false
	}
	if a.total >= ContactLimit || !c.view.hostListed(id.Address()) {
		return true
	}
	for _, m := range c.view.members {
		if m.ID().Address() == id.Address() && m.ID() > id {
			return true
		}
	}
	return false
}

// suspect excludes a member as a standby and move target for suspicionPeriod,
// or until it replies.
func (c *protocol) suspect(now time.Time, id order.MemberID) {
	c.suspects[id] = now.Add(suspicionPeriod)
}
