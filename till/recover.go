package till

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// recovery is the state of a partition after a change of owner.
	recovery struct {
		complete bool
		began    time.Time
		askAt    time.Time
		covered  map[order.GroupID]bool
	}
)

const inventoryPeriod = 500 * time.Millisecond

// restore builds the table from the journal.
func (m *Machine) restore(records []logbook.Record) {
	m.recovery = recovery{
		began:   m.now,
		askAt:   m.now,
		covered: make(map[order.GroupID]bool),
	}
	for _, r := range records {
		m.restoreRecord(r)
	}
}

func (m *Machine) restoreRecord(r logbook.Record) {
	j := m.newJob(r.Key(), r.Request(), r.Checksum())
	j.verified = true
	j.round = r.Round()
	j.received = r.At()
	switch r.Kind() {
	case logbook.Accepted:
		j.accepted = writeDone
	case logbook.Starting:
		j.starting = writeDone
		if r.Request().Detached() {
			j.accepted = writeDone
		}
	case logbook.Ended:
		j.accepted, j.ended = writeDone, writeDone
		j.phase = phaseDone
		j.outcome = r.Outcome()
		j.finished = r.At()
		for _, t := range j.tasks {
			t.state = taskEnded
		}
		m.settle(j)
		return
	}
	j.phase = phaseRecovering
	j.doubtful = j.repeatable()
	m.open++
	m.perTeam[j.key.Team]++
	m.settle(j)
}

// askInventory asks all placers for the tasks of the partition, until each
// group was covered by an answer.
func (m *Machine) askInventory() {
	if m.recovery.complete || m.now.Before(m.recovery.askAt) {
		return
	}
	m.recovery.askAt = m.now.Add(inventoryPeriod)
	for _, placer := range m.view.placers {
		m.send(placer, order.InventoryMsg{}.
			WithPartition(m.partition).
			WithEpoch(m.epoch))
	}
}

// inventory takes the answer of one placer.
func (m *Machine) inventory(msg order.InventoryReplyMsg) {
	if msg.Epoch() != m.epoch || m.recovery.complete {
		// Later answers may list what has ended meanwhile.
		return
	}
	for _, entry := range msg.Entries() {
		m.inventoryEntry(entry)
	}
	for _, group := range msg.Groups() {
		m.recovery.covered[group] = true
	}
	m.checkInventory()
}

func (m *Machine) inventoryEntry(entry order.InventoryEntry) {
	if entry.State() == order.TaskHeld {
		// It was confirmed by nobody; the group drops it with its hold.
		return
	}
	t := m.adoptable(entry)
	if t == nil || entry.Attempt() <= t.over {
		return
	}
	j := t.job
	state := taskConfirmed
	if entry.State() == order.TaskRunning {
		state = taskRunning
	}
	switch {
	case entry.State() == order.TaskEnded:
		m.inventoryEnded(entry)
	case t.open() && t.attempt == entry.Attempt():
	case t.open() && t.attempt > entry.Attempt():
		m.stopOther(entry)
	case j.final() && !t.open():
		// The stop is repeated until the group reports the end.
		m.adopt(t, entry.Attempt(), entry.Group(), state, "")
		m.stop(t)
	case t.open():
		m.stopOther(order.InventoryEntry{}.WithTask(entry.Task()).WithAttempt(t.attempt).WithGroup(t.group))
		m.adopt(t, entry.Attempt(), entry.Group(), state, "")
	default:
		m.adopt(t, entry.Attempt(), entry.Group(), state, "")
	}
	m.settle(j)
}

// inventoryEnded takes an outcome from an inventory. The entry does not say
// whether the attempt started; its code does.
func (m *Machine) inventoryEnded(entry order.InventoryEntry) {
	m.endedMsg(order.EndedMsg{}.
		WithPartition(m.partition).
		WithGroup(entry.Group()).
		WithOutcome(entry.Outcome()).
		WithNotStarted(entry.Outcome().Code().Run() == order.RunNo))
}

func (m *Machine) stopOther(entry order.InventoryEntry) {
	m.registry.Count("till.stopped.inventory")
	m.post(entry.Group(), order.StopMsg{}.
		WithPartition(order.GroupPartition(entry.Group())).
		WithTask(entry.Task().ID()).
		WithAttempt(entry.Attempt()))
}

// adoptable returns the task of an entry. A request that is not in the table
// was attached and idempotent; it is taken over from the group's copy.
func (m *Machine) adoptable(entry order.InventoryEntry) *task {
	key, index, ok := splitTaskID(entry.Task().ID())
	if !ok || index >= maxTasks {
		return nil
	}
	j := m.jobs[key]
	if j == nil {
		j = m.adoptJob(key, entry.Task())
	}
	if j.adopted {
		m.addTasks(j, index+1)
	}
	if index >= len(j.tasks) {
		return nil
	}
	return j.tasks[index]
}

func (m *Machine) adoptJob(key logbook.Key, t order.Task) *job {
	r := order.Request{}.
		WithID(key.Request).
		WithTeam(key.Team).
		WithKind(t.Kind()).
		WithTasks(1).
		WithIdempotent(t.Idempotent()).
		WithCheckpoint(t.Checkpoint()).
		WithUrgent(t.Urgent()).
		WithDeadline(t.Deadline()).
		WithSize(t.Size()).
		WithPayload(t.Payload()).
		WithReceived(t.Queued())
	j := m.newJob(key, r, 0)
	j.adopted = true
	j.phase = phaseRecovering
	m.open++
	m.perTeam[key.Team]++
	return j
}

// verify takes the first submission of a request that was adopted from a group
// as the request itself.
func (m *Machine) verify(j *job, r order.Request, sum uint64) {
	j.verified = true
	j.adopted = false
	j.checksum = sum
	if j.final() {
		return
	}
	j.request = r.WithDeadline(j.request.Deadline())
	known := len(j.tasks)
	m.addTasks(j, taskCount(r))
	if j.phase == phaseOpen && len(j.tasks) > known {
		m.openJob(j)
	}
}

// adopt takes over an attempt that a former owner confirmed.
func (m *Machine) adopt(t *task, attempt order.Attempt, group order.GroupID, state taskState, worker order.WorkerID) {
	m.registry.Count("till.adopted")
	t.attempt = attempt
	t.group = group
	t.state = state
	t.worker = worker
	t.epoch = m.view.epoch(group)
	t.retryAt = time.Time{}
	t.outcome = order.Outcome{}
	t.resendAt = m.now.Add(confirmPeriod)
	t.sent = 1
	t.job.confirms++
	t.job.ran = t.job.ran || state == taskRunning
	if t.job.phase == phaseOpen && t.job.cancelled {
		m.stop(t)
	}
}

// checkInventory ends the recovery once each group is covered by an answer, or
// certainly runs nothing.
func (m *Machine) checkInventory() {
	if m.recovery.complete || len(m.view.known) == 0 {
		return
	}
	for group := range m.view.known {
		if !m.recovery.covered[group] && !m.view.empty(m.now, group) {
			return
		}
	}
	m.recovery.complete = true
	m.registry.Observe("till.recovery", m.now.Sub(m.recovery.began))
	for _, j := range m.sortedJobs() {
		if j.phase == phaseRecovering {
			m.recoverJob(j)
			m.settle(j)
		}
	}
	m.answerDeferred()
}

// recoverJob continues a request of a former owner, now that all its running
// tasks are known.
func (m *Machine) recoverJob(j *job) {
	found := j.mayHaveRun()
	j.phase = phaseOpen
	switch {
	case !found && j.starting == writeDone && !j.repeatable():
		// Its start may have been confirmed, and no group knows of it.
		m.finish(j, order.Outcome{}.WithCode(order.OutcomeUnknown))
		return
	case m.past(j.request.Deadline()):
		m.passDeadline(j)
	case j.cancelled && found:
		m.stopTasks(j)
		m.concludeJob(j)
	case j.cancelled:
		m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
	case !found:
		if code := m.view.refusal(m.config, j.request); code == order.TooLarge {
			m.finish(j, order.Outcome{}.WithCode(code))
		}
	}
	if !j.final() && !j.cancelled && !j.expired {
		m.openJob(j)
	}
}
