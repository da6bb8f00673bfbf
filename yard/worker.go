package yard

import (
	"errors"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// worker is one life of a worker as the owner of the cell knows it.
	worker struct {
		id       order.WorkerID
		info     WorkerInfo
		rack     string
		listed   bool
		draining bool

		// recorded reports whether the stored list of workers has it, so that
		// a later owner asks it what it runs.
		recorded bool

		// reached reports whether the worker has answered at this epoch, so
		// that it refuses the orders of earlier owners.
		reached bool

		// clock is the worker's clock in milliseconds, read at clockAt.
		clock   int64
		clockAt time.Time

		// leaseEnd is when the last lease that may have been granted has ended
		// for certain.
		leaseEnd time.Time

		// answered is when the last HoldOrder was answered, unlisted when the
		// discovery dropped the worker, and refused whether nothing listened
		// at its address at the last try.
		answered time.Time
		unlisted time.Time
		refused  bool

		holding  bool
		holdNext time.Time
		misses   int

		// mute reports whether a start has had no answer since the worker's
		// last report.
		mute bool

		// ends are the listed ends that are not acknowledged yet.
		ends     []endMark
		lastEnd  int64
		acked    int64
		attempts map[attemptKey]*attempt
		used     order.Resources

		// unsized counts the runs whose size is not known.
		unsized int

		// failures counts failed tasks since the last one that was done.
		failures  int
		coolUntil time.Time
	}

	// endMark is an end that may be acknowledged when the job's change is
	// stored.
	endMark struct {
		number int64
		job    *job
		seq    int
	}
)

const (
	// leaseLength is how long a worker runs on without contact. It covers the
	// takeover of the cell by another process (about 3 s).
	leaseLength = 6 * time.Second

	// clockDrift is how much slower a worker's clock may be, by the protocol.
	clockDrift = 0.02

	// leaseSlack covers the time that an order may take on the way.
	leaseSlack = 200 * time.Millisecond

	// holdWait is how long a worker may keep a HoldOrder open; it renews each
	// lease six times before it ends.
	holdWait = time.Second

	// idleWait is the same for a worker that runs nothing and needs no lease;
	// the platform's page allows no more.
	idleWait = 2 * time.Second

	// holdPause gathers several ends into one answer.
	holdPause = 25 * time.Millisecond

	// holdRetry is the delay after a failed HoldOrder.
	holdRetry = 250 * time.Millisecond

	// unstoredPause is the longest further delay while ends are not stored,
	// since the worker answers at once as long as they are not acknowledged.
	unstoredPause = 300 * time.Millisecond

	// leaveWindow is less than the three heartbeats (4.5 s) after which the
	// discovery drops a silent worker.
	leaveWindow = 3 * time.Second

	// rackPrefix begins the label that names a worker's rack.
	rackPrefix = "r"
)

// see takes what the discovery says about workers.
func (m *Machine) see(now time.Time, in WorkersMsg) {
	listed := make(map[order.WorkerID]bool, len(in.infos))
	for _, info := range in.infos {
		listed[info.id] = true
		m.seeOne(now, info)
	}
	for _, id := range in.removed {
		m.unlist(now, id)
	}
	if !in.whole {
		return
	}
	for _, w := range m.sortedWorkers() {
		if w.listed && !listed[w.id] {
			m.unlist(now, w.id)
		}
	}
}

func (m *Machine) seeOne(now time.Time, info WorkerInfo) {
	w := m.workers[info.id]
	if w == nil {
		w = &worker{id: info.id, attempts: make(map[attemptKey]*attempt)}
		m.addWorker(w)
		m.journal.workersDirty = true
		m.log.Info().Str("worker", string(info.id)).Str("service", info.service).
			Str("domain", string(info.domain)).Int64("life", info.life).Msg("yard: worker listed")
	}
	if w.info.life != 0 && info.life != 0 && info.life < w.info.life {
		return
	}
	if w.info.life != 0 && info.life > w.info.life {
		m.newLife(now, w)
	}
	if info.draining && !w.draining {
		m.log.Info().Str("worker", string(info.id)).Msg("yard: worker drains")
	}
	w.info, w.listed, w.draining = info, true, info.draining
	w.rack = rackOf(info.labels)
}

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

func (m *Machine) unlist(now time.Time, id order.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlisted = false, now
	m.log.Info().Str("worker", string(id)).Int("runs", len(w.attempts)).Time("lease_end", w.leaseEnd).Msg("yard: worker no longer listed")
	if len(w.attempts) == 0 && now.After(w.leaseEnd) {
		m.removeWorker(w)
	}
}

// newLife forgets all that an earlier life of the worker ran.
func (m *Machine) newLife(now time.Time, w *worker) {
	m.log.Info().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: worker started anew")
	m.dropAttempts(now, w, "worker started anew")
	w.ends, w.lastEnd, w.acked = nil, 0, 0
	w.clockAt, w.reached, w.failures = time.Time{}, false, 0
	w.misses, w.mute, w.coolUntil = 0, false, time.Time{}
}

// dropAttempts ends all runs of the worker as lost.
func (m *Machine) dropAttempts(now time.Time, w *worker, reason string) {
	for _, a := range w.attempts {
		m.release(a)
		m.lost(now, a, reason)
	}
}

// hold sends each worker its next HoldOrder when it is time.
func (m *Machine) hold(now time.Time) {
	for _, w := range m.sortedWorkers() {
		if w.holding || now.Before(w.holdNext) || !m.wanted(w) {
			continue
		}
		m.acknowledge(w)
		if len(w.ends) > 0 && now.Before(w.holdNext.Add(unstoredPause)) {
			continue
		}
		w.holding = true
		o := HoldOrder{to: w.address(), epoch: m.epoch, seen: w.acked}
		// A worker that does not answer gets no longer lease, so that what it
		// runs has ended for certain at some time.
		if w.reached && w.misses == 0 {
			o.wait = holdWait
			if len(w.attempts) == 0 {
				o.wait = idleWait
			}
			o.deadline = m.grant(now, w)
		}
		m.emit(HoldCmd{order: o})
	}
}

// wanted reports whether the worker is asked what it runs: while it is listed,
// has runs, or may have runs of an earlier owner.
func (m *Machine) wanted(w *worker) bool {
	return w.listed || len(w.attempts) > 0 || !w.reached
}

func (w *worker) address() Address {
	return Address{address: w.info.address, worker: w.id, life: w.info.life}
}

// grant returns the end of a new lease on the worker's clock, and notes when
// it has ended for certain.
func (m *Machine) grant(now time.Time, w *worker) int64 {
	length := min(leaseLength, m.limits.maxHold)
	w.leaseEnd = tide.Later(w.leaseEnd, now.Add(lapse(length)))
	return w.clock + now.Sub(w.clockAt).Milliseconds() + length.Milliseconds()
}

func lapse(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+clockDrift)) + leaseSlack
}

// readClock notes the worker's clock. An answer that was overtaken by a later
// one is left out.
func (w *worker) readClock(now time.Time, clock int64) {
	if clock == 0 {
		return
	}
	if w.clockAt.IsZero() || clock > w.clock {
		w.clock, w.clockAt = clock, now
	}
}

// acknowledge moves the acknowledged number over all ends that are stored.
func (m *Machine) acknowledge(w *worker) {
	n := 0
	for n < len(w.ends) && (w.ends[n].job == nil || w.ends[n].job.stored >= w.ends[n].seq) {
		w.acked = w.ends[n].number
		n++
	}
	w.ends = w.ends[n:]
}

// holdResult takes a worker's report.
func (m *Machine) holdResult(now time.Time, in HeldMsg) {
	w := m.workers[in.order.to.worker]
	if w == nil {
		return
	}
	w.holding = false
	if in.order.to.life != w.info.life {
		return
	}
	if in.err != nil {
		m.holdFailed(now, w, in.err)
		return
	}
	if in.report.life != 0 && w.info.life != 0 && in.report.life != w.info.life {
		if in.report.life < w.info.life {
			return
		}
		w.info.life = in.report.life
		m.newLife(now, w)
		return
	}
	if !w.reached || w.misses > 0 {
		m.log.Info().Str("worker", string(w.id)).Int("running", len(in.report.running)).
			Int("ended", len(in.report.ended)).Msg("yard: worker reached")
	}
	w.misses, w.refused, w.mute = 0, false, false
	w.reached, w.answered = true, now
	w.readClock(now, in.report.clock)
	m.takeEnds(now, w, in.report.ended)
	m.takeRunning(now, w, in)
	w.holdNext = now.Add(holdPause)
}

func (m *Machine) holdFailed(now time.Time, w *worker, err error) {
	w.misses++
	w.refused = errors.Is(err, ErrNotSent)
	w.holdNext = now.Add(holdRetry)
	if w.misses == 1 {
		m.registry.Count("yard.workers.lost_contact")
		m.log.Warn().Err(err).Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: worker not reached")
	}
}

// takeEnds handles the ends that were not handled before.
func (m *Machine) takeEnds(now time.Time, w *worker, ended []EndedTask) {
	for _, e := range ended {
		if e.number <= w.lastEnd {
			continue
		}
		w.lastEnd = e.number
		j := m.end(now, w, e)
		mark := endMark{number: e.number}
		if j != nil {
			mark.job, mark.seq = j, j.seq
		}
		w.ends = append(w.ends, mark)
	}
}

// takeRunning compares what the worker runs with what it should run.
func (m *Machine) takeRunning(now time.Time, w *worker, in HeldMsg) {
	present := make(map[attemptKey]bool, len(in.report.running))
	for _, r := range in.report.running {
		key := attemptKey{r.task, r.run}
		present[key] = true
		a := w.attempts[key]
		if a == nil {
			a = m.adopt(now, w, r)
		}
		m.observe(now, a, r)
	}
	for key, a := range w.attempts {
		if !present[key] {
			m.missing(now, a, in.sent)
		}
	}
}

// observe notes the progress of a run.
func (m *Machine) observe(now time.Time, a *attempt, r RunningTask) {
	if a.state == attemptSent || a.state == attemptUnclear {
		a.state = attemptRunning
	}
	if r.percent != a.percent || a.moved.IsZero() {
		a.percent, a.moved = r.percent, now
	}
	if a.task != nil && r.checkpoint != "" {
		a.task.setCheckpoint(r.checkpoint)
	}
	switch {
	case a.state == attemptStopping && now.Sub(a.asked) > stopRepeat:
		m.sendStop(now, a)
	case m.stalled(now, a):
		m.move(now, a)
	}
}

func (t *task) setCheckpoint(value string) {
	if !t.step.spec.Checkpoint() {
		return
	}
	if t.step.spec.Gang() {
		t.step.checkpoint = value
		return
	}
	t.checkpoint = value
}

// missing handles a run that the report lacks. Reports that were asked for
// before the run's last order prove nothing.
func (m *Machine) missing(now time.Time, a *attempt, sent time.Time) {
	switch a.state {
	case attemptUnclear:
		if sent.After(a.asked) {
			m.stop(now, a)
		}
	case attemptStopping:
		if !a.stopped.IsZero() && sent.After(a.stopped) {
			m.release(a)
			m.lost(now, a, "stopped before it began")
			return
		}
		if a.stopped.IsZero() && now.Sub(a.asked) >= stopRepeat {
			m.sendStop(now, a)
		}
	case attemptRunning:
		if sent.After(a.asked) {
			m.stop(now, a)
		}
	}
}

// left reports whether a draining worker has ended: the discovery dropped it
// sooner than it drops a worker that is only silent, and nothing listens at
// its address.
func (w *worker) left() bool {
	return w.draining && !w.listed && w.refused && w.unlisted.Sub(w.answered) < leaveWindow
}

// expire ends the runs of workers that left, and of those whose last lease has
// passed unseen.
func (m *Machine) expire(now time.Time) {
	for _, w := range m.sortedWorkers() {
		if w.left() && len(w.attempts) > 0 {
			m.dropAttempts(now, w, "worker left")
		}
		if now.Before(w.leaseEnd) || (w.reached && w.misses == 0) {
			continue
		}
		if len(w.attempts) > 0 {
			m.log.Warn().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: leases lapsed")
			m.dropAttempts(now, w, "lease lapsed")
		}
		if !w.listed && !w.holding {
			m.removeWorker(w)
		}
	}
}

// settled reports whether all that earlier owners may have started is known.
func (m *Machine) settled(now time.Time) bool {
	for _, w := range m.workers {
		if !w.reached && now.Before(w.leaseEnd) {
			return false
		}
	}
	return true
}
