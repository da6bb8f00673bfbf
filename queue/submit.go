package queue

import (
	"errors"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// acceptTimeout bounds how long a detached request waits for its journal
// record.
const acceptTimeout = 30 * time.Second

// maxTasks bounds the tasks of one request.
const maxTasks = 4096

// handleSubmit processes a submission. The caller of an attached request waits
// for its answer. A detached request is accepted once its record is in the
// journal, and its outcome is kept for a later call. A duplicate gets the
// outcome of the first submission.
func (m *Machine) handleSubmit(from order.MemberID, msg order.SubmitMsg) {
	r := msg.Request()
	key := logbook.Key{Team: r.Team(), Request: r.ID()}
	w := waiter{gate: from, sequence: msg.Sequence()}
	j := m.jobs[key]
	if j == nil {
		m.submitNew(key, r, w, 0)
		return
	}
	sum := checksum(r.Payload())
	if j.hasChecksum && j.checksum != sum {
		m.refuse(w, r, order.IDReused)
		return
	}
	if j.phase == phaseDone && j.allowsResubmission() {
		// The outcome says "not run", so the caller may submit the request
		// again.
		m.removeJob(j)
		m.submitNew(key, r, w, j.round+1)
		return
	}
	m.registry.Count("till.duplicate")
	if !j.hasChecksum {
		m.completeAdopted(j, r, sum)
	}
	m.attachDuplicate(j, r, w)
	m.scheduleTimers(j)
}

// allowsResubmission reports whether the job's outcome allows the caller to
// submit the request again, so that a new submission is queued.
func (j *job) allowsResubmission() bool {
	for _, t := range j.tasks {
		if t.open() {
			return false
		}
	}
	code := j.outcome.Code()
	return code.RunStatus() == order.RunNo || j.mayHaveRunBefore && code == order.OutcomeUnknown
}

// mayHaveRunBefore reports whether a former owner may have run the request
// without leaving a record: starts of idempotent requests are not journaled,
// and the group discards an outcome once it is acknowledged. This matters only
// as long as the former owner would have kept the outcome.
func (m *Machine) mayHaveRunBefore(r order.Request) bool {
	return !r.Fresh() && restartable(r) && m.now.Sub(m.recovery.startedAt) < unjournaledRetention
}

// refusalCode returns the code to refuse the request with. A code that says
// "not run" is replaced if a former owner may have run the request.
func (m *Machine) refusalCode(r order.Request, code order.Code) order.Code {
	if m.mayHaveRunBefore(r) && code >= order.QueueFull && code.RunStatus() == order.RunNo {
		return order.OutcomeUnknown
	}
	return code
}

// attachDuplicate adds the gate of a duplicate submission to the job, or
// answers it if the job is done.
func (m *Machine) attachDuplicate(j *job, r order.Request, w waiter) {
	switch {
	case j.phase == phaseAccepting && r.Detached():
		j.acceptWaiters = append(j.acceptWaiters, w)
	case r.Detached() && j.acceptedRecord == writeDone:
		m.sendAccepted(j, w, true)
	case j.phase == phaseDone:
		m.answer(j, w)
	default:
		j.addWaiter(w)
		m.sendAccepted(j, w, true)
	}
}

func (m *Machine) submitNew(key logbook.Key, r order.Request, w waiter, round uint32) {
	if !m.recovery.complete && !r.Fresh() {
		// A former owner may have started it, so "not run" may be wrong.
		if m.openCount >= m.openLimit {
			m.registry.Count("till.dropped.recovering")
			return
		}
	} else if code := m.checkAdmission(r); code != order.Done {
		m.refuse(w, r, m.refusalCode(r, code))
		return
	}
	j := m.newJob(key, r, checksum(r.Payload()))
	j.mayHaveRunBefore = m.mayHaveRunBefore(r)
	j.round = round
	j.hasChecksum = true
	m.openCount++
	m.openPerTeam[key.Team]++
	m.budget.deposit()
	switch {
	case r.Detached():
		m.submitDetached(j, w)
	default:
		j.addWaiter(w)
		m.sendAccepted(j, w, false)
		m.queueOrRecover(j)
	}
	m.scheduleTimers(j)
}

// queueOrRecover queues the job. If a former owner may have started it, the job
// waits for the inventory instead.
func (m *Machine) queueOrRecover(j *job) {
	if !m.recovery.complete && !j.request.Fresh() {
		j.phase = phaseRecovering
		return
	}
	m.queueJob(j)
}

func (m *Machine) submitDetached(j *job, w waiter) {
	j.phase = phaseAccepting
	j.acceptWaiters = append(j.acceptWaiters, w)
	err := m.record(j, logbook.Accepted)
	if err == nil {
		j.acceptedRecord = writePending
		return
	}
	code := order.JournalUnavailable
	if errors.Is(err, logbook.ErrRecordTooLarge) {
		code = order.BodyTooLarge
	}
	m.finish(j, order.Outcome{}.WithCode(code))
	m.removeJob(j)
}

// checkAdmission returns the code that the request is refused with, or Done if
// it is admitted.
func (m *Machine) checkAdmission(r order.Request) order.Code {
	switch {
	case r.Kind() < order.Batch || r.Kind() > order.Gang:
		return order.UnknownKind
	case r.ID() == "" || r.Team() == "" || r.Tasks() > maxTasks:
		return order.Malformed
	case m.past(r.Deadline()):
		return order.DeadlineBeforeRun
	case m.openCount >= m.openLimit || m.openPerTeam[r.Team()] >= m.teamLimit():
		return order.QueueFull
	}
	return m.view.checkFit(m.config, r)
}

// refuse sends the final answer to a submission that is not admitted.
func (m *Machine) refuse(w waiter, r order.Request, code order.Code) {
	m.registry.Count("till.refused." + code.String())
	m.send(w.gate, order.AnswerMsg{}.
		WithTeam(r.Team()).
		WithRequest(r.ID()).
		WithCode(code).
		WithText(code.Text()).
		WithFinal(true).
		WithSequence(w.sequence))
}

func (m *Machine) sendAccepted(j *job, w waiter, duplicate bool) {
	m.send(w.gate, order.AcceptedMsg{}.
		WithTeam(j.key.Team).
		WithRequest(j.key.Request).
		WithDuplicate(duplicate).
		WithSequence(w.sequence))
}

// acceptRecorded reports a detached request as accepted and queues it, once its
// record is in the journal.
func (m *Machine) acceptRecorded(j *job) {
	j.acceptedRecord = writeDone
	if j.phase != phaseAccepting {
		return
	}
	switch {
	case j.cancelled:
		m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
		return
	case m.past(j.request.Deadline()):
		m.finish(j, order.Outcome{}.WithCode(order.DeadlineBeforeRun))
		return
	}
	for _, w := range j.acceptWaiters {
		m.sendAccepted(j, w, false)
	}
	j.acceptWaiters = nil
	m.queueOrRecover(j)
}

// checkAcceptTimeout refuses a detached request whose record was not written in
// time. It keeps waiting if the record may be in the store, because a successor
// would find it there and run the request.
func (m *Machine) checkAcceptTimeout(j *job) {
	late := m.past(j.request.Deadline()) || m.past(j.received.Add(acceptTimeout))
	if !late || !m.cancelRecord(j) {
		return
	}
	j.acceptedRecord = writeNone
	m.finish(j, order.Outcome{}.WithCode(order.JournalUnavailable))
}

func (m *Machine) newJob(key logbook.Key, r order.Request, sum uint64) *job {
	j := &job{
		key:      key,
		request:  r,
		checksum: sum,
		received: m.now,
		class:    classOf(r),
	}
	m.addTasks(j, taskCount(r))
	m.jobs[key] = j
	return j
}

func (m *Machine) addTasks(j *job, n int) {
	for i := len(j.tasks); i < n; i++ {
		j.tasks = append(j.tasks, &task{
			job:   j,
			id:    order.NewTaskID(j.key.Team, j.key.Request, i),
			index: i,
			state: taskWaiting,
		})
	}
}

// taskCount returns the number of tasks of the request. Only gangs and services
// have more than one.
func taskCount(r order.Request) int {
	if r.Kind() == order.Gang || r.Kind() == order.Service {
		return max(r.Tasks(), 1)
	}
	return 1
}

// queueJob queues the tasks of the job that have no attempt, or stops the job
// if it was cancelled or its deadline has passed.
func (m *Machine) queueJob(j *job) {
	j.phase = phaseOpen
	if j.cancelled || j.expired {
		m.stopTasks(j)
		m.finishIfEnded(j)
		return
	}
	if j.isGang() {
		m.queueGang(j)
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting && t.retryAt.IsZero() {
			m.enqueue(t)
		}
	}
}

// enqueue adds the task to the backlog. It bids when its team has a free bid.
func (m *Machine) enqueue(t *task) {
	t.state = taskWaiting
	m.backlog.push(t)
}

// removeJob removes the job from the table and its outcome from the cache.
func (m *Machine) removeJob(j *job) {
	m.outcomes.remove(j)
	if m.jobs[j.key] == j {
		delete(m.jobs, j.key)
	}
}
