package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/order"
	"chervilhollow/transport"
)

type (
	// exchange sends one message to the owner of a partition and resends it
	// until it is answered or times out. A submission whose copies went
	// to several processes is refused only if none of them can start it;
	// copies.go holds these rules. Only the goroutine of run changes it; other
	// goroutines use its channels.
	exchange struct {
		handler      *Handler
		key          requestKey
		partition    order.PartitionID
		inbox        chan inboundMsg
		ownerChanged chan struct{}

		// message returns the message with the sequence. The argument first is
		// true until a message has been sent successfully.
		message func(sequence uint64, first bool) order.Msg

		// isSubmission is false for status, result and cancel calls. A detached
		// submission ends with its acknowledgement.
		isSubmission bool
		detached     bool

		// follow makes a query wait for the end of the request, until waitEnd.
		follow  bool
		waitEnd time.Time

		startedAt time.Time
		deadline  time.Time
		nextSend  time.Time
		interval  time.Duration

		// refusedAt is the time of a refusal that is not final, because another
		// copy may still start the request. It is zero if there is none.
		refusedAt time.Time

		// copies holds the sent copies by sequence. sendCount is the number of
		// successful sends and target the last receiver. hintedOwner is the
		// owner that a former owner named, with the epoch hintEpoch.
		copies      map[uint64]*sentCopy
		sendCount   int
		target      order.MemberID
		hintedOwner order.MemberID
		hintEpoch   order.Epoch
		accepted    bool
		incomplete  bool
		state       order.RequestState
	}
)

const (
	// inboxLength is how many messages an exchange can buffer.
	inboxLength = 16

	// maxResendFactor is the longest resend interval of a message that is not
	// accepted, as a multiple of the first one.
	maxResendFactor = 8

	// acceptedInterval is the first resend interval after a message was
	// accepted, in case its answer was lost. It doubles up to
	// maxAcceptedInterval.
	acceptedInterval    = 5 * time.Second
	maxAcceptedInterval = time.Minute

	// notOwnerDelay is the wait before the message is resent after a process
	// reported that it is not the owner. It prevents a tight loop while two
	// processes name each other as the owner.
	notOwnerDelay = 20 * time.Millisecond
)

// newExchange returns an exchange that times out at the end. The function
// returns the message for a sequence; see exchange.message.
func (h *Handler) newExchange(key requestKey, end time.Time, message func(sequence uint64, first bool) order.Msg) *exchange {
	return &exchange{
		handler:      h,
		key:          key,
		partition:    order.RequestPartition(key.team, key.id),
		inbox:        make(chan inboundMsg, inboxLength),
		ownerChanged: make(chan struct{}, 1),
		message:      message,
		startedAt:    h.deps.clock.Now(),
		deadline:     end,
		interval:     h.limits.resend,
		copies:       make(map[uint64]*sentCopy),
	}
}

// run sends and resends the message until there is a reply. The reply is marked
// as disconnected if the context ends first.
func (x *exchange) run(ctx context.Context) reply {
	h := x.handler
	h.exchanges.add(x)
	defer h.exchanges.remove(x)
	x.nextSend = h.deps.clock.Now()
	for {
		now := h.deps.clock.Now()
		if r, refused := x.finalRefusal(now); refused {
			return r
		}
		if !now.Before(x.expiry()) {
			return x.timeoutReply()
		}
		if !now.Before(x.nextSend) {
			if r, refused := x.send(now); refused {
				return r
			}
		}
		select {
		case in := <-x.inbox:
			if r, done := x.handle(in); done {
				return r
			}
		case <-x.ownerChanged:
			x.handleOwnerChange()
		case <-h.deps.clock.After(x.waitTime(now)):
		case <-ctx.Done():
			return reply{code: order.OutcomeUnknown, disconnected: true}
		case <-h.quit:
			return x.stopReply()
		}
	}
}

// expiry returns when the exchange times out. A submission that was sent waits
// for a grace time after its deadline, so that the partition's owner can report
// the deadline itself. A submission that was never sent times out after the
// owner wait, because nothing has run and the caller can safely send again.
// While a refusal is not final, the wait is maxCopyAge.
func (x *exchange) expiry() time.Time {
	switch {
	case !x.isSubmission:
		return x.deadline
	case !x.refusedAt.IsZero():
		return x.refusedAt.Add(maxCopyAge)
	case x.sendCount > 0:
		return x.deadline.Add(x.handler.limits.grace)
	}
	return earlier(x.deadline, x.startedAt.Add(x.handler.limits.ownerWait))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitTime returns the time until the next send or the expiry. It is at least a
// millisecond, so that the loop of run does not spin.
func (x *exchange) waitTime(now time.Time) time.Duration {
	wake := x.expiry()
	if x.nextSend.Before(wake) {
		wake = x.nextSend
	}
	return max(wake.Sub(now), time.Millisecond)
}

// owner returns the owner from the directory, or the one that a former owner
// named if its epoch is higher.
func (x *exchange) owner() (order.MemberID, bool) {
	owner, epoch, ok := x.handler.deps.directory.Owner(x.partition)
	if x.hintedOwner != "" && (!ok || x.hintEpoch > epoch) {
		return x.hintedOwner, true
	}
	return owner, ok
}

// handleOwnerChange resends at once if the owner is not the last receiver.
func (x *exchange) handleOwnerChange() {
	if owner, ok := x.owner(); ok && owner != x.target {
		x.resendAfter(0)
	}
}

// resendAfter schedules the next send and resets the resend interval.
func (x *exchange) resendAfter(delay time.Duration) {
	x.nextSend = x.handler.deps.clock.Now().Add(delay)
	x.interval = x.handler.limits.resend
}

// send sends the message to the owner and doubles the resend interval. It sends
// nothing while a refusal is not final. It returns a reply and true if the
// queue to the owner is full at the first send of a submission, which then
// cannot have run.
func (x *exchange) send(now time.Time) (reply, bool) {
	x.nextSend = now.Add(x.interval)
	x.interval = min(2*x.interval, x.maxInterval())
	if !x.refusedAt.IsZero() {
		return reply{}, false
	}
	owner, ok := x.owner()
	if !ok {
		x.handler.deps.registry.Count("counter.no_owner")
		return reply{}, false
	}
	sequence, sent := x.nextCopy(owner, now)
	first := x.sendCount == 0
	err := x.handler.deps.sender.Send(owner, x.message(sequence, first))
	if err == nil {
		x.target = owner
		x.sendCount++
		sent.state = copyWaiting
		if !first {
			x.handler.deps.registry.Count("counter.sent_again")
		}
		return reply{}, false
	}
	x.handler.deps.registry.Count("counter.send_failed")
	if first && x.isSubmission && errors.Is(err, transport.ErrQueueFull) {
		return newReply(order.QueueFull), true
	}
	return reply{}, false
}

// maxInterval returns the upper bound of the resend interval.
func (x *exchange) maxInterval() time.Duration {
	if x.accepted {
		return maxAcceptedInterval
	}
	return maxResendFactor * x.handler.limits.resend
}

// handle processes a received message. It returns a reply and true if the
// message ends the exchange.
func (x *exchange) handle(in inboundMsg) (reply, bool) {
	switch m := in.msg.(type) {
	case order.AcceptedMsg:
		return x.handleAccepted(in)
	case order.AnswerMsg:
		return x.handleAnswer(in, m)
	case order.NotOwnerMsg:
		x.handleNotOwner(in.from, m)
	}
	return reply{}, false
}

// handleAccepted ends a detached submission, and otherwise makes the resend
// interval longer.
func (x *exchange) handleAccepted(in inboundMsg) (reply, bool) {
	ownerUnclear := x.recordAccepted(in)
	if x.detached {
		return newReply(order.Pending).withState(order.RequestQueued), true
	}
	if !x.accepted {
		x.state = order.RequestQueued
	}
	switch {
	case ownerUnclear:
		x.scheduleResend()
	case in.from == x.target:
		// An acceptance of a former owner must not delay the message to the
		// current one.
		x.slowResends()
	}
	return reply{}, false
}

// slowResends makes the resend interval longer after the first acceptance.
func (x *exchange) slowResends() {
	if x.accepted {
		return
	}
	x.accepted = true
	x.interval = acceptedInterval
	x.nextSend = x.handler.deps.clock.Now().Add(acceptedInterval)
}

// handleAnswer ends the exchange if the answer is final. It drops a result that
// is truncated or has a wrong checksum and resends the message, which makes the
// owner send the result again.
func (x *exchange) handleAnswer(in inboundMsg, m order.AnswerMsg) (reply, bool) {
	if !m.Final() && m.Code() != order.UnknownRequest {
		return x.handleProgress(m)
	}
	if len(m.Body()) != m.Length() || (m.Length() > 0 && xxhash.Sum64(m.Body()) != m.Checksum()) {
		x.handler.deps.registry.Count("counter.dropped.incomplete")
		x.incomplete = true
		x.recordAccepted(in)
		x.resendAfter(x.handler.limits.resend)
		return reply{}, false
	}
	r := replyFrom(m)
	switch {
	case x.isSubmission && m.Code().RunStatus() == order.RunNo:
		x.recordRefused(in, r)
		return reply{}, false
	case x.isSubmission && !x.isConclusive(in.from, m.Code()):
		x.handler.deps.registry.Count("counter.dropped.foreign")
		return reply{}, false
	}
	if !x.isSubmission && m.Code() != order.UnknownRequest {
		r.state = order.RequestDone
	}
	return r, true
}

// handleProgress records the state of a request that has not ended. It ends a
// status call; a result call with a wait continues until waitEnd.
func (x *exchange) handleProgress(m order.AnswerMsg) (reply, bool) {
	x.state = m.State()
	x.slowResends()
	if x.isSubmission {
		return reply{}, false
	}
	now := x.handler.deps.clock.Now()
	if x.follow && now.Before(x.waitEnd) {
		x.deadline = x.waitEnd
		return reply{}, false
	}
	return pendingReply(x.state), true
}

// isConclusive reports whether the answer ends the submission. If the message
// was sent to several processes, an unknown outcome is final only if the
// current owner or the last receiver reports it.
func (x *exchange) isConclusive(from order.MemberID, code order.Code) bool {
	if code.RunStatus() == order.RunYes || from == x.target {
		return true
	}
	owner, ok := x.owner()
	return ok && from == owner
}

// handleNotOwner records the owner that the last receiver names, and resends
// after a short delay.
func (x *exchange) handleNotOwner(from order.MemberID, m order.NotOwnerMsg) {
	x.recordNotOwner(from)
	if from != x.target {
		return
	}
	x.handler.deps.registry.Count("counter.not_owner")
	x.accepted = false
	if m.Owner() != "" && m.Owner() != from && m.Epoch() >= x.hintEpoch {
		x.hintedOwner, x.hintEpoch = m.Owner(), m.Epoch()
	}
	x.resendAfter(notOwnerDelay)
}

// timeoutReply returns the reply of an exchange that timed out.
func (x *exchange) timeoutReply() reply {
	switch {
	case x.incomplete:
		return newReply(order.AnswerIncomplete)
	case !x.isSubmission && x.accepted:
		return pendingReply(x.state)
	case !x.isSubmission:
		return newReply(order.OutcomeUnknown).withText("No answer came in time; ask again.")
	case x.sendCount == 0:
		return newReply(order.NoOwner)
	}
	return newReply(order.OutcomeUnknown)
}

// stopReply returns the reply of an exchange that is open when the process
// stops. A submission that was sent may have run.
func (x *exchange) stopReply() reply {
	if x.sendCount == 0 || !x.isSubmission {
		return newReply(order.Stopping)
	}
	return newReply(order.OutcomeUnknown).withText("The gate stopped before the answer came; send again with the same ID.")
}

// signalOwnerChange does not block; a second signal before the first is read is
// dropped.
func (x *exchange) signalOwnerChange() {
	select {
	case x.ownerChanged <- struct{}{}:
	default:
	}
}

// pendingReply has status 200 instead of the usual 202, because it answers a
// query that succeeded.
func pendingReply(state order.RequestState) reply {
	return newReply(order.Pending).withState(state).withStatus(200)
}
