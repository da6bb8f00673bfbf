package counter

import (
	"time"

	"chervilhollow/order"
)

type (
	// copyState is what is known about one copy of a submission.
	copyState uint8

	// sentCopy is one copy of the message. A query sends the same copy again,
	// a submission a new one.
	sentCopy struct {
		to     order.MemberID
		number int

		// sent and accepted are the times of the hand-over and of the first
		// acknowledgement.
		sent     time.Time
		accepted time.Time

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

	// copyVoid cannot start the request: the receiver was not the owner, or
	// accepted a later copy after its refusal.
	copyVoid
)

// copyLife is the time after which a copy at a process that lost the partition
// is taken for lost. Links drop messages that wait longer, and a process does
// not win the partition back faster than it reads what it received.
const copyLife = 2 * time.Second

// nextCopy returns the sequence of the next copy and notes its receiver. It
// does so before the copy is sent, because the answer may be faster than the
// return of the call.
func (x *exchange) nextCopy(to order.MemberID, now time.Time) (uint64, *sentCopy) {
	if !x.submits {
		for sequence, sent := range x.copies {
			sent.to = to
			return sequence, sent
		}
	}
	sequence := x.counter.table.expect(x)
	sent := &sentCopy{to: to, number: len(x.copies), sent: now}
	x.copies[sequence] = sent
	return sequence, sent
}

// noteAccepted voids the refusals that came before. A process takes a copy
// that arrives after a refusal for a new submission, and a copy that another
// process accepts may have reached it after it won the partition back. It
// reports whether the refusal of another process was voided, so that it is
// open which of the two is the owner.
func (x *exchange) noteAccepted(in inbound) (contested bool) {
	for _, sent := range x.copies {
		if sent.state == copyRefused {
			x.void(sent)
			contested = contested || sent.to != in.from
		}
	}
	if sent, ok := x.copies[in.sequence]; ok {
		sent.to, sent.state = in.from, copyAccepted
		sent.accepted = x.counter.deps.clock.Now()
	}
	return contested
}

// noteRefused keeps the refusal of a copy, unless another process accepted one
// so lately that the order of the two is not known. The sender may be the
// successor of the process that got the copy.
func (x *exchange) noteRefused(in inbound, r reply) {
	x.counter.deps.registry.Count("counter.refusals")
	refused, ok := x.copies[in.sequence]
	if !ok {
		return
	}
	refused.to, refused.state, refused.refusal = in.from, copyRefused, r
	now := x.counter.deps.clock.Now()
	for _, sent := range x.copies {
		if sent.to != in.from && sent.state == copyAccepted && now.Sub(sent.accepted) < copyLife {
			x.void(refused)
			x.askAgain()
			return
		}
	}
}

func (x *exchange) void(sent *sentCopy) {
	x.counter.deps.registry.Count("counter.refusals_void")
	sent.state = copyVoid
}

// askAgain sends another copy to the current owner soon.
func (x *exchange) askAgain() {
	x.accepted = false
	x.resendSoon(x.counter.limits.resend)
}

// noteNotOwner voids the first waiting copy at a process that is not the
// owner, because its notice does not carry a sequence.
func (x *exchange) noteNotOwner(from order.MemberID) {
	var first *sentCopy
	for _, sent := range x.copies {
		waits := sent.to == from && sent.state == copyWaiting
		if waits && (first == nil || sent.number < first.number) {
			first = sent
		}
	}
	if first != nil {
		first.state = copyVoid
	}
}

// refused returns the newest refusal once no other copy can contradict it.
func (x *exchange) refused(now time.Time) (reply, bool) {
	newest := x.newestRefusal()
	if newest == nil {
		x.refusedAt = time.Time{}
		return reply{}, false
	}
	waits := false
	for _, sent := range x.copies {
		switch sent.doubt(newest) {
		case doubtEarly:
			x.void(newest)
			x.askAgain()
			x.refusedAt = time.Time{}
			return reply{}, false
		case doubtOverruled:
			x.refusedAt = time.Time{}
			return reply{}, false
		case doubtOpen:
			waits = true
		}
	}
	if !waits {
		return newest.refusal, true
	}
	if x.refusedAt.IsZero() {
		x.counter.deps.registry.Count("counter.refusal_unsettled")
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

// doubt tells whether a copy leaves a refusal open to doubt.
type doubt uint8

const (
	doubtNone doubt = iota

	// doubtOpen: the copy may still start the request.
	doubtOpen

	// doubtEarly: the copy may still reach a process that wins the partition
	// back, so the refusal counts only if it is repeated for a later copy.
	doubtEarly

	// doubtOverruled: a later owner has the request, so the refusal of an
	// earlier one says nothing.
	doubtOverruled
)

func (c *sentCopy) doubt(refused *sentCopy) doubt {
	switch {
	case c.state != copyWaiting && c.state != copyAccepted:
		return doubtNone
	case c.to == refused.to && c.state == copyWaiting:
		return doubtOpen
	case c.to == refused.to:
		// The process recognised the copy before it refused the request.
		return doubtNone
	case c.number > refused.number:
		return doubtOverruled
	case c.state == copyWaiting && refused.sent.Sub(c.sent) < copyLife:
		return doubtEarly
	}
	return doubtNone
}
