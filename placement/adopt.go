package placement

import (
	"errors"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

// onListResult reconciles the entries with a worker's task list: it adopts
// tasks that have no entry, confirms those that have one, and ends entries that
// the worker does not have.
func (m *machine) onListResult(now time.Time, r listResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.listInFlight = false
	h.listTried = true
	if r.err != nil {
		m.countStaleEpoch(r.err)
		m.markUnreachable(now, h)
		return
	}
	list := r.listing
	if h.stamp.Incarnation() != list.Stamp().Incarnation() {
		h.lastEvent = 0
	}
	h.recordStamp(list.Stamp(), now)
	h.state = hostReady
	known := make(map[dispatch.AttemptRef]bool)
	for _, running := range list.Running() {
		known[dispatch.NewAttemptRef(running.Task().ID(), running.Attempt())] = true
		m.onRunning(now, h, running)
	}
	for _, ended := range list.Outcomes() {
		known[dispatch.NewAttemptRef(ended.Outcome().Task(), ended.Outcome().Attempt())] = true
		m.onOutcome(now, h, ended)
	}
	for _, e := range m.sortedEntries(h.tasks) {
		if e.active() && !known[e.ref()] {
			m.onMissingTask(now, e, list.Stamp())
		}
	}
	h.nextRenew = now
}

func (m *machine) countStaleEpoch(err error) {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) && refused.Reason() == dispatch.ReasonStaleEpoch {
		m.deps.registry.Count("berth.stale_epoch")
	}
}

func (m *machine) onRunning(now time.Time, h *host, running dispatch.RunningTask) {
	ref := dispatch.NewAttemptRef(running.Task().ID(), running.Attempt())
	e, ok := m.entries[ref.Task()]
	if ok && e.attempt == ref.Attempt() && e.active() && e.host == h {
		m.confirmStart(now, e, h.stamp)
		return
	}
	if _, found := m.tombstones[ref]; found || ok && e.attempt >= ref.Attempt() && e.state != order.TaskHeld {
		m.deps.registry.Invariant(!ok || !e.active() || e.host == h, "G2",
			"task %s runs on %s and %s", ref.Task(), h.id(), hostName(e))
		m.stop(h.id(), ref, false)
		return
	}
	if ok && e.state == order.TaskHeld {
		m.release(e)
	} else if ok {
		m.removeEntry(now, e)
	}
	m.adopt(now, h, running)
}

func (m *machine) adopt(now time.Time, h *host, running dispatch.RunningTask) {
	task := running.Task()
	m.bids.remove(task.ID())
	e := &entry{
		task:        task,
		attempt:     running.Attempt(),
		state:       order.TaskRunning,
		reserved:    newAmount(running.Reserved()),
		queued:      task.Queued(),
		leaseBase:   now,
		startStamp:  h.stamp,
		latestStamp: h.stamp,
		confirmed:   true,
		startedAt:   now,
	}
	m.addReservation(e, h)
	m.deps.registry.Count("berth.adopted")
	m.post(requestPartitionOf(task), m.startedMsg(e))
}

// onMissingTask handles an active task that is missing from the worker's list.
// A start without an answer can still arrive until its lease has expired by the
// worker's own clock.
func (m *machine) onMissingTask(now time.Time, e *entry, stamp dispatch.Stamp) {
	sameRun := stamp.Incarnation() == e.startStamp.Incarnation()
	switch {
	case e.inFlight > 0:
	case e.confirmed && (!sameRun || stamp.After(e.latestStamp)):
		m.reportLost(now, e, "the worker no longer lists the task")
	case e.confirmed:
	case !sameRun:
		m.reportLost(now, e, workerRestarted)
	case stamp.Clock() > e.startStamp.Clock()+taskLease.Microseconds():
		m.reportNotStarted(now, e, order.QueueFull, "the start did not reach the worker")
	}
}

func (m *machine) onOutcome(now time.Time, h *host, ended dispatch.EndedTask) {
	outcome := ended.Outcome()
	ref := dispatch.NewAttemptRef(outcome.Task(), outcome.Attempt())
	if _, found := m.tombstones[ref]; found {
		h.pendingAcks = append(h.pendingAcks, ref)
		return
	}
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok:
		m.adoptOutcome(now, h, ended)
	case e.attempt > ref.Attempt():
		h.pendingAcks = append(h.pendingAcks, ref)
	case e.attempt < ref.Attempt() || e.state == order.TaskHeld:
		m.deps.registry.Count("berth.unmatched_outcome")
	case e.state == order.TaskEnded:
		m.deps.registry.Invariant(!e.notStarted, "G7",
			"task %s attempt %d ran after it was reported as not started", ref.Task(), ref.Attempt())
	case e.host == h:
		m.endWithOutcome(now, e, outcome)
	}
}

func (m *machine) adoptOutcome(now time.Time, h *host, ended dispatch.EndedTask) {
	if b, ok := m.bids.byTask[ended.Task().ID()]; ok && b.attempt <= ended.Outcome().Attempt() {
		m.bids.remove(ended.Task().ID())
	}
	e := &entry{
		task:      ended.Task(),
		attempt:   ended.Outcome().Attempt(),
		state:     order.TaskEnded,
		host:      h,
		confirmed: true,
		outcome:   ended.Outcome(),
	}
	m.entries[e.task.ID()] = e
	m.postEnded(now, e)
}

func hostName(e *entry) order.WorkerID {
	if e == nil || e.host == nil {
		return ""
	}
	return e.host.id()
}
