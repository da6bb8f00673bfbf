package scheduler

import (
	"errors"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// worker is the state of one incarnation of a worker, as the owner of the
	// cell sees it.
	worker struct {
		id       order.WorkerID
		info     WorkerInfo
		rack     string
		listed   bool
		draining bool

		// persisted reports whether the stored list of workers has the worker,
		// so that a later owner polls it for its runs.
		persisted bool

		// contacted reports whether the worker has responded in this epoch.
		// From then on it refuses the orders of earlier owners.
		contacted bool

		// clockMillis is the worker's clock in milliseconds as of clockReadAt.
		clockMillis int64
		clockReadAt time.Time

		// leaseEnd is when the last lease that may have been granted has
		// certainly expired.
		leaseEnd time.Time

		// lastReportAt is when the worker last answered a poll, unlistedAt when
		// the discovery removed it, and connRefused whether the last poll
		// failed before any byte was sent.
		lastReportAt time.Time
		unlistedAt   time.Time
		connRefused  bool

		// polling reports whether a poll is open, and pollPermit is that of the
		// last one. missedCalls counts the failed calls since the last report.
		polling     bool
		pollPermit  *permit
		nextPollAt  time.Time
		missedCalls int

		// unresponsive reports whether a start has had no response since the
		// worker's last report.
		unresponsive bool

		// unackedEnds are the reported ends that are not acknowledged yet,
		// lastEnded is the number of the last end handled, and acked that of
		// the last one acknowledged.
		unackedEnds []unackedEnd
		lastEnded   int64
		acked       int64
		attempts    map[attemptKey]*attempt
		used        order.Resources

		// free is the free fraction of the capacity.
		free float64

		// unknownSizes counts the runs whose size is not known.
		unknownSizes int

		// failures counts the failed tasks since the last one that completed.
		failures      int
		cooldownUntil time.Time
	}

	// unackedEnd is the end of a run. It may be acknowledged once the store has
	// the job's change with the number seq, or at once if job is nil.
	unackedEnd struct {
		number int64
		job    *job
		seq    int
	}
)

const (
	// leaseDuration is how long a worker continues without contact. It covers
	// the takeover of the cell by another process, about 3 s.
	leaseDuration = 6 * time.Second

	// maxClockDrift is how much slower a worker's clock may be than the
	// owner's, according to the worker protocol.
	maxClockDrift = 0.02

	// leaseMargin covers the time that an order may take to reach the worker.
	leaseMargin = 200 * time.Millisecond

	// pollWait is how long a worker may keep a poll open. Each lease is renewed
	// six times before it expires.
	pollWait = time.Second

	// idlePollWait is the same for a worker that runs nothing and needs no
	// lease. The platform allows no longer polls.
	idlePollWait = 2 * time.Second

	// pollDelay is the delay between a report and the next poll, in which
	// several ends can gather.
	pollDelay = 25 * time.Millisecond

	// pollRetryDelay is the delay after a failed poll.
	pollRetryDelay = 250 * time.Millisecond

	// maxUnackedPollDelay is how much longer the next poll is delayed while
	// reported ends are not stored. A worker responds at once while it has
	// unacknowledged ends, so an earlier poll would only return the same ends.
	maxUnackedPollDelay = 300 * time.Millisecond

	// maxFirstContacts is how many workers get their first poll of the epoch at
	// a time. A new owner polls all workers; more open connections
	// would delay the calls that clients wait for.
	maxFirstContacts = 64

	// departureWindow is less than the three heartbeats (4.5 s) after which the
	// discovery removes a worker that sends none. A worker that is removed
	// sooner has deregistered itself.
	departureWindow = 3 * time.Second

	// rackPrefix begins the label that names a worker's rack.
	rackPrefix = "r"
)

// updateWorkers applies the workers that the discovery lists.
func (m *Scheduler) updateWorkers(now time.Time, in WorkersMsg) {
	listed := make(map[order.WorkerID]bool, len(in.infos))
	for _, info := range in.infos {
		listed[info.id] = true
		m.updateWorker(now, info)
	}
	for _, id := range in.removed {
		m.markUnlisted(now, id)
	}
	if !in.complete {
		return
	}
	for _, w := range m.sortedWorkers() {
		if w.listed && !listed[w.id] {
			m.markUnlisted(now, w.id)
		}
	}
}

// updateWorker adds or updates a worker. Information about an earlier
// incarnation is dropped.
func (m *Scheduler) updateWorker(now time.Time, info WorkerInfo) {
	w := m.workers[info.id]
	if w == nil {
		w = &worker{id: info.id, attempts: make(map[attemptKey]*attempt)}
		m.addWorker(w)
		m.journal.workersDirty = true
		m.log.Info().Str("worker", string(info.id)).Str("service", info.service).
			Str("domain", string(info.domain)).Int64("life", info.incarnation).Msg("yard: worker listed")
	}
	if w.info.incarnation != 0 && info.incarnation != 0 && info.incarnation < w.info.incarnation {
		return
	}
	if w.info.incarnation != 0 && info.incarnation > w.info.incarnation {
		w.info = info
		m.resetWorker(now, w)
	}
	if info.draining && !w.draining {
		m.log.Info().Str("worker", string(info.id)).Msg("yard: worker drains")
	}
	w.info, w.listed, w.draining = info, true, info.draining
	w.rack = rackOf(info.labels)
	w.updateFree()
	if w.draining {
		m.withdrawStarts(now, w, "worker drains")
	}
}

// rackOf returns the label that names the rack, such as r1-2, or an empty
// string.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// markUnlisted handles a worker that the discovery no longer lists. It is
// removed only when it can have no more runs.
func (m *Scheduler) markUnlisted(now time.Time, id order.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, now
	m.withdrawStarts(now, w, "worker no longer listed")
	m.log.Info().Str("worker", string(id)).Int("runs", len(w.attempts)).Time("lease_end", w.leaseEnd).Msg("yard: worker no longer listed")
	if len(w.attempts) == 0 && now.After(w.leaseEnd) {
		m.removeWorker(w)
	}
}

// resetWorker drops the runs and the state of a worker's earlier incarnation.
// Runs that may have started on the present one are kept.
func (m *Scheduler) resetWorker(now time.Time, w *worker) {
	m.log.Info().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: worker restarted")
	w.pollPermit.withdraw()
	for _, a := range w.attempts {
		if a.reported() || a.startPermit.withdraw() {
			m.release(a)
			m.requeue(now, a, "worker started anew")
			continue
		}
		m.keepUnreported(now, a)
	}
	w.unackedEnds, w.lastEnded, w.acked = nil, 0, 0
	w.clockReadAt, w.contacted, w.failures = time.Time{}, false, 0
	w.missedCalls, w.unresponsive, w.cooldownUntil = 0, false, time.Time{}
}

// keepUnreported keeps a run whose start was sent to an earlier incarnation of
// the worker and that no report has listed. The present incarnation may have
// got the start, as a worker checks only its ID. A lease that ends on the clock
// of another incarnation may last for the longest time allowed.
func (m *Scheduler) keepUnreported(now time.Time, a *attempt) {
	a.worker.leaseEnd = timers.Later(a.worker.leaseEnd, now.Add(maxLeaseTime(m.limits.maxLease)))
	a.stopPermit.withdraw()
	a.stopConfirmedAt = time.Time{}
	if a.state == attemptStopping {
		m.sendStop(now, a)
		return
	}
	a.state, a.orderedAt = attemptUnconfirmed, now
}

// withdrawStarts withdraws the starts that are not sent yet to a worker that may
// get none any more, and makes their tasks wait again.
func (m *Scheduler) withdrawStarts(now time.Time, w *worker, reason string) {
	for _, a := range w.attempts {
		if a.state == attemptSent && a.startPermit.withdraw() {
			m.release(a)
			m.requeue(now, a, reason)
		}
	}
}

// dropAttempts ends all runs of the worker and makes their tasks wait again.
func (m *Scheduler) dropAttempts(now time.Time, w *worker, reason string) {
	for _, a := range w.attempts {
		m.release(a)
		m.requeue(now, a, reason)
	}
}

// pollWorkers sends each worker its next poll when it is due.
func (m *Scheduler) pollWorkers(now time.Time) {
	for _, w := range m.sortedWorkers() {
		if w.polling || now.Before(w.nextPollAt) || !m.shouldPoll(w) {
			continue
		}
		first := !w.contacted && w.missedCalls == 0
		if first && m.firstContacts >= maxFirstContacts {
			continue
		}
		m.acknowledge(w)
		if len(w.unackedEnds) > 0 && now.Before(w.nextPollAt.Add(maxUnackedPollDelay)) {
			continue
		}
		w.polling = true
		if first {
			m.firstContacts++
		}
		o := PollOrder{to: w.address(), epoch: m.epoch, acked: w.acked, first: first, permit: &permit{}}
		// A worker that does not respond gets no longer lease, so that its runs
		// have certainly ended at some time.
		if w.contacted && w.missedCalls == 0 {
			o.wait = pollWait
			if len(w.attempts) == 0 {
				o.wait = idlePollWait
			}
			o.leaseEnd, o.permit = m.grantLease(now, w), m.leasePermit(now)
		}
		w.pollPermit = o.permit
		m.emit(PollCmd{order: o})
	}
}

// shouldPoll reports whether the worker is polled: while it is listed, has
// runs, or may have runs of an earlier owner.
func (m *Scheduler) shouldPoll(w *worker) bool {
	return w.listed || len(w.attempts) > 0 || !w.contacted
}

// address returns the address for orders to this incarnation of the worker.
func (w *worker) address() WorkerAddress {
	return WorkerAddress{address: w.info.address, worker: w.id, incarnation: w.info.incarnation}
}

// grantLease returns the end of a new lease on the worker's clock, and records
// when it has certainly expired.
func (m *Scheduler) grantLease(now time.Time, w *worker) int64 {
	length := min(leaseDuration, m.limits.maxLease)
	w.leaseEnd = timers.Later(w.leaseEnd, now.Add(maxLeaseTime(length)))
	return w.clockMillis + now.Sub(w.clockReadAt).Milliseconds() + length.Milliseconds()
}

// maxLeaseTime returns how long a lease of the length may last on the owner's
// clock.
func maxLeaseTime(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+maxClockDrift)) + leaseMargin
}

// recordClock records a reading of the worker's clock. A response that a later
// one has overtaken is ignored.
func (w *worker) recordClock(now time.Time, clock int64) {
	if clock == 0 {
		return
	}
	if w.clockReadAt.IsZero() || clock > w.clockMillis {
		w.clockMillis, w.clockReadAt = clock, now
	}
}

// acknowledge advances the acknowledged number over all ends that are stored,
// up to the first one that is not.
func (m *Scheduler) acknowledge(w *worker) {
	n := 0
	for n < len(w.unackedEnds) && (w.unackedEnds[n].job == nil || w.unackedEnds[n].job.storedSeq >= w.unackedEnds[n].seq) {
		w.acked = w.unackedEnds[n].number
		n++
	}
	w.unackedEnds = w.unackedEnds[n:]
}

// handlePoll handles the result of a poll.
func (m *Scheduler) handlePoll(now time.Time, in PolledMsg) {
	if in.order.first {
		m.firstContacts--
	}
	w := m.workers[in.order.to.worker]
	if w == nil {
		return
	}
	w.polling = false
	if in.order.to.incarnation != w.info.incarnation || errors.Is(in.err, errWithdrawn) {
		return
	}
	if in.err != nil {
		m.handlePollError(now, w, in.err)
		return
	}
	if in.report.incarnation != 0 && w.info.incarnation != 0 && in.report.incarnation != w.info.incarnation {
		if in.report.incarnation < w.info.incarnation {
			return
		}
		w.info.incarnation = in.report.incarnation
		m.resetWorker(now, w)
		return
	}
	if !w.contacted || w.missedCalls > 0 {
		m.log.Info().Str("worker", string(w.id)).Int("running", len(in.report.running)).
			Int("ended", len(in.report.ended)).Msg("yard: contact with worker established")
	}
	w.missedCalls, w.connRefused, w.unresponsive = 0, false, false
	w.contacted, w.lastReportAt = true, now
	w.recordClock(now, in.report.clock)
	m.handleEnds(now, w, in.report.ended)
	m.reconcileRuns(now, w, in)
	w.nextPollAt = now.Add(pollDelay)
}

// handlePollError handles a failed poll, after which the worker gets no starts
// until its next report. Only the first of several failures is logged.
func (m *Scheduler) handlePollError(now time.Time, w *worker, err error) {
	w.missedCalls++
	w.connRefused = errors.Is(err, ErrNotSent)
	w.nextPollAt = now.Add(pollRetryDelay)
	var refused *RefusedError
	if !w.listed && errors.As(err, &refused) && refused.reason == RefusedIncarnation {
		// Another worker has the address, so this one and its runs have ended.
		w.leaseEnd = now
	}
	if w.missedCalls == 1 {
		m.registry.Count("yard.workers.lost_contact")
		m.log.Warn().Err(err).Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: worker not reached")
	}
	m.withdrawStarts(now, w, "worker not reached")
}

// handleEnds handles the reported ends, except for those handled before.
func (m *Scheduler) handleEnds(now time.Time, w *worker, ended []EndedTask) {
	for _, e := range ended {
		if e.number <= w.lastEnded {
			continue
		}
		w.lastEnded = e.number
		j := m.handleEnded(now, w, e)
		unacked := unackedEnd{number: e.number}
		if j != nil {
			unacked.job, unacked.seq = j, j.seq
		}
		w.unackedEnds = append(w.unackedEnds, unacked)
	}
}

// reconcileRuns compares the runs that the worker reports with those that it
// should execute.
func (m *Scheduler) reconcileRuns(now time.Time, w *worker, in PolledMsg) {
	present := make(map[attemptKey]bool, len(in.report.running))
	for _, r := range in.report.running {
		key := attemptKey{r.task, r.run}
		present[key] = true
		a := w.attempts[key]
		if a == nil {
			a = m.adopt(now, w, r)
		}
		m.recordProgress(now, a, r)
	}
	for key, a := range w.attempts {
		if !present[key] {
			m.handleMissing(now, a, in.sentAt)
		}
	}
}

// recordProgress records the reported progress of a run. It repeats a stop
// without effect, and moves a stalled run.
func (m *Scheduler) recordProgress(now time.Time, a *attempt, r RunningTask) {
	a.markStarted()
	if a.state == attemptSent || a.state == attemptUnconfirmed {
		a.state = attemptRunning
	}
	if r.percent != a.percent || a.progressAt.IsZero() {
		a.percent, a.progressAt = r.percent, now
	}
	if a.task != nil && r.checkpoint != "" {
		a.task.setCheckpoint(r.checkpoint)
	}
	switch {
	case a.state == attemptStopping && now.Sub(a.orderedAt) > stopRetryInterval:
		m.sendStop(now, a)
	case m.stalled(now, a):
		m.moveStalled(now, a)
	}
}

// setCheckpoint records the last checkpoint of the task, or of its gang. It is
// ignored if the step does not support checkpoints.
func (t *task) setCheckpoint(value string) {
	if !t.step.spec.Checkpoint() {
		return
	}
	if t.step.spec.Gang() {
		t.step.gangCheckpoint = value
		return
	}
	t.checkpoint = value
}

// handleMissing handles a run that the report lacks. A poll that was sent
// before the run's last order proves nothing, since the worker may have
// responded before it got the order.
func (m *Scheduler) handleMissing(now time.Time, a *attempt, polledAt time.Time) {
	switch a.state {
	case attemptUnconfirmed:
		if polledAt.After(a.orderedAt) {
			m.stop(now, a)
		}
	case attemptStopping:
		if !a.stopConfirmedAt.IsZero() && polledAt.After(a.stopConfirmedAt) {
			m.release(a)
			m.requeue(now, a, "stopped before it began")
			return
		}
		if a.stopConfirmedAt.IsZero() && now.Sub(a.orderedAt) >= stopRetryInterval {
			m.sendStop(now, a)
		}
	case attemptRunning:
		if polledAt.After(a.orderedAt) {
			m.stop(now, a)
		}
	}
}

// departed reports whether a draining worker has exited: the discovery removed
// it sooner than a worker that only stopped sending heartbeats, and nothing
// listens at its address.
func (w *worker) departed() bool {
	return w.draining && !w.listed && w.connRefused && w.unlistedAt.Sub(w.lastReportAt) < departureWindow
}

// expireRuns ends the runs of workers that departed, and of workers without
// contact whose last lease has expired.
func (m *Scheduler) expireRuns(now time.Time) {
	for _, w := range m.sortedWorkers() {
		if w.departed() && len(w.attempts) > 0 {
			m.dropAttempts(now, w, "worker left")
		}
		if now.Before(w.leaseEnd) || (w.contacted && w.missedCalls == 0) {
			continue
		}
		if len(w.attempts) > 0 {
			m.log.Warn().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: leases lapsed")
			m.dropAttempts(now, w, "lease lapsed")
		}
		if !w.listed && !w.polling {
			m.removeWorker(w)
		}
	}
}

// recovered reports whether all runs that earlier owners may have started are
// known: each worker has reported, or its last lease has expired.
func (m *Scheduler) recovered(now time.Time) bool {
	for _, w := range m.workers {
		if !w.contacted && now.Before(w.leaseEnd) {
			return false
		}
	}
	return true
}
