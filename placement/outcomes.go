package placement

import (
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

// endWithOutcome ends an attempt with the outcome that the worker reported.
func (m *machine) endWithOutcome(now time.Time, e *entry, outcome order.Outcome) {
	switch outcome.Code() {
	case order.Done:
		m.recordSuccess(now, e)
	case order.TaskFailed:
		m.recordFailure(now, e, outcome.Ended().Sub(outcome.Started()))
	}
	e.confirmed = true
	m.endAttempt(now, e, outcome)
}

// reportLost ends an attempt that the worker no longer has, or whose lease
// expired without an answer from the worker. If the start was never confirmed,
// the task may not have run, so the outcome is unknown, for the given cause.
func (m *machine) reportLost(now time.Time, e *entry, cause string) {
	code := order.WorkerLost
	if !e.confirmed {
		code = order.OutcomeUnknown
	}
	m.deps.registry.Count("berth.lost." + code.String())
	m.endAttempt(now, e, order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithText(cause).
		WithWorker(e.host.id()).
		WithStarted(e.startedAt).
		WithEnded(now))
}

// reportNotStarted ends an attempt that certainly did not start.
func (m *machine) reportNotStarted(now time.Time, e *entry, code order.Code, text string) {
	e.notStarted = true
	m.deps.registry.Count("berth.not_started." + code.String())
	m.endAttempt(now, e, order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithText(text))
}

func (m *machine) endAttempt(now time.Time, e *entry, outcome order.Outcome) {
	m.removeReservation(e)
	e.host.cooldown.taskReleased(e.task.ID())
	e.state = order.TaskEnded
	e.outcome = outcome
	m.postEnded(now, e)
}

// postEnded sends the outcome to the request partition. It is repeated every
// repostPeriod until the partition acknowledges it.
func (m *machine) postEnded(now time.Time, e *entry) {
	e.repostAt = now.Add(repostPeriod)
	m.post(requestPartitionOf(e.task), m.endedMsg(e.task.ID(), e.outcome, e.notStarted))
}

func (m *machine) endedMsg(task order.TaskID, outcome order.Outcome, notStarted bool) order.EndedMsg {
	partition := task.Partition()
	if e, ok := m.entries[task]; ok {
		partition = requestPartitionOf(e.task)
	}
	return order.EndedMsg{}.
		WithPartition(partition).
		WithGroup(m.group).
		WithOutcome(outcome).
		WithNotStarted(notStarted).
		WithEpoch(m.epoch)
}

func (m *machine) onEndedAck(now time.Time, ref dispatch.AttemptRef) {
	e, ok := m.entries[ref.Task()]
	if !ok || e.attempt != ref.Attempt() || e.state != order.TaskEnded {
		return
	}
	m.removeEntry(now, e)
}

// removeEntry removes an ended attempt, adds a tombstone, and schedules an
// acknowledgement so that the worker can discard the outcome.
func (m *machine) removeEntry(now time.Time, e *entry) {
	delete(m.entries, e.task.ID())
	m.addTombstone(now, e.ref(), e.notStarted)
	if !e.notStarted && e.host != nil {
		e.host.pendingAcks = append(e.host.pendingAcks, e.ref())
	}
}

func (m *machine) addTombstone(now time.Time, ref dispatch.AttemptRef, notStarted bool) {
	m.tombstones[ref] = tombstone{expiresAt: now.Add(tombstoneTTL), notStarted: notStarted, epoch: m.epoch}
}

// addExpiredOffer adds the tombstone of an attempt whose offer expired. The
// attempt may bid again.
func (m *machine) addExpiredOffer(now time.Time, ref dispatch.AttemptRef, epoch order.Epoch) {
	m.tombstones[ref] = tombstone{expiresAt: now.Add(tombstoneTTL), notStarted: true, offerExpired: true, epoch: epoch}
}

// answerUnknownAttempt answers a message about an attempt that has no entry.
//
// While the task list of a worker has not been read, the attempt may run there,
// so nothing is sent and the sender repeats its message. An attempt that this
// owner did not offer may have run under an earlier owner, on a worker that has
// crashed or disappeared since; its outcome is unknown. Only an expired offer,
// made by this owner or handed over by the former one, certainly did not start.
// The message then carries the epoch of that offer.
func (m *machine) answerUnknownAttempt(now time.Time, ref dispatch.AttemptRef, code order.Code, text string) {
	if b, ok := m.bids.byTask[ref.Task()]; ok && b.attempt == ref.Attempt() && b.offerEpoch != 0 {
		m.dropBid(now, b)
	}
	t, found := m.tombstones[ref]
	outcome := order.Outcome{}.WithTask(ref.Task()).WithAttempt(ref.Attempt())
	switch {
	case found && t.notStarted:
		// The attempt may not bid again: a delayed confirmation could
		// otherwise start it after it was reported as not started.
		t.offerExpired, t.expiresAt = false, now.Add(tombstoneTTL)
		m.tombstones[ref] = t
		ended := m.endedMsg(ref.Task(), outcome.WithCode(code).WithText(text), true)
		m.post(ref.Task().Partition(), ended.WithEpoch(t.epoch))
	case found && !t.outcomeUnknown:
		m.deps.registry.Count("berth.duplicate_confirm")
	case !m.adopted():
		m.deps.registry.Count("berth.early_confirm")
	default:
		m.tombstones[ref] = tombstone{expiresAt: now.Add(tombstoneTTL), outcomeUnknown: true}
		outcome = outcome.WithCode(order.OutcomeUnknown).WithText("the offer was not made by this owner of the group")
		m.post(ref.Task().Partition(), m.endedMsg(ref.Task(), outcome, false))
	}
}
