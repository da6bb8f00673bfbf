package queue

import (
	"sort"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

const (
	// confirmResendPeriod is how often a confirmation is sent until the group
	// reports the attempt as started or not started.
	confirmResendPeriod = time.Second

	// startReportTimeout is how long after the deadline of an attempt its group
	// may take to report whether it started. After that the outcome is unknown.
	startReportTimeout = 2 * time.Second

	// maxIncompleteResults is how many results of one attempt may arrive
	// incomplete. At that number the request ends as answer_incomplete.
	maxIncompleteResults = 3

	// probePeriod is the interval of queries to a group about a running
	// attempt. A group whose owner changed may have lost the attempt together
	// with its worker.
	probePeriod = time.Minute
)

// handleOffer accepts the first offer of an attempt. It withdraws the other
// bids and declines later offers.
func (m *Machine) handleOffer(msg order.OfferMsg) {
	t := m.task(msg.Task())
	if t == nil || t.state != taskBidding || t.attempt != msg.Attempt() || t.bidIndex(msg.Group()) < 0 {
		if t != nil && t.state == taskHeld && t.attempt == msg.Attempt() && t.group == msg.Group() {
			return
		}
		m.declineLate(t, msg)
		return
	}
	m.withdrawBids(t, msg.Group())
	hold := msg.Hold()
	if hold <= 0 {
		hold = defaultHold
	}
	t.state = taskHeld
	t.group = msg.Group()
	t.groupEpoch = msg.Epoch()
	t.holdUntil = m.now.Add(hold - offerMargin)
	m.confirmHeld(t.job)
	m.scheduleTimers(t.job)
}

// declineLate declines an offer that is no longer needed. A repeated offer of
// the attempt that was confirmed is ignored.
func (m *Machine) declineLate(t *task, msg order.OfferMsg) {
	if t != nil && t.open() && t.attempt == msg.Attempt() && t.group == msg.Group() {
		return
	}
	m.registry.Count("till.declined.late")
	m.decline(msg.Group(), msg.Task(), msg.Attempt())
}

// confirmHeld confirms the offers that the job holds. A request that must not
// run twice is confirmed only after its start is in the journal.
func (m *Machine) confirmHeld(j *job) {
	if !j.restartable() && j.startRecord != writeDone {
		m.recordStart(j)
		return
	}
	if j.isGang() {
		if j.gang.holdGroup == "" {
			m.confirmGang(j)
		}
		return
	}
	for _, t := range j.tasks {
		if t.state == taskHeld {
			m.confirmOrDecline(t)
		}
	}
}

func (m *Machine) recordStart(j *job) {
	if j.startRecord == writePending {
		return
	}
	if err := m.record(j, logbook.Starting); err != nil {
		m.registry.Count("till.journal.refused")
		return
	}
	j.startRecord = writePending
}

func (m *Machine) startRecorded(j *job) {
	j.startRecord = writeDone
	if j.phase == phaseOpen && !m.draining {
		m.confirmHeld(j)
	}
}

// confirmOrDecline confirms an offer, or declines it if its hold has expired.
func (m *Machine) confirmOrDecline(t *task) {
	if m.past(t.holdUntil) {
		m.declineExpired(t)
		return
	}
	m.releaseBidSlot(t)
	m.confirm(t)
}

// declineExpired declines an offer that was not confirmed in time, and queues
// the task again.
func (m *Machine) declineExpired(t *task) {
	m.registry.Count("till.declined.hold_ended")
	m.decline(t.group, t.id, t.attempt)
	m.releaseBidSlot(t)
	m.enqueue(t)
}

func (m *Machine) confirm(t *task) {
	j := t.job
	m.registry.Invariant(!t.open(), "till.open_attempt", "task %s has an open attempt %d", t.id, t.attempt)
	m.registry.Invariant(j.restartable() || j.startRecord == writeDone, "till.start_journaled", "start of %s is not journaled", t.id)
	m.registry.Invariant(j.restartable() || m.neverRan(t), "till.confirm_once", "task %s is confirmed again", t.id)
	j.confirmCount++
	t.state = taskConfirmed
	t.worker = ""
	t.stopping = false
	t.startUnknownAt = time.Time{}
	t.incompleteResults, t.confirmsSent = 0, 0
	t.resendAt = m.now.Add(confirmResendPeriod)
	m.sendConfirm(t)
}

// neverRan reports whether every earlier attempt of the task was reported as
// not started, or ended with a checkpoint. The counts are those of the whole
// job, so each other task that is open or has ended accounts for one
// confirmation.
func (m *Machine) neverRan(t *task) bool {
	open := 0
	for _, other := range t.job.tasks {
		if other != t && (other.open() || other.state == taskEnded) {
			open++
		}
	}
	return t.job.confirmCount-t.job.notStartedCount-t.job.resumedCount <= open
}

func (m *Machine) sendConfirm(t *task) {
	t.confirmsSent++
	m.post(t.group, order.ConfirmMsg{}.
		WithPartition(order.GroupPartition(t.group)).
		WithTask(t.id).
		WithAttempt(t.attempt))
}

// PostBlocked reports that a message was not sent because the ownership guard
// has no time left. If it is the first confirmation of its attempt, the attempt
// ends as not started.
func (m *Machine) PostBlocked(now time.Time, c PostCmd) []Command {
	m.beginStep(now)
	msg, ok := c.msg.(order.ConfirmMsg)
	if !ok {
		return nil
	}
	t := m.task(msg.Task())
	if t == nil || t.state != taskConfirmed || t.attempt != msg.Attempt() || t.confirmsSent > 1 {
		return nil
	}
	m.registry.Count("till.confirm_held_back")
	o := order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(order.NoOwner)
	m.endAttempt(t, o, true, ack{})
	m.scheduleTimers(t.job)
	return m.finishStep()
}

// handleStarted processes the report that a worker runs the task.
func (m *Machine) handleStarted(msg order.StartedMsg) {
	t := m.task(msg.Task())
	if t == nil || !t.open() || t.attempt != msg.Attempt() {
		m.handleUnexpectedStart(t, msg)
		return
	}
	t.state = taskRunning
	t.job.hasRun = true
	t.worker = msg.Worker()
	t.group = msg.Group()
	t.groupEpoch = m.view.epoch(t.group)
	if !t.stopping {
		t.resendAt = m.now.Add(probePeriod)
	}
	j := t.job
	if j.expired && !j.final() {
		m.finish(j, order.Outcome{}.WithCode(order.DeadlineWhileRunning))
	}
	m.scheduleTimers(j)
}

// handleUnexpectedStart handles the start of an attempt that is not open.
// During the recovery it may be adopted; after it, it is stopped.
func (m *Machine) handleUnexpectedStart(t *task, msg order.StartedMsg) {
	if t != nil && t.state == taskEnded && t.attempt == msg.Attempt() {
		return
	}
	if !m.recovery.complete {
		if t != nil && !t.open() && t.job.phase == phaseRecovering && msg.Attempt() > t.lastEnded {
			m.adoptAttempt(t, msg.Attempt(), msg.Group(), taskRunning, msg.Worker())
			m.scheduleTimers(t.job)
		}
		return
	}
	m.registry.Count("till.stopped.unexpected")
	m.post(msg.Group(), order.StopMsg{}.
		WithPartition(order.GroupPartition(msg.Group())).
		WithTask(msg.Task()).
		WithAttempt(msg.Attempt()))
}

// handleAttemptTimer sends a confirmation or stop again that was not answered.
func (m *Machine) handleAttemptTimer(t *task) {
	if m.past(t.startUnknownAt) && !t.job.final() {
		t.startUnknownAt = time.Time{}
		m.finish(t.job, order.Outcome{}.WithCode(order.OutcomeUnknown).
			WithText("the group did not report in time whether the task started before the deadline"))
	}
	if !m.past(t.resendAt) {
		return
	}
	t.resendAt = m.now.Add(confirmResendPeriod)
	if t.stopping {
		m.stopTask(t)
		return
	}
	if t.state == taskRunning {
		t.resendAt = m.now.Add(probePeriod)
	}
	m.sendConfirm(t)
}

// probeMovedGroups sends confirmations again to groups with a new owner, to
// check whether their attempts still run.
func (m *Machine) probeMovedGroups() {
	for _, t := range m.openTasks(func(t *task) bool {
		epoch := m.view.epoch(t.group)
		return epoch != 0 && epoch != t.groupEpoch
	}) {
		m.sendConfirm(t)
	}
}

// openTasks returns the tasks with an open attempt that match, sorted by ID.
func (m *Machine) openTasks(wanted func(*task) bool) []*task {
	var tasks []*task
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if t.open() && wanted(t) {
				tasks = append(tasks, t)
			}
		}
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].id < tasks[b].id })
	return tasks
}

// checkNotStarted reports whether the attempt never started, and returns its
// code. A new owner of the group has no record of what the former owner started
// on a worker that was lost, so "not started" is accepted only from the epoch
// that made the offer.
func (m *Machine) checkNotStarted(t *task, msg order.EndedMsg) (bool, order.Code) {
	code := msg.Outcome().Code()
	if !msg.NotStarted() {
		return false, code
	}
	epoch := msg.Epoch()
	if epoch == 0 {
		epoch = m.view.epoch(t.group)
	}
	switch {
	case t.state == taskRunning:
		return false, order.WorkerLost
	case t.state == taskConfirmed && epoch != 0 && epoch != t.groupEpoch:
		return false, order.OutcomeUnknown
	}
	return true, code
}

// handleEnded processes the outcome of an attempt.
func (m *Machine) handleEnded(msg order.EndedMsg) {
	o := msg.Outcome()
	a := ack{group: msg.Group(), task: o.Task(), attempt: o.Attempt()}
	t := m.task(o.Task())
	switch {
	case t == nil && !m.recovery.complete:
		return
	case t == nil:
		m.registry.Count("till.dropped.ended_unknown")
		m.sendAck(a)
		return
	case !m.resultComplete(t, o):
		return
	}
	notStarted, code := m.checkNotStarted(t, msg)
	if code == order.OutcomeUnknown && o.Code() != code {
		o = o.WithText("the group that made the offer has had another owner since")
	}
	m.endAttempt(t, o.WithCode(code), notStarted, a)
	m.scheduleTimers(t.job)
}

// resultComplete reports whether the result arrived completely. An incomplete
// one is not acknowledged, so that the group sends it again. After
// maxIncompleteResults it is accepted as it is.
func (m *Machine) resultComplete(t *task, o order.Outcome) bool {
	if o.Length() == len(o.Body()) && (o.Checksum() == 0 || o.Checksum() == checksum(o.Body())) {
		return true
	}
	m.registry.Count("till.dropped.incomplete")
	if t.attempt == o.Attempt() && t.open() {
		t.incompleteResults++
	}
	return t.incompleteResults >= maxIncompleteResults
}

// endAttempt ends the attempt with the outcome. Its acknowledgement is sent
// when the group need not send the outcome again.
func (m *Machine) endAttempt(t *task, o order.Outcome, notStarted bool, a ack) {
	j := t.job
	if t.attempt != o.Attempt() || !t.open() {
		m.endClosedAttempt(t, o, notStarted, a)
		return
	}
	t.state = taskEnded
	t.lastEnded = t.attempt
	t.stopping = false
	t.startUnknownAt = time.Time{}
	t.notStarted = notStarted
	if notStarted {
		j.notStartedCount++
	}
	j.hasRun = j.hasRun || !notStarted && o.Code().RunStatus() == order.RunYes
	if t.incompleteResults >= maxIncompleteResults {
		o = o.WithCode(order.AnswerIncomplete).WithBody(nil)
	}
	t.outcome = o
	if j.final() {
		m.endAfterAnswer(j, t, notStarted, a)
		return
	}
	m.handleTaskEnd(t, notStarted, a)
}

// endClosedAttempt handles the end of an attempt that is not open: a repeated
// report, or the end of an attempt that was replaced.
func (m *Machine) endClosedAttempt(t *task, o order.Outcome, notStarted bool, a ack) {
	j := t.job
	switch {
	case j.phase == phaseRecovering && !notStarted && o.Attempt() > t.lastEnded:
		m.adoptAttempt(t, o.Attempt(), a.group, taskRunning, o.Worker())
		m.endAttempt(t, o, false, a)
	case !m.recovery.complete && j.phase == phaseRecovering && o.Attempt() > t.lastEnded:
		// The inventory decides whether the attempt ran.
	case j.ackPending(a):
		// The outcome is acknowledged once it is in the journal.
	default:
		m.registry.Count("till.dropped.ended_closed")
		m.sendAck(a)
	}
}

func (j *job) ackPending(a ack) bool {
	for _, waiting := range j.acks {
		if waiting == a {
			return true
		}
	}
	return false
}

// endAfterAnswer handles the end of an attempt whose request was already
// answered. If that outcome is unknown, the late one replaces it.
func (m *Machine) endAfterAnswer(j *job, t *task, notStarted bool, a ack) {
	if j.phase != phaseDone || j.outcome.Code() != order.OutcomeUnknown || notStarted || len(j.tasks) > 1 {
		m.sendAck(a)
		return
	}
	m.outcomes.remove(j)
	j.outcome = m.finalOutcome(j, t.outcome)
	m.outcomes.add(m, j)
	if !j.journaled() {
		m.sendAck(a)
		return
	}
	j.acks = append(j.acks, a)
	m.recordEnd(j)
}

func (m *Machine) sendAck(a ack) {
	if a.group == "" {
		return
	}
	m.post(a.group, order.EndedAckMsg{}.
		WithPartition(order.GroupPartition(a.group)).
		WithTask(a.task).
		WithAttempt(a.attempt))
}

// markGroupLost ends the attempts in a group that had no owner for longer than
// a task lease.
func (m *Machine) markGroupLost(group order.GroupID) {
	for _, t := range m.openTasks(func(t *task) bool { return t.group == group }) {
		m.markAttemptLost(t)
		m.scheduleTimers(t.job)
	}
}

// markAttemptLost ends an attempt as worker_lost, or with an unknown outcome if
// it was not reported as started.
func (m *Machine) markAttemptLost(t *task) {
	code, text := order.WorkerLost, ""
	if t.state == taskConfirmed {
		code, text = order.OutcomeUnknown, "the group had no owner for longer than a task's lease"
	}
	m.registry.Count("till.lost." + code.String())
	o := order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(code).WithText(text)
	m.endAttempt(t, o, false, ack{})
}
