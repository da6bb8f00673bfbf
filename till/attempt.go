package till

import (
	"sort"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

const (
	// confirmPeriod repeats a confirmation until the group reports the start
	// or that the attempt was not started.
	confirmPeriod = time.Second

	// silentWait is how long after its deadline an attempt may leave open
	// whether it started.
	silentWait = 2 * time.Second

	// maxBroken is how many incomplete results of one attempt are refused
	// before the answer says so.
	maxBroken = 3

	// probePeriod is how often a group is asked about an attempt that runs. A
	// group whose owner changed may have lost it together with its worker.
	probePeriod = time.Minute
)

// offered takes an offer of a group. The first one wins.
func (m *Machine) offered(msg order.OfferMsg) {
	t := m.task(msg.Task())
	if t == nil || t.state != taskBidding || t.attempt != msg.Attempt() || t.bidAt(msg.Group()) < 0 {
		if t != nil && t.state == taskHeld && t.attempt == msg.Attempt() && t.group == msg.Group() {
			return
		}
		m.declineLate(t, msg)
		return
	}
	m.withdrawAll(t, msg.Group())
	hold := msg.Hold()
	if hold <= 0 {
		hold = defaultHold
	}
	t.state = taskHeld
	t.group = msg.Group()
	t.epoch = msg.Epoch()
	t.until = m.now.Add(hold - offerMargin)
	m.startHeld(t.job)
	m.settle(t.job)
}

// declineLate gives an offer back that is not wanted any more. A repeated
// offer of the attempt that was confirmed is ignored.
func (m *Machine) declineLate(t *task, msg order.OfferMsg) {
	if t != nil && t.open() && t.attempt == msg.Attempt() && t.group == msg.Group() {
		return
	}
	m.registry.Count("till.declined.late")
	m.decline(msg.Group(), msg.Task(), msg.Attempt())
}

// startHeld confirms the offers that the job holds, after the journal holds
// the start of a request that must not run twice.
func (m *Machine) startHeld(j *job) {
	if !j.repeatable() && j.starting != writeDone {
		m.recordStart(j)
		return
	}
	if j.isGang() {
		if j.gang.asked == "" {
			m.confirmGang(j)
		}
		return
	}
	for _, t := range j.tasks {
		if t.state == taskHeld {
			m.confirmOrDrop(t)
		}
	}
}

func (m *Machine) recordStart(j *job) {
	if j.starting == writePending {
		return
	}
	if err := m.record(j, logbook.Starting); err != nil {
		m.registry.Count("till.journal.refused")
		return
	}
	j.starting = writePending
}

func (m *Machine) startRecorded(j *job) {
	j.starting = writeDone
	if j.phase == phaseOpen {
		m.startHeld(j)
	}
}

// confirmOrDrop confirms an offer that still holds.
func (m *Machine) confirmOrDrop(t *task) {
	if m.past(t.until) {
		m.dropOffer(t)
		return
	}
	m.unbid(t)
	m.confirm(t)
}

// dropOffer gives an offer back that could not be confirmed in time, and bids
// again.
func (m *Machine) dropOffer(t *task) {
	m.registry.Count("till.declined.hold_ended")
	m.decline(t.group, t.id, t.attempt)
	m.unbid(t)
	m.enqueue(t)
}

func (m *Machine) confirm(t *task) {
	j := t.job
	m.registry.Invariant(!t.open(), "till.open_attempt", "task %s has an open attempt %d", t.id, t.attempt)
	m.registry.Invariant(j.repeatable() || j.starting == writeDone, "till.start_journaled", "start of %s is not journaled", t.id)
	m.registry.Invariant(j.repeatable() || m.unstartedOnly(t), "till.confirm_once", "task %s is confirmed again", t.id)
	j.confirms++
	t.state = taskConfirmed
	t.worker = ""
	t.stopping = false
	t.silentAt = time.Time{}
	t.broken, t.sent = 0, 0
	t.resendAt = m.now.Add(confirmPeriod)
	m.sendConfirm(t)
}

// unstartedOnly reports whether all earlier attempts of the task are known as
// not started, or ended with a checkpoint.
func (m *Machine) unstartedOnly(t *task) bool {
	open := 0
	for _, other := range t.job.tasks {
		if other != t && (other.open() || other.state == taskEnded) {
			open++
		}
	}
	return t.job.confirms-t.job.unstarted-t.job.resumed <= open
}

func (m *Machine) sendConfirm(t *task) {
	t.sent++
	m.post(t.group, order.ConfirmMsg{}.
		WithPartition(order.GroupPartition(t.group)).
		WithTask(t.id).
		WithAttempt(t.attempt))
}

// Unsent tells that a confirmation was held back because the owner may no
// longer act. If it was the first one of its attempt, nothing started.
func (m *Machine) Unsent(now time.Time, c PostCmd) []Command {
	m.begin(now)
	msg, ok := c.msg.(order.ConfirmMsg)
	if !ok {
		return nil
	}
	t := m.task(msg.Task())
	if t == nil || t.state != taskConfirmed || t.attempt != msg.Attempt() || t.sent > 1 {
		return nil
	}
	m.registry.Count("till.confirm_held_back")
	o := order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(order.NoOwner)
	m.endAttempt(t, o, true, ack{})
	m.settle(t.job)
	return m.finishStep()
}

// started notes that a worker runs the task.
func (m *Machine) started(msg order.StartedMsg) {
	t := m.task(msg.Task())
	if t == nil || !t.open() || t.attempt != msg.Attempt() {
		m.startedElsewhere(t, msg)
		return
	}
	t.state = taskRunning
	t.job.ran = true
	t.worker = msg.Worker()
	t.group = msg.Group()
	t.epoch = m.view.epoch(t.group)
	if !t.stopping {
		t.resendAt = m.now.Add(probePeriod)
	}
	j := t.job
	if j.expired && !j.final() {
		m.finish(j, order.Outcome{}.WithCode(order.DeadlineWhileRun))
	}
	m.settle(j)
}

// startedElsewhere handles the start of an attempt that is not open.
func (m *Machine) startedElsewhere(t *task, msg order.StartedMsg) {
	if t != nil && t.state == taskEnded && t.attempt == msg.Attempt() {
		return
	}
	if !m.recovery.complete {
		if t != nil && !t.open() && t.job.phase == phaseRecovering && msg.Attempt() > t.over {
			m.adopt(t, msg.Attempt(), msg.Group(), taskRunning, msg.Worker())
			m.settle(t.job)
		}
		return
	}
	m.registry.Count("till.stopped.unexpected")
	m.post(msg.Group(), order.StopMsg{}.
		WithPartition(order.GroupPartition(msg.Group())).
		WithTask(msg.Task()).
		WithAttempt(msg.Attempt()))
}

// wakeAttempt repeats what an open attempt waits for.
func (m *Machine) wakeAttempt(t *task) {
	if m.past(t.silentAt) && !t.job.final() {
		t.silentAt = time.Time{}
		m.finish(t.job, order.Outcome{}.WithCode(order.OutcomeUnknown))
	}
	if !m.past(t.resendAt) {
		return
	}
	t.resendAt = m.now.Add(confirmPeriod)
	if t.stopping {
		m.stop(t)
		return
	}
	if t.state == taskRunning {
		t.resendAt = m.now.Add(probePeriod)
	}
	m.sendConfirm(t)
}

// probe asks the groups whose owner changed about the attempts there.
func (m *Machine) probe() {
	for _, t := range m.openTasks(func(t *task) bool {
		epoch := m.view.epoch(t.group)
		return epoch != 0 && epoch != t.epoch
	}) {
		m.sendConfirm(t)
	}
}

// openTasks returns the tasks with an open attempt for which the function
// returns true, in order of ID.
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

// believable returns whether the attempt certainly never started, and its code.
// A new owner of the group cannot know what the former one started on a worker
// that is gone, so only the epoch that offered the room may say "not started".
func (m *Machine) believable(t *task, msg order.EndedMsg) (bool, order.Code) {
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
	case t.state == taskConfirmed && epoch != 0 && epoch != t.epoch:
		return false, order.OutcomeUnknown
	}
	return true, code
}

// endedMsg takes the outcome of an attempt.
func (m *Machine) endedMsg(msg order.EndedMsg) {
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
	case !m.whole(t, o):
		return
	}
	notStarted, code := m.believable(t, msg)
	m.endAttempt(t, o.WithCode(code), notStarted, a)
	m.settle(t.job)
}

// whole reports whether the result arrived completely. An incomplete one is
// not acknowledged, so the group sends it again.
func (m *Machine) whole(t *task, o order.Outcome) bool {
	if o.Length() == len(o.Body()) && (o.Checksum() == 0 || o.Checksum() == checksum(o.Body())) {
		return true
	}
	m.registry.Count("till.dropped.incomplete")
	if t.attempt == o.Attempt() && t.open() {
		t.broken++
	}
	return t.broken >= maxBroken
}

func (m *Machine) endAttempt(t *task, o order.Outcome, notStarted bool, a ack) {
	j := t.job
	if t.attempt != o.Attempt() || !t.open() {
		m.endOther(t, o, notStarted, a)
		return
	}
	t.state = taskEnded
	t.over = t.attempt
	t.stopping = false
	t.silentAt = time.Time{}
	t.unstarted = notStarted
	if notStarted {
		j.unstarted++
	}
	j.ran = j.ran || !notStarted && o.Code().Run() == order.RunYes
	if t.broken >= maxBroken {
		o = o.WithCode(order.AnswerIncomplete).WithBody(nil)
	}
	t.outcome = o
	if j.final() {
		m.endFinal(j, t, notStarted, a)
		return
	}
	m.concludeTask(t, notStarted, a)
}

// endOther handles the end of an attempt that is not open: it is a repetition,
// or belongs to an attempt that was given up.
func (m *Machine) endOther(t *task, o order.Outcome, notStarted bool, a ack) {
	j := t.job
	switch {
	case j.phase == phaseRecovering && !notStarted && o.Attempt() > t.over:
		m.adopt(t, o.Attempt(), a.group, taskRunning, o.Worker())
		m.endAttempt(t, o, false, a)
	case !m.recovery.complete && j.phase == phaseRecovering && o.Attempt() > t.over:
		// The inventory decides.
	case j.waitsForAck(a):
		// It is acknowledged once the journal holds the outcome.
	default:
		m.registry.Count("till.dropped.ended_closed")
		m.sendAck(a)
	}
}

func (j *job) waitsForAck(a ack) bool {
	for _, waiting := range j.acks {
		if waiting == a {
			return true
		}
	}
	return false
}

// endFinal handles the end of an attempt whose request has its answer already.
// A late outcome replaces an unknown one.
func (m *Machine) endFinal(j *job, t *task, notStarted bool, a ack) {
	if j.phase != phaseDone || j.outcome.Code() != order.OutcomeUnknown || notStarted || len(j.tasks) > 1 {
		m.sendAck(a)
		return
	}
	m.kept.drop(j)
	j.outcome = m.complete(j, t.outcome)
	m.kept.add(m, j)
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

// loseGroup ends the attempts in a group that had no owner for the length of a
// task lease.
func (m *Machine) loseGroup(group order.GroupID) {
	for _, t := range m.openTasks(func(t *task) bool { return t.group == group }) {
		m.loseAttempt(t)
		m.settle(t.job)
	}
}

func (m *Machine) loseAttempt(t *task) {
	code := order.WorkerLost
	if t.state == taskConfirmed {
		code = order.OutcomeUnknown
	}
	m.registry.Count("till.lost." + code.String())
	o := order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(code)
	m.endAttempt(t, o, false, ack{})
}
