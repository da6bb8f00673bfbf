package scheduler

import (
	"errors"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

const (
	// stopRetryInterval is how long a run may continue after a stop before the
	// stop is sent again.
	stopRetryInterval = 700 * time.Millisecond

	// runsPerEpoch separates the run numbers of successive owners of a job, so
	// that a new owner never reuses a number. No owner starts a task this
	// often.
	runsPerEpoch = 1000
)

// start allocates capacity for the next run of a task and sends the start order
// to the worker.
func (m *Scheduler) start(now time.Time, t *task, w *worker, run int) {
	j := t.step.job
	a := &attempt{
		ref: t.ref(), run: run, task: t, worker: w, size: t.step.spec.Size(),
		team: j.team, state: attemptSent, startedAt: now, orderedAt: now, startPermit: m.startPermit(now), startOpen: true,
	}
	if t.run > 0 {
		m.log.Info().Str("job", string(j.id)).Int("step", t.step.index).Int("task", t.index).Int("run", run).
			Int("last_run", t.run).Str("worker", string(w.id)).Str("domain", string(w.info.domain)).
			Uint64("epoch", uint64(m.epoch)).Msg("yard: task started again")
	}
	t.state, t.run, t.attempt = taskPlaced, run, a
	m.allocate(a)
	m.registry.Invariant(w.used.FitsIn(w.info.capacity), "room",
		"allocation on worker %s exceeds its capacity", w.id)
	o := StartOrder{
		to: w.address(), task: a.ref, run: run, payload: j.spec.Payload(),
		leaseEnd: m.grantLease(now, w), epoch: m.epoch, checkpoint: t.resumePoint(), permit: a.startPermit,
	}
	if tk, ok := t.step.tickets[w.id]; ok {
		o.ticket = tk.text
	}
	m.registry.Count("yard.starts")
	m.emit(StartCmd{order: o})
}

// resumePoint returns the checkpoint from which the next run continues, or an
// empty string. A gang has one checkpoint for all its tasks.
func (t *task) resumePoint() string {
	if t.step.spec.Gang() {
		return t.step.gangCheckpoint
	}
	return t.checkpoint
}

// nextRun returns the number of the next run of a task, higher than those of
// all earlier runs and owners.
func (m *Scheduler) nextRun(t *task) int {
	base := int(m.epoch-t.step.job.epoch) * runsPerEpoch
	return max(t.run, base) + 1
}

// allocate charges the run to its worker and its team.
func (m *Scheduler) allocate(a *attempt) {
	a.worker.attempts[attemptKey{a.ref, a.run}] = a
	a.worker.used = a.worker.used.Plus(a.size)
	a.worker.updateFree()
	m.usage[a.team] = m.usage[a.team].Plus(a.size)
	if a.sizeUnknown {
		a.worker.unknownSizes++
	}
}

// release frees the capacity of a run that has certainly ended, and withdraws
// its orders.
func (m *Scheduler) release(a *attempt) {
	key := attemptKey{a.ref, a.run}
	if a.worker.attempts[key] != a {
		return
	}
	a.startPermit.withdraw()
	a.stopPermit.withdraw()
	delete(a.worker.attempts, key)
	a.worker.used = a.worker.used.Minus(a.size)
	a.worker.updateFree()
	m.usage[a.team] = m.usage[a.team].Minus(a.size)
	if a.sizeUnknown {
		a.worker.unknownSizes--
	}
}

// requeue makes the task of a run that ended without a result wait for its next
// run. The reason becomes part of a metric name.
func (m *Scheduler) requeue(now time.Time, a *attempt, reason string) {
	t := a.task
	if t == nil || t.attempt != a {
		return
	}
	t.unassign()
	m.registry.Count("yard.retries." + counterName(reason))
	m.log.Info().Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).Int("run", a.run).
		Str("worker", string(a.worker.id)).Uint64("epoch", uint64(m.epoch)).Str("reason", reason).
		Bool("reported", a.reported()).Dur("since_start", now.Sub(a.startedAt)).Msg("yard: run lost")
	m.stopGang(now, t.step, a.run)
}

// unassign makes the task wait for its next run, unless it is done.
func (t *task) unassign() {
	t.attempt = nil
	if t.state == taskPlaced {
		t.state = taskWaiting
	}
}

// counterName replaces the spaces of a reason by underscores.
func counterName(reason string) string {
	name := []byte(reason)
	for i, c := range name {
		if c == ' ' {
			name[i] = '_'
		}
	}
	return string(name)
}

// stopGang stops the remaining members of a gang's run, which can no longer
// complete. It does nothing for other steps.
func (m *Scheduler) stopGang(now time.Time, s *step, run int) {
	if !s.spec.Gang() {
		return
	}
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.run == run {
			m.stop(now, t.attempt)
		}
	}
}

// stop orders the worker to end a run. The capacity stays allocated until the
// run has ended. A start that is not sent yet is withdrawn instead.
func (m *Scheduler) stop(now time.Time, a *attempt) {
	if a.state == attemptStopping {
		return
	}
	if a.state == attemptSent && a.startPermit.withdraw() {
		m.registry.Count("yard.starts_withdrawn")
		m.release(a)
		if t := a.task; t != nil && t.attempt == a {
			t.unassign()
		}
		return
	}
	a.state = attemptStopping
	m.sendStop(now, a)
}

// sendStop emits the stop order, also for a repeated one. It does nothing while
// the last one is still queued.
func (m *Scheduler) sendStop(now time.Time, a *attempt) {
	a.orderedAt = now
	if a.stopPermit.unused() {
		return
	}
	a.stopPermit = &permit{}
	m.registry.Count("yard.stops")
	m.emit(StopCmd{order: StopOrder{to: a.worker.address(), task: a.ref, run: a.run, epoch: m.epoch, permit: a.stopPermit}})
}

// findAttempt returns the run that an order refers to, or nil if it has ended
// or the worker has restarted since.
func (m *Scheduler) findAttempt(to WorkerAddress, ref TaskRef, run int) *attempt {
	w := m.workers[to.worker]
	if w == nil || w.info.incarnation != to.incarnation {
		return nil
	}
	return w.attempts[attemptKey{ref, run}]
}

// reported reports whether a report of the worker has listed the run.
func (a *attempt) reported() bool { return !a.progressAt.IsZero() }

// markStarted records that the worker has begun the run.
func (a *attempt) markStarted() {
	if a.task != nil {
		a.task.step.job.started = true
	}
}

// handleStarted handles the result of a start order.
func (m *Scheduler) handleStarted(now time.Time, in StartedMsg) {
	m.checkEpoch(in.err)
	a := m.findAttempt(in.order.to, in.order.task, in.order.run)
	if a == nil {
		m.logLateStart(in)
		return
	}
	a.startOpen = in.unanswered
	// Either a later response came first, or the next incarnation executed the
	// start, so that no report of the present one says what became of the run.
	overtaken := in.clock != 0 && in.clock < a.worker.clockMillis
	a.worker.recordClock(now, in.clock)
	var refused *RefusedError
	switch {
	case in.err == nil:
		a.markStarted()
		if overtaken {
			a.progressAt, a.uncertainAt = time.Time{}, now
		}
		if a.state == attemptSent {
			a.state = attemptRunning
			a.orderedAt = now
		}
	case errors.As(in.err, &refused):
		m.handleRefusal(now, a, refused)
	case errors.Is(in.err, errWithdrawn):
		m.registry.Count("yard.start_failed.withdrawn")
		m.release(a)
		m.requeue(now, a, "start withdrawn")
	case errors.Is(in.err, ErrNotSent):
		m.registry.Count("yard.start_failed.not_sent")
		m.log.Warn().Err(in.err).Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).
			Int("run", a.run).Str("worker", string(a.worker.id)).Msg("yard: start not sent")
		a.worker.missedCalls++
		m.release(a)
		m.requeue(now, a, "worker not reached")
	default:
		m.registry.Count("yard.start_failed.unclear")
		m.log.Warn().Err(in.err).Str("job", string(a.ref.job)).Int("task", a.ref.index).Int("run", a.run).
			Str("worker", string(a.worker.id)).Msg("yard: no response to start")
		// The worker gets no more starts until its next report.
		a.worker.unresponsive = true
		a.uncertainAt = now
		if a.state == attemptSent {
			a.state, a.orderedAt = attemptUnconfirmed, now
		}
	}
}

// logLateStart logs the result of a start whose run has ended or was given up
// before. Without an error the worker has executed the start.
func (m *Scheduler) logLateStart(in StartedMsg) {
	if errors.Is(in.err, errWithdrawn) {
		return
	}
	o := in.order
	m.log.Info().Err(in.err).Str("job", string(o.task.job)).Int("step", o.task.step).Int("task", o.task.index).Int("run", o.run).
		Str("worker", string(o.to.worker)).Uint64("epoch", uint64(o.epoch)).Msg("yard: late result of a start")
}

// handleRefusal handles a refused start. It frees the capacity and requeues the
// task, unless the worker may have the run.
func (m *Scheduler) handleRefusal(now time.Time, a *attempt, refused *RefusedError) {
	w := a.worker
	m.registry.Count("yard.start_refused." + refused.reason.String())
	m.log.Warn().Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).Int("run", a.run).
		Str("worker", string(w.id)).Uint64("epoch", uint64(m.epoch)).Stringer("reason", refused.reason).Msg("yard: start refused")
	switch refused.reason {
	case RefusedKnownRun:
		// The worker may refuse a repeated order because the run is there
		// already.
		m.stop(now, a)
		return
	case RefusedTicket:
		if t := a.task; t != nil {
			delete(t.step.tickets, w.id)
			delete(t.step.requestedWorkers, w.id)
		}
	case RefusedIncarnation:
		w.missedCalls++
	case RefusedNoCapacity, RefusedBusy:
		w.cooldownUntil = timers.Later(w.cooldownUntil, now.Add(minCooldown))
	}
	m.release(a)
	m.requeue(now, a, "refused "+refused.reason.String())
}

// handleStopped handles the result of a stop order. The worker's next poll is
// due at once, since its report shows whether the run has ended.
func (m *Scheduler) handleStopped(now time.Time, in StoppedMsg) {
	m.checkEpoch(in.err)
	a := m.findAttempt(in.order.to, in.order.task, in.order.run)
	if a == nil {
		return
	}
	if a.stopPermit == in.order.permit {
		a.stopPermit = nil
	}
	a.worker.recordClock(now, in.clock)
	if in.err == nil {
		a.stopConfirmedAt = now
		a.worker.nextPollAt = now
		return
	}
	m.registry.Count("yard.stop_failed")
	if !notExecuted(in.err) {
		a.worker.unresponsive = true
	}
}

// adopt records a run that the worker reports and that this owner has not
// started or has already seen end, as an earlier owner may have started it. It
// stops the run if its task is unknown, done or running elsewhere.
func (m *Scheduler) adopt(now time.Time, w *worker, r RunningTask) *attempt {
	m.keepEndedRun(w, r)
	j := m.jobs[r.task.job]
	a := &attempt{ref: r.task, run: r.run, worker: w, state: attemptRunning, startedAt: now, orderedAt: now}
	var t *task
	if j != nil {
		t = j.task(r.task)
		a.team = j.team
	}
	if t != nil {
		a.size = t.step.spec.Size()
		t.run = max(t.run, r.run)
	} else {
		a.sizeUnknown = true
	}
	m.allocate(a)
	if t == nil || j.state.Ended() || t.state != taskWaiting || t.attempt != nil || (t.step.spec.Gang() && !t.step.sameRun(r.run)) {
		m.log.Warn().Str("job", string(r.task.job)).Int("step", r.task.step).Int("task", r.task.index).Int("run", r.run).
			Str("worker", string(w.id)).Uint64("epoch", uint64(m.epoch)).Bool("known_task", t != nil).Msg("yard: unexpected run stopped")
		m.stop(now, a)
		return a
	}
	a.task, t.attempt, t.state = t, a, taskPlaced
	j.started = true
	return a
}

// sameRun reports whether all running members of the gang have this run number.
func (s *step) sameRun(run int) bool {
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.run != run {
			return false
		}
	}
	return true
}

// handleEnded handles the end of a run and returns the job whose change has to
// be stored before the end is acknowledged, or nil.
func (m *Scheduler) handleEnded(now time.Time, w *worker, e EndedTask) *job {
	a := w.attempts[attemptKey{e.task, e.run}]
	if a != nil {
		m.release(a)
	}
	j := m.jobs[e.task.job]
	if j == nil {
		return nil
	}
	t := j.task(e.task)
	if t == nil {
		return nil
	}
	t.run = max(t.run, e.run)
	j.started = true
	if e.checkpoint != "" && e.result != ResultDone && t.state != taskDone {
		t.setCheckpoint(e.checkpoint)
	}
	if t.attempt == a && a != nil {
		t.unassign()
	}
	if j.state.Ended() {
		return j
	}
	switch e.result {
	case ResultDone:
		w.recordSuccess(now)
		m.finishTask(now, t, e, a != nil)
		return j
	case ResultFailed:
		m.recordFailure(now, w, t, e)
		return j
	case ResultGangTimeout:
		m.registry.Count("yard.gangs_alone")
		m.log.Warn().Str("job", string(j.id)).Int("step", e.task.step).Int("run", e.run).Msg("yard: gang member timed out waiting for the others")
	}
	m.stopGang(now, t.step, e.run)
	return nil
}

// finishTask marks a task as done. When one member of a gang is done, all of
// them are. A long-running task is never done. known reports whether this owner
// knew of the run before its end.
func (m *Scheduler) finishTask(now time.Time, t *task, e EndedTask, known bool) {
	s := t.step
	if s.spec.Lasting() {
		return
	}
	members := []*task{t}
	if s.spec.Gang() {
		members = s.tasks
	}
	for _, member := range members {
		if member.state == taskDone {
			continue
		}
		member.state = taskDone
		if !known {
			member.foundDoneIn = m.epoch
		}
		s.done++
		if member.attempt != nil && member.attempt.run != e.run {
			m.stop(now, member.attempt)
		}
	}
	m.markDirty(s.job)
	if s.job.complete() {
		m.endJob(now, s.job, order.JobCompleted, "all tasks done")
	}
}

// recordFailure counts a failed attempt of a task, or of a whole gang. The job
// fails with the last attempt that its queue allows.
func (m *Scheduler) recordFailure(now time.Time, w *worker, t *task, e EndedTask) {
	m.registry.Count("yard.tasks_failed")
	m.recordWorkerFailure(now, w, t)
	s := t.step
	if t.state == taskDone || s.spec.Lasting() {
		return
	}
	var added bool
	var count int
	if s.spec.Gang() {
		s.gangFailedRuns, added = insertRun(s.gangFailedRuns, e.run)
		count = len(s.gangFailedRuns)
	} else {
		t.failedRuns, added = insertRun(t.failedRuns, e.run)
		count = len(t.failedRuns)
	}
	m.stopGang(now, s, e.run)
	if !added {
		return
	}
	m.markDirty(s.job)
	limit := 1
	if q, ok := m.queueOf(s.job); ok {
		limit = q.MaxAttempts()
	} else {
		return
	}
	m.log.Info().Str("job", string(s.job.id)).Int("step", s.index).Int("task", t.index).Int("run", e.run).
		Str("worker", string(w.id)).Int("failed_attempts", count).Int("limit", limit).Msg("yard: task failed")
	if count >= limit {
		m.endJob(now, s.job, order.JobFailed, "attempts used up")
	}
}
