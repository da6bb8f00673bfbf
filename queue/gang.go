package queue

import (
	"sort"
	"time"

	"chervilhollow/order"
)

type (
	// gang is the state of a request whose tasks start together or not at all.
	// It requests holds from one group after the other, in ascending order of
	// their IDs.
	gang struct {
		holding   bool
		attempt   order.Attempt
		plan      []order.GroupID
		next      int
		holdGroup order.GroupID
		// holdTasks are the tasks requested from holdGroup.
		holdTasks    []*task
		holdDeadline time.Time
		backoffs     int
		// stopping is set while the other members are stopped because one
		// failed.
		stopping bool
		// failedMember is the member whose end stopped the others.
		failedMember *task
	}
)

const (
	// holdTimeout is how long a group may take to reply to a hold request.
	holdTimeout = 300 * time.Millisecond
	// gangBackoff is the upper bound of the first delay after a failed try. It
	// doubles up to gangMaxBackoff.
	gangBackoff    = 50 * time.Millisecond
	gangMaxBackoff = 5 * time.Second
	// gangCapacityFactor is the free capacity to look for, as a multiple of the
	// gang's size.
	gangCapacityFactor = 2
)

// queueGang queues a gang, or waits for its end if all members run already.
func (m *Machine) queueGang(j *job) {
	waiting, open := 0, 0
	for _, t := range j.tasks {
		switch {
		case t.state == taskWaiting:
			waiting++
		case t.open():
			open++
		}
	}
	switch {
	case waiting == 0:
	case open == 0 && waiting == len(j.tasks):
		m.enqueue(j.tasks[0])
	default:
		// After a change of owner only some members run.
		m.stopGang(j)
	}
}

// startGang chooses groups and requests a hold from the first one.
func (m *Machine) startGang(j *job) {
	m.endHolding(j)
	j.gang.holding = true
	m.holdingGangs[j.key] = j
	j.gang.attempt = m.nextAttempt()
	j.gang.plan = m.planGang(j)
	j.gang.next = 0
	for _, t := range j.tasks {
		t.state = taskWaiting
		t.retryAt = time.Time{}
		t.attempt = j.gang.attempt
	}
	m.requestNextHold(j)
}

// planGang chooses groups with free slots for gangCapacityFactor times the
// members, and returns them in ascending order. All gangs request holds in this
// order, which prevents deadlocks between gangs that wait for each other's
// slots.
func (m *Machine) planGang(j *job) []order.GroupID {
	capacity := 0
	var plan []order.GroupID
	for _, g := range m.chooseGroups(j.tasks[0], len(m.view.list)) {
		n := m.memberCapacity(j, g)
		if n == 0 {
			continue
		}
		plan = append(plan, g.digest.Group())
		capacity += n
		if capacity >= gangCapacityFactor*len(j.tasks) {
			break
		}
	}
	sort.Slice(plan, func(a, b int) bool { return plan[a] < plan[b] })
	return plan
}

// memberCapacity returns how many tasks of the gang fit into the group.
func (m *Machine) memberCapacity(j *job, g *groupView) int {
	d := g.digest
	n := min(d.FreeSlots(), d.Allotted()[j.key.Team]-d.Running()[j.key.Team])
	size := j.request.Size()
	if size.Cores() > 0 {
		n = min(n, int(d.Free().Cores()/size.Cores()))
	}
	if size.Memory() > 0 {
		n = min(n, int(d.Free().Memory()/size.Memory()))
	}
	if size.Accelerators() > 0 {
		n = min(n, d.Free().Accelerators()/size.Accelerators())
	}
	return max(n, 0)
}

// requestNextHold requests a hold from the next group of the plan for the tasks
// that have none. It confirms the gang if all tasks have one, and backs off
// after the last group.
func (m *Machine) requestNextHold(j *job) {
	j.gang.holdGroup, j.gang.holdTasks, j.gang.holdDeadline = "", nil, time.Time{}
	var missing []*task
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			missing = append(missing, t)
		}
	}
	switch {
	case len(missing) == 0:
		m.confirmHeld(j)
		return
	case j.gang.next >= len(j.gang.plan):
		m.backOffGang(j)
		return
	}
	group := j.gang.plan[j.gang.next]
	j.gang.next++
	if g, ok := m.view.groups[group]; ok && j.gang.next < len(j.gang.plan) {
		missing = missing[:min(len(missing), max(m.memberCapacity(j, g), 1))]
	}
	j.gang.holdGroup = group
	j.gang.holdTasks = missing
	j.gang.holdDeadline = m.now.Add(holdTimeout)
	m.sendHold(j, group, missing)
}

func (m *Machine) sendHold(j *job, group order.GroupID, tasks []*task) {
	messages := make([]order.Task, 0, len(tasks))
	for _, t := range tasks {
		messages = append(messages, t.groupMessage(m.partition))
	}
	m.post(group, order.HoldMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithRequest(j.key.Request).
		WithTasks(messages).
		WithAttempt(j.gang.attempt))
}

// handleHeld processes the reply of holdGroup, and requests further holds.
func (m *Machine) handleHeld(msg order.HoldReplyMsg) {
	j := m.heldJob(msg)
	if j == nil || !j.gang.holding || j.gang.attempt != msg.Attempt() || j.gang.holdGroup != msg.Group() {
		m.declineHeld(msg)
		return
	}
	hold := msg.Hold()
	if hold <= 0 {
		hold = defaultHold
	}
	for _, id := range msg.Tasks() {
		t := m.task(id)
		if t == nil || t.job != j || t.state != taskWaiting {
			m.decline(msg.Group(), id, msg.Attempt())
			continue
		}
		t.state = taskHeld
		t.group = msg.Group()
		t.groupEpoch = m.view.epoch(t.group)
		t.holdUntil = m.now.Add(hold - offerMargin)
	}
	m.requestNextHold(j)
	m.scheduleTimers(j)
}

// heldJob returns the job of a hold. The message names no team, so the job is
// found by its tasks. A reply without tasks is matched by request ID and
// attempt.
func (m *Machine) heldJob(msg order.HoldReplyMsg) *job {
	if len(msg.Tasks()) > 0 {
		if t := m.task(msg.Tasks()[0]); t != nil {
			return t.job
		}
		return nil
	}
	for _, j := range m.holdingGangs {
		if j.key.Request == msg.Request() && j.gang.attempt == msg.Attempt() {
			return j
		}
	}
	return nil
}

// declineHeld declines holds that are no longer needed, except those of members
// that are held or confirmed.
func (m *Machine) declineHeld(msg order.HoldReplyMsg) {
	for _, id := range msg.Tasks() {
		t := m.task(id)
		if t != nil && t.attempt == msg.Attempt() && t.group == msg.Group() && (t.open() || t.state == taskHeld) {
			continue
		}
		m.decline(msg.Group(), id, msg.Attempt())
	}
}

// confirmGang confirms all members at once, or backs off if a hold is missing
// or has expired.
func (m *Machine) confirmGang(j *job) {
	if !j.gang.holding {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskHeld || m.past(t.holdUntil) {
			m.backOffGang(j)
			return
		}
	}
	m.endHolding(j)
	m.backlog.releaseBid(j.tasks[0])
	for _, t := range j.tasks {
		m.confirm(t)
	}
}

// handleGangTimer backs off if a hold has expired, and skips a group that does
// not reply in time.
func (m *Machine) handleGangTimer(j *job) {
	if !j.gang.holding {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskHeld && m.past(t.holdUntil) {
			m.backOffGang(j)
			return
		}
	}
	if j.gang.holdGroup == "" || !m.past(j.gang.holdDeadline) {
		return
	}
	m.registry.Count("till.hold_unanswered")
	m.declineRequested(j)
	m.requestNextHold(j)
}

func (m *Machine) declineRequested(j *job) {
	for _, t := range j.gang.holdTasks {
		if t.state == taskWaiting {
			m.decline(j.gang.holdGroup, t.id, j.gang.attempt)
		}
	}
}

// backOffGang declines all holds and retries after a random delay, so that two
// gangs that compete for the same slots don't collide again.
func (m *Machine) backOffGang(j *job) {
	m.registry.Count("till.gang_declined")
	m.releaseHolds(j)
	for _, t := range j.tasks {
		t.state = taskWaiting
		t.retryAt = time.Time{}
	}
	wait := min(gangBackoff<<min(j.gang.backoffs, 8), gangMaxBackoff)
	j.gang.backoffs++
	j.tasks[0].retryAt = m.now.Add(time.Duration(m.rand.Int64N(int64(wait))) + minDelay)
}

// releaseHolds declines all holds that the gang has or has requested.
func (m *Machine) releaseHolds(j *job) {
	if !j.gang.holding {
		return
	}
	if j.gang.holdGroup != "" {
		m.declineRequested(j)
	}
	for _, t := range j.tasks {
		if t.state == taskHeld {
			m.decline(t.group, t.id, t.attempt)
			t.state = taskWaiting
		}
	}
	m.endHolding(j)
	m.backlog.releaseBid(j.tasks[0])
}

func (m *Machine) endHolding(j *job) {
	j.gang.holding = false
	j.gang.holdGroup, j.gang.holdTasks, j.gang.holdDeadline = "", nil, time.Time{}
	delete(m.holdingGangs, j.key)
}

// stopGang stops all members, because one of them failed or is missing.
func (m *Machine) stopGang(j *job) {
	j.gang.stopping = true
	m.stopTasks(j)
	m.finishStoppedGang(j)
}

// handleMemberEnd processes the end of a member. Unless it completed, the
// others are stopped.
func (m *Machine) handleMemberEnd(t *task, notStarted bool, a ack) {
	j := t.job
	j.acks = append(j.acks, a)
	if t.outcome.Code() == order.Done && !notStarted && !j.gang.stopping {
		m.finishIfEnded(j)
		return
	}
	if j.gang.stopping {
		m.finishStoppedGang(j)
		return
	}
	m.registry.Count("till.gang_member_failed")
	j.gang.failedMember = t
	m.stopGang(j)
}

// finishStoppedGang retries or finishes a gang once none of its members runs.
func (m *Machine) finishStoppedGang(j *job) {
	for _, t := range j.tasks {
		if t.open() {
			return
		}
	}
	j.gang.stopping = false
	first := j.tasks[0]
	if m.gangRetryable(j) {
		if wait, ok := m.planRetry(first, !j.mayHaveRun()); ok {
			m.sendAcks(j)
			for _, t := range j.tasks {
				t.state = taskWaiting
				t.outcome = order.Outcome{}
				t.retryAt = time.Time{}
			}
			first.retryAt = m.now.Add(wait)
			j.gang.failedMember = nil
			return
		}
	}
	for _, t := range j.tasks {
		t.state = taskEnded
	}
	m.finishGang(j)
}

// finishGang finishes a gang with the outcome of the member that failed first.
func (m *Machine) finishGang(j *job) {
	failed := j.gang.failedMember
	if failed == nil {
		m.finishIfEnded(j)
		return
	}
	code := j.finalCode(failed, failed.notStarted)
	if code.RunStatus() == order.RunNo && j.mayHaveRun() {
		code = j.earlierAttemptCode()
	}
	m.finish(j, failed.outcome.WithCode(code))
}

// gangRetryable reports whether the gang may be placed again.
func (m *Machine) gangRetryable(j *job) bool {
	if j.cancelled || j.expired {
		return false
	}
	if !j.mayHaveRun() {
		return true
	}
	return j.restartable() && j.tasks[0].retries < maxLostRetries
}
