package scheduler

import (
	"time"

	"chervilhollow/timers"
)

const (
	// minStallWindow is the shortest time without progress after which a run
	// counts as stalled. A worker is polled at least once a second, and tasks
	// take up to 15 s, 7% of them in a second.
	minStallWindow = 2500 * time.Millisecond

	// stallDivisor sets the part of its estimate that a run may make no
	// progress for: one in this many. Progress is reported in whole percent.
	stallDivisor = 20

	// maxLostWork is the most work that is discarded to restart a stalled task
	// elsewhere. Repeating more is likely to take longer than the stall.
	maxLostWork = 2 * time.Second
)

// stalled reports whether a run makes no progress although its worker responds.
// Long-running tasks report no progress and never count as stalled.
func (m *Scheduler) stalled(now time.Time, a *attempt) bool {
	if a.state != attemptRunning || a.task == nil || a.task.step.spec.Lasting() || a.percent >= 100 {
		return false
	}
	window := max(minStallWindow, a.task.step.spec.Estimate()/stallDivisor)
	return !a.progressAt.IsZero() && now.Sub(a.progressAt) >= window
}

// moveStalled stops a stalled run and puts its worker on a cooldown, so that
// the task starts elsewhere. It does nothing if that would discard too much
// work.
func (m *Scheduler) moveStalled(now time.Time, a *attempt) {
	spec := a.task.step.spec
	workDone := time.Duration(a.percent) * spec.Estimate() / 100
	if !spec.Checkpoint() && workDone > maxLostWork {
		return
	}
	m.registry.Count("yard.stalled")
	m.log.Warn().Str("job", string(a.ref.job)).Int("step", a.ref.step).Int("task", a.ref.index).Int("run", a.run).
		Str("worker", string(a.worker.id)).Int("percent", a.percent).Dur("still_for", now.Sub(a.progressAt)).Msg("yard: run stalled")
	a.task.failedOn = append(a.task.failedOn, a.worker.id)
	a.worker.cooldownUntil = timers.Later(a.worker.cooldownUntil, now.Add(minCooldown))
	m.stop(now, a)
}
