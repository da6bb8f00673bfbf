package sample

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Workers serves the worker protocol of many workers, each below
	// /w/<id>, with POST /switch and GET /audit for tests.
	Workers struct {
		clock   tide.Clock
		lag     time.Duration
		workers map[order.WorkerID]*worker
		audit   *audit
		mux     *http.ServeMux
		group   sync.WaitGroup
		closed  chan struct{}
		once    sync.Once
	}

	worker struct {
		mu          sync.Mutex
		parent      *Workers
		spec        WorkerSpec
		began       time.Time
		incarnation string
		lastClock   int64
		fence       order.Epoch
		sequence    uint64
		running     map[order.TaskID]*run
		ended       map[order.TaskID]*workerOutcome
		forgotten   map[workerRef]time.Time
		purged      time.Time
		changed     chan struct{}
		resumed     chan struct{}
		mode        workerMode
	}

	workerMode struct {
		fail   bool
		refuse bool
		slow   time.Duration
		drop   bool
	}

	// run is one task that a worker runs.
	run struct {
		start    workerStart
		plan     payloadPlan
		lease    atomic.Int64
		started  time.Time
		throttle int
		end      chan string
	}

	payloadPlan struct {
		RunMS  *int64  `json:"run_ms"`
		Result *string `json:"result"`
		Fail   bool    `json:"fail"`
		Use    struct {
			Cores        float64 `json:"cores"`
			MemoryMB     int64   `json:"memory_mb"`
			Accelerators int     `json:"accelerators"`
		} `json:"use"`
	}
)

const (
	defaultRunTime  = 10 * time.Millisecond
	forgottenPeriod = 30 * time.Second
	throttleNone    = 100

	statusDone         = "done"
	statusFailed       = "failed"
	statusStopped      = "stopped"
	statusCheckpointed = "checkpointed"
	statusLapsed       = "lapsed"
	statusCrashed      = "crashed"
)

// NewWorkers returns the stand-in of the given workers.
func NewWorkers(clock tide.Clock, settings WorkerSettings) *Workers {
	s := &Workers{
		clock:   clock,
		lag:     settings.lag(),
		workers: make(map[order.WorkerID]*worker),
		audit:   newAudit(),
		closed:  make(chan struct{}),
	}
	for _, spec := range settings.All() {
		s.workers[spec.ID] = newWorker(s, spec)
	}
	s.mux = s.routes()
	return s
}

// Close stops all tasks and waits for them.
func (s *Workers) Close() {
	s.once.Do(func() { close(s.closed) })
	s.group.Wait()
}

func newWorker(parent *Workers, spec WorkerSpec) *worker {
	resumed := make(chan struct{})
	close(resumed)
	w := &worker{parent: parent, spec: spec, resumed: resumed, changed: make(chan struct{})}
	w.reset()
	return w
}

// Forgets all tasks and outcomes, as a worker that starts anew does.
func (w *worker) reset() {
	w.began = w.parent.clock.Now()
	w.incarnation = ulid.Make().String()
	w.lastClock = 0
	w.fence = 0
	w.sequence = 0
	w.running = make(map[order.TaskID]*run)
	w.ended = make(map[order.TaskID]*workerOutcome)
	w.forgotten = make(map[workerRef]time.Time)
}

func (w *worker) stamp() workerStamp {
	clock := w.parent.clock.Now().Sub(w.began).Microseconds()
	if clock <= w.lastClock {
		clock = w.lastClock + 1
	}
	w.lastClock = clock
	return workerStamp{Incarnation: w.incarnation, Clock: clock}
}

// The lease counts from the clock reading that the caller sends back. It
// returns false if the lease is over or the reading is of an earlier run.
func (w *worker) leaseEnd(asOf workerStamp, lease int64) (time.Time, bool) {
	end := w.began.Add(time.Duration(asOf.Clock)*time.Microsecond + time.Duration(lease)*time.Millisecond)
	return end, asOf.Incarnation == w.incarnation && end.After(w.parent.clock.Now())
}

// Returns the reason of a refusal, or "" after the start.
func (w *worker) startTask(m workerStart) string {
	now := w.parent.clock.Now()
	ref := m.workerRef
	if w.spec.Fenced && m.Epoch < w.fence {
		return "stale_epoch"
	}
	if r, ok := w.running[m.Task]; ok {
		return otherAttempt(r.start.Attempt, m.Attempt)
	}
	if o, ok := w.ended[m.Task]; ok && o.Attempt >= m.Attempt {
		return otherAttempt(o.Attempt, m.Attempt)
	}
	if _, ok := w.forgotten[ref]; ok {
		return "forgotten"
	}
	lease, ok := w.leaseEnd(m.AsOf, m.Lease)
	switch {
	case !ok:
		return "stale_stamp"
	case w.mode.refuse:
		return "failing"
	case len(w.running) >= min(w.spec.Slots, w.spec.Connections):
		return "no_room"
	}
	r := &run{start: m, started: now, throttle: throttleNone, end: make(chan string, 1)}
	r.lease.Store(lease.UnixNano())
	r.plan = parsePlan(m.Payload)
	w.running[m.Task] = r
	w.parent.audit.started(w, r, now)
	w.parent.group.Add(1)
	go w.execute(r, w.mode)
	return ""
}

func otherAttempt(known, asked order.Attempt) string {
	if known == asked {
		return ""
	}
	return "other_attempt"
}

// Runs one task until its time is over, its lease lapses or it is stopped.
func (w *worker) execute(r *run, mode workerMode) {
	defer w.parent.group.Done()
	clock := w.parent.clock
	done := clock.After(r.plan.runTime(mode))
	for {
		lease := clock.After(r.leaseEnd().Sub(clock.Now()))
		select {
		case <-w.parent.closed:
			return
		case status := <-r.end:
			w.finish(r, status)
			return
		case <-done:
			w.awaitResume()
			w.finish(r, r.plan.status(mode))
			return
		case <-lease:
			w.awaitResume()
			if !r.leaseEnd().After(clock.Now()) {
				w.finish(r, statusLapsed)
				return
			}
		}
	}
}

func (w *worker) awaitResume() {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
	case <-w.parent.closed:
	}
}

func (w *worker) finish(r *run, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[r.start.Task] != r {
		return
	}
	now := w.parent.clock.Now()
	if !r.leaseEnd().After(now) {
		status = statusLapsed
	}
	delete(w.running, r.start.Task)
	w.parent.audit.ended(w, r)
	w.parent.audit.finished(r.start.Task, status)
	w.sequence++
	w.ended[r.start.Task] = newWorkerOutcome(r, w.sequence, status, now)
	w.notify()
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Ends the lapsed tasks before any message is handled, so that a worker that
// wakes does not renew what has lapsed.
func (w *worker) enforceLeases() {
	now := w.parent.clock.Now()
	for id, r := range w.running {
		if r.leaseEnd().After(now) {
			continue
		}
		delete(w.running, id)
		w.parent.audit.ended(w, r)
		w.parent.audit.finished(id, statusLapsed)
		w.sequence++
		w.ended[id] = newWorkerOutcome(r, w.sequence, statusLapsed, now)
		r.signal(statusLapsed)
		w.notify()
	}
	w.purgeForgotten(now)
}

func (w *worker) purgeForgotten(now time.Time) {
	if now.Sub(w.purged) < time.Second {
		return
	}
	w.purged = now
	for ref, until := range w.forgotten {
		if !until.After(now) {
			delete(w.forgotten, ref)
		}
	}
}

func (w *worker) crash() {
	for _, r := range w.running {
		w.parent.audit.ended(w, r)
		w.parent.audit.finished(r.start.Task, statusCrashed)
		r.signal(statusCrashed)
	}
	w.reset()
	w.notify()
}

func (r *run) leaseEnd() time.Time { return time.Unix(0, r.lease.Load()) }

func (r *run) signal(status string) {
	select {
	case r.end <- status:
	default:
	}
}

func (r *run) use() workerSize {
	use := r.start.Size
	if r.plan.Use.Cores > 0 {
		use.Cores = order.MilliCores(r.plan.Use.Cores * 1000)
	}
	if r.plan.Use.MemoryMB > 0 {
		use.Memory = order.Bytes(r.plan.Use.MemoryMB << 20)
	}
	if r.plan.Use.Accelerators > 0 {
		use.Accelerators = r.plan.Use.Accelerators
	}
	use.Cores = use.Cores * order.MilliCores(r.throttle) / throttleNone
	return use
}

func parsePlan(payload []byte) payloadPlan {
	var plan payloadPlan
	if err := json.Unmarshal(payload, &plan); err != nil {
		return payloadPlan{}
	}
	return plan
}

func (p payloadPlan) runTime(mode workerMode) time.Duration {
	if mode.fail {
		return time.Millisecond
	}
	if p.RunMS == nil {
		return defaultRunTime + mode.slow
	}
	return time.Duration(*p.RunMS)*time.Millisecond + mode.slow
}

func (p payloadPlan) status(mode workerMode) string {
	if p.Fail || mode.fail {
		return statusFailed
	}
	return statusDone
}

func (p payloadPlan) result(payload []byte) []byte {
	if p.Result != nil {
		return []byte(*p.Result)
	}
	return payload
}
