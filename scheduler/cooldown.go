package scheduler

import (
	"slices"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

// failure is a failed run of a task on a worker.
type failure struct {
	task *task
	at   time.Time
}

const (
	// cooldownThreshold is how many failures have to tell against a worker
	// before it gets no new tasks for a while. A few percent of runs fail
	// through no fault of the worker.
	cooldownThreshold = 2

	// minCooldown and maxCooldown limit the cooldown, which doubles with each
	// further failure.
	minCooldown = 2 * time.Second
	maxCooldown = 16 * time.Second

	// failureWindow is how long a failure tells against a worker, or for the
	// fault of a step. It is longer than the longest cooldown, so that a worker
	// that goes on failing gets longer ones.
	failureWindow = 30 * time.Second
)

// recordWorkerFailure records a failed run of the worker.
func (m *Scheduler) recordWorkerFailure(now time.Time, w *worker, t *task) {
	w.failures = slices.DeleteFunc(w.failures, func(f failure) bool { return now.Sub(f.at) > failureWindow })
	w.failures = append(w.failures, failure{t, now})
	if !slices.Contains(t.failedOn, w.id) {
		t.failedOn = append(t.failedOn, w.id)
	}
	if t.step.failedOn == nil {
		t.step.failedOn = make(map[order.WorkerID]time.Time)
	}
	t.step.failedOn[w.id] = now
	if end := w.failureCooldownEnd(now); end.After(now) {
		m.registry.Count("yard.workers.cooldown")
		m.log.Warn().Str("worker", string(w.id)).Int("failures", len(w.failures)).Dur("for", end.Sub(now)).Msg("yard: worker gets no new work")
	}
}

// recordSuccess forgets the failures of the worker, but does not shorten
// its cooldown.
func (w *worker) recordSuccess(now time.Time) {
	if len(w.failures) == 0 {
		return
	}
	w.cooldownUntil = timers.Later(w.cooldownUntil, w.failureCooldownEnd(now))
	w.failures = nil
}

// coolingDown reports whether the worker gets no new tasks because of its
// failures or refusals.
func (w *worker) coolingDown(now time.Time) bool {
	return now.Before(w.cooldownUntil) || now.Before(w.failureCooldownEnd(now))
}

// failureCooldownEnd returns when the cooldown ends that follows from the
// recent failures. It may become earlier, as tasks fail on other workers too.
// The failures of a job none of whose tasks is known to be sound count once, so
// that a job at fault cannot cool down all workers.
func (w *worker) failureCooldownEnd(now time.Time) time.Time {
	if len(w.failures) < cooldownThreshold {
		return time.Time{}
	}
	count := 0
	var last time.Time
	var doubtful []*job
	for _, f := range w.failures {
		if now.Sub(f.at) > failureWindow || f.task.atFault(now, w.id) {
			continue
		}
		last = f.at
		if j := f.task.step.job; f.task.step.done == 0 {
			if slices.Contains(doubtful, j) {
				continue
			}
			doubtful = append(doubtful, j)
		}
		count++
	}
	if count < cooldownThreshold {
		return time.Time{}
	}
	return last.Add(min(maxCooldown, minCooldown<<min(count-cooldownThreshold, 8)))
}

// atFault reports whether the failures of the task on the worker tell of the
// task: it has failed or stalled on another worker as well, or no task of its
// step is done and the step fails on others.
func (t *task) atFault(now time.Time, on order.WorkerID) bool {
	for _, id := range t.failedOn {
		if id != on {
			return true
		}
	}
	if t.step.done > 0 {
		return false
	}
	for id, at := range t.step.failedOn {
		if id != on && now.Sub(at) <= failureWindow {
			return true
		}
	}
	return false
}
