package till

import (
	"container/heap"
	"time"
)

type (
	alarm struct {
		at  time.Time
		job *job
	}

	alarms []alarm
)

// Len implements heap.Interface.
func (a alarms) Len() int { return len(a) }

// Less implements heap.Interface.
func (a alarms) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

// Swap implements heap.Interface.
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = alarm{}
	*a = (*a)[:last]
	return x
}

// minDelay bounds how often one job is looked at.
const minDelay = 5 * time.Millisecond

// wakeAt makes sure that the job is looked at no later than at the time.
func (m *Machine) wakeAt(j *job, at time.Time) {
	if at.IsZero() {
		return
	}
	if soonest := m.now.Add(minDelay); at.Before(soonest) {
		at = soonest
	}
	if !j.wakeAt.IsZero() && !at.Before(j.wakeAt) {
		return
	}
	j.wakeAt = at
	heap.Push(&m.alarms, alarm{at: at, job: j})
}

// fire looks at all jobs whose time has come. An entry whose time is no longer
// that of its job was replaced by an earlier one.
func (m *Machine) fire() {
	for len(m.alarms) > 0 && !m.alarms[0].at.After(m.now) {
		due := heap.Pop(&m.alarms).(alarm)
		j := due.job
		if !j.wakeAt.Equal(due.at) {
			continue
		}
		j.wakeAt = time.Time{}
		m.wake(j)
		m.settle(j)
	}
}

// settle schedules the next look at the job.
func (m *Machine) settle(j *job) {
	if m.jobs[j.key] != j {
		return
	}
	if j.phase == phaseDone {
		m.wakeAt(j, j.finished.Add(m.retentionOf(j)))
	}
	if !j.final() {
		if !j.expired && j.phase != phaseRecovering {
			m.wakeAt(j, j.request.Deadline())
		}
		m.wakeAt(j, j.gang.askedUntil)
	}
	if j.phase == phaseAccepting {
		m.wakeAt(j, j.received.Add(acceptWait))
	}
	for _, t := range j.tasks {
		m.wakeAt(j, t.due())
	}
}

// due returns when the task needs attention by itself.
func (t *task) due() time.Time {
	switch t.state {
	case taskWaiting:
		return t.retryAt
	case taskBidding:
		return t.checkAt
	case taskHeld:
		return t.until
	case taskConfirmed, taskRunning:
		if !t.silentAt.IsZero() && t.silentAt.Before(t.resendAt) {
			return t.silentAt
		}
		return t.resendAt
	}
	return time.Time{}
}

// wake does what has become due for one job.
func (m *Machine) wake(j *job) {
	switch {
	case j.phase == phaseDone && m.expired(j):
		m.forget(j)
		return
	case j.phase == phaseAccepting:
		m.wakeAccepting(j)
		return
	case !j.final() && !j.expired && m.past(j.request.Deadline()):
		m.passDeadline(j)
	}
	if j.phase == phaseRecovering {
		return
	}
	if j.isGang() && j.phase == phaseOpen {
		m.wakeGang(j)
	}
	for _, t := range j.tasks {
		m.wakeTask(t)
	}
}

func (m *Machine) past(at time.Time) bool { return !at.IsZero() && !m.now.Before(at) }

func (m *Machine) wakeTask(t *task) {
	switch t.state {
	case taskWaiting:
		if t.job.phase == phaseOpen && m.past(t.retryAt) && m.mayRetry(t) {
			m.enqueue(t)
		}
	case taskBidding:
		if m.past(t.checkAt) {
			m.renewBids(t)
		}
	case taskHeld:
		if !t.job.isGang() && m.past(t.until) {
			m.dropOffer(t)
		}
	case taskConfirmed, taskRunning:
		m.wakeAttempt(t)
	}
}
