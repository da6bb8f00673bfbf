package scheduler

import (
	"time"

	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// journal collects the changes of jobs into batches for the store.
	journal struct {
		ownership   storage.Entry
		dirty       []*job
		inFlight    map[int]inFlightBatch
		lastBatchID int
		lastFlush   time.Time
		lastStored  time.Time
		deletions   []storage.Entry
		lastPrune   time.Time

		// workersVersion is the version of the stored list of workers.
		workersVersion  storage.Version
		workersDirty    bool
		workersInFlight bool
	}

	// inFlightBatch is a batch that was sent and is not confirmed, with the
	// number of the last change and the state of each of its jobs.
	inFlightBatch struct {
		sentAt  time.Time
		jobs    []*job
		seqs    []int
		states  []order.JobState
		workers []storedWorker
	}

	// storedWorker is a worker in a list that was sent to the store, with its
	// address there.
	storedWorker struct {
		worker  *worker
		address string
	}
)

const (
	// WorkersKey is the key of the list of workers in the store.
	WorkersKey = "fleet/workers"

	// JobPrefix is the prefix of the keys of the jobs in the store.
	JobPrefix = "job/"

	// minInFlight and maxInFlight bound how many batches may be in flight. Two
	// are enough while the store responds after 4 ms; with 16, a store slowed
	// down 60 times still takes 900 job changes a second.
	minInFlight = 16
	maxInFlight = 64

	// slowStoreResponse is how long a response may take while the store still
	// has to take batches at the rate of full ones.
	slowStoreResponse = 250 * time.Millisecond

	// flushInterval limits batches that are not full to 50 a second, so that
	// each collects the changes of some time.
	flushInterval = 20 * time.Millisecond

	// writeRateDivisor sets the part of the store's write rate that full
	// batches may use: one in this many. The rest is for leases, claims and
	// retries.
	writeRateDivisor = 2

	// maxJobsPerBatch is how many jobs fit into a batch: each takes an
	// expectation and a write, and the ownership record and the list of workers
	// need up to four more.
	maxJobsPerBatch = (storage.MaxBatch - 4) / 2

	// minBackgroundJobs is how many jobs of a batch are kept for changes that
	// no client waits for, so that a steady load of others does not starve
	// them.
	minBackgroundJobs = 4

	// storeStallTimeout is how long a batch may be in flight, while no other
	// is stored, before new jobs are refused. It covers a lost response with
	// the repeated call, and a store slowed down 60 times.
	storeStallTimeout = 450 * time.Millisecond

	// uncertainReplyDelay is how long a call waits for a batch of a stalled
	// store before it is answered that the outcome is unknown. It is less than
	// half of the time that callers wait.
	uncertainReplyDelay = 1200 * time.Millisecond

	// pruneInterval is how often ended jobs are checked against the retention.
	pruneInterval = 10 * time.Second
)

func newJournal(record storage.Entry) journal {
	return journal{ownership: record, inFlight: make(map[int]inFlightBatch)}
}

// jobKey returns the key of the job in the store.
func jobKey(id order.JobID) string { return JobPrefix + string(id) }

// markDirty records that the job has changed and has to be stored.
func (m *Scheduler) markDirty(j *job) {
	j.seq++
	if !j.dirty {
		j.dirty = true
		m.journal.dirty = append(m.journal.dirty, j)
	}
}

// flush sends the waiting changes, as far as the limits on batches allow.
func (m *Scheduler) flush(now time.Time) {
	for len(m.journal.inFlight) < m.inFlightLimit() && now.Sub(m.journal.lastFlush) >= m.flushDelay() {
		batch, f := m.nextBatch()
		if len(batch.Writes())+len(batch.Deletes()) == 0 {
			return
		}
		m.journal.lastFlush = now
		f.sentAt = now
		m.journal.lastBatchID++
		m.journal.inFlight[m.journal.lastBatchID] = f
		m.registry.Count("yard.commits")
		m.emit(CommitCmd{batchID: m.journal.lastBatchID, batch: batch})
	}
}

// inFlightLimit returns how many batches may be in flight, by the store's write
// rate.
func (m *Scheduler) inFlightLimit() int {
	rate := m.limits.writesPerSecond / writeRateDivisor
	return max(minInFlight, min(maxInFlight, int(rate*slowStoreResponse.Seconds())))
}

// flushDelay returns the least delay between two batches. Full batches may
// follow sooner than others, at the store's write rate.
func (m *Scheduler) flushDelay() time.Duration {
	if len(m.journal.dirty) < maxJobsPerBatch || m.limits.writesPerSecond <= 0 {
		return flushInterval
	}
	return min(flushInterval, time.Duration(writeRateDivisor*float64(time.Second)/m.limits.writesPerSecond))
}

// storeStalled reports whether a batch has been in flight for too long and none
// has been stored meanwhile.
func (m *Scheduler) storeStalled(now time.Time) bool {
	if now.Sub(m.journal.lastStored) <= storeStallTimeout {
		return false
	}
	for _, f := range m.journal.inFlight {
		if now.Sub(f.sentAt) > storeStallTimeout {
			return true
		}
	}
	return false
}

// answerStalled answers the calls that wait for a stalled store: new jobs that
// were in no batch yet are refused, and calls whose batch may be stored get the
// answer that the outcome is unknown.
func (m *Scheduler) answerStalled(now time.Time) {
	if !m.storeStalled(now) {
		return
	}
	m.refuseUnsent(now)
	for _, f := range m.journal.inFlight {
		for _, j := range f.jobs {
			m.answerUncertain(now, j)
		}
	}
}

// answerUncertain answers the calls that have waited for the job's batch for
// uncertainReplyDelay.
func (m *Scheduler) answerUncertain(now time.Time, j *job) {
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if now.Sub(w.since) < uncertainReplyDelay {
			remaining = append(remaining, w)
			continue
		}
		m.registry.Count("yard.uncertain")
		m.log.Warn().Str("job", string(j.id)).Stringer("verb", w.verb).Dur("waited", now.Sub(w.since)).
			Msg("yard: outcome unknown, the store does not answer")
		m.reply(w.from, w.call, order.OutcomeUnknown, order.JobPending, "the store does not answer")
	}
	j.waiters = remaining
}

// refuseUnsent refuses the new jobs that were in no batch yet. The jobs in a
// batch may be stored, so only the others certainly never run.
func (m *Scheduler) refuseUnsent(now time.Time) {
	remaining := m.journal.dirty[:0:0]
	for _, j := range m.journal.dirty {
		if j.persisted || j.inFlight || j.everSent {
			remaining = append(remaining, j)
			continue
		}
		delete(m.jobs, j.id)
		delete(m.active, j.id)
		m.registry.Count("yard.refused.journal_unavailable")
		m.log.Warn().Str("job", string(j.id)).Int("calls", len(j.waiters)).Msg("yard: refused, the store takes no batches")
		for _, w := range j.waiters {
			m.refusals.add(now, w.from, w.call, order.JournalUnavailable)
			m.reply(w.from, w.call, order.JournalUnavailable, order.JobPending, "the store takes no batches")
		}
	}
	m.journal.dirty = remaining
}

// nextBatch returns a batch of the changed jobs that are not in flight: those
// that a client waits for or that have ended first, each in the order of the
// changes. The list of workers and deletions use the space that is left.
func (m *Scheduler) nextBatch() (storage.Batch, inFlightBatch) {
	batch := storage.Batch{}.Expect(m.journal.ownership.Key(), m.journal.ownership.Version())
	var f inFlightBatch
	background := 0
	for _, j := range m.journal.dirty {
		if !j.inFlight && !j.awaited() {
			background++
		}
	}
	maxJobs := maxJobsPerBatch - min(background, minBackgroundJobs)
	for _, awaited := range []bool{true, false} {
		for _, j := range m.journal.dirty {
			if len(f.jobs) < maxJobs && j.dirty && !j.inFlight && j.awaited() == awaited {
				batch = m.addJob(batch, &f, j)
			}
		}
		maxJobs = maxJobsPerBatch
	}
	remaining := m.journal.dirty[:0:0]
	for _, j := range m.journal.dirty {
		if j.dirty {
			remaining = append(remaining, j)
		}
	}
	m.journal.dirty = remaining
	if m.confirmedSince(m.unlistedLeaseEnd) {
		batch, f.workers = m.addWorkerList(batch)
	}
	for len(m.journal.deletions) > 0 && batch.Size()+2 <= storage.MaxBatch {
		deletion := m.journal.deletions[0]
		m.journal.deletions = m.journal.deletions[1:]
		batch = batch.Expect(deletion.Key(), deletion.Version()).Remove(deletion.Key())
	}
	return batch, f
}

// addJob adds the present state of a job to the batch.
func (m *Scheduler) addJob(batch storage.Batch, f *inFlightBatch, j *job) storage.Batch {
	j.dirty = false
	value, err := j.record().MarshalCBOR()
	if err != nil {
		m.registry.Invariant(false, "job_record", "job %s cannot be encoded: %v", j.id, err)
		return batch
	}
	f.jobs, f.seqs, f.states = append(f.jobs, j), append(f.seqs, j.seq), append(f.states, j.state)
	j.inFlight, j.everSent = true, true
	return batch.Expect(jobKey(j.id), j.version).Put(jobKey(j.id), value, 0)
}

// awaited reports whether a client waits for the change, or may query it.
func (j *job) awaited() bool { return len(j.waiters) > 0 || j.state.Ended() }

// addWorkerList adds the list of workers to the batch if it has changed. It
// returns the workers in the list, or nil. Workers that never responded are not
// listed, as no task was started there.
func (m *Scheduler) addWorkerList(batch storage.Batch) (storage.Batch, []storedWorker) {
	if !m.journal.workersDirty || m.journal.workersInFlight {
		return batch, nil
	}
	sent := make([]storedWorker, 0, len(m.workers))
	records := make([]order.WorkerRecord, 0, len(m.workers))
	for _, w := range m.sortedWorkers() {
		if !w.contacted && w.storedAddress == "" {
			continue
		}
		sent = append(sent, storedWorker{w, w.info.address})
		records = append(records, order.WorkerRecord{}.WithID(w.id).WithAddress(w.info.address).
			WithService(w.info.service).WithDomain(w.info.domain))
	}
	value, err := order.WorkerList{}.WithWorkers(records).MarshalCBOR()
	if err != nil {
		m.registry.Invariant(false, "worker_list", "list of workers cannot be encoded: %v", err)
		return batch, nil
	}
	m.journal.workersDirty, m.journal.workersInFlight = false, true
	return batch.Expect(WorkersKey, m.journal.workersVersion).Put(WorkersKey, value, 0), sent
}

// RestoreWorkers adds the workers that the store lists, on which earlier owners
// may have started tasks. Their leases may last until formerLeaseEnd.
// If the list cannot be read, any worker may have such tasks for that long, and
// the next owner has to know. It is called before the first Decide.
func (m *Scheduler) RestoreWorkers(e storage.Entry) {
	m.journal.workersVersion = e.Version()
	if !e.Exists() {
		return
	}
	leaseEnd := m.formerLeaseEnd()
	var list order.WorkerList
	if err := list.UnmarshalCBOR(e.Value()); err != nil {
		m.registry.Count("yard.worker_list_unreadable")
		m.log.Error().Err(err).Msg("yard: list of workers not read")
		m.unlistedLeaseEnd, m.journal.workersDirty = leaseEnd, true
		return
	}
	for _, r := range list.Workers() {
		m.addWorker(&worker{
			id: r.ID(), storedAddress: r.Address(), attempts: make(map[attemptKey]*attempt),
			info:     NewWorkerInfo(r.ID(), r.Address(), r.Service(), r.Domain(), order.Resources{}),
			leaseEnd: leaseEnd,
		})
	}
}

// handleCommitted updates the jobs and workers of a stored batch and answers
// the calls that waited for it.
func (m *Scheduler) handleCommitted(now time.Time, in CommittedMsg) {
	f, ok := m.journal.inFlight[in.batchID]
	if !ok {
		return
	}
	delete(m.journal.inFlight, in.batchID)
	m.journal.lastStored = now
	// The store accepts a batch only while the ownership record is unchanged.
	m.confirm(in.sentAt, in.suspended)
	if f.workers != nil {
		m.journal.workersVersion, m.journal.workersInFlight = in.version, false
	}
	for _, w := range f.workers {
		w.worker.storedAddress = w.address
	}
	for i, j := range f.jobs {
		j.inFlight, j.persisted = false, true
		j.version, j.storedSeq, j.storedState = in.version, f.seqs[i], f.states[i]
		m.answerWaiters(j)
	}
}

// answerWaiters answers the calls whose change is stored.
func (m *Scheduler) answerWaiters(j *job) {
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if w.seq > j.storedSeq {
			remaining = append(remaining, w)
			continue
		}
		m.reply(w.from, w.call, order.Done, j.visibleState(), "")
		m.log.Info().Str("job", string(j.id)).Stringer("verb", w.verb).Stringer("state", j.storedState).
			Uint64("version", uint64(j.version)).Msg("yard: stored")
	}
	j.waiters = remaining
}
