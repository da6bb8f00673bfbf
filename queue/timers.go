package queue

import (
	"container/heap"
	"time"
)

type (
	// timer is when a job has to be handled.
	timer struct {
		at  time.Time
		job *job
	}

	timerHeap []timer
)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return x
}

// minDelay is the shortest delay of a timer. It bounds how often a job is
// handled.
const minDelay = 5 * time.Millisecond

// setTimer schedules a timer of the job, unless it has an earlier one. The zero
// time schedules none.
func (m *Machine) setTimer(j *job, at time.Time) {
	if at.IsZero() {
		return
	}
	if soonest := m.now.Add(minDelay); at.Before(soonest) {
		at = soonest
	}
	if !j.timerAt.IsZero() && !at.Before(j.timerAt) {
		return
	}
	j.timerAt = at
	heap.Push(&m.timers, timer{at: at, job: j})
}

// runTimers runs the timers that are due. Entries that were replaced by an
// earlier timer of the same job are skipped.
func (m *Machine) runTimers() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		due := heap.Pop(&m.timers).(timer)
		j := due.job
		if !j.timerAt.Equal(due.at) {
			continue
		}
		j.timerAt = time.Time{}
		m.handleTimer(j)
		m.scheduleTimers(j)
	}
}

// scheduleTimers schedules the next timer of the job. Call it after every
// change of the job.
func (m *Machine) scheduleTimers(j *job) {
	if m.jobs[j.key] != j {
		return
	}
	if j.phase == phaseDone {
		m.setTimer(j, j.finished.Add(m.retentionFor(j)))
	}
	if !j.final() {
		if !j.expired && j.phase != phaseRecovering {
			m.setTimer(j, j.request.Deadline())
		}
		m.setTimer(j, j.gang.holdDeadline)
	}
	if j.phase == phaseAccepting {
		m.setTimer(j, j.received.Add(acceptTimeout))
	}
	for _, t := range j.tasks {
		m.setTimer(j, t.nextTimer())
	}
}

// nextTimer returns when the task has to be handled if no message arrives, or
// the zero time.
func (t *task) nextTimer() time.Time {
	switch t.state {
	case taskWaiting:
		return t.retryAt
	case taskBidding:
		return t.renewAt
	case taskHeld:
		return t.holdUntil
	case taskConfirmed, taskRunning:
		if !t.startUnknownAt.IsZero() && t.startUnknownAt.Before(t.resendAt) {
			return t.startUnknownAt
		}
		return t.resendAt
	}
	return time.Time{}
}

// handleTimer handles all that is due for one job.
func (m *Machine) handleTimer(j *job) {
	switch {
	case j.phase == phaseDone && m.removable(j):
		m.removeJob(j)
		return
	case j.phase == phaseAccepting:
		m.checkAcceptTimeout(j)
		return
	case !j.final() && !j.expired && m.past(j.request.Deadline()):
		m.handleDeadline(j)
	}
	if j.phase == phaseRecovering {
		return
	}
	if j.isGang() && j.phase == phaseOpen {
		m.handleGangTimer(j)
	}
	for _, t := range j.tasks {
		m.handleTaskTimer(t)
	}
}

func (m *Machine) past(at time.Time) bool { return !at.IsZero() && !m.now.Before(at) }

func (m *Machine) handleTaskTimer(t *task) {
	switch t.state {
	case taskWaiting:
		if t.job.phase == phaseOpen && m.past(t.retryAt) && m.mayRetry(t) {
			m.enqueue(t)
		}
	case taskBidding:
		if m.past(t.renewAt) {
			m.renewBids(t)
		}
	case taskHeld:
		if !t.job.isGang() && m.past(t.holdUntil) {
			m.declineExpired(t)
		}
	case taskConfirmed, taskRunning:
		m.handleAttemptTimer(t)
	}
}
