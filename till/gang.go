package till

import (
	"sort"
	"time"

	"chervilhollow/order"
)

type (
	// gang is the state of a request whose tasks all start or none. It asks one
	// group after the other, in ascending order, to hold room.
	gang struct {
		holding bool
		attempt order.Attempt
		plan    []order.GroupID
		next    int
		asked   order.GroupID
		// askedTasks are the tasks that the asked group was to hold.
		askedTasks []*task
		askedUntil time.Time
		failures   int
		// stopping tells that a member failed and the others are being
		// stopped.
		stopping bool
		// cause is the member whose end stopped the others.
		cause *task
	}
)

const (
	holdWait     = 300 * time.Millisecond
	gangBackoff  = 50 * time.Millisecond
	gangMaxWait  = 5 * time.Second
	gangOversize = 2
)

// openGang queues a gang, or waits if members run already.
func (m *Machine) openGang(j *job) {
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
		// Some members run without the others after a change of owner.
		m.stopGang(j)
	}
}

// startGang makes a plan and asks its first group.
func (m *Machine) startGang(j *job) {
	m.endHolding(j)
	j.gang.holding = true
	m.holding[j.key] = j
	j.gang.attempt = m.nextAttempt()
	j.gang.plan = m.planGang(j)
	j.gang.next = 0
	for _, t := range j.tasks {
		t.state = taskWaiting
		t.retryAt = time.Time{}
		t.attempt = j.gang.attempt
	}
	m.askNext(j)
}

// planGang chooses groups with room for somewhat more than the gang, and
// returns them in ascending order. All gangs ask in this order, so that two of
// them do not wait for each other in a circle.
func (m *Machine) planGang(j *job) []order.GroupID {
	room := 0
	var plan []order.GroupID
	for _, g := range m.choose(j.tasks[0], len(m.view.list)) {
		n := m.estimate(j, g)
		if n == 0 {
			continue
		}
		plan = append(plan, g.digest.Group())
		room += n
		if room >= gangOversize*len(j.tasks) {
			break
		}
	}
	sort.Slice(plan, func(a, b int) bool { return plan[a] < plan[b] })
	return plan
}

// estimate returns how many tasks of the gang the group has room for.
func (m *Machine) estimate(j *job, g *groupView) int {
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

// askNext asks the next group of the plan for the tasks that have no room yet.
func (m *Machine) askNext(j *job) {
	j.gang.asked, j.gang.askedTasks, j.gang.askedUntil = "", nil, time.Time{}
	var missing []*task
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			missing = append(missing, t)
		}
	}
	switch {
	case len(missing) == 0:
		m.startHeld(j)
		return
	case j.gang.next >= len(j.gang.plan):
		m.backOffGang(j)
		return
	}
	group := j.gang.plan[j.gang.next]
	j.gang.next++
	if g, ok := m.view.groups[group]; ok && j.gang.next < len(j.gang.plan) {
		missing = missing[:min(len(missing), max(m.estimate(j, g), 1))]
	}
	j.gang.asked = group
	j.gang.askedTasks = missing
	j.gang.askedUntil = m.now.Add(holdWait)
	m.sendHold(j, group, missing)
}

func (m *Machine) sendHold(j *job, group order.GroupID, tasks []*task) {
	messages := make([]order.Task, 0, len(tasks))
	for _, t := range tasks {
		messages = append(messages, t.message(m.partition))
	}
	m.post(group, order.HoldMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithRequest(j.key.Request).
		WithTasks(messages).
		WithAttempt(j.gang.attempt))
}

// held takes the answer of the asked group.
func (m *Machine) held(msg order.HeldMsg) {
	j := m.heldJob(msg)
	if j == nil || !j.gang.holding || j.gang.attempt != msg.Attempt() || j.gang.asked != msg.Group() {
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
		t.epoch = m.view.epoch(t.group)
		t.until = m.now.Add(hold - offerMargin)
	}
	m.askNext(j)
	m.settle(j)
}

// heldJob returns the job of a hold. The message names no team, so the tasks
// tell it.
func (m *Machine) heldJob(msg order.HeldMsg) *job {
	if len(msg.Tasks()) > 0 {
		if t := m.task(msg.Tasks()[0]); t != nil {
			return t.job
		}
		return nil
	}
	for _, j := range m.holding {
		if j.key.Request == msg.Request() && j.gang.attempt == msg.Attempt() {
			return j
		}
	}
	return nil
}

// declineHeld gives room back that is not wanted any more, but for that of
// members that were confirmed.
func (m *Machine) declineHeld(msg order.HeldMsg) {
	for _, id := range msg.Tasks() {
		t := m.task(id)
		if t != nil && t.attempt == msg.Attempt() && t.group == msg.Group() && (t.open() || t.state == taskHeld) {
			continue
		}
		m.decline(msg.Group(), id, msg.Attempt())
	}
}

// confirmGang confirms all members at once, if all holds still last.
func (m *Machine) confirmGang(j *job) {
	if !j.gang.holding {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskHeld || m.past(t.until) {
			m.backOffGang(j)
			return
		}
	}
	m.endHolding(j)
	m.backlog.release(j.tasks[0])
	for _, t := range j.tasks {
		m.confirm(t)
	}
}

// wakeGang gives up on a group that does not answer, and on holds that end.
func (m *Machine) wakeGang(j *job) {
	if !j.gang.holding {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskHeld && m.past(t.until) {
			m.backOffGang(j)
			return
		}
	}
	if j.gang.asked == "" || !m.past(j.gang.askedUntil) {
		return
	}
	m.registry.Count("till.hold_unanswered")
	m.declineAsked(j)
	m.askNext(j)
}

func (m *Machine) declineAsked(j *job) {
	for _, t := range j.gang.askedTasks {
		if t.state == taskWaiting {
			m.decline(j.gang.asked, t.id, j.gang.attempt)
		}
	}
}

// backOffGang declines all holds and tries again after a random time, so that
// two gangs that need the same room do not fail together again.
func (m *Machine) backOffGang(j *job) {
	m.registry.Count("till.gang_declined")
	m.dropHolds(j)
	for _, t := range j.tasks {
		t.state = taskWaiting
		t.retryAt = time.Time{}
	}
	wait := min(gangBackoff<<min(j.gang.failures, 8), gangMaxWait)
	j.gang.failures++
	j.tasks[0].retryAt = m.now.Add(time.Duration(m.rand.Int64N(int64(wait))) + minDelay)
}

// dropHolds gives all room back that the gang holds or has asked for.
func (m *Machine) dropHolds(j *job) {
	if !j.gang.holding {
		return
	}
	if j.gang.asked != "" {
		m.declineAsked(j)
	}
	for _, t := range j.tasks {
		if t.state == taskHeld {
			m.decline(t.group, t.id, t.attempt)
			t.state = taskWaiting
		}
	}
	m.endHolding(j)
	m.backlog.release(j.tasks[0])
}

func (m *Machine) endHolding(j *job) {
	j.gang.holding = false
	j.gang.asked, j.gang.askedTasks, j.gang.askedUntil = "", nil, time.Time{}
	delete(m.holding, j.key)
}

// stopGang stops the members that run because another one does not.
func (m *Machine) stopGang(j *job) {
	j.gang.stopping = true
	m.stopTasks(j)
	m.concludeStopped(j)
}

// concludeGang decides what follows the end of a member. If it was not done the
// others are stopped.
func (m *Machine) concludeGang(t *task, notStarted bool, a ack) {
	j := t.job
	j.acks = append(j.acks, a)
	if t.outcome.Code() == order.Done && !notStarted && !j.gang.stopping {
		m.concludeJob(j)
		return
	}
	if j.gang.stopping {
		m.concludeStopped(j)
		return
	}
	m.registry.Count("till.gang_member_failed")
	j.gang.cause = t
	m.stopGang(j)
}

// concludeStopped retries a gang or finishes it, once no member runs.
func (m *Machine) concludeStopped(j *job) {
	for _, t := range j.tasks {
		if t.open() {
			return
		}
	}
	j.gang.stopping = false
	first := j.tasks[0]
	if m.gangRetryable(j) {
		if wait, ok := m.retryWait(first, !j.mayHaveRun()); ok {
			m.sendAcks(j)
			for _, t := range j.tasks {
				t.state = taskWaiting
				t.outcome = order.Outcome{}
				t.retryAt = time.Time{}
			}
			first.retryAt = m.now.Add(wait)
			j.gang.cause = nil
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
	cause := j.gang.cause
	if cause == nil {
		m.concludeJob(j)
		return
	}
	code := j.codeOf(cause, cause.unstarted)
	if code.Run() == order.RunNo && j.mayHaveRun() {
		code = j.codeOfEarlier()
	}
	m.finish(j, cause.outcome.WithCode(code))
}

func (m *Machine) gangRetryable(j *job) bool {
	if j.cancelled || j.expired {
		return false
	}
	if !j.mayHaveRun() {
		return true
	}
	return j.repeatable() && j.tasks[0].retries < maxLost
}
