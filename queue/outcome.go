package queue

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// outcomeCache bounds the memory of outcomes that are not in the journal.
	outcomeCache struct {
		bytes int
		jobs  []*job
	}
)

const (
	// unjournaledRetention is how long an outcome that is not in the journal is
	// kept.
	unjournaledRetention = 10 * time.Minute

	// maxCachedBytes bounds the bodies of outcomes that are not in the journal.
	maxCachedBytes = 8 << 20
)

// handleTaskEnd resumes or retries the task of an attempt that ended, or
// finishes its job.
func (m *Machine) handleTaskEnd(t *task, notStarted bool, a ack) {
	j := t.job
	if j.isGang() {
		m.handleMemberEnd(t, notStarted, a)
		return
	}
	if t.outcome.Checkpointed() && !notStarted && !j.cancelled && !j.expired {
		m.resume(t, a)
		return
	}
	if m.retryable(t, notStarted) {
		if wait, ok := m.planRetry(t, notStarted); ok {
			m.sendAck(a)
			t.state = taskWaiting
			t.retryAt = m.now.Add(wait)
			return
		}
	}
	j.acks = append(j.acks, a)
	t.outcome = t.outcome.WithCode(j.finalCode(t, notStarted))
	m.finishIfEnded(j)
}

// resume places a checkpointed task again. The next attempt continues from the
// checkpoint, so it doesn't count as a second run.
func (m *Machine) resume(t *task, a ack) {
	m.registry.Count("till.resumed")
	m.sendAck(a)
	t.job.resumedCount++
	t.state = taskWaiting
	t.retryAt = m.now.Add(m.jitter(retryBaseDelay))
}

// finalCode returns the code of an ended task, taking a cancellation or a
// passed deadline into account.
func (j *job) finalCode(t *task, notStarted bool) order.Code {
	code := t.outcome.Code()
	switch {
	case notStarted && j.cancelled:
		return order.CancelledBeforeRun
	case notStarted && j.expired:
		return order.DeadlineBeforeRun
	case notStarted && code.RunStatus() != order.RunNo:
		return order.NoOwner
	case !notStarted && code.RunStatus() == order.RunNo:
		// The group reported that it ran, so "not run" is wrong.
		code = order.TaskFailed
	}
	if j.cancelled && code == order.TaskFailed {
		return order.CancelledRunning
	}
	return code
}

// finishIfEnded finishes the job when all of its tasks have ended, with the
// outcome of the highest severity. An outcome that says "not run" is replaced
// if an earlier attempt may have run.
func (m *Machine) finishIfEnded(j *job) {
	worst := j.tasks[0]
	for _, t := range j.tasks {
		if t.state != taskEnded {
			return
		}
		if t.severity() > worst.severity() {
			worst = t
		}
	}
	o := worst.outcome
	if o.Code().RunStatus() == order.RunNo && j.mayHaveRun() {
		o = o.WithCode(j.earlierAttemptCode()).WithText("")
		if o.Code() == order.OutcomeUnknown {
			o = o.WithText("an earlier attempt may have run")
		}
	}
	m.finish(j, o)
}

// earlierAttemptCode returns the code of a job whose last attempt did not start
// while an earlier one may have.
func (j *job) earlierAttemptCode() order.Code {
	switch {
	case !j.hasRun:
		return order.OutcomeUnknown
	case j.cancelled:
		return order.CancelledRunning
	}
	return order.TaskFailed
}

// severity ranks the outcomes of the tasks of a request: done, not run, failed
// after a start, unknown.
func (t *task) severity() int {
	switch code := t.outcome.Code(); {
	case code == order.Done:
		return 0
	case code.RunStatus() == order.RunNo:
		return 1
	case code.RunStatus() == order.RunYes:
		return 2
	}
	return 3
}

// finish gives the job its outcome and answers it. If the outcome says "not
// run" and the journal holds the request, it is answered only once it is in the
// journal too, because a successor would run the request otherwise. A passed
// deadline is answered at once: the successor would not run it either.
func (m *Machine) finish(j *job, o order.Outcome) {
	code := o.Code()
	deferAnswer := j.acceptedRecord != writeNone && code.RunStatus() == order.RunNo && code != order.DeadlineBeforeRun
	if j.mayHaveRunBefore && code >= order.QueueFull && code.RunStatus() == order.RunNo {
		code = order.OutcomeUnknown
		o = o.WithCode(code).WithText("a former owner of the partition may have run the request")
	}
	m.registry.Invariant(code.RunStatus() != order.RunNo || !j.mayHaveRun(), "till.refusal_true", "%s/%s is answered %s but may have run", j.key.Team, j.key.Request, code)
	m.releaseHolds(j)
	for _, t := range j.tasks {
		m.cancelPlacement(t)
	}
	m.openCount--
	m.releaseTeam(j.key.Team)
	m.registry.Count("till.ended." + code.String())
	j.outcome = m.finalOutcome(j, o)
	j.finished = m.now
	j.phase = phaseDone
	if j.journaled() {
		m.recordEnd(j)
	}
	if deferAnswer {
		j.phase = phaseEnding
		return
	}
	m.answerWaiters(j)
}

func (m *Machine) releaseTeam(team order.TeamName) {
	m.openPerTeam[team]--
	if m.openPerTeam[team] == 0 {
		delete(m.openPerTeam, team)
	}
}

// answerWaiters answers all waiting calls. It acknowledges the outcome to the
// group, unless the outcome is still being written to the journal.
func (m *Machine) answerWaiters(j *job) {
	j.phase = phaseDone
	for _, w := range j.waiters {
		m.answer(j, w)
	}
	for _, w := range j.acceptWaiters {
		m.answer(j, w)
	}
	j.waiters, j.acceptWaiters = nil, nil
	m.outcomes.add(m, j)
	if j.endRecord != writePending {
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
	j.endRecord = writePending
}

func (m *Machine) endRecorded(j *job) {
	j.endRecord = writeDone
	if j.phase == phaseEnding {
		m.answerWaiters(j)
		return
	}
	m.sendAcks(j)
}

// finalOutcome returns the outcome as it is sent to callers. A detached
// request's body is dropped if the journal can't hold it.
func (m *Machine) finalOutcome(j *job, o order.Outcome) order.Outcome {
	if j.request.Detached() && len(o.Body()) > logbook.MaxOutcomeBody {
		o = withoutBody(o)
	}
	if o.Text() == "" {
		o = o.WithText(o.Code().Text())
	}
	return o.WithLength(len(o.Body())).WithChecksum(checksum(o.Body()))
}

// journalOutcome returns the outcome as it is written to the journal.
func journalOutcome(o order.Outcome) order.Outcome {
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

func (m *Machine) answer(j *job, w waiter) { m.send(w.gate, m.answerMsg(j, w)) }

func (m *Machine) answerMsg(j *job, w waiter) order.AnswerMsg {
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

func (m *Machine) retentionFor(j *job) time.Duration {
	if j.journaled() {
		return m.retention
	}
	return unjournaledRetention
}

// removable reports whether the job's retention has ended and none of its
// attempts may be running.
func (m *Machine) removable(j *job) bool {
	for _, t := range j.tasks {
		if t.open() {
			return false
		}
	}
	return m.past(j.finished.Add(m.retentionFor(j)))
}

// add counts the body of an outcome. Above maxCachedBytes it removes the oldest
// jobs. Journaled outcomes are not counted, and stay for their retention.
func (c *outcomeCache) add(m *Machine, j *job) {
	if j.journaled() {
		return
	}
	j.cached = true
	c.bytes += len(j.outcome.Body())
	c.jobs = append(c.jobs, j)
	for c.bytes > maxCachedBytes && len(c.jobs) > 1 {
		m.removeJob(c.jobs[0])
	}
}

// remove stops counting the body of the job's outcome.
func (c *outcomeCache) remove(j *job) {
	if j.cached {
		j.cached = false
		c.bytes -= len(j.outcome.Body())
	}
	for len(c.jobs) > 0 && !c.jobs[0].cached {
		c.jobs[0] = nil
		c.jobs = c.jobs[1:]
	}
}
