package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	// simWorker is a simulated worker that follows the worker protocol.
	simWorker struct {
		s            *sim
		spec         roster.Worker
		incarnations int
		startedAt    time.Time
		clock        int64
		fence        order.Epoch
		sequence     uint64
		running      map[order.TaskID]*simRun
		ended        map[order.TaskID]simOutcome
		acked        map[dispatch.AttemptRef]bool
		paused       bool
		disconnected bool
		failing      bool
		backlog      []func()
	}

	simRun struct {
		start            dispatch.StartRequest
		lease            time.Time
		startedAt        time.Time
		endedWhilePaused bool
	}

	simOutcome struct {
		sequence uint64
		ended    dispatch.EndedTask
	}
)

func newSimWorker(s *sim, spec roster.Worker) *simWorker {
	w := &simWorker{s: s, spec: spec}
	w.reset()
	return w
}

func (w *simWorker) reset() {
	w.incarnations++
	w.startedAt = w.s.now
	w.clock, w.fence, w.sequence = 0, 0, 0
	w.running = make(map[order.TaskID]*simRun)
	w.ended = make(map[order.TaskID]simOutcome)
	w.acked = make(map[dispatch.AttemptRef]bool)
}

func (w *simWorker) incarnation() string { return fmt.Sprintf("%s-%d", w.spec.ID(), w.incarnations) }

func (w *simWorker) stamp() dispatch.Stamp {
	w.clock = max(w.clock+1, w.s.now.Sub(w.startedAt).Microseconds())
	return dispatch.NewStamp(w.incarnation(), w.clock)
}

// process handles a message now, or when the worker resumes from a pause.
func (w *simWorker) process(fn func()) {
	if w.paused {
		w.backlog = append(w.backlog, fn)
		return
	}
	w.enforceLeases()
	fn()
}

func (w *simWorker) resume() {
	w.paused = false
	w.enforceLeases()
	backlog := w.backlog
	w.backlog = nil
	if w.spec.Fenced() {
		// Messages of several connections are executed in any order.
		w.s.rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	}
	for _, fn := range backlog {
		fn()
	}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if r := w.running[id]; r.endedWhilePaused {
			w.finish(r, order.Done)
		}
	}
}

func (w *simWorker) enforceLeases() {
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if r := w.running[id]; !r.lease.After(w.s.now) {
			w.finish(r, order.WorkerLost)
		}
	}
}

func (w *simWorker) crash() {
	for id := range w.running {
		w.s.record(id, "%s crashes", w.spec.ID())
	}
	w.reset()
	w.backlog = nil
	w.paused = false
}

// runsTask reports whether the task runs here under a valid lease.
func (w *simWorker) runsTask(id order.TaskID) bool {
	r, ok := w.running[id]
	return ok && r.lease.After(w.s.now)
}

func (w *simWorker) startTask(start dispatch.StartRequest) (dispatch.Stamp, error) {
	id := start.Task().ID()
	ref := dispatch.NewAttemptRef(id, start.Attempt())
	lease := w.startedAt.Add(time.Duration(start.Stamp().Clock())*time.Microsecond + start.Lease())
	reason := ""
	switch o, ended := w.ended[id]; {
	case w.spec.Fenced() && start.Epoch() < w.fence:
		reason = dispatch.ReasonStaleEpoch
	case w.running[id] != nil && w.running[id].start.Attempt() != start.Attempt():
		reason = dispatch.ReasonOtherAttempt
	case w.running[id] != nil:
		return w.stamp(), nil
	case ended && o.ended.Outcome().Attempt() == start.Attempt():
		return w.stamp(), nil
	case ended && o.ended.Outcome().Attempt() > start.Attempt():
		reason = dispatch.ReasonOtherAttempt
	case w.acked[ref]:
		reason = dispatch.ReasonForgotten
	case start.Stamp().Incarnation() != w.incarnation() || !lease.After(w.s.now):
		reason = dispatch.ReasonStaleStamp
	case len(w.running) >= w.spec.Slots():
		reason = dispatch.ReasonNoCapacity
	}
	if reason != "" {
		w.s.record(id, "%s refuses attempt %d epoch %d: %s", w.spec.ID(), start.Attempt(), start.Epoch(), reason)
		return dispatch.Stamp{}, dispatch.NewRefusedError(reason)
	}
	r := &simRun{start: start, lease: lease, startedAt: w.s.now}
	w.running[id] = r
	w.s.checkRun(w, start)
	w.s.after(w.s.runTime(w), func() { w.complete(r) })
	return w.stamp(), nil
}

func (w *simWorker) complete(r *simRun) {
	if w.running[r.start.Task().ID()] != r {
		return
	}
	if w.paused {
		r.endedWhilePaused = true
		return
	}
	code := order.Done
	if w.failing {
		code = order.TaskFailed
	}
	w.finish(r, code)
}

func (w *simWorker) finish(r *simRun, code order.Code) {
	id := r.start.Task().ID()
	if !r.lease.After(w.s.now) {
		code = order.WorkerLost
	}
	delete(w.running, id)
	w.s.record(id, "%s ends attempt %d with %v", w.spec.ID(), r.start.Attempt(), code)
	w.sequence++
	outcome := order.Outcome{}.WithTask(id).WithAttempt(r.start.Attempt()).WithCode(code).
		WithWorker(w.spec.ID()).WithStarted(r.startedAt).WithEnded(w.s.now)
	w.ended[id] = simOutcome{w.sequence, dispatch.NewEndedTask(r.start.Task(), outcome)}
}

func (w *simWorker) stop(ref dispatch.AttemptRef, checkpoint bool) {
	r, ok := w.running[ref.Task()]
	if !ok || r.start.Attempt() != ref.Attempt() {
		return
	}
	code := order.CancelledRunning
	if checkpoint {
		code = order.WorkerLost
	}
	w.finish(r, code)
}

func (w *simWorker) list(epoch order.Epoch) (dispatch.Listing, error) {
	if w.spec.Fenced() && epoch < w.fence {
		return dispatch.Listing{}, dispatch.NewRefusedError(dispatch.ReasonStaleEpoch)
	}
	w.fence = max(w.fence, epoch)
	var running []dispatch.RunningTask
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[id]
		running = append(running, dispatch.NewRunningTask(r.start.Task(), r.start.Attempt(), r.start.Reserved(), r.startedAt))
	}
	return dispatch.NewListing(w.stamp(), running, w.outcomes(0)), nil
}

func (w *simWorker) renew(epoch order.Epoch, asOf dispatch.Stamp, refs []dispatch.AttemptRef) (dispatch.Renewal, error) {
	if w.spec.Fenced() && epoch < w.fence {
		return dispatch.Renewal{}, dispatch.NewRefusedError(dispatch.ReasonStaleEpoch)
	}
	var unknown []dispatch.AttemptRef
	lease := w.startedAt.Add(time.Duration(asOf.Clock())*time.Microsecond + taskLease)
	for _, ref := range refs {
		r, ok := w.running[ref.Task()]
		if !ok || r.start.Attempt() != ref.Attempt() {
			unknown = append(unknown, ref)
			continue
		}
		if asOf.Incarnation() == w.incarnation() && lease.After(r.lease) {
			r.lease = lease
		}
	}
	return dispatch.NewRenewal(w.stamp(), unknown), nil
}

func (w *simWorker) ack(refs []dispatch.AttemptRef) {
	for _, ref := range refs {
		if o, ok := w.ended[ref.Task()]; ok && o.ended.Outcome().Attempt() == ref.Attempt() {
			delete(w.ended, ref.Task())
		}
		w.acked[ref] = true
	}
}

func (w *simWorker) outcomes(after uint64) []dispatch.EndedTask {
	var list []dispatch.EndedTask
	for _, id := range slices.Sorted(maps.Keys(w.ended)) {
		if o := w.ended[id]; o.sequence > after {
			list = append(list, o.ended)
		}
	}
	return list
}

// usage reports the declared size multiplied by the team's factor.
func (w *simWorker) usage() []dispatch.TaskUsage {
	var uses []dispatch.TaskUsage
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[id]
		declared := r.start.Task().Size()
		factor := useFactors[r.start.Task().Team()]
		used := declared.WithCores(order.MilliCores(float64(declared.Cores()) * factor)).
			WithMemory(order.Bytes(float64(declared.Memory()) * factor))
		uses = append(uses, dispatch.NewTaskUsage(dispatch.NewAttemptRef(id, r.start.Attempt()), used))
	}
	return uses
}
