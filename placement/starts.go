package placement

import (
	"errors"
	"fmt"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

const (
	// maxStartSends is how often a start without a clear answer is sent.
	// After that the outcome depends on the worker's task list and the end
	// of the lease.
	maxStartSends = 5

	// maxOffers is how often capacity is offered to a bid that does not answer.
	// The request partition bids again if it still needs capacity.
	maxOffers = 4

	// workerRestarted is the cause of an unknown outcome.
	workerRestarted = "the worker restarted before it confirmed the start"
)

var (
	// ErrGuard means that the remaining ownership of the group is too short
	// to send a start or a renewal. It is wrapped with the remaining time.
	ErrGuard = errors.New("the remaining ownership is too short")

	// ErrDomainClosed means that operators closed the failure domain, so
	// that no task may start in it.
	ErrDomainClosed = errors.New("the failure domain is closed")

	// ErrLeaving means that the worker is leaving the cluster, or that it
	// is no longer in the host list.
	ErrLeaving = errors.New("the worker is leaving")

	// ErrNotPermitted means that the condition set by Deps.WithPermit does
	// not hold or that the group drains.
	ErrNotPermitted = errors.New("the process may not start work now")
)

// checkStartAllowed is called directly before each start is sent. It checks the
// guard last, because the guard expires without any event.
func checkStartAllowed(d Deps, group order.GroupID, worker order.WorkerID) error {
	switch {
	case !d.currentConfig().DomainOpen(group.Domain()):
		return ErrDomainClosed
	case d.isLeaving(worker):
		return ErrLeaving
	case !d.permit():
		return ErrNotPermitted
	}
	return checkGuard(d)
}

// checkGuard returns ErrGuard if the ownership of the group may end before a
// message that is sent now reaches the worker.
func checkGuard(d Deps) error {
	if remaining := d.guard.Remaining(); remaining <= minGuardTime {
		return fmt.Errorf("%w: %s", ErrGuard, remaining)
	}
	return nil
}

func (m *machine) onConfirm(now time.Time, ref dispatch.AttemptRef) {
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok || e.attempt < ref.Attempt():
		m.answerUnknownAttempt(now, ref, order.QueueFull, "the offer is over")
	case e.attempt > ref.Attempt():
		m.deps.registry.Count("berth.stale_confirm")
	case e.state == order.TaskHeld:
		m.startHeld(now, e)
	default:
		m.answerDuplicate(now, e)
	}
}

// startHeld starts an offered task after its confirmation, on another worker if
// the one it was offered has become unusable.
func (m *machine) startHeld(now time.Time, e *entry) {
	team := e.task.Team()
	if m.active[team]+m.unknownTasks() >= m.allowed(team) {
		m.reportNotStarted(now, e, order.QueueFull, "the team's allotment is used up")
		return
	}
	if !m.mayStart() {
		m.reportNotStarted(now, e, order.NoOwner, "the group may not start work now")
		return
	}
	if (e.host.overcommitted() || !m.usable(now, e.host, e.task.ID())) && !m.moveReservation(now, e) {
		m.reportNotStarted(now, e, order.QueueFull, "the worker is not usable")
		return
	}
	m.start(now, e)
}

// moveReservation moves the reservation of an offered task to another worker
// and reports whether one had enough capacity.
func (m *machine) moveReservation(now time.Time, e *entry) bool {
	m.release(e)
	h := m.chooseHost(now, e.task, e.reserved, e.host)
	if h == nil {
		m.addReservation(e, e.host)
		return false
	}
	m.reserve(e, h)
	return true
}

func (m *machine) start(now time.Time, e *entry) {
	m.addToCounts(e, -1)
	e.state = order.TaskStarting
	m.addToCounts(e, 1)
	m.sendStart(now, e)
}

// sendStart sends the start of an entry that is already counted against its
// worker's capacity and its team's allotment.
func (m *machine) sendStart(now time.Time, e *entry) {
	h := e.host
	e.leaseBase = h.stampAt
	e.startStamp = h.stamp
	e.inFlight++
	e.sends++
	m.assertStartInvariants(e)
	start := dispatch.NewStartRequest(e.task, e.attempt, m.epoch, taskLease, h.stamp).
		WithReserved(e.reserved.resources())
	m.emit(startCommand{worker: h.id(), start: start})
	m.deps.registry.Observe("berth.wait", now.Sub(e.queued))
}

// assertStartInvariants checks the guarantees that a start could violate. A
// repeated start of the same attempt takes no further capacity or allotment, so
// G1 and G4 are checked only for the first one.
func (m *machine) assertStartInvariants(e *entry) {
	r, team, h := m.deps.registry, e.task.Team(), e.host
	r.Invariant(e.uncertain || !h.overcommitted(), "G1",
		"start of %s on %s exceeds the size of the worker", e.task.ID(), h.id())
	r.Invariant(m.deps.guard.Remaining() > 0, "G2", "start of %s after the ownership expired", e.task.ID())
	r.Invariant(e.uncertain || m.active[team] <= m.allowed(team), "G4",
		"start of %s: %d running of %d allotted", e.task.ID(), m.active[team], m.allowed(team))
	r.Invariant(m.deps.currentConfig().DomainOpen(m.group.Domain()), "G5",
		"start of %s in a closed failure domain", e.task.ID())
	r.Invariant(!h.worker.Leaving(), "G9", "start of %s on leaving worker %s", e.task.ID(), h.id())
}

func (m *machine) onStartResult(now time.Time, r startResult) {
	e, ok := m.entries[r.ref.Task()]
	if !ok || e.attempt != r.ref.Attempt() || e.host == nil || e.host.id() != r.worker {
		m.deps.registry.Count("berth.unmatched_start")
		return
	}
	e.inFlight--
	if e.state != order.TaskStarting {
		return
	}
	var refused *dispatch.RefusedError
	switch {
	case r.err == nil:
		m.checkIncarnation(now, e.host, r.stamp)
		m.confirmStart(now, e, r.stamp)
	case errors.As(r.err, &refused):
		m.countStaleEpoch(r.err)
		m.onStartRefused(now, e, refused.Reason())
	case errors.Is(r.err, dispatch.ErrNotSent):
		m.onStartNotSent(now, e, r.err)
	default:
		e.uncertain = true
		e.retryAt = now.Add(startRetry)
		m.requestList(now, e.host)
	}
}

// onStartRefused handles a start that the worker refused. The refusal proves
// that the task did not start only if no earlier message of the same start
// could have arrived.
func (m *machine) onStartRefused(now time.Time, e *entry, reason string) {
	m.deps.registry.Count("berth.start_refused." + reason)
	if reason == dispatch.ReasonFailing {
		m.recordFailure(now, e, 0)
	}
	if reason != dispatch.ReasonFailing {
		m.requestList(now, e.host)
	}
	switch {
	case reason == dispatch.ReasonForgotten:
		// The attempt ran on this worker, and its outcome was
		// acknowledged.
		m.reportLost(now, e, "the worker has discarded the outcome")
		return
	case e.uncertain:
		e.retryAt = now.Add(startRetry)
		return
	case reason == dispatch.ReasonOtherAttempt:
		// Another attempt of the task may run on this worker, so this
		// one must not start on another.
		m.reportNotStarted(now, e, order.QueueFull, "another attempt of the task is on the worker")
		return
	}
	m.startElsewhere(now, e, "the worker refused the start: "+reason)
}

// onStartNotSent handles a start that certainly was not sent.
func (m *machine) onStartNotSent(now time.Time, e *entry, err error) {
	m.deps.registry.Count("berth.start_unsent")
	if !errors.Is(err, ErrGuard) && !errors.Is(err, ErrDomainClosed) && !errors.Is(err, ErrNotPermitted) {
		m.markUnreachable(now, e.host)
	}
	if e.uncertain {
		e.retryAt = now.Add(startRetry)
		return
	}
	m.startElsewhere(now, e, err.Error())
}

// startElsewhere starts a task that certainly did not start on another worker.
// If no other worker has enough capacity or the task may not start any more, it
// reports the task as not started.
func (m *machine) startElsewhere(now time.Time, e *entry, text string) {
	e.host.cooldown.taskReleased(e.task.ID())
	old := e.host
	m.removeReservation(e)
	delete(m.entries, e.task.ID())
	e.state = order.TaskHeld
	h := m.chooseHost(now, e.task, e.reserved, old)
	team := e.task.Team()
	if h == nil || e.stopping || !m.mayStart() || m.active[team]+m.unknownTasks() >= m.allowed(team) {
		m.addReservation(e, old)
		m.reportNotStarted(now, e, order.QueueFull, text)
		return
	}
	m.reserve(e, h)
	m.start(now, e)
}

// confirmStart records that the worker has the task, and reports the start to
// the request partition the first time.
func (m *machine) confirmStart(now time.Time, e *entry, stamp dispatch.Stamp) {
	if stamp.Incarnation() != e.latestStamp.Incarnation() || stamp.After(e.latestStamp) {
		e.latestStamp = stamp
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

func (m *machine) onStop(now time.Time, ref dispatch.AttemptRef) {
	if b, ok := m.bids.byTask[ref.Task()]; ok && b.attempt <= ref.Attempt() {
		m.dropBid(now, b)
	}
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok || e.attempt < ref.Attempt():
		m.answerUnknownAttempt(now, ref, order.CancelledBeforeRun, "the task was not started")
	case e.attempt > ref.Attempt():
	case e.state == order.TaskHeld:
		m.reportNotStarted(now, e, order.CancelledBeforeRun, "cancelled before the start")
	case e.state == order.TaskEnded:
		m.postEnded(now, e)
	default:
		e.stopping, e.checkpoint = true, false
		m.sendStop(now, e)
	}
}

// sendStop requests that the worker stop a running task. It is repeated every
// stopRetry until the task ends.
func (m *machine) sendStop(now time.Time, e *entry) {
	e.nextStop = now.Add(stopRetry)
	if e.state == order.TaskRunning {
		m.stop(e.host.id(), e.ref(), e.checkpoint)
	}
}

func (m *machine) tickEntries(now time.Time) {
	for _, e := range m.sortedEntries(m.entries) {
		switch e.state {
		case order.TaskHeld:
			if !now.Before(e.heldUntil) {
				m.expireOffer(now, e)
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

// expireOffer removes an offer that was not answered in time. The task waits as
// a bid again until it has had maxOffers offers. Gang tasks, which have none,
// are dropped at once.
func (m *machine) expireOffer(now time.Time, e *entry) {
	m.release(e)
	m.deps.registry.Count("berth.offer_expired")
	if e.offers == 0 || e.offers >= maxOffers {
		m.addExpiredOffer(now, e.ref(), m.epoch)
		return
	}
	m.bids.add(&bid{task: e.task, attempt: e.attempt, queued: e.queued, offers: e.offers, offerEpoch: m.epoch})
}

// tickStarting handles a start that got no clear answer: it is sent again while
// the lease allows it, and the task is reported as lost once the lease has
// expired.
func (m *machine) tickStarting(now time.Time, e *entry) {
	if !e.uncertain || e.inFlight > 0 {
		return
	}
	// The task list of a reachable worker shows whether the task started,
	// so it gets listGrace to arrive. For an unreachable worker only the
	// lease decides.
	if !now.Before(e.leaseEnd()) && (e.host.state != hostReady || !now.Before(e.leaseEnd().Add(listGrace))) {
		m.reportLost(now, e, "the worker neither answered the start nor listed the task before its lease expired")
		return
	}
	// A restarted worker may have run the task before it restarted.
	// Sending the start again would run the task twice.
	if e.host.stamp.Incarnation() != e.startStamp.Incarnation() {
		m.reportLost(now, e, workerRestarted)
		return
	}
	if e.sends >= maxStartSends || now.Before(e.retryAt) || now.After(e.leaseBase.Add(maxStampAge)) || e.stopping {
		return
	}
	if m.usable(now, e.host, e.task.ID()) && m.mayStart() {
		e.retryAt = now.Add(startRetry)
		m.sendStart(now, e)
	}
}

func (m *machine) tickRunning(now time.Time, e *entry) {
	if !now.Before(e.leaseEnd()) {
		m.reportLost(now, e, "the task's lease expired")
		return
	}
	if e.stopping && !now.Before(e.nextStop) {
		m.sendStop(now, e)
	}
}
