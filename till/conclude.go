package till

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// keptBodies bounds the memory of outcomes that only the memory keeps.
	keptBodies struct {
		bytes int
		order []*job
	}
)

const (
	// attachedRetention is how long an outcome is kept that is not journaled.
	attachedRetention = 10 * time.Minute

	maxKeptBytes = 8 << 20
)

// concludeTask decides what follows the end of a task's attempt.
func (m *Machine) concludeTask(t *task, notStarted bool, a ack) {
	j := t.job
	if j.isGang() {
		m.concludeGang(t, notStarted, a)
		return
	}
	if t.outcome.Checkpointed() && !notStarted && !j.cancelled && !j.expired {
		m.resume(t, a)
		return
	}
	if m.retryable(t, notStarted) {
		if wait, ok := m.retryWait(t, notStarted); ok {
			m.sendAck(a)
			t.state = taskWaiting
			t.retryAt = m.now.Add(wait)
			return
		}
	}
	j.acks = append(j.acks, a)
	t.outcome = t.outcome.WithCode(j.codeOf(t, notStarted))
	m.concludeJob(j)
}

// resume places a task again that was checkpointed. Its next attempt goes on
// where this one ended, so it is no second run.
func (m *Machine) resume(t *task, a ack) {
	m.registry.Count("till.resumed")
	m.sendAck(a)
	t.job.resumed++
	t.state = taskWaiting
	t.retryAt = m.now.Add(m.jitter(retryBase))
}

// codeOf returns the code of an ended task, which takes a cancellation or a
// deadline into account.
func (j *job) codeOf(t *task, notStarted bool) order.Code {
	code := t.outcome.Code()
	switch {
	case notStarted && j.cancelled:
		return order.CancelledBeforeRun
	case notStarted && j.expired:
		return order.DeadlineBeforeRun
	case notStarted && code.Run() != order.RunNo:
		return order.NoOwner
	case !notStarted && code.Run() == order.RunNo:
		// The group says that it ran, so a code that says "not run" is wrong.
		code = order.TaskFailed
	}
	if j.cancelled && code == order.TaskFailed {
		return order.CancelledRunning
	}
	return code
}

// concludeJob finishes the job when all of its tasks have ended. A task that
// was not done decides the code, and one that may have run before others.
func (m *Machine) concludeJob(j *job) {
	decisive := j.tasks[0]
	for _, t := range j.tasks {
		if t.state != taskEnded {
			return
		}
		if t.weight() > decisive.weight() {
			decisive = t
		}
	}
	o := decisive.outcome
	if o.Code().Run() == order.RunNo && j.mayHaveRun() {
		o = o.WithCode(j.codeOfEarlier()).WithText("")
	}
	m.finish(j, o)
}

// codeOfEarlier returns the code of a job whose last attempt did not start, but
// an earlier one may have.
func (j *job) codeOfEarlier() order.Code {
	switch {
	case !j.ran:
		return order.OutcomeUnknown
	case j.cancelled:
		return order.CancelledRunning
	}
	return order.TaskFailed
}

// weight orders the outcomes of the tasks of one request.
func (t *task) weight() int {
	switch code := t.outcome.Code(); {
	case code == order.Done:
		return 0
	case code.Run() == order.RunNo:
		return 1
	case code.Run() == order.RunYes:
		return 2
	}
	return 3
}

// finish gives the job its outcome. It is answered at once, unless it says
// "not run" of a request that a successor would find in the journal and run.
func (m *Machine) finish(j *job, o order.Outcome) {
	code := o.Code()
	held := j.accepted != writeNone && code.Run() == order.RunNo && code != order.DeadlineBeforeRun
	if j.doubtful && code >= order.QueueFull && code.Run() == order.RunNo {
		code = order.OutcomeUnknown
		o = o.WithCode(code).WithText("")
	}
	m.registry.Invariant(code.Run() != order.RunNo || !j.mayHaveRun(), "till.refusal_true", "%s/%s is answered %s but may have run", j.key.Team, j.key.Request, code)
	m.dropHolds(j)
	for _, t := range j.tasks {
		m.leaveQueue(t)
	}
	m.open--
	m.release(j.key.Team)
	m.registry.Count("till.ended." + code.String())
	j.outcome = m.complete(j, o)
	j.finished = m.now
	j.phase = phaseDone
	if j.journaled() {
		m.recordEnd(j)
	}
	if held {
		j.phase = phaseEnding
		return
	}
	m.conclude(j)
}

func (m *Machine) release(team order.TeamName) {
	m.perTeam[team]--
	if m.perTeam[team] == 0 {
		delete(m.perTeam, team)
	}
}

// conclude answers all that wait, and acknowledges the outcome if the journal
// need not hold it first.
func (m *Machine) conclude(j *job) {
	j.phase = phaseDone
	for _, w := range j.waiters {
		m.answer(j, w)
	}
	for _, w := range j.acceptors {
		m.answer(j, w)
	}
	j.waiters, j.acceptors = nil, nil
	m.kept.add(m, j)
	if j.ended != writePending {
		m.sendAcks(j)
	}
}

func (m *Machine) sendAcks(j *job) {
	for _, a := range j.acks {
		m.sendAck(a)
	}
	j.acks = nil
}

func (m *Machine) recordEnd(j *job) {
	if err := m.record(j, logbook.Ended); err != nil {
		m.registry.Count("till.journal.refused")
		return
	}
	j.ended = writePending
}

func (m *Machine) endRecorded(j *job) {
	j.ended = writeDone
	if j.phase == phaseEnding {
		m.conclude(j)
		return
	}
	m.sendAcks(j)
}

// complete returns the outcome as it is answered.
func (m *Machine) complete(j *job, o order.Outcome) order.Outcome {
	if j.request.Detached() && len(o.Body()) > logbook.MaxOutcomeBody {
		o = withoutBody(o)
	}
	if o.Text() == "" {
		o = o.WithText(o.Code().Text())
	}
	return o.WithLength(len(o.Body())).WithChecksum(checksum(o.Body()))
}

// keepable returns the outcome as the journal keeps it.
func keepable(o order.Outcome) order.Outcome {
	if len(o.Body()) <= logbook.MaxOutcomeBody {
		return o
	}
	return withoutBody(o)
}

func withoutBody(o order.Outcome) order.Outcome {
	code := o.Code()
	if code == order.Done {
		code = order.ResultTooLargeToKeep
	}
	return o.WithBody(nil).
		WithCode(code).
		WithText(code.Text()).
		WithLength(0).
		WithChecksum(checksum(nil))
}

func (m *Machine) answer(j *job, w waiter) { m.send(w.gate, m.answerOf(j, w)) }

func (m *Machine) answerOf(j *job, w waiter) order.AnswerMsg {
	a := order.AnswerMsg{}.
		WithTeam(j.key.Team).
		WithRequest(j.key.Request).
		WithSequence(w.sequence)
	if j.phase != phaseDone {
		return a.WithCode(order.Pending).WithText(order.Pending.Text())
	}
	o := j.outcome
	return a.WithCode(o.Code()).
		WithText(o.Text()).
		WithState(order.RequestDone).
		WithFinal(true).
		WithBody(o.Body()).
		WithLength(o.Length()).
		WithChecksum(o.Checksum()).
		WithStarted(o.Started()).
		WithEnded(o.Ended())
}

func (m *Machine) retentionOf(j *job) time.Duration {
	if j.journaled() {
		return m.retention
	}
	return attachedRetention
}

// expired reports whether the outcome need not be kept any longer.
func (m *Machine) expired(j *job) bool {
	for _, t := range j.tasks {
		if t.open() {
			return false
		}
	}
	return m.past(j.finished.Add(m.retentionOf(j)))
}

// add counts the body of an outcome, and forgets the oldest ones above the
// bound. Journaled outcomes do not count, and stay for their retention.
func (k *keptBodies) add(m *Machine, j *job) {
	if j.journaled() {
		return
	}
	j.kept = true
	k.bytes += len(j.outcome.Body())
	k.order = append(k.order, j)
	for k.bytes > maxKeptBytes && len(k.order) > 1 {
		m.forget(k.order[0])
	}
}

// drop takes the body of an outcome out of the count.
func (k *keptBodies) drop(j *job) {
	if j.kept {
		j.kept = false
		k.bytes -= len(j.outcome.Body())
	}
	for len(k.order) > 0 && !k.order[0].kept {
		k.order[0] = nil
		k.order = k.order[1:]
	}
}
