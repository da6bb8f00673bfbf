package yard

import (
	"fmt"
	"time"

	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// journal groups the changes of jobs into batches for the store.
	journal struct {
		record  depot.Entry
		dirty   []*job
		flights map[int]flight
		last    int
		flushed time.Time
		gone    []depot.Entry
		pruned  time.Time

		// workersAt is the version of the stored list of workers.
		workersAt     depot.Version
		workersDirty  bool
		workersFlying bool
	}

	// flight is a batch on its way.
	flight struct {
		sent    time.Time
		jobs    []*job
		seqs    []int
		states  []order.JobState
		workers []*worker
	}
)

const (
	// WorkersKey is the key of the list of workers in the store.
	WorkersKey = "fleet/workers"

	// JobPrefix is the prefix of the jobs' keys in the store.
	JobPrefix = "job/"

	// maxFlights is the number of batches on their way at once; with answers
	// after 4 ms two are enough, and a store slowed 60 times still takes 900
	// job changes a second.
	maxFlights = 16

	// flushInterval bounds the batches to 50 a second while they are not full,
	// so that each holds the changes of some time.
	flushInterval = 20 * time.Millisecond

	// writeShare is the part of the store's write rate that full batches may
	// use: one in this many. The rest is for leases, claims and repeats.
	writeShare = 2

	// batchJobs is how many jobs fit into a batch, each with an expectation
	// and a write, beside the ownership record and the list of workers.
	batchJobs = (depot.MaxBatch - 4) / 2

	// lateJobs is how many of these are kept for the changes that nobody waits
	// for, so that they are stored too while others keep coming.
	lateJobs = 4

	// stallAfter is how long a batch may be on its way before new jobs are
	// refused; another process that reaches the store takes over before that.
	stallAfter = 900 * time.Millisecond

	// pruneInterval is how often ended jobs are looked through.
	pruneInterval = 10 * time.Second
)

func newJournal(record depot.Entry) journal {
	return journal{record: record, flights: make(map[int]flight)}
}

func jobKey(id order.JobID) string { return JobPrefix + string(id) }

// touch notes a change of the job that has to be stored.
func (m *Machine) touch(j *job) {
	j.seq++
	if !j.dirty {
		j.dirty = true
		m.journal.dirty = append(m.journal.dirty, j)
	}
}

// flush sends the changes that wait, as far as the store may be asked.
func (m *Machine) flush(now time.Time) {
	for len(m.journal.flights) < maxFlights && now.Sub(m.journal.flushed) >= m.flushAfter() {
		batch, f := m.pack()
		if len(batch.Writes())+len(batch.Deletes()) == 0 {
			return
		}
		m.journal.flushed = now
		f.sent = now
		m.journal.last++
		m.journal.flights[m.journal.last] = f
		m.registry.Count("yard.commits")
		m.emit(CommitCmd{flight: m.journal.last, batch: batch})
	}
}

// flushAfter returns how long after one batch the next may be sent.
func (m *Machine) flushAfter() time.Duration {
	if len(m.journal.dirty) < batchJobs || m.limits.writes <= 0 {
		return flushInterval
	}
	return min(flushInterval, time.Duration(writeShare*float64(time.Second)/m.limits.writes))
}

// storeStalled reports whether the store takes no batches.
func (m *Machine) storeStalled(now time.Time) bool {
	for _, f := range m.journal.flights {
		if now.Sub(f.sent) > stallAfter {
			return true
		}
	}
	return false
}

// refuseUnsent refuses the new jobs that no batch has held yet, while the
// store takes none: they certainly never run.
func (m *Machine) refuseUnsent(now time.Time) {
	if !m.storeStalled(now) {
		return
	}
	left := m.journal.dirty[:0:0]
	for _, j := range m.journal.dirty {
		if j.recorded || j.flying || j.flown {
			left = append(left, j)
			continue
		}
		delete(m.jobs, j.id)
		delete(m.active, j.id)
		m.registry.Count("yard.refused.journal_unavailable")
		m.log.Warn().Str("job", string(j.id)).Int("calls", len(j.waiters)).Msg("yard: refused, the store takes no batches")
		for _, w := range j.waiters {
			m.reply(w.from, w.call, order.JournalUnavailable, order.JobPending, "the store takes no batches")
		}
	}
	m.journal.dirty = left
}

// pack takes the next jobs that have no batch on its way already: those that a
// client waits for or that have ended first, each in the order of the changes.
func (m *Machine) pack() (depot.Batch, flight) {
	batch := depot.Batch{}.Expect(m.journal.record.Key(), m.journal.record.Version())
	var f flight
	late := 0
	for _, j := range m.journal.dirty {
		if !j.flying && !j.awaited() {
			late++
		}
	}
	room := batchJobs - min(late, lateJobs)
	for _, awaited := range []bool{true, false} {
		for _, j := range m.journal.dirty {
			if len(f.jobs) < room && j.dirty && !j.flying && j.awaited() == awaited {
				batch = m.packJob(batch, &f, j)
			}
		}
		room = batchJobs
	}
	waiting := m.journal.dirty[:0:0]
	for _, j := range m.journal.dirty {
		if j.dirty {
			waiting = append(waiting, j)
		}
	}
	m.journal.dirty = waiting
	batch, f.workers = m.packWorkers(batch)
	for len(m.journal.gone) > 0 && batch.Size()+2 <= depot.MaxBatch {
		gone := m.journal.gone[0]
		m.journal.gone = m.journal.gone[1:]
		batch = batch.Expect(gone.Key(), gone.Version()).Remove(gone.Key())
	}
	return batch, f
}

// packJob adds the present state of a job to the batch.
func (m *Machine) packJob(batch depot.Batch, f *flight, j *job) depot.Batch {
	j.dirty = false
	value, err := j.record().MarshalCBOR()
	if err != nil {
		m.registry.Invariant(false, "job_record", "job %s cannot be encoded: %v", j.id, err)
		return batch
	}
	f.jobs, f.seqs, f.states = append(f.jobs, j), append(f.seqs, j.seq), append(f.states, j.state)
	j.flying, j.flown = true, true
	return batch.Expect(jobKey(j.id), j.version).Put(jobKey(j.id), value, 0)
}

// awaited reports whether a client waits for the change, or may ask for it.
func (j *job) awaited() bool { return len(j.waiters) > 0 || j.state.Ended() }

// packWorkers adds the list of workers to the batch if it has changed.
func (m *Machine) packWorkers(batch depot.Batch) (depot.Batch, []*worker) {
	if !m.journal.workersDirty || m.journal.workersFlying {
		return batch, nil
	}
	workers := m.sortedWorkers()
	records := make([]order.WorkerRecord, 0, len(workers))
	for _, w := range workers {
		records = append(records, order.WorkerRecord{}.WithID(w.id).WithAddress(w.info.address).
			WithService(w.info.service).WithDomain(w.info.domain))
	}
	value, err := order.WorkerList{}.WithWorkers(records).MarshalCBOR()
	if err != nil {
		m.registry.Invariant(false, "worker_list", "list of workers cannot be encoded: %v", err)
		return batch, nil
	}
	m.journal.workersDirty, m.journal.workersFlying = false, true
	return batch.Expect(WorkersKey, m.journal.workersAt).Put(WorkersKey, value, 0), workers
}

// RestoreWorkers adds the workers on which earlier owners may have started
// tasks. It is called before the first Step.
func (m *Machine) RestoreWorkers(e depot.Entry) error {
	m.journal.workersAt = e.Version()
	if !e.Exists() {
		return nil
	}
	var list order.WorkerList
	if err := list.UnmarshalCBOR(e.Value()); err != nil {
		return fmt.Errorf("list of workers: %w", err)
	}
	for _, r := range list.Workers() {
		m.addWorker(&worker{
			id: r.ID(), recorded: true, attempts: make(map[attemptKey]*attempt),
			info:     NewWorkerInfo(r.ID(), r.Address(), r.Service(), r.Domain(), order.Resources{}),
			leaseEnd: m.began.Add(lapse(m.limits.maxHold)),
		})
	}
	return nil
}

// committed settles what waited for the batch.
func (m *Machine) committed(in CommittedMsg) {
	f, ok := m.journal.flights[in.flight]
	if !ok {
		return
	}
	delete(m.journal.flights, in.flight)
	if f.workers != nil {
		m.journal.workersAt, m.journal.workersFlying = in.version, false
	}
	for _, w := range f.workers {
		w.recorded = true
	}
	for i, j := range f.jobs {
		j.flying, j.recorded = false, true
		j.version, j.stored, j.durable = in.version, f.seqs[i], f.states[i]
		m.answerWaiters(j)
	}
}

// answerWaiters answers the calls whose change is in the store.
func (m *Machine) answerWaiters(j *job) {
	left := j.waiters[:0]
	for _, w := range j.waiters {
		if w.seq > j.stored {
			left = append(left, w)
			continue
		}
		m.reply(w.from, w.call, order.Done, j.shown(), "")
		m.log.Info().Str("job", string(j.id)).Stringer("verb", w.verb).Stringer("state", j.durable).
			Uint64("version", uint64(j.version)).Msg("yard: stored")
	}
	j.waiters = left
}
