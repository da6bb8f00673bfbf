package scheduler

import (
	"errors"
	"slices"
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
		draining bool

		// listed reports whether the discovery lists the worker.
		listed bool

		// changedAfter is a time after which the entry was last written, and
		// changedSuspended how long the machine had been suspended then.
		// deletedAt is when its deletion was read, until that is judged. leftAt
		// is when this owner saw that the worker itself had removed its entry,
		// and zero if it has not. departed reports whether a call that was sent
		// later has failed.
		changedAfter     time.Time
		changedSuspended time.Duration
		deletedAt        time.Time
		leftAt           time.Time
		departed         bool

		// infoStale reports whether info describes an earlier incarnation, whose
		// capacity and labels may differ.
		infoStale bool

		// storedAddress is the address that the stored list of workers has. A
		// later owner polls the worker there for its runs.
		storedAddress string

		// contacted reports whether the worker has responded in this epoch.
		// From then on it refuses the orders of earlier owners.
		contacted bool

		// reported reports whether a report of this epoch had all ends, so that
		// all that earlier owners started is known. reportedAt is the time of
		// the last report.
		reported   bool
		reportedAt time.Time

		// clockMillis is the worker's clock in milliseconds as of clockReadAt.
		clockMillis int64
		clockReadAt time.Time

		// restartedAt is when this owner learned of the present incarnation, and
		// zero if it knows of no earlier one.
		restartedAt time.Time

		// leaseEnd is when the last lease that may have been granted has
		// certainly expired.
		leaseEnd time.Time

		// connRefused reports whether the worker's address refused the
		// connection of the last poll.
		connRefused bool

		// polling reports whether a poll is open, and pollPermit is that of the
		// last one. missedCalls counts the failed calls since the last report.
		polling     bool
		pollPermit  *permit
		nextPollAt  time.Time
		missedCalls int

		// unresponsive reports whether an order has had no response since the
		// worker's last report.
		unresponsive bool

		// unreadableRows is how many rows of the last report could not be read.
		unreadableRows int

		// unackedEnds are the reported ends that are not acknowledged yet,
		// lastEnded is the number of the last end handled, and acked that of
		// the last one acknowledged. firstListed is that of the first end in the
		// last report, and zero if it had none.
		unackedEnds []unackedEnd
		lastEnded   int64
		acked       int64
		firstListed int64
		attempts    map[attemptKey]*attempt
		used        order.Resources

		// free is the free fraction of the capacity.
		free float64

		// unknownSizes counts the runs whose size is not known.
		unknownSizes int

		// failures are the failed runs since the last one that completed.
		// cooldownUntil is when the worker may get new tasks after refusals,
		// stalled runs and earlier failures.
		failures      []failure
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

	// rackPrefix begins the label that names a worker's rack.
	rackPrefix = "r"
)

// updateWorkers applies the workers that the discovery lists.
func (m *Scheduler) updateWorkers(now time.Time, in WorkersMsg) {
	listed := make(map[order.WorkerID]bool, len(in.infos))
	for _, info := range in.infos {
		listed[info.id] = true
		m.updateWorker(now, info)
		if w := m.workers[info.id]; w != nil {
			w.changedAfter, w.changedSuspended = in.changedAfter, in.suspended
		}
	}
	for _, id := range in.deleted {
		if w := m.workers[id]; w != nil {
			w.deletedAt = now
		}
	}
	for _, id := range in.removed {
		if w := m.workers[id]; w != nil && !slices.Contains(in.deleted, id) {
			// The entry is another writer's now, and so may be its deletion.
			w.changedAfter = time.Time{}
		}
		m.markUnlisted(now, id)
	}
	// The capacities bound what may run on the workers without a report.
	m.unconfirmedAt = time.Time{}
	if !in.complete {
		return
	}
	for _, w := range m.sortedWorkers() {
		if !listed[w.id] {
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
		m.log.Info().Str("worker", string(info.id)).Str("service", info.service).
			Str("domain", string(info.domain)).Int64("life", info.incarnation).Msg("yard: worker listed")
	}
	switch {
	case info.incarnation == 0:
		info.incarnation = w.info.incarnation
	case info.incarnation < w.info.incarnation:
		return
	}
	if w.info.incarnation != 0 && info.incarnation > w.info.incarnation {
		w.info = info
		m.resetWorker(now, w, nil)
	}
	if info.draining && !w.draining {
		m.log.Info().Str("worker", string(info.id)).Msg("yard: worker drains")
	}
	if w.storedAddress != "" && w.storedAddress != info.address {
		m.journal.workersDirty = true
	}
	w.info, w.listed, w.draining = info, true, info.draining
	w.infoStale, w.deletedAt, w.leftAt, w.departed = false, time.Time{}, time.Time{}, false
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

// markLeft judges the deleted entries, once it is known for how long the machine
// has been suspended.
func (m *Scheduler) markLeft(now time.Time) {
	for _, w := range m.workers {
		if !w.deletedAt.IsZero() && m.removedByWorker(now, w) {
			w.leftAt = now
		}
		w.deletedAt = time.Time{}
	}
}

// removedByWorker reports whether the worker has removed its entry itself, as it
// does at its exit: it was draining, and the entry went sooner than the discovery
// removes that of a silent worker. Entries may also go while the store is down.
func (m *Scheduler) removedByWorker(now time.Time, w *worker) bool {
	if !w.draining || w.changedAfter.IsZero() {
		return false
	}
	age := now.Sub(w.changedAfter) + m.suspended - w.changedSuspended
	// The margin allows for a change that the store reported late.
	return age < m.limits.workerSilence*2/3 && m.storeSteady(now, w.changedAfter)
}

// markUnlisted handles a worker that the discovery no longer lists. It is
// removed only when it can have no more runs.
func (m *Scheduler) markUnlisted(now time.Time, id order.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	m.withdrawStarts(now, w, "worker no longer listed")
	m.log.Info().Str("worker", string(id)).Int("runs", len(w.attempts)).Time("lease_end", w.leaseEnd).Msg("yard: worker no longer listed")
	if len(w.attempts) == 0 && m.lapsed(w) {
		m.removeWorker(w)
	}
}

// resetWorker drops the runs and the state of a worker's earlier incarnation.
// Runs that may have started on the present one are kept, and so are those that
// it has reported.
func (m *Scheduler) resetWorker(now time.Time, w *worker, running []RunningTask) {
	m.log.Info().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Uint64("epoch", uint64(m.epoch)).
		Int64("life", w.info.incarnation).Dur("ownership_age", m.ownershipAge(now)).Msg("yard: worker restarted")
	w.restartedAt = now
	w.pollPermit.withdraw()
	m.dropTickets(w.id)
	for _, a := range w.attempts {
		listed := slices.ContainsFunc(running, func(r RunningTask) bool { return r.task == a.ref && r.run == a.run })
		switch {
		case a.startPermit.withdraw():
			m.release(a)
			m.requeue(now, a, "worker started anew")
		case a.reported() && !a.startOpen && !listed:
			m.requeueConfirmed(now, a, "worker started anew")
		default:
			m.keepUnreported(now, a)
		}
	}
	// An order of the earlier life that is still under way may give the present
	// one the longest lease, as it ends on another clock.
	w.leaseEnd = timers.Later(w.leaseEnd, now.Add(maxLeaseTime(m.limits.maxLease)))
	w.unackedEnds, w.lastEnded, w.acked, w.firstListed = nil, 0, 0, 0
	w.clockReadAt, w.contacted, w.reported, w.failures = time.Time{}, false, false, nil
	w.missedCalls, w.unresponsive, w.cooldownUntil = 0, false, time.Time{}
	w.deletedAt, w.leftAt, w.departed = time.Time{}, time.Time{}, false
}

// keepUnreported keeps a run whose start was sent to an earlier incarnation of
// the worker, and either no report of that one has listed it, or the present one
// has, or copies of the start may still be executed. The present incarnation may
// have got the start, as a worker checks only its ID.
func (m *Scheduler) keepUnreported(now time.Time, a *attempt) {
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

// dropAttempts ends the runs of the worker for which ended is true, and makes
// their tasks wait again.
func (m *Scheduler) dropAttempts(now time.Time, w *worker, reason string, ended func(*attempt) bool) {
	for _, a := range w.attempts {
		if ended(a) {
			m.requeueConfirmed(now, a, reason)
		}
	}
}

// runLapsed reports whether a run has ended with the lapsed lease of its worker.
// A start that a next life of the worker executed has the longest lease, as its
// deadline is one of the former clock.
func (m *Scheduler) runLapsed(a *attempt) bool {
	return a.uncertainAt.IsZero() || m.confirmedSince(a.uncertainAt.Add(maxLeaseTime(m.limits.maxLease)))
}

// onlyInThisLife reports whether no later life of the worker can have the run: no
// copy of its start may still be executed.
func (a *attempt) onlyInThisLife() bool { return !a.startOpen && a.uncertainAt.IsZero() }

// anyRun reports whether the function is true for any run of the worker.
func (w *worker) anyRun(is func(*attempt) bool) bool {
	for _, a := range w.attempts {
		if is(a) {
			return true
		}
	}
	return false
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
		o := m.newPoll(now, w)
		o.first, w.pollPermit = first, o.permit
		m.emit(PollCmd{order: o})
	}
}

// newPoll returns the next poll of a worker. One that does not respond gets no
// longer lease, so that its runs have certainly ended at some time.
func (m *Scheduler) newPoll(now time.Time, w *worker) PollOrder {
	o := PollOrder{to: w.address(), epoch: m.epoch, permit: &permit{}}
	if !w.contacted || w.missedCalls > 0 {
		// Another life may be there, whose ends have other numbers.
		return o
	}
	o.wait = pollWait
	// After an order without a response another life may be there as well. Ends
	// that the worker no longer lists need no acknowledgement, which could make
	// the next life forget other ends of the same numbers.
	if !w.unresponsive && w.firstListed != 0 && w.acked >= w.firstListed {
		o.acked = w.acked
	}
	if len(w.attempts) == 0 {
		o.wait = idlePollWait
	}
	if o.leaseEnd = m.grantLease(now, w); o.leaseEnd != 0 {
		o.permit = m.leasePermit(now)
	}
	return o
}

// shouldPoll reports whether the worker is polled: while it is listed, has
// runs, or may have runs of an earlier owner.
func (m *Scheduler) shouldPoll(w *worker) bool {
	return w.listed || len(w.attempts) > 0 || !w.contacted
}

// persisted reports whether the stored list of workers has the worker with its
// present address.
func (w *worker) persisted() bool {
	return w.info.address != "" && w.storedAddress == w.info.address
}

// address returns the address for orders to this incarnation of the worker.
func (w *worker) address() WorkerAddress {
	return WorkerAddress{address: w.info.address, worker: w.id, incarnation: w.info.incarnation}
}

// grantLease returns the end of a new lease on the worker's clock, and records
// when it has certainly expired. It returns zero if no lease may be granted.
func (m *Scheduler) grantLease(now time.Time, w *worker) int64 {
	length := m.leaseLength(now)
	if length <= leaseMargin {
		return 0
	}
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
	m.checkEpoch(in.err)
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
		w.recordFailedCall(in)
		m.handlePollError(now, w, in.err)
		return
	}
	if in.report.incarnation != 0 && w.info.incarnation != 0 && in.report.incarnation != w.info.incarnation {
		if in.report.incarnation < w.info.incarnation {
			return
		}
		w.info.incarnation, w.infoStale = in.report.incarnation, true
		m.resetWorker(now, w, in.report.running)
		return
	}
	if w.info.incarnation == 0 {
		w.info.incarnation = in.report.incarnation
	}
	if !w.contacted || w.missedCalls > 0 {
		m.log.Info().Str("worker", string(w.id)).Int("running", len(in.report.running)).
			Int("ended", len(in.report.ended)).Int("known", len(w.attempts)).Uint64("epoch", uint64(m.epoch)).
			Int64("life", w.info.incarnation).Msg("yard: contact with worker established")
	}
	w.missedCalls, w.connRefused, w.unresponsive = 0, false, false
	w.contacted, w.reportedAt = true, now
	w.deletedAt, w.leftAt, w.departed = time.Time{}, time.Time{}, false
	w.reported = w.reported || !in.report.moreEnds
	if !w.persisted() {
		m.journal.workersDirty = true
	}
	w.recordClock(now, in.report.clock)
	m.recordUnreadable(w, in.report.unreadable)
	m.handleEnds(now, w, in.report.ended)
	w.firstListed = 0
	if len(in.report.ended) > 0 {
		w.firstListed = in.report.ended[0].number
	}
	m.reconcileRuns(now, w, in)
	w.nextPollAt = now.Add(pollDelay)
}

// recordFailedCall records whether a failed poll shows, with the deleted entry,
// that the worker has exited. A process that refuses the poll runs.
func (w *worker) recordFailedCall(in PolledMsg) {
	var refused *RefusedError
	if errors.As(in.err, &refused) {
		w.leftAt = time.Time{}
		return
	}
	w.departed = w.departed || !w.leftAt.IsZero() && in.sentAt.After(w.leftAt)
}

// handlePollError handles a failed poll, after which the worker gets no starts
// until its next report. Only the first of several failures is logged.
func (m *Scheduler) handlePollError(now time.Time, w *worker, err error) {
	w.missedCalls++
	connRefused := errors.Is(err, ErrConnectionRefused)
	if connRefused && !w.connRefused && w.missedCalls > 1 {
		m.log.Info().Str("worker", string(w.id)).Bool("listed", w.listed).Int("runs", len(w.attempts)).
			Uint64("epoch", uint64(m.epoch)).Msg("yard: worker's address refuses connections")
	}
	w.connRefused = connRefused
	w.nextPollAt = now.Add(pollRetryDelay)
	var refused *RefusedError
	if !w.listed && errors.As(err, &refused) && refused.reason == RefusedIncarnation {
		// Another worker has the address, so this one and its runs have ended.
		m.log.Info().Str("worker", string(w.id)).Int("runs", len(w.attempts)).Uint64("epoch", uint64(m.epoch)).
			Msg("yard: another worker at the address")
		w.leaseEnd = time.Time{}
	}
	if w.missedCalls == 1 {
		m.registry.Count("yard.workers.lost_contact")
		m.log.Warn().Err(err).Str("worker", string(w.id)).Int("runs", len(w.attempts)).Msg("yard: worker not reached")
	}
	m.withdrawStarts(now, w, "worker not reached")
}

// recordUnreadable counts the rows of a report that could not be read, and logs
// their number when it changes.
func (m *Scheduler) recordUnreadable(w *worker, rows int) {
	m.registry.Add("yard.report_rows_unreadable", int64(rows))
	if rows != w.unreadableRows {
		m.log.Warn().Str("worker", string(w.id)).Int("rows", rows).Msg("yard: rows of the worker's report not read")
		w.unreadableRows = rows
	}
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
			m.handleMissing(now, a, in)
		}
	}
}

// recordProgress records the reported progress of a run. It repeats a stop
// without effect, and moves a stalled run.
func (m *Scheduler) recordProgress(now time.Time, a *attempt, r RunningTask) {
	a.markStarted()
	a.uncertainAt = time.Time{}
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
// responded before it got the order, and neither does a report without the last
// ends, since the run may have ended.
func (m *Scheduler) handleMissing(now time.Time, a *attempt, in PolledMsg) {
	if a.state == attemptStopping && a.stopConfirmedAt.IsZero() {
		if now.Sub(a.orderedAt) >= stopRetryInterval {
			m.sendStop(now, a)
		}
		return
	}
	if in.report.moreEnds {
		return
	}
	switch a.state {
	case attemptUnconfirmed, attemptRunning:
		if in.sentAt.After(a.orderedAt) {
			m.stop(now, a)
		}
	case attemptStopping:
		if in.sentAt.After(a.stopConfirmedAt) {
			m.requeueConfirmed(now, a, "stopped before it began")
		}
	}
}

// expireRuns ends the runs of workers that have exited as planned, and of workers
// without contact whose last lease has lapsed. A worker that is not listed and
// refuses connections may run on behind a partition.
func (m *Scheduler) expireRuns(now time.Time) {
	for _, w := range m.sortedWorkers() {
		if w.departed {
			m.endDeparted(now, w)
		}
		idle := !w.listed && len(w.attempts) == 0
		if !m.lapsed(w) || (w.contacted && w.missedCalls == 0 && !idle) {
			continue
		}
		if w.anyRun(m.runLapsed) {
			m.registry.Count("yard.workers.lapsed")
			m.logEndedRuns(now, w, "yard: leases lapsed")
			m.dropAttempts(now, w, "lease lapsed", m.runLapsed)
		}
		if len(w.attempts) > 0 {
			continue
		}
		if w.storedAddress != "" && !w.contacted {
			m.logEndedRuns(now, w, "yard: leases of earlier owners lapsed")
			// Runs of earlier owners have expired, and this owner started none.
			w.storedAddress, m.journal.workersDirty = "", true
		}
		if !w.listed && !w.polling {
			m.removeWorker(w)
		}
	}
}

// endDeparted ends the runs of a worker that has exited, except for those that
// its next life may have.
func (m *Scheduler) endDeparted(now time.Time, w *worker) {
	if len(w.attempts) == 0 || w.anyRun((*attempt).onlyInThisLife) {
		m.logEndedRuns(now, w, "yard: worker left")
		m.dropAttempts(now, w, "worker left", (*attempt).onlyInThisLife)
	}
	if len(w.attempts) == 0 {
		w.leaseEnd = time.Time{}
	}
}

// logEndedRuns logs that the runs of a worker, or those that earlier owners may
// have started there, count as ended although it did not list their ends. The
// line has what is known of the worker.
func (m *Scheduler) logEndedRuns(now time.Time, w *worker, message string) {
	if len(w.attempts) == 0 && (w.contacted || w.storedAddress == "") {
		return
	}
	m.log.Warn().Str("worker", string(w.id)).Str("domain", string(w.info.domain)).Int("runs", len(w.attempts)).
		Time("lease_end", w.leaseEnd).Bool("listed", w.listed).Bool("draining", w.draining).Bool("refused", w.connRefused).
		Dur("report_age", now.Sub(w.reportedAt)).Uint64("epoch", uint64(m.epoch)).
		Dur("ownership_age", m.ownershipAge(now)).Msg(message)
}

// recovered reports whether all runs that earlier owners may have started are
// known: each worker has reported all ends, or its last lease has lapsed.
func (m *Scheduler) recovered() bool {
	if !m.confirmedSince(m.unlistedLeaseEnd) {
		return false
	}
	// From then on no earlier owner can have started anything on a worker that
	// restarts and forgets which epoch it had accepted.
	allLapsed := m.confirmedSince(m.formerLeaseEnd())
	for _, w := range m.workers {
		if !w.reported && (w.contacted || !m.lapsed(w) && !allLapsed) {
			return false
		}
	}
	return true
}

// logRecovered logs once that all runs of earlier owners are known, with the
// workers that have not reported: their leases have lapsed.
func (m *Scheduler) logRecovered(now time.Time, recovered bool) {
	if !recovered || m.recoveryLogged {
		return
	}
	m.recoveryLogged = true
	silent := 0
	for _, w := range m.workers {
		if !w.reported {
			silent++
		}
	}
	m.log.Info().Uint64("epoch", uint64(m.epoch)).Int("workers", len(m.workers)).Int("not_reported", silent).
		Dur("took", now.Sub(m.startedAt)).Dur("ownership_age", m.ownershipAge(now)).Msg("yard: runs of earlier owners known")
}
