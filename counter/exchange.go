package counter

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/ferry"
	"chervilhollow/order"
)

type (
	// exchange is one message to the owner of a partition and what comes
	// back. It sends the message again until it is answered.
	exchange struct {
		counter   *Counter
		key       requestKey
		partition order.PartitionID
		inbox     chan inbound
		moved     chan struct{}

		// message returns what is sent under the sequence; first tells that
		// nothing was handed over before.
		message func(sequence uint64, first bool) order.Msg

		// submits tells that the exchange is a submission; detached, that it
		// ends with the acknowledgement.
		submits  bool
		detached bool

		// follow asks for the final answer of a query as well, up to the end
		// of the wait.
		follow  bool
		waitEnd time.Time

		start    time.Time
		end      time.Time
		next     time.Time
		interval time.Duration

		// refusedAt is the time of a refusal that other copies of the request
		// may still contradict.
		refusedAt time.Time

		copies     map[uint64]*sentCopy
		handed     int
		target     order.MemberID
		hint       order.MemberID
		hintEpoch  order.Epoch
		accepted   bool
		incomplete bool
		state      order.RequestState
	}
)

const (
	inboxLength = 16

	// maxResendFactor bounds the growth of the resend interval.
	maxResendFactor = 8

	// acceptedInterval is the time after which an accepted request is asked
	// for again, in case its answer was lost; it doubles up to the longest.
	acceptedInterval        = 5 * time.Second
	longestAcceptedInterval = time.Minute

	// notOwnerPause keeps two processes that point at each other from being
	// asked in a tight loop.
	notOwnerPause = 20 * time.Millisecond
)

func (c *Counter) newExchange(key requestKey, end time.Time, message func(sequence uint64, first bool) order.Msg) *exchange {
	return &exchange{
		counter:   c,
		key:       key,
		partition: order.RequestPartition(key.team, key.id),
		inbox:     make(chan inbound, inboxLength),
		moved:     make(chan struct{}, 1),
		message:   message,
		start:     c.deps.clock.Now(),
		end:       end,
		interval:  c.limits.resend,
		copies:    make(map[uint64]*sentCopy),
	}
}

// run sends and waits until there is a reply.
func (x *exchange) run(ctx context.Context) reply {
	c := x.counter
	c.table.add(x)
	defer c.table.remove(x)
	x.next = c.deps.clock.Now()
	for {
		now := c.deps.clock.Now()
		if r, refused := x.refused(now); refused {
			return r
		}
		if !now.Before(x.expiry()) {
			return x.expired()
		}
		if !now.Before(x.next) {
			if r, refused := x.send(now); refused {
				return r
			}
		}
		select {
		case in := <-x.inbox:
			if r, over := x.take(in); over {
				return r
			}
		case <-x.moved:
			x.ownerMoved()
		case <-c.deps.clock.After(x.pause(now)):
		case <-ctx.Done():
			return reply{code: order.OutcomeUnknown, silent: true}
		case <-c.quit:
			return x.stopped()
		}
	}
}

// expiry returns when the exchange gives up. After a hand-over it leaves the
// partition time to report the deadline itself; without an owner it gives up
// early, because the caller can do no worse by sending again.
func (x *exchange) expiry() time.Time {
	switch {
	case !x.submits:
		return x.end
	case !x.refusedAt.IsZero():
		return x.refusedAt.Add(copyLife)
	case x.handed > 0:
		return x.end.Add(x.counter.limits.grace)
	}
	return earlier(x.end, x.start.Add(x.counter.limits.ownerWait))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (x *exchange) pause(now time.Time) time.Duration {
	wake := x.expiry()
	if x.next.Before(wake) {
		wake = x.next
	}
	return max(wake.Sub(now), time.Millisecond)
}

// owner returns the owner by the directory, or by a newer notice of a process
// that is not the owner any more.
func (x *exchange) owner() (order.MemberID, bool) {
	owner, epoch, ok := x.counter.deps.directory.Owner(x.partition)
	if x.hint != "" && (!ok || x.hintEpoch > epoch) {
		return x.hint, true
	}
	return owner, ok
}

func (x *exchange) ownerMoved() {
	if owner, ok := x.owner(); ok && owner != x.target {
		x.resendSoon(0)
	}
}

func (x *exchange) resendSoon(pause time.Duration) {
	x.next = x.counter.deps.clock.Now().Add(pause)
	x.interval = x.counter.limits.resend
}

// send hands the message to the owner. It reports a reply if the message is
// refused.
func (x *exchange) send(now time.Time) (reply, bool) {
	x.next = now.Add(x.interval)
	x.interval = min(2*x.interval, x.longestInterval())
	if !x.refusedAt.IsZero() {
		return reply{}, false
	}
	owner, ok := x.owner()
	if !ok {
		x.counter.deps.registry.Count("counter.no_owner")
		return reply{}, false
	}
	sequence, sent := x.nextCopy(owner, now)
	first := x.handed == 0
	err := x.counter.deps.sender.Send(owner, x.message(sequence, first))
	if err == nil {
		x.target = owner
		x.handed++
		sent.state = copyWaiting
		if !first {
			x.counter.deps.registry.Count("counter.sent_again")
		}
		return reply{}, false
	}
	x.counter.deps.registry.Count("counter.send_failed")
	if first && x.submits && errors.Is(err, ferry.ErrRingFull) {
		return newReply(order.QueueFull), true
	}
	return reply{}, false
}

func (x *exchange) longestInterval() time.Duration {
	if x.accepted {
		return longestAcceptedInterval
	}
	return maxResendFactor * x.counter.limits.resend
}

func (x *exchange) take(in inbound) (reply, bool) {
	switch m := in.msg.(type) {
	case order.AcceptedMsg:
		return x.takeAccepted(in)
	case order.AnswerMsg:
		return x.takeAnswer(in, m)
	case order.NotOwnerMsg:
		x.takeNotOwner(in.from, m)
	}
	return reply{}, false
}

func (x *exchange) takeAccepted(in inbound) (reply, bool) {
	contested := x.noteAccepted(in)
	if x.detached {
		return newReply(order.Pending).withState(order.RequestQueued), true
	}
	if !x.accepted {
		x.state = order.RequestQueued
	}
	switch {
	case contested:
		x.askAgain()
	case in.from == x.target:
		// An acceptance of a former owner must not delay the message to the
		// present one.
		x.waitAccepted()
	}
	return reply{}, false
}

// waitAccepted waits longer before the message is sent again.
func (x *exchange) waitAccepted() {
	if x.accepted {
		return
	}
	x.accepted = true
	x.interval = acceptedInterval
	x.next = x.counter.deps.clock.Now().Add(acceptedInterval)
}

func (x *exchange) takeAnswer(in inbound, m order.AnswerMsg) (reply, bool) {
	if !m.Final() && m.Code() != order.UnknownRequest {
		return x.takeProgress(m)
	}
	if len(m.Body()) != m.Length() || (m.Length() > 0 && xxhash.Sum64(m.Body()) != m.Checksum()) {
		x.counter.deps.registry.Count("counter.dropped.incomplete")
		x.incomplete = true
		x.noteAccepted(in)
		x.resendSoon(x.counter.limits.resend)
		return reply{}, false
	}
	r := replyOf(m)
	switch {
	case x.submits && m.Code().Run() == order.RunNo:
		x.noteRefused(in, r)
		return reply{}, false
	case x.submits && !x.conclusive(in.from, m.Code()):
		x.counter.deps.registry.Count("counter.dropped.foreign")
		return reply{}, false
	}
	if !x.submits && m.Code() != order.UnknownRequest {
		r.state = order.RequestDone
	}
	return r, true
}

// takeProgress takes the state of a request that has not ended. A result call
// then waits for the end, a status call is answered.
func (x *exchange) takeProgress(m order.AnswerMsg) (reply, bool) {
	x.state = m.State()
	x.waitAccepted()
	if x.submits {
		return reply{}, false
	}
	now := x.counter.deps.clock.Now()
	if x.follow && now.Before(x.waitEnd) {
		x.end = x.waitEnd
		return reply{}, false
	}
	return pending(x.state), true
}

// conclusive reports whether the answer ends the submission. Once several
// processes were asked, only the current owner may say that the outcome is
// unknown.
func (x *exchange) conclusive(from order.MemberID, code order.Code) bool {
	if code.Run() == order.RunYes || from == x.target {
		return true
	}
	owner, ok := x.owner()
	return ok && from == owner
}

func (x *exchange) takeNotOwner(from order.MemberID, m order.NotOwnerMsg) {
	x.noteNotOwner(from)
	if from != x.target {
		return
	}
	x.counter.deps.registry.Count("counter.not_owner")
	x.accepted = false
	if m.Owner() != "" && m.Owner() != from && m.Epoch() >= x.hintEpoch {
		x.hint, x.hintEpoch = m.Owner(), m.Epoch()
	}
	x.resendSoon(notOwnerPause)
}

// expired returns what is known when the time is over.
func (x *exchange) expired() reply {
	switch {
	case x.incomplete:
		return newReply(order.AnswerIncomplete)
	case !x.submits && x.accepted:
		return pending(x.state)
	case !x.submits:
		return newReply(order.OutcomeUnknown).withText("No answer came in time; ask again.")
	case x.handed == 0:
		return newReply(order.NoOwner)
	}
	return newReply(order.OutcomeUnknown)
}

// stopped returns what is known when the process stops.
func (x *exchange) stopped() reply {
	if x.handed == 0 || !x.submits {
		return newReply(order.Stopping)
	}
	return newReply(order.OutcomeUnknown).withText("The gate stopped before the answer came; send again with the same ID.")
}

func (x *exchange) poke() {
	select {
	case x.moved <- struct{}{}:
	default:
	}
}

func pending(state order.RequestState) reply {
	return newReply(order.Pending).withState(state).withStatus(200)
}
