package berth

import (
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// cooldown keeps new work from a worker that quickly fails tasks that run
	// on other workers.
	cooldown struct {
		failures []time.Time
		until    time.Time
		length   time.Duration
		probe    order.TaskID
	}

	// quickFailure is a failure that no other worker has contradicted yet.
	quickFailure struct {
		host *host
		at   time.Time
	}

	// record tells how tasks of one team and kind ended lately.
	record struct {
		success  map[*host]time.Time
		failures []quickFailure
	}
)

const (
	quickRun         = time.Second
	failureWindow    = time.Minute
	failureCount     = 3
	cooldownFirst    = 10 * time.Second
	cooldownMost     = 5 * time.Minute
	recordedFailures = 64
)

// Reports whether the worker may get the task.
func (c *cooldown) open(now time.Time, id order.TaskID) bool {
	if c.length == 0 {
		return true
	}
	return !now.Before(c.until) && (c.probe == "" || c.probe == id)
}

func (c *cooldown) begin(now time.Time) {
	c.length = min(max(c.length*2, cooldownFirst), cooldownMost)
	c.until = now.Add(c.length)
	c.failures = nil
	c.probe = ""
}

// Notes a reservation; the first one after a cooldown is its trial.
func (c *cooldown) reserved(id order.TaskID) {
	if c.length > 0 {
		c.probe = id
	}
}

// Frees the trial if its task ends without showing anything.
func (c *cooldown) released(id order.TaskID) {
	if c.probe == id {
		c.probe = ""
	}
}

func (c *cooldown) failed(now, at time.Time) bool {
	c.failures = append(c.failures, at)
	c.failures = slices.DeleteFunc(c.failures, func(t time.Time) bool { return now.Sub(t) > failureWindow })
	return len(c.failures) >= failureCount
}

func (m *machine) recordOf(task order.Task) *record {
	key := learnKey{task.Team(), task.Kind()}
	r, ok := m.records[key]
	if !ok {
		r = &record{success: make(map[*host]time.Time)}
		m.records[key] = r
	}
	return r
}

func (m *machine) noteSuccess(now time.Time, e *entry) {
	if e.host.cooldown.probe == e.task.ID() {
		e.host.cooldown = cooldown{}
	}
	r := m.recordOf(e.task)
	r.success[e.host] = now
	var others []quickFailure
	for _, f := range r.failures {
		switch {
		case now.Sub(f.at) > failureWindow:
		case f.host == e.host:
			others = append(others, f)
		default:
			m.blame(now, f.host, f.at)
		}
	}
	r.failures = others
}

// A failure counts against the worker once a task of the same team and kind
// has run elsewhere; a job that fails everywhere blames no worker.
func (m *machine) noteFailure(now time.Time, e *entry, ran time.Duration) {
	if ran >= quickRun {
		e.host.cooldown.released(e.task.ID())
		return
	}
	if e.host.cooldown.probe == e.task.ID() {
		m.startCooldown(now, e.host)
		return
	}
	r := m.recordOf(e.task)
	for h, at := range r.success {
		if h != e.host && now.Sub(at) <= failureWindow {
			m.blame(now, e.host, now)
			return
		}
	}
	if len(r.failures) < recordedFailures {
		r.failures = append(r.failures, quickFailure{host: e.host, at: now})
	}
}

func (m *machine) blame(now time.Time, h *host, at time.Time) {
	if m.deps.policy.noCooldown {
		return
	}
	if h.cooldown.length == 0 && h.cooldown.failed(now, at) {
		m.startCooldown(now, h)
	}
}

func (m *machine) startCooldown(now time.Time, h *host) {
	h.cooldown.begin(now)
	m.deps.registry.Count("berth.cooldowns")
	m.deps.log.Warn().Str("worker", string(h.id())).Dur("length", h.cooldown.length).
		Msg("berth: worker fails tasks that run elsewhere; cooldown")
}
