package queue

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// recovery is the progress of the inventory after a change of owner. A
	// group is covered once a placer has listed its tasks.
	recovery struct {
		complete      bool
		startedAt     time.Time
		nextRequestAt time.Time
		covered       map[order.GroupID]bool
	}
)

// inventoryRequestPeriod is how often the inventory is requested.
const inventoryRequestPeriod = 500 * time.Millisecond

// restore replays the journal records.
func (m *Machine) restore(records []logbook.Record) {
	m.recovery = recovery{
		startedAt:     m.now,
		nextRequestAt: m.now,
		covered:       make(map[order.GroupID]bool),
	}
	for _, r := range records {
		m.restoreRecord(r)
	}
}

func (m *Machine) restoreRecord(r logbook.Record) {
	j := m.newJob(r.Key(), r.Request(), r.Checksum())
	j.hasChecksum = true
	j.round = r.Submission()
	j.received = r.At()
	switch r.Kind() {
	case logbook.Accepted:
		j.acceptedRecord = writeDone
	case logbook.Starting:
		j.startRecord = writeDone
		if r.Request().Detached() {
			j.acceptedRecord = writeDone
		}
	case logbook.Ended:
		j.acceptedRecord, j.endRecord = writeDone, writeDone
		j.phase = phaseDone
		j.outcome = r.Outcome()
		j.finished = r.At()
		for _, t := range j.tasks {
			t.state = taskEnded
		}
		m.scheduleTimers(j)
		return
	}
	j.phase = phaseRecovering
	j.mayHaveRunBefore = j.restartable()
	m.openCount++
	m.openPerTeam[j.key.Team]++
	m.scheduleTimers(j)
}

// requestInventory requests the partition's tasks from all placers, and repeats
// this until every group is covered.
func (m *Machine) requestInventory() {
	if m.recovery.complete || m.now.Before(m.recovery.nextRequestAt) {
		return
	}
	m.recovery.nextRequestAt = m.now.Add(inventoryRequestPeriod)
	for _, placer := range m.view.placers {
		m.send(placer, order.InventoryMsg{}.
			WithPartition(m.partition).
			WithEpoch(m.epoch))
	}
}

// handleInventory processes the reply of one placer.
func (m *Machine) handleInventory(msg order.InventoryReplyMsg) {
	if msg.Epoch() != m.epoch || m.recovery.complete {
		// A late reply may list attempts that have ended since.
		return
	}
	for _, entry := range msg.Entries() {
		m.handleInventoryEntry(entry)
	}
	for _, group := range msg.Groups() {
		m.recovery.covered[group] = true
	}
	m.checkRecovery()
}

func (m *Machine) handleInventoryEntry(entry order.InventoryEntry) {
	if entry.State() == order.TaskHeld {
		// A held task was not confirmed. The group releases it when the hold
		// ends.
		return
	}
	t := m.entryTask(entry)
	if t == nil || entry.Attempt() <= t.lastEnded {
		return
	}
	j := t.job
	state := taskConfirmed
	if entry.State() == order.TaskRunning {
		state = taskRunning
	}
	switch {
	case entry.State() == order.TaskEnded:
		m.handleInventoryEnd(entry)
	case t.open() && t.attempt == entry.Attempt():
	case t.open() && t.attempt > entry.Attempt():
		m.stopEntryAttempt(entry)
	case j.final() && !t.open():
		// The stop is sent again until the group reports the end.
		m.adoptAttempt(t, entry.Attempt(), entry.Group(), state, "")
		m.stopTask(t)
	case t.open():
		m.stopEntryAttempt(order.InventoryEntry{}.WithTask(entry.Task()).WithAttempt(t.attempt).WithGroup(t.group))
		m.adoptAttempt(t, entry.Attempt(), entry.Group(), state, "")
	default:
		m.adoptAttempt(t, entry.Attempt(), entry.Group(), state, "")
	}
	m.scheduleTimers(j)
}

// handleInventoryEnd processes an outcome listed in an inventory. The entry has
// no field for whether the attempt started, so the code is used.
func (m *Machine) handleInventoryEnd(entry order.InventoryEntry) {
	m.handleEnded(order.EndedMsg{}.
		WithPartition(m.partition).
		WithGroup(entry.Group()).
		WithOutcome(entry.Outcome()).
		WithNotStarted(entry.Outcome().Code().RunStatus() == order.RunNo))
}

func (m *Machine) stopEntryAttempt(entry order.InventoryEntry) {
	m.registry.Count("till.stopped.inventory")
	m.post(entry.Group(), order.StopMsg{}.
		WithPartition(order.GroupPartition(entry.Group())).
		WithTask(entry.Task().ID()).
		WithAttempt(entry.Attempt()))
}

// entryTask returns the task of an entry. A request that is not in the table
// was attached and idempotent, so the journal has no record of it; it is
// adopted from the group's copy of the task.
func (m *Machine) entryTask(entry order.InventoryEntry) *task {
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
	m.openCount++
	m.openPerTeam[key.Team]++
	return j
}

// completeAdopted replaces the request of an adopted job by that of its first
// submission, which has fields that the group's copy lacks.
func (m *Machine) completeAdopted(j *job, r order.Request, sum uint64) {
	j.hasChecksum = true
	j.adopted = false
	j.checksum = sum
	if j.final() {
		return
	}
	j.request = r.WithDeadline(j.request.Deadline())
	known := len(j.tasks)
	m.addTasks(j, taskCount(r))
	if j.phase == phaseOpen && len(j.tasks) > known {
		m.queueJob(j)
	}
}

// adoptAttempt takes over an attempt that a former owner confirmed.
func (m *Machine) adoptAttempt(t *task, attempt order.Attempt, group order.GroupID, state taskState, worker order.WorkerID) {
	m.registry.Count("till.adopted")
	t.attempt = attempt
	t.group = group
	t.state = state
	t.worker = worker
	t.groupEpoch = m.view.epoch(group)
	t.retryAt = time.Time{}
	t.outcome = order.Outcome{}
	t.resendAt = m.now.Add(confirmResendPeriod)
	t.confirmsSent = 1
	t.job.confirmCount++
	t.job.hasRun = t.job.hasRun || state == taskRunning
	if t.job.phase == phaseOpen && t.job.cancelled {
		m.stopTask(t)
	}
}

// checkRecovery ends the recovery once every group is covered, or has been
// without an owner for so long that its tasks have ended.
func (m *Machine) checkRecovery() {
	if m.recovery.complete || len(m.view.listed) == 0 {
		return
	}
	for group := range m.view.listed {
		if !m.recovery.covered[group] && !m.view.leasesExpired(m.now, group) {
			return
		}
	}
	m.recovery.complete = true
	m.registry.Observe("till.recovery", m.now.Sub(m.recovery.startedAt))
	for _, j := range m.sortedJobs() {
		if j.phase == phaseRecovering {
			m.recoverJob(j)
			m.scheduleTimers(j)
		}
	}
	m.answerDeferred()
}

// recoverJob continues a job of a former owner, after the inventory has listed
// its running tasks.
func (m *Machine) recoverJob(j *job) {
	confirmed := j.mayHaveRun()
	j.phase = phaseOpen
	switch {
	case !confirmed && j.startRecord == writeDone && !j.restartable() && !j.handedOver:
		// The start may have been confirmed, but no group has the task.
		m.finish(j, order.Outcome{}.WithCode(order.OutcomeUnknown).
			WithText("a former owner of the partition recorded the start, but no group has the task"))
		return
	case m.past(j.request.Deadline()):
		m.handleDeadline(j)
	case j.cancelled && confirmed:
		m.stopTasks(j)
		m.finishIfEnded(j)
	case j.cancelled:
		m.finish(j, order.Outcome{}.WithCode(order.CancelledBeforeRun))
	case !confirmed:
		if code := m.view.checkFit(m.config, j.request); code == order.TooLarge {
			m.finish(j, order.Outcome{}.WithCode(code))
		}
	}
	if !j.final() && !j.cancelled && !j.expired {
		m.queueJob(j)
	}
}
