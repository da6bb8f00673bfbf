package till

import (
	"errors"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// acceptWait bounds how long a detached request without a deadline waits for
// the journal.
const acceptWait = 30 * time.Second

// maxTasks bounds the tasks of one request.
const maxTasks = 4096

// submit takes a request. A duplicate attaches to the outcome of the first
// submission.
func (m *Machine) submit(from order.MemberID, msg order.SubmitMsg) {
	r := msg.Request()
	key := logbook.Key{Team: r.Team(), Request: r.ID()}
	w := waiter{gate: from, sequence: msg.Sequence()}
	j := m.jobs[key]
	if j == nil {
		m.submitNew(key, r, w, 0)
		return
	}
	sum := checksum(r.Payload())
	if j.verified && j.checksum != sum {
		m.refuse(w, r, order.IDReused)
		return
	}
	if j.phase == phaseDone && j.repeats() {
		// The answer allowed the caller to send the request again.
		m.forget(j)
		m.submitNew(key, r, w, j.round+1)
		return
	}
	m.registry.Count("till.duplicate")
	if !j.verified {
		m.verify(j, r, sum)
	}
	m.attach(j, r, w)
	m.settle(j)
}

// repeats reports whether the answer allowed the caller to send the request
// again, and the new submission is to be queued.
func (j *job) repeats() bool {
	for _, t := range j.tasks {
		if t.open() {
			return false
		}
	}
	code := j.outcome.Code()
	return code.Run() == order.RunNo || j.doubtful && code == order.OutcomeUnknown
}

// doubtful reports whether a former owner may have run the request without a
// trace: starts of idempotent work are not journaled, and its outcome may have
// been acknowledged to the group. A former owner's outcomes matter as long as
// it would have kept them.
func (m *Machine) doubtful(r order.Request) bool {
	return !r.Fresh() && repeatable(r) && m.now.Sub(m.recovery.began) < attachedRetention
}

// truthful returns the code of a refusal, which must not say "not run" of a
// request that may have run.
func (m *Machine) truthful(r order.Request, code order.Code) order.Code {
	if m.doubtful(r) && code >= order.QueueFull && code.Run() == order.RunNo {
		return order.OutcomeUnknown
	}
	return code
}

// attach joins a duplicate to the job.
func (m *Machine) attach(j *job, r order.Request, w waiter) {
	switch {
	case j.phase == phaseAccepting && r.Detached():
		j.acceptors = append(j.acceptors, w)
	case r.Detached() && j.accepted == writeDone:
		m.accept(j, w, true)
	case j.phase == phaseDone:
		m.answer(j, w)
	default:
		j.addWaiter(w)
		m.accept(j, w, true)
	}
}

func (m *Machine) submitNew(key logbook.Key, r order.Request, w waiter, round uint32) {
	if !m.recovery.complete && !r.Fresh() {
		// A former owner may have started it, so no refusal would be true.
		if m.open >= m.limit {
			m.registry.Count("till.dropped.recovering")
			return
		}
	} else if code := m.refusal(r); code != order.Done {
		m.refuse(w, r, m.truthful(r, code))
		return
	}
	j := m.newJob(key, r, checksum(r.Payload()))
	j.doubtful = m.doubtful(r)
	j.round = round
	j.verified = true
	m.open++
	m.perTeam[key.Team]++
	m.budget.earn()
	switch {
	case r.Detached():
		m.submitDetached(j, w)
	default:
		j.addWaiter(w)
		m.accept(j, w, false)
		m.beginJob(j)
	}
	m.settle(j)
}

// beginJob queues a job, or lets it wait for the inventory if another owner may
// have started it.
func (m *Machine) beginJob(j *job) {
	if !m.recovery.complete && !j.request.Fresh() {
		j.phase = phaseRecovering
		return
	}
	m.openJob(j)
}

func (m *Machine) submitDetached(j *job, w waiter) {
	j.phase = phaseAccepting
	j.acceptors = append(j.acceptors, w)
	err := m.record(j, logbook.Accepted)
	if err == nil {
		j.accepted = writePending
		return
	}
	code := order.JournalUnavailable
	if errors.Is(err, logbook.ErrRecordTooLarge) {
		code = order.BodyTooLarge
	}
	m.finish(j, order.Outcome{}.WithCode(code))
	m.forget(j)
}

// refusal returns why the request is not taken, or Done.
func (m *Machine) refusal(r order.Request) order.Code {
	switch {
	case r.Kind() < order.Batch || r.Kind() > order.Gang:
		return order.UnknownKind
	case r.ID() == "" || r.Team() == "" || r.Tasks() > maxTasks:
		return order.Malformed
	case m.past(r.Deadline()):
		return order.DeadlineBeforeRun
	case m.open >= m.limit || m.perTeam[r.Team()] >= m.teamBound():
		return order.QueueFull
	}
	return m.view.refusal(m.config, r)
}

// refuse answers a submission that is not taken.
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

func (m *Machine) accept(j *job, w waiter, duplicate bool) {
	m.send(w.gate, order.AcceptedMsg{}.
		WithTeam(j.key.Team).
		WithRequest(j.key.Request).
		WithDuplicate(duplicate).
		WithSequence(w.sequence))
}

// acceptRecorded continues once the journal holds a detached request.
func (m *Machine) acceptRecorded(j *job) {
	j.accepted = writeDone
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
	for _, w := range j.acceptors {
		m.accept(j, w, false)
	}
	j.acceptors = nil
	m.beginJob(j)
}

// wakeAccepting refuses a request that the journal could not take in time. A
// record that may be in the store is waited for, because a successor would run
// it.
func (m *Machine) wakeAccepting(j *job) {
	late := m.past(j.request.Deadline()) || m.past(j.received.Add(acceptWait))
	if !late || !m.cancelRecord(j) {
		return
	}
	j.accepted = writeNone
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

func taskCount(r order.Request) int {
	if r.Kind() == order.Gang || r.Kind() == order.Service {
		return max(r.Tasks(), 1)
	}
	return 1
}

// openJob queues all tasks of the job that are not placed yet.
func (m *Machine) openJob(j *job) {
	j.phase = phaseOpen
	if j.cancelled || j.expired {
		m.stopTasks(j)
		m.concludeJob(j)
		return
	}
	if j.isGang() {
		m.openGang(j)
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting && t.retryAt.IsZero() {
			m.enqueue(t)
		}
	}
}

// enqueue lets the task wait for its turn to bid.
func (m *Machine) enqueue(t *task) {
	t.state = taskWaiting
	m.backlog.push(t)
}

// forget removes a job from the table.
func (m *Machine) forget(j *job) {
	m.kept.drop(j)
	if m.jobs[j.key] == j {
		delete(m.jobs, j.key)
	}
}
