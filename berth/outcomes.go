package berth

import (
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

// Records the outcome that the worker reported.
func (m *machine) finish(now time.Time, e *entry, outcome order.Outcome) {
	switch outcome.Code() {
	case order.Done:
		m.noteSuccess(now, e)
	case order.TaskFailed:
		m.noteFailure(now, e, outcome.Ended().Sub(outcome.Started()))
	}
	e.confirmed = true
	m.end(now, e, outcome)
}

// Reports a task whose worker no longer has it or did not answer until its
// lease was over. Without a confirmed start the outcome is unknown.
func (m *machine) lost(now time.Time, e *entry) {
	code := order.WorkerLost
	if !e.confirmed {
		code = order.OutcomeUnknown
	}
	m.deps.registry.Count("berth.lost." + code.String())
	m.end(now, e, order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithWorker(e.host.id()).
		WithStarted(e.startedAt).
		WithEnded(now))
}

// Reports an attempt that certainly did not start.
func (m *machine) fail(now time.Time, e *entry, code order.Code, text string) {
	e.notStarted = true
	m.deps.registry.Count("berth.not_started." + code.String())
	m.end(now, e, order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithText(text))
}

func (m *machine) end(now time.Time, e *entry, outcome order.Outcome) {
	m.leave(e)
	e.host.cooldown.released(e.task.ID())
	e.state = order.TaskEnded
	e.outcome = outcome
	m.postEnded(now, e)
}

// The outcome is sent until the partition acknowledges it.
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

func (m *machine) onEndedAck(now time.Time, ref crane.Ref) {
	e, ok := m.entries[ref.Task()]
	if !ok || e.attempt != ref.Attempt() || e.state != order.TaskEnded {
		return
	}
	m.forget(now, e)
}

// Forgets an ended attempt and lets its worker forget it.
func (m *machine) forget(now time.Time, e *entry) {
	delete(m.entries, e.task.ID())
	m.settle(now, e.ref(), e.notStarted)
	if !e.notStarted && e.host != nil {
		e.host.acks = append(e.host.acks, e.ref())
	}
}

func (m *machine) settle(now time.Time, ref crane.Ref, notStarted bool) {
	m.settled[ref] = settled{until: now.Add(settledPeriod), notStarted: notStarted, epoch: m.epoch}
}

// Answers a message about an attempt that the group does not know. While
// workers are unread the attempt may run there, so the sender has to ask
// again. An attempt that this owner never offered may have run under an
// earlier owner, on a worker that has crashed or vanished since. Only an offer
// of its own that expired, or that the former owner handed over, certainly did
// not start; the epoch in the message is that of the offer.
func (m *machine) answerUnknown(now time.Time, ref crane.Ref, code order.Code, text string) {
	known, over := m.settled[ref]
	outcome := order.Outcome{}.WithTask(ref.Task()).WithAttempt(ref.Attempt())
	switch {
	case over && known.notStarted:
		// A confirmation that was delayed on its way must not start what is
		// reported as not started, so the attempt may not bid again.
		known.expired, known.until = false, now.Add(settledPeriod)
		m.settled[ref] = known
		ended := m.endedMsg(ref.Task(), outcome.WithCode(code).WithText(text), true)
		m.post(ref.Task().Partition(), ended.WithEpoch(known.epoch))
	case over && !known.unknown:
		m.deps.registry.Count("berth.duplicate_confirm")
	case !m.adopted():
		m.deps.registry.Count("berth.early_confirm")
	default:
		m.settled[ref] = settled{until: now.Add(settledPeriod), unknown: true}
		outcome = outcome.WithCode(order.OutcomeUnknown).WithText("the offer was not made by this owner of the group")
		m.post(ref.Task().Partition(), m.endedMsg(ref.Task(), outcome, false))
	}
}
