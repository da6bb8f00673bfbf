package yard

import (
	"errors"
	"time"

	"chervilhollow/order"
	"chervilhollow/tide"
)

const (
	// stopRepeat is when a stop without an effect is sent again.
	stopRepeat = 700 * time.Millisecond

	// epochRuns separates the run numbers of successive owners of a job. No
	// task is started this often by one owner.
	epochRuns = 1000

	// coolFailures is how many failed tasks in a row keep new work from a
	// worker; tasks fail by their own fault in a few percent of runs.
	coolFailures = 2

	// coolFirst and coolMost bound how long a failing worker gets no work.
	coolFirst = 2 * time.Second
	coolMost  = 16 * time.Second
)

// start places a task on a worker.
func (m *Machine) start(now time.Time, t *task, w *worker, run int) {
	j := t.step.job
	a := &attempt{
		ref: t.ref(), run: run, task: t, worker: w, size: t.step.spec.Size(),
		team: j.team, state: attemptSent, since: now, asked: now,
	}
	t.state, t.run, t.attempt = taskPlaced, run, a
	m.occupy(a)
	m.registry.Invariant(w.used.FitsIn(w.info.capacity), "room",
		"worker %s is given more than it has room for", w.id)
	j.started = true
	o := StartOrder{
		to: w.address(), task: a.ref, run: run, payload: j.spec.Payload(),
		deadline: m.grant(now, w), epoch: m.epoch, checkpoint: t.resume(),
	}
	if held, ok := t.step.allowed[w.id]; ok {
		o.ticket = held.text
	}
	m.registry.Count("yard.starts")
	m.emit(StartCmd{order: o})
}

func (t *task) resume() string {
	if t.step.spec.Gang() {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// nextRun returns the number of the next run of a task.
func (m *Machine) nextRun(t *task) int {
	base := int(m.epoch-t.step.job.epoch) * epochRuns
	return max(t.run, base) + 1
}

func (m *Machine) occupy(a *attempt) {
	a.worker.attempts[attemptKey{a.ref, a.run}] = a
	a.worker.used = a.worker.used.Plus(a.size)
	m.usage[a.team] = m.usage[a.team].Plus(a.size)
	if a.unsized {
		a.worker.unsized++
	}
}

// release frees the room of a run that has certainly ended.
func (m *Machine) release(a *attempt) {
	key := attemptKey{a.ref, a.run}
	if a.worker.attempts[key] != a {
		return
	}
	delete(a.worker.attempts, key)
	a.worker.used = a.worker.used.Minus(a.size)
	m.usage[a.team] = m.usage[a.team].Minus(a.size)
	if a.unsized {
		a.worker.unsized--
	}
}

// lost makes the task of a run that ended without an outcome wait again.
func (m *Machine) lost(now time.Time, a *attempt, reason string) {
	t := a.task
	if t == nil || t.attempt != a {
		return
	}
	t.attempt = nil
	if t.state == taskPlaced {
		t.state = taskWaiting
	}
	m.registry.Count("yard.retries." + counterName(reason))
	m.log.Info().Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).Int("run", a.run).
		Str("worker", string(a.worker.id)).Str("reason", reason).Msg("yard: run lost")
	m.breakGang(now, t.step, a.run)
}

func counterName(reason string) string {
	name := []byte(reason)
	for i, c := range name {
		if c == ' ' {
			name[i] = '_'
		}
	}
	return string(name)
}

// breakGang stops the other members of a run that cannot be complete.
func (m *Machine) breakGang(now time.Time, s *step, run int) {
	if !s.spec.Gang() {
		return
	}
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.run == run {
			m.stop(now, t.attempt)
		}
	}
}

// stop asks the worker to end a run. The room stays occupied until then.
func (m *Machine) stop(now time.Time, a *attempt) {
	if a.state == attemptStopping {
		return
	}
	a.state = attemptStopping
	m.sendStop(now, a)
}

func (m *Machine) sendStop(now time.Time, a *attempt) {
	a.asked = now
	m.registry.Count("yard.stops")
	m.emit(StopCmd{order: StopOrder{to: a.worker.address(), task: a.ref, run: a.run, epoch: m.epoch}})
}

// find returns the run that an order was about, in the same life of its
// worker.
func (m *Machine) find(to Address, ref TaskRef, run int) *attempt {
	w := m.workers[to.worker]
	if w == nil || w.info.life != to.life {
		return nil
	}
	return w.attempts[attemptKey{ref, run}]
}

// startResult takes the answer to a StartOrder.
func (m *Machine) startResult(now time.Time, in StartedMsg) {
	a := m.find(in.order.to, in.order.task, in.order.run)
	if a == nil {
		return
	}
	a.worker.readClock(now, in.clock)
	var refused *RefusedError
	switch {
	case in.err == nil:
		if a.state == attemptSent {
			a.state = attemptRunning
			a.asked = now
		}
	case errors.As(in.err, &refused):
		m.startRefused(now, a, refused)
	case errors.Is(in.err, ErrNotSent):
		m.registry.Count("yard.start_failed.not_sent")
		a.worker.misses++
		m.release(a)
		m.lost(now, a, "worker not reached")
	default:
		m.registry.Count("yard.start_failed.unclear")
		m.log.Warn().Err(in.err).Str("job", string(a.ref.job)).Int("task", a.ref.index).Int("run", a.run).
			Str("worker", string(a.worker.id)).Msg("yard: start has no answer")
		// The worker gets nothing more until it reports again.
		a.worker.mute = true
		if a.state == attemptSent {
			a.state, a.asked = attemptUnclear, now
		}
	}
}

func (m *Machine) startRefused(now time.Time, a *attempt, refused *RefusedError) {
	w := a.worker
	m.registry.Count("yard.start_refused." + refused.reason.String())
	m.log.Warn().Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).Int("run", a.run).
		Str("worker", string(w.id)).Stringer("reason", refused.reason).Msg("yard: start refused")
	switch refused.reason {
	case RefusedRun:
		// An answer to a repeated order may say so of a run that is there.
		m.stop(now, a)
		return
	case RefusedTicket:
		if t := a.task; t != nil {
			delete(t.step.allowed, w.id)
			delete(t.step.asked, w.id)
		}
	case RefusedLife:
		w.misses++
	case RefusedRoom, RefusedBusy:
		w.coolUntil = tide.Later(w.coolUntil, now.Add(coolFirst))
	}
	m.release(a)
	m.lost(now, a, "refused "+refused.reason.String())
}

// stopResult takes the answer to a StopOrder.
func (m *Machine) stopResult(now time.Time, in StoppedMsg) {
	a := m.find(in.order.to, in.order.task, in.order.run)
	if a == nil {
		return
	}
	a.worker.readClock(now, in.clock)
	if in.err == nil {
		a.stopped = now
		a.worker.holdNext = now
		return
	}
	m.registry.Count("yard.stop_failed")
}

// adopt takes a run that the worker reports and no order of this owner
// explains: it was started by an earlier owner, or its end is known already.
func (m *Machine) adopt(now time.Time, w *worker, r RunningTask) *attempt {
	j := m.jobs[r.task.job]
	a := &attempt{ref: r.task, run: r.run, worker: w, state: attemptRunning, since: now, asked: now}
	var t *task
	if j != nil {
		t = j.task(r.task)
		a.team = j.team
	}
	if t != nil {
		a.size = t.step.spec.Size()
		t.run = max(t.run, r.run)
	} else {
		a.unsized = true
	}
	m.occupy(a)
	if t == nil || j.state.Ended() || t.state != taskWaiting || t.attempt != nil || (t.step.spec.Gang() && !t.step.sameRun(r.run)) {
		m.log.Warn().Str("job", string(r.task.job)).Int("task", r.task.index).Int("run", r.run).
			Str("worker", string(w.id)).Msg("yard: run not wanted")
		m.stop(now, a)
		return a
	}
	a.task, t.attempt, t.state = t, a, taskPlaced
	j.started = true
	return a
}

// sameRun reports whether the run is that of the gang's other members.
func (s *step) sameRun(run int) bool {
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.run != run {
			return false
		}
	}
	return true
}

// end handles the end of a run and returns the job whose change has to be
// stored before the end is acknowledged.
func (m *Machine) end(now time.Time, w *worker, e EndedTask) *job {
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
	if e.checkpoint != "" && e.how != EndDone && t.state != taskDone {
		t.setCheckpoint(e.checkpoint)
	}
	if t.attempt == a && a != nil {
		t.attempt = nil
		if t.state == taskPlaced {
			t.state = taskWaiting
		}
	}
	if j.state.Ended() {
		return j
	}
	switch e.how {
	case EndDone:
		w.failures = 0
		m.finish(now, t, e)
		return j
	case EndFailed:
		m.failed(now, w, t, e)
		return j
	case EndAlone:
		m.registry.Count("yard.gangs_alone")
		m.log.Warn().Str("job", string(j.id)).Int("step", e.task.step).Int("run", e.run).Msg("yard: gang member waited in vain")
	}
	m.breakGang(now, t.step, e.run)
	return nil
}

// finish marks a task as done; one end represents all members of a gang.
func (m *Machine) finish(now time.Time, t *task, e EndedTask) {
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
		s.done++
		if member.attempt != nil && member.attempt.run != e.run {
			m.stop(now, member.attempt)
		}
	}
	m.touch(s.job)
	if s.job.complete() {
		m.endJob(now, s.job, order.JobCompleted, "all tasks done")
	}
}

// failed counts a failed attempt. With the last one the job has failed.
func (m *Machine) failed(now time.Time, w *worker, t *task, e EndedTask) {
	m.registry.Count("yard.tasks_failed")
	m.coolDown(now, w)
	s := t.step
	t.failedOn = append(t.failedOn, w.id)
	if t.state == taskDone || s.spec.Lasting() {
		return
	}
	var fresh bool
	var count int
	if s.spec.Gang() {
		s.gangRuns, fresh = addRun(s.gangRuns, e.run)
		count = len(s.gangRuns)
	} else {
		t.failedRuns, fresh = addRun(t.failedRuns, e.run)
		count = len(t.failedRuns)
	}
	m.breakGang(now, s, e.run)
	if !fresh {
		return
	}
	m.touch(s.job)
	limit := 1
	if q, ok := m.config.Queue(s.job.queue); ok {
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

// coolDown keeps new work from a worker that fails one task after the other.
func (m *Machine) coolDown(now time.Time, w *worker) {
	w.failures++
	if w.failures < coolFailures {
		return
	}
	length := min(coolMost, coolFirst<<min(w.failures-coolFailures, 8))
	w.coolUntil = tide.Later(w.coolUntil, now.Add(length))
	m.log.Warn().Str("worker", string(w.id)).Int("failures", w.failures).Dur("for", length).Msg("yard: worker gets no new work")
}
