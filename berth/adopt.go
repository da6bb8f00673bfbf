package berth

import (
	"errors"
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

// Takes over a worker's list: adopts unknown tasks, confirms known ones and
// finds those that are gone.
func (m *machine) onList(now time.Time, r listResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.listing = false
	h.tried = true
	if r.err != nil {
		m.noteRefusal(r.err)
		m.silent(now, h)
		return
	}
	list := r.listing
	if h.stamp.Incarnation() != list.Stamp().Incarnation() {
		h.after = 0
	}
	h.sawStamp(list.Stamp(), now)
	h.state = hostReady
	known := make(map[crane.Ref]bool)
	for _, running := range list.Running() {
		known[crane.NewRef(running.Task().ID(), running.Attempt())] = true
		m.onRunning(now, h, running)
	}
	for _, ended := range list.Outcomes() {
		known[crane.NewRef(ended.Outcome().Task(), ended.Outcome().Attempt())] = true
		m.onOutcome(now, h, ended)
	}
	for _, e := range m.inOrder(h.tasks) {
		if e.live() && !known[e.ref()] {
			m.onAbsent(now, e, list.Stamp())
		}
	}
	h.renewAt = now
}

func (m *machine) noteRefusal(err error) {
	var refused *crane.RefusedError
	if errors.As(err, &refused) && refused.Reason() == crane.ReasonStaleEpoch {
		m.deps.registry.Count("berth.stale_epoch")
	}
}

func (m *machine) onRunning(now time.Time, h *host, running crane.Running) {
	ref := crane.NewRef(running.Task().ID(), running.Attempt())
	e, ok := m.entries[ref.Task()]
	if ok && e.attempt == ref.Attempt() && e.live() && e.host == h {
		m.confirm(now, e, h.stamp)
		return
	}
	if _, over := m.settled[ref]; over || ok && e.attempt >= ref.Attempt() && e.state != order.TaskHeld {
		m.deps.registry.Invariant(!ok || !e.live() || e.host == h, "G2",
			"task %s runs on %s and %s", ref.Task(), h.id(), hostName(e))
		m.stop(h.id(), ref, false)
		return
	}
	if ok && e.state == order.TaskHeld {
		m.release(e)
	} else if ok {
		m.forget(now, e)
	}
	m.adopt(now, h, running)
}

func (m *machine) adopt(now time.Time, h *host, running crane.Running) {
	task := running.Task()
	m.bids.remove(task.ID())
	e := &entry{
		task:       task,
		attempt:    running.Attempt(),
		state:      order.TaskRunning,
		reserved:   newAmount(running.Reserved()),
		queued:     task.Queued(),
		leaseBase:  now,
		startStamp: h.stamp,
		seenStamp:  h.stamp,
		confirmed:  true,
		startedAt:  now,
	}
	m.enter(e, h)
	m.deps.registry.Count("berth.adopted")
	m.post(requestPartitionOf(task), m.startedMsg(e))
}

// Handles a task that the worker's list does not show. An unconfirmed start
// can still arrive until the lease that it carries is over by the worker's
// own clock.
func (m *machine) onAbsent(now time.Time, e *entry, stamp crane.Stamp) {
	sameRun := stamp.Incarnation() == e.startStamp.Incarnation()
	switch {
	case e.inFlight > 0:
	case e.confirmed && (!sameRun || stamp.After(e.seenStamp)):
		m.lost(now, e)
	case e.confirmed:
	case !sameRun:
		m.lost(now, e)
	case stamp.Clock() > e.startStamp.Clock()+taskLease.Microseconds():
		m.fail(now, e, order.QueueFull, "the start did not reach the worker")
	}
}

func (m *machine) onOutcome(now time.Time, h *host, ended crane.Ended) {
	outcome := ended.Outcome()
	ref := crane.NewRef(outcome.Task(), outcome.Attempt())
	if _, over := m.settled[ref]; over {
		h.acks = append(h.acks, ref)
		return
	}
	e, ok := m.entries[ref.Task()]
	switch {
	case !ok:
		m.adoptOutcome(now, h, ended)
	case e.attempt > ref.Attempt():
		h.acks = append(h.acks, ref)
	case e.attempt < ref.Attempt() || e.state == order.TaskHeld:
		m.deps.registry.Count("berth.unmatched_outcome")
	case e.state == order.TaskEnded:
		m.deps.registry.Invariant(!e.notStarted, "G7",
			"task %s attempt %d ran after it was reported as not started", ref.Task(), ref.Attempt())
	case e.host == h:
		m.finish(now, e, outcome)
	}
}

func (m *machine) adoptOutcome(now time.Time, h *host, ended crane.Ended) {
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
