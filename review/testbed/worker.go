package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet is all workers with all runs that they ever started, and the judge of
// the rules about these.
type Fleet struct {
	net    *Network
	store  *Store
	record *Record

	mu      sync.Mutex
	workers map[string]*Worker
	jobs    map[string]*Job
	tasks   map[string][]*run
	broken  []string
}

// Job is a job that a client hands in. All tasks of a step take the same time.
type Job struct {
	id    string
	steps []Step

	// Times of the answers that a client got, or zero.
	accepted, cancelled time.Time
}

// Step is a step of a job. failing steps end each run as failed.
type Step struct {
	count     int
	cpu, mem  int64
	work      time.Duration
	after     []int
	perWorker int
	failing   bool
	gang      bool
	lasting   bool
	label     string
}

// Worker is one worker. It keeps its ID when it restarts.
type Worker struct {
	fleet    *Fleet
	id, zone string
	rack     string
	address  string
	cpu, mem int64

	up         bool
	draining   bool
	gone       bool
	busy       bool
	lateShare  float64
	born       time.Time
	sequence   int
	token      int64
	deadline   int64
	lapsedAt   time.Time
	lastEnd    int64
	ended      []*run
	running    map[string]*run
	highestRun map[string]int
	changed    chan struct{}
}

type run struct {
	task      string
	number    int
	job       *Job
	step      Step
	worker    *Worker
	startedAt time.Time
	workFrom  time.Time
	stopping  bool
	endNumber int
	how       string
	endedAt   time.Time
	listed    bool
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

// Figures of the users' pages.
const (
	heartbeat     = 1500 * time.Millisecond
	missedBeats   = 3
	maxHold       = 10 * time.Second
	stopGrace     = 400 * time.Millisecond
	cancelBound   = 3 * time.Second
	gangTimeout   = 3 * time.Second
	endsListed    = 500
	workerTick    = 10 * time.Millisecond
	minLate       = 2 * time.Second
	maxLate       = 12 * time.Second
	serviceName   = "press"
	instanceField = "X-Chervilhollow-Expected-Instance"
)

func newFleet(n *Network, s *Store, r *Record) *Fleet {
	return &Fleet{net: n, store: s, record: r, workers: make(map[string]*Worker), jobs: make(map[string]*Job), tasks: make(map[string][]*run)}
}

// add starts a worker with 64 cores and 256 GB.
func (f *Fleet) add(id, zone, rack string) error {
	w := &Worker{fleet: f, id: id, zone: zone, rack: rack, cpu: 64000, mem: 262144}
	address, err := f.net.serve("127.0.0.1:0", id+"@"+zone, w)
	if err != nil {
		return err
	}
	w.address = address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	w.boot()
	go w.loop()
	go w.sendHeartbeats()
	return nil
}

// boot starts a new life of the worker. The lock must be held.
func (w *Worker) boot() {
	w.up, w.born = true, time.Now()
	w.token, w.deadline, w.lastEnd, w.ended, w.sequence = 0, 0, 0, nil, 0
	w.running, w.highestRun = make(map[string]*run), make(map[string]int)
	w.changed = make(chan struct{})
	w.fleet.record.add("worker %s boots, born %d", w.id, w.born.UnixMilli())
}

// crash ends the worker's life and begins the next one.
func (w *Worker) crash() {
	f := w.fleet
	f.mu.Lock()
	w.up = false
	for _, r := range w.running {
		r.how, r.endedAt = "crash", time.Now()
	}
	f.record.add("worker %s crashes with %d runs", w.id, len(w.running))
	w.boot()
	f.mu.Unlock()
	f.net.reset(w.id + "@" + w.zone)
	w.writeEntry()
}

// leave ends the worker's life for good. Its entry is removed after three
// missed heartbeats.
func (w *Worker) leave() {
	f := w.fleet
	f.mu.Lock()
	w.up = false
	for _, r := range w.running {
		r.how, r.endedAt = "crash", time.Now()
	}
	f.record.add("worker %s is lost for good with %d runs", w.id, len(w.running))
	w.running = make(map[string]*run)
	f.mu.Unlock()
	f.net.cut(func(a, _ string) bool { return a == w.id+"@"+w.zone })
}

// drain reports the worker as draining, ends its life after the time and
// removes its entry then. Nothing listens at its address any more.
func (w *Worker) drain(after time.Duration) {
	f := w.fleet
	f.mu.Lock()
	w.draining = true
	f.mu.Unlock()
	w.writeEntry()
	time.Sleep(after)
	f.mu.Lock()
	w.up, w.gone = false, true
	for _, r := range w.running {
		r.how, r.endedAt = "left", time.Now()
	}
	f.record.add("worker %s leaves with %d runs", w.id, len(w.running))
	w.running = make(map[string]*run)
	f.mu.Unlock()
	f.net.close(w.id + "@" + w.zone)
	f.store.set("servers/"+w.id, nil)
}

// sendHeartbeats writes the worker's entry while it reaches the store, and
// removes it for the platform after three missed heartbeats.
func (w *Worker) sendHeartbeats() {
	last := time.Now()
	for {
		if cut, _ := w.fleet.net.separated(w.id+"@"+w.zone, "store"); !cut {
			if down, _ := w.fleet.store.isDown(); !down {
				w.writeEntry()
				last = time.Now()
			}
		} else if time.Since(last) > missedBeats*heartbeat {
			w.fleet.store.set("servers/"+w.id, nil)
		}
		time.Sleep(heartbeat)
	}
}

func (w *Worker) writeEntry() {
	w.fleet.mu.Lock()
	if w.gone {
		w.fleet.mu.Unlock()
		return
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.sequence++
	entry := object{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": 0, "capacity": object{"cpu": w.cpu, "memMb": w.mem, "gpu": 0},
		"labels": []string{"a", w.rack}, "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	w.fleet.mu.Unlock()
	w.fleet.store.set("servers/"+w.id, entry)
}

// setLate makes the share of the orders to all workers go without an answer and
// be carried out 2 to 12 s later.
func (f *Fleet) setLate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.lateShare = share
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get(instanceField) != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if !readJSON(out, r, &body) {
		return
	}
	var execute func(late bool) (int, object)
	switch r.URL.Path {
	case "/v1/run-start":
		execute = func(late bool) (int, object) { return w.start(body, late) }
	case "/v1/run-stop":
		execute = func(bool) (int, object) { return w.stop(body) }
	case "/v1/hold":
		execute = func(bool) (int, object) { return w.hold(r, body) }
	default:
		out.WriteHeader(http.StatusNotFound)
		return
	}
	w.fleet.mu.Lock()
	late, born, busy := rand.Float64() < w.lateShare, w.born, w.busy
	w.fleet.mu.Unlock()
	if busy && r.URL.Path == "/v1/run-start" {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late {
		delay := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(delay, func() {
			w.fleet.mu.Lock()
			same := w.born.Equal(born)
			w.fleet.mu.Unlock()
			if same {
				execute(true)
			}
		})
		select {
		case <-r.Context().Done():
		case <-time.After(delay):
		}
		panic(http.ErrAbortHandler)
	}
	status, fields := execute(false)
	writeJSON(out, status, fields)
}

// clock returns the worker's clock in milliseconds.
func (w *Worker) clock() int64 { return 1 + time.Since(w.born).Milliseconds() }

func (w *Worker) conflict(reason string) (int, object) {
	return http.StatusConflict, object{"clockMs": w.clock(), "reason": reason}
}

// fenced reports whether the worker has seen a higher token.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *Worker) start(body orderBody, late bool) (int, object) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.fenced(body.Token) {
		return w.conflict("fence")
	}
	if r := w.running[body.Task]; r != nil && r.number == body.Run {
		w.extend(body.Deadline)
		return http.StatusOK, object{"clockMs": w.clock()}
	}
	if body.Deadline <= w.clock() {
		return w.conflict("late")
	}
	w.extend(body.Deadline)
	if w.running[body.Task] != nil || body.Run <= w.highestRun[body.Task] {
		return w.conflict("old")
	}
	r := &run{task: body.Task, number: body.Run, worker: w, startedAt: time.Now()}
	parts := strings.Split(body.Task, ".")
	if len(parts) == 4 {
		r.job = f.jobs[parts[0]]
	}
	if r.job == nil {
		f.breakRule("UNASKED", "%s run %d starts on %s, and no client sent it", body.Task, body.Run, w.id)
		return http.StatusOK, object{"clockMs": w.clock()}
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(r.job.steps) {
		return http.StatusBadRequest, object{"clockMs": w.clock()}
	}
	r.step = r.job.steps[step]
	if !r.step.gang {
		r.workFrom = r.startedAt
	}
	f.judgeStart(r, late)
	w.highestRun[body.Task] = body.Run
	w.running[body.Task] = r
	f.tasks[body.Task] = append(f.tasks[body.Task], r)
	f.beginGang(r, step)
	f.record.add("start %s run %d on %s token %d late %t", body.Task, body.Run, w.id, body.Token, late)
	w.judgeCapacity()
	return http.StatusOK, object{"clockMs": w.clock()}
}

func (w *Worker) stop(body orderBody) (int, object) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.fenced(body.Token) {
		return w.conflict("fence")
	}
	w.highestRun[body.Task] = max(w.highestRun[body.Task], body.Run)
	if r := w.running[body.Task]; r != nil && r.number <= body.Run && !r.stopping {
		r.stopping = true
		f.record.add("stop %s run %d on %s", body.Task, r.number, w.id)
		time.AfterFunc(stopGrace/2, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.running[body.Task] == r {
				w.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, object{"clockMs": w.clock()}
}

func (w *Worker) hold(request *http.Request, body orderBody) (int, object) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.fenced(body.Token) {
		return w.conflict("fence")
	}
	if body.Deadline > 0 {
		w.extend(body.Deadline)
	}
	for len(w.ended) > 0 && int64(w.ended[0].endNumber) <= body.LastSeen {
		f.judgeNoted(w.ended[0])
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && body.Wait > 0 {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.Wait) * time.Millisecond):
		case <-request.Context().Done():
		}
		f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := int64(0)
		if !r.workFrom.IsZero() {
			percent = int64(100 * time.Since(r.workFrom) / max(1, r.step.work))
		}
		running = append(running, []any{r.task, r.number, "", min(99, percent), 0})
	}
	for _, r := range w.ended[:min(len(w.ended), endsListed)] {
		ended = append(ended, []any{r.endNumber, r.task, r.number, r.how, ""})
	}
	return http.StatusOK, object{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

func (w *Worker) loop() {
	for range time.Tick(workerTick) {
		w.fleet.mu.Lock()
		w.update()
		w.fleet.mu.Unlock()
	}
}

// update ends the runs whose work is done, and all runs once the lease is over.
func (w *Worker) update() {
	if w.clock() > w.deadline {
		w.lapsedAt = time.Now()
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
		return
	}
	for _, r := range w.running {
		switch {
		case r.workFrom.IsZero():
			if time.Since(r.startedAt) > gangTimeout && !r.stopping {
				w.end(r, "alone")
			}
		case r.stopping || time.Since(r.workFrom) < r.step.work:
		case r.step.failing:
			w.end(r, "failed")
		default:
			w.end(r, "done")
		}
	}
}

// beginGang begins the work of a gang once all its members are present. The
// lock must be held.
func (f *Fleet) beginGang(r *run, step int) {
	if !r.step.gang {
		return
	}
	var members []*run
	for i := range r.step.count {
		for _, m := range f.tasks[fmt.Sprintf("%s.0.%d.%d", r.job.id, step, i)] {
			if m.number == r.number && m.how == "" {
				members = append(members, m)
			}
		}
	}
	if len(members) < r.step.count {
		return
	}
	for _, m := range members {
		m.workFrom = time.Now()
	}
}

// end ends a run and lists its end. The lock must be held.
func (w *Worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	r.endNumber, r.how, r.endedAt = int(w.lastEnd), how, time.Now()
	w.ended = append(w.ended, r)
	w.fleet.record.add("end %s run %d on %s: %s", r.task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// judgeStart checks TWICE, ORDER, BUDGET and UNASKED. The lock must be held.
func (f *Fleet) judgeStart(r *run, late bool) {
	failed := 0
	for _, other := range f.tasks[r.task] {
		switch {
		case other.how == "" && other.worker.up:
			f.breakRule("TWICE", "%s runs as run %d on %s and starts as run %d on %s",
				r.task, other.number, other.worker.id, r.number, r.worker.id)
		case other.how == "done" && other.listed:
			f.breakRule("TWICE", "%s starts as run %d on %s after run %d was done on %s and its end was taken note of",
				r.task, r.number, r.worker.id, other.number, other.worker.id)
		case other.how == "failed" && other.listed:
			failed++
		}
	}
	if failed >= maxAttempts && !r.step.lasting {
		f.breakRule("BUDGET", "%s starts as run %d after %d failed runs", r.task, r.number, failed)
	}
	for _, before := range r.step.after {
		if !f.stepDone(r.job, before) {
			f.breakRule("ORDER", "%s starts before step %d is done", r.task, before)
		}
	}
	if since := time.Since(r.job.cancelled); !late && !r.job.cancelled.IsZero() && since > cancelBound {
		f.breakRule("UNASKED", "%s run %d starts on %s %.2f s after its cancelling was acknowledged", r.task, r.number, r.worker.id, since.Seconds())
	}
}

// judgeNoted takes note of an end, and checks TWICE for the starts after it.
// An end does not count if the worker's lease has lapsed since.
func (f *Fleet) judgeNoted(r *run) {
	if r.worker.lapsedAt.After(r.endedAt) {
		return
	}
	r.listed = true
	f.record.add("noted %s run %d on %s: %s", r.task, r.number, r.worker.id, r.how)
	if r.how != "done" {
		return
	}
	for _, other := range f.tasks[r.task] {
		if other.startedAt.After(r.endedAt) {
			f.breakRule("TWICE", "%s started as run %d on %s after run %d was done on %s, whose end is taken note of now",
				r.task, other.number, other.worker.id, r.number, r.worker.id)
		}
	}
}

// judgeCapacity checks LIMIT.
func (w *Worker) judgeCapacity() {
	var cpu, mem int64
	for _, r := range w.running {
		cpu += r.step.cpu
		mem += r.step.mem
	}
	if cpu > w.cpu || mem > w.mem {
		w.fleet.breakRule("LIMIT", "%s runs %d of %d cpu and %d of %d MB", w.id, cpu, w.cpu, mem, w.mem)
	}
}

// breakRule records a broken rule. The lock must be held.
func (f *Fleet) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.record.add("BROKEN %s", text)
}

// stepDone reports whether all tasks of a step have ended done.
func (f *Fleet) stepDone(j *Job, step int) bool {
	for i := range j.steps[step].count {
		done := false
		for _, r := range f.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)] {
			done = done || r.how == "done"
		}
		if !done {
			return false
		}
	}
	return true
}
