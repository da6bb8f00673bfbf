package till

import (
	"chervilhollow/logbook"
	"chervilhollow/order"
)

// status answers with the state of a request, and lets the gate wait for its
// outcome if it asks for that.
func (m *Machine) status(from order.MemberID, msg order.StatusMsg) {
	w := waiter{gate: from, sequence: msg.Sequence()}
	j := m.jobs[logbook.Key{Team: msg.Team(), Request: msg.Request()}]
	if j == nil {
		m.statusUnknown(w, msg)
		return
	}
	if j.phase == phaseDone {
		m.answer(j, w)
		return
	}
	if msg.Follow() {
		j.addWaiter(w)
	}
	m.send(from, m.answerOf(j, w).WithState(j.state()))
}

// statusUnknown answers for a request that is not in the table. Before the
// inventory is complete it may still be found in a group.
func (m *Machine) statusUnknown(w waiter, msg order.StatusMsg) {
	if !m.recovery.complete {
		m.postpone(w.gate, msg)
		return
	}
	m.unknown(w, msg.Team(), msg.Request())
}

func (m *Machine) unknown(w waiter, team order.TeamName, request order.RequestID) {
	m.send(w.gate, order.AnswerMsg{}.
		WithTeam(team).
		WithRequest(request).
		WithCode(order.UnknownRequest).
		WithText(order.UnknownRequest.Text()).
		WithState(order.RequestUnknown).
		WithFinal(true).
		WithSequence(w.sequence))
}

// postpone keeps a call about an unknown request until the inventory is
// complete.
func (m *Machine) postpone(from order.MemberID, msg order.Msg) {
	if len(m.deferred) >= maxDeferred {
		m.registry.Count("till.dropped.recovering")
		return
	}
	m.deferred = append(m.deferred, deferredCall{from: from, msg: msg})
}

func (m *Machine) answerDeferred() {
	deferred := m.deferred
	m.deferred = nil
	for _, d := range deferred {
		switch msg := d.msg.(type) {
		case order.StatusMsg:
			m.status(d.from, msg)
		case order.CancelMsg:
			m.cancel(d.from, msg)
		}
	}
}

func (j *job) state() order.RequestState {
	if j.phase == phaseDone {
		return order.RequestDone
	}
	for _, t := range j.tasks {
		if t.state == taskRunning {
			return order.RequestRunning
		}
	}
	return order.RequestQueued
}

// cancel stops a request. The caller gets the final answer of the request.
func (m *Machine) cancel(from order.MemberID, msg order.CancelMsg) {
	w := waiter{gate: from, sequence: msg.Sequence()}
	j := m.jobs[logbook.Key{Team: msg.Team(), Request: msg.Request()}]
	switch {
	case j == nil && !m.recovery.complete:
		m.postpone(from, msg)
		return
	case j == nil:
		m.unknown(w, msg.Team(), msg.Request())
		return
	case j.phase == phaseDone:
		m.answer(j, w)
		return
	}
	j.addWaiter(w)
	m.cancelJob(j)
	m.settle(j)
}

func (m *Machine) cancelJob(j *job) {
	if j.final() || j.cancelled {
		return
	}
	j.cancelled = true
	switch {
	case j.phase == phaseAccepting:
		if m.cancelRecord(j) {
			j.accepted = writeNone
			m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
		}
	case j.phase == phaseRecovering:
		// Whether it runs is known only after the inventory.
	case !j.mayHaveRun():
		m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
	default:
		m.stopTasks(j)
		m.concludeJob(j)
	}
}

// stopTasks stops what runs of the job and takes back what waits.
func (m *Machine) stopTasks(j *job) {
	m.dropHolds(j)
	for _, t := range j.tasks {
		m.leaveQueue(t)
		if t.open() {
			m.stop(t)
		}
	}
}

func (m *Machine) stop(t *task) {
	t.stopping = true
	t.resendAt = m.now.Add(resendStop)
	m.post(t.group, order.StopMsg{}.
		WithPartition(order.GroupPartition(t.group)).
		WithTask(t.id).
		WithAttempt(t.attempt))
}

// passDeadline ends a job whose deadline has passed, or stops it if it runs.
func (m *Machine) passDeadline(j *job) {
	if j.phase == phaseRecovering {
		// Whether it runs is known only after the inventory.
		return
	}
	j.expired = true
	if !j.mayHaveRun() {
		code := order.DeadlineBeforeRun
		if j.starting == writePending {
			code = order.JournalUnavailable
		}
		m.finish(j, order.Outcome{}.WithCode(code))
		return
	}
	m.stopTasks(j)
	waits := false
	for _, t := range j.tasks {
		if t.state == taskRunning {
			m.finish(j, order.Outcome{}.WithCode(order.DeadlineWhileRun))
			return
		}
		if t.open() {
			waits = true
			t.silentAt = m.now.Add(silentWait)
		}
	}
	if !waits {
		m.concludeJob(j)
	}
}
