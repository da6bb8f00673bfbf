package scheduler

import (
	"slices"
	"time"

	"chervilhollow/order"
)

const (
	// bestEffortRetryDelay is how long a best-effort step that found no
	// capacity, or no host for its advice request, is skipped. Jobs that can never run would otherwise take up
	// every round and starve those behind them.
	bestEffortRetryDelay = 250 * time.Millisecond

	// maxWaitEachRound is how long a step that is not best-effort may find no
	// capacity before it is skipped as well, in a backlog that a round does not
	// get through. A shorter time would give capacity that becomes free to less
	// urgent steps.
	maxWaitEachRound = 3 * time.Second

	// placeInterval limits placement to 125 rounds a second. The tightest
	// latency objective leaves a few hundred milliseconds for scheduling.
	placeInterval = 8 * time.Millisecond

	// placeIntervalPerStep is added to the interval for each pending step.
	// Sorting a step takes about a microsecond, so a long backlog costs a few
	// percent of a core.
	placeIntervalPerStep = 40 * time.Microsecond

	// maxUnplacedSteps is how many steps may find no capacity, or no host for
	// their advice request, before a round ends. The steps after them are less
	// urgent, and a round over a long backlog would take processor time from
	// the owner's other work.
	maxUnplacedSteps = 48

	// waitLogAfter and waitLogEvery limit the log lines about waiting steps:
	// none for a step whose job was accepted less than a second ago, then one
	// for each new reason, then one every 5 s.
	waitLogAfter = time.Second
	waitLogEvery = 5 * time.Second
)

// place runs one round of placement: it starts the tasks for which there is
// capacity, the most urgent steps first.
func (m *Scheduler) place(now time.Time) {
	m.expireAdvice(now)
	mayStart := m.mayStart(now)
	m.logStarts(now, mayStart)
	if !mayStart || now.Before(m.nextPlacement) {
		return
	}
	recovered := m.recovered()
	m.logRecovered(now, recovered)
	m.updateUnconfirmed(now, recovered)
	reserved := make(map[order.WorkerID]bool)
	unplaced := 0
	pending := m.pendingSteps(now, recovered)
	m.nextPlacement = now.Add(placeInterval + time.Duration(len(pending))*placeIntervalPerStep)
	m.headroom = m.measureHeadroom(now)
	for i, p := range pending {
		if unplaced == maxUnplacedSteps {
			m.registry.Count("yard.waits.round")
			for _, later := range pending[i:] {
				later.step.recordWaiting(now)
			}
			return
		}
		if now.Before(p.step.retryAt) {
			continue
		}
		if m.placeStep(now, p, reserved) {
			p.step.waitingSince = time.Time{}
			continue
		}
		unplaced++
		p.recordNoRoom(now, m.nextPlacement.Sub(now), len(pending))
	}
}

// recordNoRoom sets when a step that found no capacity is considered again, for
// rounds of the length over a backlog of pending steps. Gangs that are not
// best-effort are considered in each round, since they reserve workers there.
func (p pendingStep) recordNoRoom(now time.Time, round time.Duration, pending int) {
	s := p.step
	s.recordWaiting(now)
	switch {
	case p.rank == rankBestEffort:
		s.retryAt = now.Add(bestEffortRetryDelay)
	case pending > maxUnplacedSteps && !s.spec.Gang() && now.Sub(s.waitingSince) > maxWaitEachRound:
		// Twice the time in which the rounds get through the backlog.
		s.retryAt = now.Add(max(bestEffortRetryDelay, 2*round*time.Duration(pending/maxUnplacedSteps+1)))
	}
}

// recordWaiting records that the step waits for capacity or for its turn.
func (s *step) recordWaiting(now time.Time) {
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
}

// placeStep starts the tasks of a step, or requests the advice that it needs
// first. It returns false if the step found no capacity for all of them, or no
// host for its first request. A step that has to wait for other reasons does
// not count as such.
func (m *Scheduler) placeStep(now time.Time, p pendingStep, reserved map[order.WorkerID]bool) bool {
	switch {
	case p.queue.Advice().Needed() && p.step.tickets == nil:
		return m.advise(now, p)
	case !m.withinTeamLimit(p.step.job, p.step.spec.Size(), p.step.tasksAtOnce()):
		m.recordWait(now, p, "team_limit", 0)
		return true
	case m.leavesHeadroom(now, p):
		m.recordWait(now, p, "headroom", 0)
		return true
	case p.step.spec.Gang():
		m.placeGang(now, p, reserved)
	default:
		m.placeTasks(now, p, reserved)
	}
	return !p.step.startable(now)
}

// schedulable reports whether the worker may get new tasks of the service.
func (m *Scheduler) schedulable(now time.Time, w *worker, service string) bool {
	return w.listed && !w.infoStale && w.persisted() && w.contacted && !w.draining && w.missedCalls == 0 && !w.unresponsive && w.unknownSizes == 0 &&
		w.info.service == service && !m.withdrawn[w.info.domain] && !w.coolingDown(now)
}

// feasible reports whether an empty worker could run a task of the step: its
// capacity is large enough and it has the label.
func (m *Scheduler) feasible(w *worker, s *step) bool {
	return s.spec.Size().FitsIn(w.info.capacity) &&
		(s.spec.Label() == "" || slices.Contains(w.info.labels, s.spec.Label()))
}

// feasibleWorkers returns the schedulable workers that could run a task of the
// step. It ignores what the workers have allocated.
func (m *Scheduler) feasibleWorkers(now time.Time, p pendingStep) []*worker {
	var list []*worker
	for _, w := range m.allowedWorkers(p) {
		if m.schedulable(now, w, p.queue.Service()) && m.feasible(w, p.step) {
			list = append(list, w)
		}
	}
	return list
}

// allowedWorkers returns the workers that the advice service allows for the
// step, or all workers if the queue needs no advice.
func (m *Scheduler) allowedWorkers(p pendingStep) []*worker {
	if !p.queue.Advice().Needed() {
		return m.sortedWorkers()
	}
	list := make([]*worker, 0, len(p.step.tickets))
	for _, id := range p.step.ticketedWorkers {
		if _, ok := p.step.tickets[id]; !ok {
			continue
		}
		if w := m.workers[id]; w != nil {
			list = append(list, w)
		}
	}
	return list
}

// tasksOn counts the tasks of the step that take up capacity on the worker.
func (s *step) tasksOn(w *worker) int {
	n := 0
	for key := range w.attempts {
		if key.ref.job == s.job.id && key.ref.step == s.index && key.ref.occurrence == s.occurrence {
			n++
		}
	}
	return n
}

// withinTeamLimit reports whether the limit of the job's team allows n more
// tasks of the size.
func (m *Scheduler) withinTeamLimit(j *job, size order.Resources, n int) bool {
	return m.usage[j.team].Plus(m.unconfirmed[j.team]).Plus(size.Times(n)).Within(j.limit)
}

// placeTasks starts the waiting tasks of a step one by one, on workers with a
// valid ticket. It requests advice if only a ticket or only capacity is
// missing.
func (m *Scheduler) placeTasks(now time.Time, p pendingStep, reserved map[order.WorkerID]bool) {
	feasible := m.feasibleWorkers(now, p)
	size := p.step.spec.Size()
	ticketed := p.withTickets(now, feasible)
	ticketless, started := false, 0
	defer func() { m.logPlaced(now, p, started, len(feasible)) }()
	for _, task := range p.step.tasks {
		if task.state != taskWaiting {
			continue
		}
		if !m.withinTeamLimit(p.step.job, size, 1) {
			m.recordWait(now, p, "team_limit", len(feasible))
			return
		}
		if m.leavesHeadroom(now, p) {
			m.recordWait(now, p, "headroom", len(feasible))
			return
		}
		w := m.chooseWorker(p, task, ticketed, reserved)
		if w == nil {
			ticketless = m.chooseWorker(p, task, feasible, reserved) != nil
			break
		}
		m.start(now, task, w, m.nextRun(task))
		m.headroom.take(p.queue.Service(), size)
		p.step.waitingSince = time.Time{}
		started++
	}
	switch {
	case ticketless:
		m.recordWait(now, p, "tickets", len(feasible))
		m.requestMoreAdvice(now, p)
	case p.step.startable(now):
		m.recordWait(now, p, "room", len(feasible))
		m.requestMoreAdvice(now, p)
	}
}

// requestMoreAdvice requests advice for a step that found no capacity on the
// workers for which it has tickets.
func (m *Scheduler) requestMoreAdvice(now time.Time, p pendingStep) {
	if p.queue.Advice().Needed() {
		m.advise(now, p)
	}
}

// chooseWorker returns the worker with the highest score for a task, or nil if
// it fits on none. Workers where the task has failed come last.
func (m *Scheduler) chooseWorker(p pendingStep, task *task, feasible []*worker, reserved map[order.WorkerID]bool) *worker {
	var best *worker
	var bestScore float64
	size := p.step.spec.Size()
	for _, w := range feasible {
		if reserved[w.id] || !w.used.Plus(size).FitsIn(w.info.capacity) {
			continue
		}
		if limit := p.step.spec.PerWorker(); limit > 0 && p.step.tasksOn(w) >= limit {
			continue
		}
		score := m.score(w, p.step)
		if slices.Contains(task.failedOn, w.id) {
			score -= failedPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

const (
	// failedPenalty and dataRackBonus outweigh any difference in fit, which is
	// at most one.
	failedPenalty = 10.0
	dataRackBonus = 4.0
)

// score returns how well the worker fits the step. Fuller workers score higher
// (best fit), which keeps large blocks of capacity free for large tasks.
func (m *Scheduler) score(w *worker, s *step) float64 {
	score := 1 - w.free
	if rack := s.spec.DataRack(); rack != "" && rack == w.rack {
		score += dataRackBonus
	}
	return score
}

// logPlaced logs one line for all tasks of a step that this round started.
func (m *Scheduler) logPlaced(now time.Time, p pendingStep, started, feasible int) {
	if started == 0 {
		return
	}
	waited := now.Sub(p.step.job.accepted)
	m.registry.Observe("yard.wait", waited)
	m.log.Info().Str("job", string(p.step.job.id)).Int("occurrence", p.step.occurrence).Int("step", p.step.index).
		Int("tasks", started).Int("options", feasible).Stringer("rank", p.rank).Dur("since_accepted", waited).
		Dur("until_due", p.due.Sub(now)).Msg("yard: placed")
}

// recordWait counts and logs why a step was not started in this round. It logs
// when the reason changes, and else every waitLogEvery.
func (m *Scheduler) recordWait(now time.Time, p pendingStep, reason string, feasible int) {
	m.registry.Count("yard.waits." + reason)
	s := p.step
	if reason == s.waitReason && now.Sub(s.waitLoggedAt) < waitLogEvery {
		return
	}
	if now.Sub(p.step.job.accepted) < waitLogAfter {
		return
	}
	s.waitReason, s.waitLoggedAt = reason, now
	m.log.Info().Str("job", string(s.job.id)).Int("occurrence", s.occurrence).Int("step", s.index).Str("reason", reason).
		Int("options", feasible).Int("asked", len(s.requestedWorkers)).Bool("asking", len(s.openRequests) > 0).Stringer("rank", p.rank).
		Dur("until_due", p.due.Sub(now)).Msg("yard: waits")
}

// withTickets returns the workers for which the step has a valid ticket.
func (p pendingStep) withTickets(now time.Time, feasible []*worker) []*worker {
	if !p.queue.Advice().Needed() {
		return feasible
	}
	list := make([]*worker, 0, len(feasible))
	for _, w := range feasible {
		if p.step.tickets[w.id].validUntil.After(now) {
			list = append(list, w)
		}
	}
	return list
}
