package queue

import (
	"chervilhollow/logbook"
	"chervilhollow/order"
)

// handleStatus answers with the state of a request. If the gate follows the
// request, it also gets the final answer.
func (m *Machine) handleStatus(from order.MemberID, msg order.StatusMsg) {
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
	m.send(from, m.answerMsg(j, w).WithState(j.state()))
}

// statusUnknown answers for a request that is not in the table. Before the
// inventory is complete, a group may still have it, so the call is deferred.
func (m *Machine) statusUnknown(w waiter, msg order.StatusMsg) {
	if !m.recovery.complete {
		m.deferCall(w.gate, msg)
		return
	}
	m.answerUnknown(w, msg.Team(), msg.Request())
}

func (m *Machine) answerUnknown(w waiter, team order.TeamName, request order.RequestID) {
	m.send(w.gate, order.AnswerMsg{}.
		WithTeam(team).
		WithRequest(request).
		WithCode(order.UnknownRequest).
		WithText(order.UnknownRequest.Text()).
		WithState(order.RequestUnknown).
		WithFinal(true).
		WithSequence(w.sequence))
}

// deferCall keeps a call about an unknown request until the inventory is
// complete.
func (m *Machine) deferCall(from order.MemberID, msg order.Msg) {
	if len(m.deferredCalls) >= maxDeferred {
		m.registry.Count("till.dropped.recovering")
		return
	}
	m.deferredCalls = append(m.deferredCalls, deferredCall{from: from, msg: msg})
}

func (m *Machine) answerDeferred() {
	deferred := m.deferredCalls
	m.deferredCalls = nil
	for _, d := range deferred {
		switch msg := d.msg.(type) {
		case order.StatusMsg:
			m.handleStatus(d.from, msg)
		case order.CancelMsg:
			m.handleCancel(d.from, msg)
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

// handleCancel cancels a request. The call gets the final answer of the
// request.
func (m *Machine) handleCancel(from order.MemberID, msg order.CancelMsg) {
	w := waiter{gate: from, sequence: msg.Sequence()}
	j := m.jobs[logbook.Key{Team: msg.Team(), Request: msg.Request()}]
	switch {
	case j == nil && !m.recovery.complete:
		m.deferCall(from, msg)
		return
	case j == nil:
		m.answerUnknown(w, msg.Team(), msg.Request())
		return
	case j.phase == phaseDone:
		m.answer(j, w)
		return
	}
	j.addWaiter(w)
	m.cancelJob(j)
	m.scheduleTimers(j)
}

func (m *Machine) cancelJob(j *job) {
	if j.final() || j.cancelled {
		return
	}
	j.cancelled = true
	switch {
	case j.phase == phaseAccepting:
		if m.cancelRecord(j) {
			j.acceptedRecord = writeNone
			m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
		}
	case j.phase == phaseRecovering:
		// The inventory will show whether it runs.
	case !j.mayHaveRun():
		m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
	default:
		m.stopTasks(j)
		m.finishIfEnded(j)
	}
}

// stopTasks stops the job's open attempts and cancels the placement of its
// other tasks.
func (m *Machine) stopTasks(j *job) {
	m.releaseHolds(j)
	for _, t := range j.tasks {
		m.cancelPlacement(t)
		if t.open() {
			m.stopTask(t)
		}
	}
}

// stopTask requests that the group stop the attempt. The stop is sent again
// until the group reports the end.
func (m *Machine) stopTask(t *task) {
	t.stopping = true
	t.resendAt = m.now.Add(stopResendPeriod)
	m.post(t.group, order.StopMsg{}.
		WithPartition(order.GroupPartition(t.group)).
		WithTask(t.id).
		WithAttempt(t.attempt))
}

// handleDeadline ends a job whose deadline has passed. Attempts that may be
// running are stopped.
func (m *Machine) handleDeadline(j *job) {
	if j.phase == phaseRecovering {
		// The inventory will show whether it runs.
		return
	}
	j.expired = true
	if !j.mayHaveRun() {
		code := order.DeadlineBeforeRun
		if j.startRecord == writePending {
			code = order.JournalUnavailable
		}
		m.finish(j, order.Outcome{}.WithCode(code))
		return
	}
	m.stopTasks(j)
	unreported := false
	for _, t := range j.tasks {
		if t.state == taskRunning {
			m.finish(j, order.Outcome{}.WithCode(order.DeadlineWhileRunning))
			return
		}
		if t.open() {
			unreported = true
			t.startUnknownAt = m.now.Add(startReportTimeout)
		}
	}
	if !unreported {
		m.finishIfEnded(j)
	}
}
