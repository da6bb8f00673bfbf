package frontend

import (
	"time"

	"chervilhollow/order"
)

type (
	// copyState is the last known state of one copy of a submission.
	copyState uint8

	// sentCopy is one copy of the message of an exchange. Copies are numbered
	// in the order in which they were sent. A query resends its first copy, a
	// submission sends a new copy each time.
	sentCopy struct {
		to     order.MemberID
		number int

		// sentAt is when the copy was passed to the sender, acceptedAt when it
		// was last acknowledged.
		sentAt     time.Time
		acceptedAt time.Time

		state   copyState
		refusal reply
	}
)

// States of a copy.
const (
	copyUnsent copyState = iota
	copyWaiting
	copyAccepted
	copyRefused

	// copyVoid is a copy that no longer counts: its receiver was not the
	// owner, or its refusal was overruled by an acceptance or is too uncertain
	// to be reported.
	copyVoid
)

// maxCopyAge is the time after which a copy at a process that lost the
// partition can no longer start the request. Links drop messages that wait
// longer, and a process does not regain the partition before it has read what
// it received.
const maxCopyAge = 2 * time.Second

// nextCopy returns the next copy to send and its sequence. It records the
// receiver before the copy is sent, because the answer may arrive before the
// call of the sender returns.
func (x *exchange) nextCopy(to order.MemberID, now time.Time) (uint64, *sentCopy) {
	if !x.isSubmission {
		for sequence, sent := range x.copies {
			sent.to = to
			return sequence, sent
		}
	}
	sequence := x.handler.exchanges.newSequence(x)
	sent := &sentCopy{to: to, number: len(x.copies), sentAt: now}
	x.copies[sequence] = sent
	return sequence, sent
}

// recordAccepted marks a copy as accepted and voids all earlier refusals. Each
// refusal may be overruled: a process treats a copy that arrives after its
// refusal as a new submission, and a copy that another process accepts may have
// reached that process after it regained the partition. The result is true if
// the refusal of another process was voided, so that either of the two may be
// the owner.
func (x *exchange) recordAccepted(in inboundMsg) (ownerUnclear bool) {
	for _, sent := range x.copies {
		if sent.state == copyRefused {
			x.voidRefusal(sent)
			ownerUnclear = ownerUnclear || sent.to != in.from
		}
	}
	if sent, ok := x.copies[in.sequence]; ok {
		sent.to, sent.state = in.from, copyAccepted
		sent.acceptedAt = x.handler.deps.clock.Now()
	}
	return ownerUnclear
}

// recordRefused marks a copy as refused. It voids the refusal and resends if
// another process accepted a copy less than maxCopyAge ago, because the order
// of the two is then unknown. The refusal may come from the successor of the
// process to which the copy was sent.
func (x *exchange) recordRefused(in inboundMsg, r reply) {
	x.handler.deps.registry.Count("counter.refusals")
	refused, ok := x.copies[in.sequence]
	if !ok {
		return
	}
	refused.to, refused.state, refused.refusal = in.from, copyRefused, r
	now := x.handler.deps.clock.Now()
	for _, sent := range x.copies {
		if sent.to != in.from && sent.state == copyAccepted && now.Sub(sent.acceptedAt) < maxCopyAge {
			x.voidRefusal(refused)
			x.scheduleResend()
			return
		}
	}
}

// voidRefusal keeps a refusal from being reported to the caller.
func (x *exchange) voidRefusal(sent *sentCopy) {
	x.handler.deps.registry.Count("counter.refusals_void")
	sent.state = copyVoid
}

// scheduleResend resends after one resend interval, as if no copy had been
// accepted.
func (x *exchange) scheduleResend() {
	x.accepted = false
	x.resendAfter(x.handler.limits.resend)
}

// recordNotOwner voids the oldest unanswered copy at a process that reports
// that it is not the owner. The report carries no sequence, so that it cannot
// be matched to a copy.
func (x *exchange) recordNotOwner(from order.MemberID) {
	var first *sentCopy
	for _, sent := range x.copies {
		unanswered := sent.to == from && sent.state == copyWaiting
		if unanswered && (first == nil || sent.number < first.number) {
			first = sent
		}
	}
	if first != nil {
		first.state = copyVoid
	}
}

// finalRefusal returns the refusal of the newest refused copy once no other
// copy can start the request. Until then it sets refusedAt, which stops
// resending and bounds the wait.
func (x *exchange) finalRefusal(now time.Time) (reply, bool) {
	newest := x.newestRefusal()
	if newest == nil {
		x.refusedAt = time.Time{}
		return reply{}, false
	}
	undecided := false
	for _, sent := range x.copies {
		switch sent.effectOn(newest) {
		case effectRepeat:
			x.voidRefusal(newest)
			x.scheduleResend()
			x.refusedAt = time.Time{}
			return reply{}, false
		case effectOverruled:
			x.refusedAt = time.Time{}
			return reply{}, false
		case effectUndecided:
			undecided = true
		}
	}
	if !undecided {
		return newest.refusal, true
	}
	if x.refusedAt.IsZero() {
		x.handler.deps.registry.Count("counter.refusal_unsettled")
		x.refusedAt = now
	}
	return reply{}, false
}

func (x *exchange) newestRefusal() *sentCopy {
	var newest *sentCopy
	for _, sent := range x.copies {
		if sent.state == copyRefused && (newest == nil || sent.number > newest.number) {
			newest = sent
		}
	}
	return newest
}

// copyEffect is how another copy affects the refusal of one copy.
type copyEffect uint8

const (
	effectNone copyEffect = iota

	// effectUndecided means that the copy may still start the request, so the
	// refusal has to wait for its answer.
	effectUndecided

	// effectRepeat means that the copy may still reach a process that regains
	// the partition, so the refusal counts only if a later copy is refused too.
	effectRepeat

	// effectOverruled means that a later owner has the request, so the refusal
	// of an earlier owner does not count.
	effectOverruled
)

// effectOn returns how the copy affects the refusal of another one.
func (c *sentCopy) effectOn(refused *sentCopy) copyEffect {
	switch {
	case c.state != copyWaiting && c.state != copyAccepted:
		return effectNone
	case c.to == refused.to && c.state == copyWaiting:
		return effectUndecided
	case c.to == refused.to:
		// The process had acknowledged the copy as part of the request that
		// it then refused.
		return effectNone
	case c.number > refused.number:
		return effectOverruled
	case c.state == copyWaiting && refused.sentAt.Sub(c.sentAt) < maxCopyAge:
		return effectRepeat
	}
	return effectNone
}
