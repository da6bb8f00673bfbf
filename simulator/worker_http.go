package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"chervilhollow/order"
)

type (
	workerHandler func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)

	// workerSwitchRequest injects faults into one worker, or into all if
	// Worker is empty. Absent fields change nothing.
	workerSwitchRequest struct {
		Worker      order.WorkerID `json:"worker"`
		Fail        *bool          `json:"fail"`
		Refuse      *bool          `json:"refuse"`
		Pause       *bool          `json:"pause"`
		Crash       bool           `json:"crash"`
		SlowMS      *int64         `json:"slow_ms"`
		DropAnswers *bool          `json:"drop_answers"`
		Fenced      *bool          `json:"fenced"`
	}
)

const (
	maxWorkerBodyBytes = 16 << 20
	maxEventWait       = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (s *Workers) ServeHTTP(rw http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(rw, r) }

func (s *Workers) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]workerHandler{
		"POST /w/{worker}/v1/tasks":                 (*worker).serveStart,
		"GET /w/{worker}/v1/tasks":                  (*worker).serveTasks,
		"POST /w/{worker}/v1/renew":                 (*worker).serveRenew,
		"GET /w/{worker}/v1/events":                 (*worker).serveEvents,
		"POST /w/{worker}/v1/ack":                   (*worker).serveAck,
		"POST /w/{worker}/v1/tasks/{task}/{action}": (*worker).serveControl,
		"GET /w/{worker}/v1/usage":                  (*worker).serveUsage,
	} {
		mux.HandleFunc(pattern, s.serve(handle))
	}
	mux.HandleFunc("POST /switch", s.serveSwitch)
	mux.HandleFunc("GET /audit", s.serveAudit)
	mux.HandleFunc("GET /totals", s.serveTotals)
	return mux
}

// serve reads the request, waits while the worker is paused, and handles the
// request even if the client has disconnected: a real process that resumes also
// finds the request in its socket buffer.
func (s *Workers) serve(handle workerHandler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w, ok := s.workers[order.WorkerID(r.PathValue("worker"))]
		if !ok {
			http.Error(rw, "unknown worker", http.StatusNotFound)
			return
		}
		body, err := readBody(rw, r)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.awaitResume()
		faults := w.currentFaults()
		if faults.delay > 0 {
			<-s.clock.After(faults.delay)
		}
		if !faults.dropAnswers {
			handle(w, rw, r, body)
			return
		}
		handle(w, discardWriter{header: make(http.Header)}, r, body)
		panic(http.ErrAbortHandler)
	}
}

func (w *worker) currentFaults() workerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *worker) serveStart(rw http.ResponseWriter, _ *http.Request, body []byte) {
	var m workerStartRequest
	if !decodeInto(rw, body, &m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredTasks()
	if reason := w.startTask(m); reason != "" {
		refuse(rw, reason)
		return
	}
	respond(rw, workerStartResponse{Stamp: w.stamp()})
}

func (w *worker) serveTasks(rw http.ResponseWriter, r *http.Request, _ []byte) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		http.Error(rw, "bad epoch", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredTasks()
	if w.spec.Fenced && order.Epoch(epoch) < w.highestEpoch {
		refuse(rw, "stale_epoch")
		return
	}
	w.highestEpoch = max(w.highestEpoch, order.Epoch(epoch))
	list := workerTasksResponse{Stamp: w.stamp(), Outcomes: w.outcomes(0)}
	for _, t := range w.running {
		list.Running = append(list.Running, workerRunningTask{
			workerRef: t.start.workerRef, Size: t.start.Size, Started: t.started, Meta: t.start.Meta,
		})
	}
	respond(rw, list)
}

func (w *worker) serveRenew(rw http.ResponseWriter, _ *http.Request, body []byte) {
	var m workerRenewRequest
	if !decodeInto(rw, body, &m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredTasks()
	if w.spec.Fenced && m.Epoch < w.highestEpoch {
		refuse(rw, "stale_epoch")
		return
	}
	lease, ok := w.leaseEnd(m.AsOf, m.Lease)
	reply := workerRenewResponse{}
	for _, ref := range m.Tasks {
		r, known := w.running[ref.Task]
		if !known || r.start.Attempt != ref.Attempt {
			reply.Unknown = append(reply.Unknown, ref)
			continue
		}
		if ok && lease.After(r.leaseEnd()) {
			r.leaseExpiry.Store(lease.UnixNano())
		}
	}
	reply.Stamp = w.stamp()
	respond(rw, reply)
}

func (w *worker) serveEvents(rw http.ResponseWriter, r *http.Request, _ []byte) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxEventWait)
	timeout := w.parent.clock.After(wait)
	for {
		w.mu.Lock()
		w.endExpiredTasks()
		list, changed := w.outcomes(after), w.outcomesChanged
		reply := workerEventsResponse{Stamp: w.stamp(), Next: w.lastSequence, Outcomes: list}
		w.mu.Unlock()
		if len(list) > 0 || wait <= 0 {
			respond(rw, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		case <-w.parent.closed:
			return
		}
		w.awaitResume()
	}
}

func (w *worker) serveAck(rw http.ResponseWriter, _ *http.Request, body []byte) {
	var m workerAckRequest
	if !decodeInto(rw, body, &m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until := w.parent.clock.Now().Add(ackRetention)
	for _, ref := range m.Tasks {
		if o, ok := w.ended[ref.Task]; ok && o.Attempt == ref.Attempt {
			delete(w.ended, ref.Task)
		}
		w.acked[ref] = until
	}
	respond(rw, struct{}{})
}

func (w *worker) serveControl(rw http.ResponseWriter, r *http.Request, body []byte) {
	var m workerControlRequest
	if !decodeInto(rw, body, &m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredTasks()
	if w.spec.Fenced && m.Epoch < w.highestEpoch {
		refuse(rw, "stale_epoch")
		return
	}
	t, ok := w.running[order.TaskID(r.PathValue("task"))]
	if !ok || t.start.Attempt != m.Attempt {
		respond(rw, struct{}{})
		return
	}
	switch r.PathValue("action") {
	case "stop":
		t.requestEnd(statusStopped)
	case "checkpoint":
		t.requestEnd(statusCheckpointed)
	case "throttle":
		t.throttlePercent = m.Percent
	default:
		http.Error(rw, "unknown action", http.StatusNotFound)
		return
	}
	respond(rw, struct{}{})
}

// serveUsage reports the resources that the tasks use. It omits tasks that
// started less than the usage lag ago.
func (w *worker) serveUsage(rw http.ResponseWriter, _ *http.Request, _ []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.parent.clock.Now()
	var usage workerUsageResponse
	for _, t := range w.running {
		if now.Sub(t.started) < w.parent.usageLag {
			continue
		}
		usage.Tasks = append(usage.Tasks, workerTaskUsage{workerRef: t.start.workerRef, Used: t.usage()})
	}
	respond(rw, usage)
}

// outcomes returns the outcomes with a sequence number above after, in order of
// sequence. The caller holds the lock.
func (w *worker) outcomes(after uint64) []*workerOutcome {
	var list []*workerOutcome
	for _, o := range w.ended {
		if o.Sequence > after {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Sequence < list[j].Sequence })
	return list
}

func (s *Workers) serveSwitch(rw http.ResponseWriter, r *http.Request) {
	body, err := readBody(rw, r)
	var m workerSwitchRequest
	if err != nil || !decodeInto(rw, body, &m) {
		return
	}
	if _, ok := s.workers[m.Worker]; !ok && m.Worker != "" {
		http.Error(rw, "unknown worker", http.StatusNotFound)
		return
	}
	for id, w := range s.workers {
		if m.Worker == "" || m.Worker == id {
			w.applySwitch(m)
		}
	}
	respond(rw, struct{}{})
}

func (w *worker) applySwitch(m workerSwitchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.Crash {
		w.crash()
	}
	setBool(&w.faults.fail, m.Fail)
	setBool(&w.faults.refuse, m.Refuse)
	setBool(&w.faults.dropAnswers, m.DropAnswers)
	setBool(&w.spec.Fenced, m.Fenced)
	if m.SlowMS != nil {
		w.faults.delay = time.Duration(*m.SlowMS) * time.Millisecond
	}
	if m.Pause != nil {
		w.setPaused(*m.Pause)
	}
}

// setPaused pauses or resumes the worker. The channel resumed is closed while
// the worker is not paused. The caller holds the lock.
func (w *worker) setPaused(paused bool) {
	select {
	case <-w.resumed:
		if paused {
			w.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(w.resumed)
		}
	}
}

func setBool(field *bool, value *bool) {
	if value != nil {
		*field = *value
	}
}

func (s *Workers) serveAudit(rw http.ResponseWriter, r *http.Request) {
	respond(rw, s.audit.report(r.URL.Query().Get("all") != ""))
}

// discardWriter drops the response of a request, for the fault that loses
// answers.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}

func decodeInto(rw http.ResponseWriter, body []byte, v any) bool {
	if err := json.Unmarshal(body, v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, workerRefusal{Reason: reason})
}

func respond(rw http.ResponseWriter, v any) { writeJSON(rw, http.StatusOK, v) }
