package berth

import (
	"errors"
	"fmt"
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

const (
	// A start whose answer stays open is repeated so often; then the lease and
	// the worker's list decide.
	maxSends = 5

	// An offer that was not answered so often is given up; the partition bids
	// again if it still wants room.
	maxOffers = 4
)

var (
	// ErrGuard reports that the ownership of the group may end too soon.
	ErrGuard = errors.New("the remaining ownership is too short")

	// ErrDomainClosed reports that operators took the failure domain out.
	ErrDomainClosed = errors.New("the failure domain is closed")

	// ErrLeaving reports that the worker leaves.
	ErrLeaving = errors.New("the worker is leaving")

	// ErrNotPermitted reports that the process may not start work now.
	ErrNotPermitted = errors.New("the process may not start work now")
)

// mayWrite is asked directly before each start is written. It reads the guard
// last, because that one runs out by itself.
func mayWrite(d Deps, group order.GroupID, worker order.WorkerID) error {
	switch {
	case !d.current().DomainOpen(group.Domain()):
		return ErrDomainClosed
	case d.isLeaving(worker):
		return ErrLeaving
	case !d.permit():
		return ErrNotPermitted
	}
	return mayRenew(d)
}

func mayRenew(d Deps) error {
	if remaining := d.guard.Remaining(); remaining <= writeThreshold {
		return fmt.Errorf("%w: %s", ErrGuard, remaining)
	}
	return nil
}

func (m *machine) onConfirm(now time.Time, ref crane.Ref) {
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok || e.attempt < ref.Attempt():
		m.answerUnknown(now, ref, order.QueueFull, "the offer is over")
	case e.attempt > ref.Attempt():
		m.deps.registry.Count("berth.stale_confirm")
	case e.state == order.TaskHeld:
		m.startHeld(now, e)
	default:
		m.repeat(now, e)
	}
}

func (m *machine) startHeld(now time.Time, e *entry) {
	team := e.task.Team()
	if m.live[team]+m.unknownTasks() >= m.allowed(team) {
		m.fail(now, e, order.QueueFull, "the team's allotment is used up")
		return
	}
	if !m.mayAct() {
		m.fail(now, e, order.NoOwner, "the group may not start work now")
		return
	}
	if (e.host.crowded() || !m.usable(now, e.host, e.task.ID())) && !m.move(now, e) {
		m.fail(now, e, order.QueueFull, "the worker is not usable")
		return
	}
	m.start(now, e)
}

// Moves held room to another worker.
func (m *machine) move(now time.Time, e *entry) bool {
	m.release(e)
	h := m.choose(now, e.task, e.reserved, e.host)
	if h == nil {
		m.enter(e, e.host)
		return false
	}
	m.reserve(e, h)
	return true
}

func (m *machine) start(now time.Time, e *entry) {
	m.count(e, -1)
	e.state = order.TaskStarting
	m.count(e, 1)
	m.send(now, e)
}

// Sends the start of an entry whose room and allotment are counted.
func (m *machine) send(now time.Time, e *entry) {
	h := e.host
	e.leaseBase = h.stampAt
	e.startStamp = h.stamp
	e.inFlight++
	e.sends++
	m.checkStart(e)
	start := crane.NewStart(e.task, e.attempt, m.epoch, taskLease, h.stamp).
		WithReserved(e.reserved.resources())
	m.emit(startCommand{worker: h.id(), start: start})
	m.deps.registry.Observe("berth.wait", now.Sub(e.queued))
}

// Asserts the guarantees that a start could break. A repeated start of the
// same attempt adds nothing to what was checked before.
func (m *machine) checkStart(e *entry) {
	r, team, h := m.deps.registry, e.task.Team(), e.host
	r.Invariant(e.uncertain || !h.crowded(), "G1",
		"start of %s on %s above its room", e.task.ID(), h.id())
	r.Invariant(m.deps.guard.Remaining() > 0, "G2", "start of %s with an expired guard", e.task.ID())
	r.Invariant(e.uncertain || m.live[team] <= m.allowed(team), "G4",
		"start of %s: %d running of %d allotted", e.task.ID(), m.live[team], m.allowed(team))
	r.Invariant(m.deps.current().DomainOpen(m.group.Domain()), "G5",
		"start of %s in a closed failure domain", e.task.ID())
	r.Invariant(!h.worker.Leaving(), "G9", "start of %s on leaving worker %s", e.task.ID(), h.id())
}

func (m *machine) onStart(now time.Time, r startResult) {
	e, ok := m.entries[r.ref.Task()]
	if !ok || e.attempt != r.ref.Attempt() || e.host == nil || e.host.id() != r.worker {
		m.deps.registry.Count("berth.unmatched_start")
		return
	}
	e.inFlight--
	if e.state != order.TaskStarting {
		return
	}
	var refused *crane.RefusedError
	switch {
	case r.err == nil:
		m.sameRun(now, e.host, r.stamp)
		m.confirm(now, e, r.stamp)
	case errors.As(r.err, &refused):
		m.noteRefusal(r.err)
		m.refusedStart(now, e, refused.Reason())
	case errors.Is(r.err, crane.ErrNotSent):
		m.unsentStart(now, e, r.err)
	default:
		e.uncertain = true
		e.retryAt = now.Add(startRetry)
		m.relist(now, e.host)
	}
}

// A refusal proves that the task was not started only if no earlier message
// of the same start may have arrived.
func (m *machine) refusedStart(now time.Time, e *entry, reason string) {
	m.deps.registry.Count("berth.start_refused." + reason)
	if reason == crane.ReasonFailing {
		m.noteFailure(now, e, 0)
	}
	if reason != crane.ReasonFailing {
		m.relist(now, e.host)
	}
	switch {
	case reason == crane.ReasonForgotten:
		// The attempt has run here and its outcome was acknowledged.
		m.lost(now, e)
		return
	case e.uncertain:
		e.retryAt = now.Add(startRetry)
		return
	case reason == crane.ReasonOther:
		// Another attempt may run here, so this one is not moved elsewhere.
		m.fail(now, e, order.QueueFull, "another attempt of the task is on the worker")
		return
	}
	m.restart(now, e, "the worker refused the start: "+reason)
}

func (m *machine) unsentStart(now time.Time, e *entry, err error) {
	m.deps.registry.Count("berth.start_unsent")
	if !errors.Is(err, ErrGuard) && !errors.Is(err, ErrDomainClosed) && !errors.Is(err, ErrNotPermitted) {
		m.silent(now, e.host)
	}
	if e.uncertain {
		e.retryAt = now.Add(startRetry)
		return
	}
	m.restart(now, e, err.Error())
}

// Starts a task that certainly did not start on another worker, or reports
// that it did not start.
func (m *machine) restart(now time.Time, e *entry, text string) {
	e.host.cooldown.released(e.task.ID())
	old := e.host
	m.leave(e)
	delete(m.entries, e.task.ID())
	e.state = order.TaskHeld
	h := m.choose(now, e.task, e.reserved, old)
	team := e.task.Team()
	if h == nil || e.stopping || !m.mayAct() || m.live[team]+m.unknownTasks() >= m.allowed(team) {
		m.enter(e, old)
		m.fail(now, e, order.QueueFull, text)
		return
	}
	m.reserve(e, h)
	m.start(now, e)
}

func (m *machine) confirm(now time.Time, e *entry, stamp crane.Stamp) {
	if stamp.Incarnation() != e.seenStamp.Incarnation() || stamp.After(e.seenStamp) {
		e.seenStamp = stamp
	}
	if e.state == order.TaskRunning {
		return
	}
	e.state = order.TaskRunning
	e.confirmed = true
	e.startedAt = now
	m.post(requestPartitionOf(e.task), m.startedMsg(e))
	if e.stopping {
		m.sendStop(now, e)
	}
}

func (m *machine) startedMsg(e *entry) order.StartedMsg {
	return order.StartedMsg{}.
		WithPartition(requestPartitionOf(e.task)).
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithGroup(m.group).
		WithWorker(e.host.id())
}

func (m *machine) onStop(now time.Time, ref crane.Ref) {
	if b, ok := m.bids.byTask[ref.Task()]; ok && b.attempt <= ref.Attempt() {
		m.bids.remove(ref.Task())
	}
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok || e.attempt < ref.Attempt():
		m.answerUnknown(now, ref, order.CancelledBeforeRun, "the task was not started")
	case e.attempt > ref.Attempt():
	case e.state == order.TaskHeld:
		m.fail(now, e, order.CancelledBeforeRun, "cancelled before the start")
	case e.state == order.TaskEnded:
		m.postEnded(now, e)
	default:
		e.stopping, e.checkpoint = true, false
		m.sendStop(now, e)
	}
}

func (m *machine) sendStop(now time.Time, e *entry) {
	e.stopAt = now.Add(stopRetry)
	if e.state == order.TaskRunning {
		m.stop(e.host.id(), e.ref(), e.checkpoint)
	}
}

func (m *machine) tickEntries(now time.Time) {
	for _, e := range m.inOrder(m.entries) {
		switch e.state {
		case order.TaskHeld:
			if !now.Before(e.heldUntil) {
				m.expire(now, e)
			}
		case order.TaskStarting:
			m.tickStarting(now, e)
		case order.TaskRunning:
			m.tickRunning(now, e)
		case order.TaskEnded:
			if !now.Before(e.repostAt) {
				m.postEnded(now, e)
			}
		}
	}
}

// An offer without an answer becomes a waiting bid again, a few times.
func (m *machine) expire(now time.Time, e *entry) {
	m.release(e)
	m.deps.registry.Count("berth.offer_expired")
	if e.offers == 0 || e.offers >= maxOffers {
		m.settled[e.ref()] = settled{until: now.Add(settledPeriod), notStarted: true, expired: true, epoch: m.epoch}
		return
	}
	m.bids.add(&bid{task: e.task, attempt: e.attempt, queued: e.queued, offers: e.offers})
}

func (m *machine) tickStarting(now time.Time, e *entry) {
	if !e.uncertain || e.inFlight > 0 {
		return
	}
	// The task list of a worker that answers settles the start exactly; only
	// a worker that stays silent leaves it open.
	if !now.Before(e.leaseEnd()) && (e.host.state != hostReady || !now.Before(e.leaseEnd().Add(listPatience))) {
		m.lost(now, e)
		return
	}
	// A worker that restarted may have run the task before; a repeated start
	// would run it again.
	if e.host.stamp.Incarnation() != e.startStamp.Incarnation() {
		m.lost(now, e)
		return
	}
	if e.sends >= maxSends || now.Before(e.retryAt) || now.After(e.leaseBase.Add(stampLife)) || e.stopping {
		return
	}
	if m.usable(now, e.host, e.task.ID()) && m.mayAct() {
		e.retryAt = now.Add(startRetry)
		m.send(now, e)
	}
}

func (m *machine) tickRunning(now time.Time, e *entry) {
	if !now.Before(e.leaseEnd()) {
		m.lost(now, e)
		return
	}
	if e.stopping && !now.Before(e.stopAt) {
		m.sendStop(now, e)
	}
}
