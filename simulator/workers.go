package simulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// Workers simulates many workers and serves the worker protocol of each
	// below /w/<id>. POST /switch injects faults; GET /audit and GET /totals
	// report what ran. Safe for concurrent use.
	Workers struct {
		clock     timers.Clock
		usageLag  time.Duration
		workers   map[order.WorkerID]*worker
		audit     *audit
		mux       *http.ServeMux
		tasks     sync.WaitGroup
		closed    chan struct{}
		closeOnce sync.Once
	}

	// worker is one simulated worker. Its state is lost in a simulated crash.
	worker struct {
		mu              sync.Mutex
		parent          *Workers
		spec            WorkerSpec
		startedAt       time.Time
		incarnation     string
		lastClock       int64
		highestEpoch    order.Epoch
		lastSequence    uint64
		running         map[order.TaskID]*taskRun
		ended           map[order.TaskID]*workerOutcome
		acked           map[workerRef]time.Time
		lastPurge       time.Time
		outcomesChanged chan struct{} // closed and replaced at each new outcome
		resumed         chan struct{} // closed while the worker is not paused
		faults          workerFaults
	}

	// workerFaults are the injected faults of a worker. Tasks keep the ones
	// that were set at their start.
	workerFaults struct {
		fail        bool
		refuse      bool
		delay       time.Duration
		dropAnswers bool
	}

	// taskRun is one run of a task on a worker. leaseExpiry is in Unix
	// nanoseconds; endStatus receives the status with which to end the run.
	taskRun struct {
		start           workerStartRequest
		plan            payloadPlan
		leaseExpiry     atomic.Int64
		started         time.Time
		throttlePercent int
		endStatus       chan string
	}

	// payloadPlan is the payload of a task, which sets how the simulated run
	// goes. Without Result the payload itself is the result.
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
	defaultTaskDuration = 10 * time.Millisecond

	// ackRetention is how long a start of an acknowledged task is refused, so
	// that a delayed start message does not run it again.
	ackRetention = 30 * time.Second

	unthrottledPercent = 100

	statusDone         = "done"
	statusFailed       = "failed"
	statusStopped      = "stopped"
	statusCheckpointed = "checkpointed"
	statusLapsed       = "lapsed"
	statusCrashed      = "crashed"
)

// NewWorkers returns the stand-in with the workers of the settings. Leases, run
// times and usage lag follow the clock.
func NewWorkers(clock timers.Clock, settings WorkerSettings) *Workers {
	s := &Workers{
		clock:    clock,
		usageLag: settings.usageLag(),
		workers:  make(map[order.WorkerID]*worker),
		audit:    newAudit(),
		closed:   make(chan struct{}),
	}
	for _, spec := range settings.Specs() {
		s.workers[spec.ID] = newWorker(s, spec)
	}
	s.mux = s.routes()
	return s
}

// Close stops all tasks and waits for their goroutines. It may be called more
// than once.
func (s *Workers) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.tasks.Wait()
}

func newWorker(parent *Workers, spec WorkerSpec) *worker {
	resumed := make(chan struct{})
	close(resumed)
	w := &worker{parent: parent, spec: spec, resumed: resumed, outcomesChanged: make(chan struct{})}
	w.reset()
	return w
}

// reset clears all tasks and outcomes and begins a new incarnation, like a
// restart of the worker. The caller holds the lock.
func (w *worker) reset() {
	w.startedAt = w.parent.clock.Now()
	w.incarnation = ulid.Make().String()
	w.lastClock = 0
	w.highestEpoch = 0
	w.lastSequence = 0
	w.running = make(map[order.TaskID]*taskRun)
	w.ended = make(map[order.TaskID]*workerOutcome)
	w.acked = make(map[workerRef]time.Time)
}

// stamp returns the clock reading for a response, which increases with every
// call. The caller holds the lock.
func (w *worker) stamp() workerStamp {
	clock := w.parent.clock.Now().Sub(w.startedAt).Microseconds()
	if clock <= w.lastClock {
		clock = w.lastClock + 1
	}
	w.lastClock = clock
	return workerStamp{Incarnation: w.incarnation, Clock: clock}
}

// leaseEnd returns the end of a lease that began at the clock reading asOf, in
// milliseconds. It returns false if the lease has expired or the reading is
// from an earlier incarnation.
func (w *worker) leaseEnd(asOf workerStamp, lease int64) (time.Time, bool) {
	end := w.startedAt.Add(time.Duration(asOf.Clock)*time.Microsecond + time.Duration(lease)*time.Millisecond)
	return end, asOf.Incarnation == w.incarnation && end.After(w.parent.clock.Now())
}

// startTask starts a task. It returns the reason of a refusal, or "" if the
// task was started or the attempt is already known. The caller holds the lock.
func (w *worker) startTask(m workerStartRequest) string {
	now := w.parent.clock.Now()
	ref := m.workerRef
	if w.spec.Fenced && m.Epoch < w.highestEpoch {
		return "stale_epoch"
	}
	if r, ok := w.running[m.Task]; ok {
		return checkAttempt(r.start.Attempt, m.Attempt)
	}
	if o, ok := w.ended[m.Task]; ok && o.Attempt >= m.Attempt {
		return checkAttempt(o.Attempt, m.Attempt)
	}
	if _, ok := w.acked[ref]; ok {
		return "forgotten"
	}
	lease, ok := w.leaseEnd(m.AsOf, m.Lease)
	switch {
	case !ok:
		return "stale_stamp"
	case w.faults.refuse:
		return "failing"
	case len(w.running) >= min(w.spec.Slots, w.spec.Connections):
		return "no_room"
	}
	r := &taskRun{start: m, started: now, throttlePercent: unthrottledPercent, endStatus: make(chan string, 1)}
	r.leaseExpiry.Store(lease.UnixNano())
	r.plan = parsePlan(m.Payload)
	w.running[m.Task] = r
	w.parent.audit.recordStart(w, r, now)
	w.parent.tasks.Add(1)
	go w.execute(r, w.faults)
	return ""
}

// checkAttempt returns "" for a repeated start of the known attempt, and the
// reason of a refusal for any other attempt.
func checkAttempt(known, requested order.Attempt) string {
	if known == requested {
		return ""
	}
	return "other_attempt"
}

// execute simulates one run of a task until its run time has passed, its lease
// has expired or it is stopped.
func (w *worker) execute(r *taskRun, faults workerFaults) {
	defer w.parent.tasks.Done()
	clock := w.parent.clock
	done := clock.After(r.plan.runTime(faults))
	for {
		lease := clock.After(r.leaseEnd().Sub(clock.Now()))
		select {
		case <-w.parent.closed:
			return
		case status := <-r.endStatus:
			w.endTask(r, status)
			return
		case <-done:
			w.awaitResume()
			w.endTask(r, r.plan.status(faults))
			return
		case <-lease:
			w.awaitResume()
			if !r.leaseEnd().After(clock.Now()) {
				w.endTask(r, statusLapsed)
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

// endTask records the outcome of a run. The status becomes lapsed if the lease
// has expired in the meantime.
func (w *worker) endTask(r *taskRun, status string) {
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
	w.parent.audit.recordEnd(w, r)
	w.parent.audit.countOutcome(r.start.Task, status)
	w.lastSequence++
	w.ended[r.start.Task] = newWorkerOutcome(r, w.lastSequence, status, now)
	w.notifyWaiters()
}

func (w *worker) notifyWaiters() {
	close(w.outcomesChanged)
	w.outcomesChanged = make(chan struct{})
}

// endExpiredTasks ends the tasks whose leases have expired. It runs before each
// request is handled, so that a worker that resumes from a pause does not renew
// an expired lease. The caller holds the lock.
func (w *worker) endExpiredTasks() {
	now := w.parent.clock.Now()
	for id, r := range w.running {
		if r.leaseEnd().After(now) {
			continue
		}
		delete(w.running, id)
		w.parent.audit.recordEnd(w, r)
		w.parent.audit.countOutcome(id, statusLapsed)
		w.lastSequence++
		w.ended[id] = newWorkerOutcome(r, w.lastSequence, statusLapsed, now)
		r.requestEnd(statusLapsed)
		w.notifyWaiters()
	}
	w.purgeAcked(now)
}

func (w *worker) purgeAcked(now time.Time) {
	if now.Sub(w.lastPurge) < time.Second {
		return
	}
	w.lastPurge = now
	for ref, until := range w.acked {
		if !until.After(now) {
			delete(w.acked, ref)
		}
	}
}

// crash ends all tasks without outcomes and resets the worker. The caller holds
// the lock.
func (w *worker) crash() {
	for _, r := range w.running {
		w.parent.audit.recordEnd(w, r)
		w.parent.audit.countOutcome(r.start.Task, statusCrashed)
		r.requestEnd(statusCrashed)
	}
	w.reset()
	w.notifyWaiters()
}

func (r *taskRun) leaseEnd() time.Time { return time.Unix(0, r.leaseExpiry.Load()) }

// requestEnd requests that the run end with the status, unless an end was
// requested before.
func (r *taskRun) requestEnd(status string) {
	select {
	case r.endStatus <- status:
	default:
	}
}

// usage returns the resources that the run uses: those of the payload, or the
// declared size where the payload names none. Throttling reduces the cores.
func (r *taskRun) usage() workerSize {
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
	use.Cores = use.Cores * order.MilliCores(r.throttlePercent) / unthrottledPercent
	return use
}

// parsePlan returns the default plan for a payload that is not a plan.
func parsePlan(payload []byte) payloadPlan {
	var plan payloadPlan
	if err := json.Unmarshal(payload, &plan); err != nil {
		return payloadPlan{}
	}
	return plan
}

func (p payloadPlan) runTime(faults workerFaults) time.Duration {
	if faults.fail {
		return time.Millisecond
	}
	if p.RunMS == nil {
		return defaultTaskDuration + faults.delay
	}
	return time.Duration(*p.RunMS)*time.Millisecond + faults.delay
}

func (p payloadPlan) status(faults workerFaults) string {
	if p.Fail || faults.fail {
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
