package placement

import (
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// cooldown keeps new tasks away from a worker that quickly fails tasks
	// which succeed on other workers. It works like a circuit breaker:
	// after the cooldown one probe task is allowed, whose outcome ends the
	// cooldown or starts a longer one. length is zero without a cooldown.
	cooldown struct {
		failures []time.Time
		until    time.Time
		length   time.Duration
		probe    order.TaskID
	}

	// quickFailure is a failure on one worker for which no task of the same
	// team and kind has succeeded elsewhere yet.
	quickFailure struct {
		host *host
		at   time.Time
	}

	// outcomeHistory holds the recent outcomes of the tasks of one team and
	// kind: the last success on each worker, and quick failures that may
	// still count against their worker.
	outcomeHistory struct {
		lastSuccess map[*host]time.Time
		failures    []quickFailure
	}
)

const (
	// A failure is quick if the task ran for less than quickFailureTime.
	quickFailureTime = time.Second

	// A worker enters cooldown after failureThreshold failures within
	// failureWindow. Each cooldown is twice as long as the one before, from
	// minCooldown to maxCooldown, until a probe task succeeds.
	failureWindow    = time.Minute
	failureThreshold = 3
	minCooldown      = 10 * time.Second
	maxCooldown      = 5 * time.Minute

	// maxQuickFailures limits the quick failures remembered per team and
	// kind.
	maxQuickFailures = 64
)

// allows reports whether the worker may get the task.
func (c *cooldown) allows(now time.Time, id order.TaskID) bool {
	if c.length == 0 {
		return true
	}
	return !now.Before(c.until) && (c.probe == "" || c.probe == id)
}

func (c *cooldown) start(now time.Time) {
	c.length = min(max(c.length*2, minCooldown), maxCooldown)
	c.until = now.Add(c.length)
	c.failures = nil
	c.probe = ""
}

// taskReserved records a reservation on the worker. The first one after a
// cooldown becomes the probe.
func (c *cooldown) taskReserved(id order.TaskID) {
	if c.length > 0 {
		c.probe = id
	}
}

// taskReleased allows another probe if the current one ended without a result
// that shows whether the worker works.
func (c *cooldown) taskReleased(id order.TaskID) {
	if c.probe == id {
		c.probe = ""
	}
}

// addFailure adds a failure and reports whether there were failureThreshold or
// more within failureWindow.
func (c *cooldown) addFailure(now, at time.Time) bool {
	c.failures = append(c.failures, at)
	c.failures = slices.DeleteFunc(c.failures, func(t time.Time) bool { return now.Sub(t) > failureWindow })
	return len(c.failures) >= failureThreshold
}

func (m *machine) historyOf(task order.Task) *outcomeHistory {
	key := workloadKey{task.Team(), task.Kind()}
	r, ok := m.histories[key]
	if !ok {
		r = &outcomeHistory{lastSuccess: make(map[*host]time.Time)}
		m.histories[key] = r
	}
	return r
}

// recordSuccess records a successful task. Quick failures of the same team and
// kind on other workers now count against those workers.
func (m *machine) recordSuccess(now time.Time, e *entry) {
	if e.host.cooldown.probe == e.task.ID() {
		e.host.cooldown = cooldown{}
	}
	r := m.historyOf(e.task)
	r.lastSuccess[e.host] = now
	var kept []quickFailure
	for _, f := range r.failures {
		switch {
		case now.Sub(f.at) > failureWindow:
		case f.host == e.host:
			kept = append(kept, f)
		default:
			m.countFailure(now, f.host, f.at)
		}
	}
	r.failures = kept
}

// recordFailure records a failed task. A quick failure counts against the
// worker only once a task of the same team and kind has succeeded elsewhere, so
// a job that fails everywhere puts no worker into cooldown.
func (m *machine) recordFailure(now time.Time, e *entry, ran time.Duration) {
	if ran >= quickFailureTime {
		e.host.cooldown.taskReleased(e.task.ID())
		return
	}
	if e.host.cooldown.probe == e.task.ID() {
		m.startCooldown(now, e.host)
		return
	}
	r := m.historyOf(e.task)
	for h, at := range r.lastSuccess {
		if h != e.host && now.Sub(at) <= failureWindow {
			m.countFailure(now, e.host, now)
			return
		}
	}
	if len(r.failures) < maxQuickFailures {
		r.failures = append(r.failures, quickFailure{host: e.host, at: now})
	}
}

func (m *machine) countFailure(now time.Time, h *host, at time.Time) {
	if m.deps.policy.noCooldown {
		return
	}
	if h.cooldown.length == 0 && h.cooldown.addFailure(now, at) {
		m.startCooldown(now, h)
	}
}

func (m *machine) startCooldown(now time.Time, h *host) {
	h.cooldown.start(now)
	m.deps.registry.Count("berth.cooldowns")
	m.deps.log.Warn().Str("worker", string(h.id())).Dur("length", h.cooldown.length).
		Msg("berth: worker fails tasks that run elsewhere; cooldown")
}
