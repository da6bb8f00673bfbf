package scheduler

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

type (
	// job is the in-memory state of a job and what the store has of it.
	job struct {
		id       order.JobID
		queue    order.QueueName
		team     order.TeamName
		accepted time.Time
		epoch    order.Epoch
		state    order.JobState
		spec     order.JobSpec
		steps    []*step
		ended    time.Time

		// acceptedBy is the queue as defined when it accepted the job.
		acceptedBy policy.Queue

		// presentQueue is the queue by the configuration queueOfConfig.
		presentQueue  policy.Queue
		queueOfConfig *policy.Config

		// limit is the limit of the team in the last configuration that has it.
		limit order.Resources

		// started reports whether a worker is known to have begun any task.
		started bool

		// excess reports whether the team had exceeded its share when it
		// submitted the job.
		excess bool

		// seq counts the changes of the job, and storedSeq and storedState are
		// the last change and the state that the store has.
		seq, storedSeq int
		storedState    order.JobState

		// version is that of the stored record. inFlight reports whether a
		// batch in flight has the job, everSent whether any batch had it, and
		// persisted whether the store has it.
		version   storage.Version
		inFlight  bool
		everSent  bool
		dirty     bool
		persisted bool
		waiters   []waiter
	}

	// waiter is a call that is answered once the change with the number seq is
	// stored.
	waiter struct {
		from order.MemberID
		call uint64
		verb order.JobVerb
		seq  int

		// since is when the call arrived.
		since time.Time
	}

	// step is one step of one occurrence of a job.
	step struct {
		job        *job
		occurrence int
		index      int
		spec       order.JobStep
		tasks      []*task
		done       int

		// remainingPath is the longest chain of estimated work from this step
		// on, and criticalPath that of the whole occurrence.
		remainingPath time.Duration
		criticalPath  time.Duration

		// retryAt is when the step is considered again, and waitingSince since
		// when it has waited for capacity, or for a round to reach it.
		retryAt      time.Time
		waitingSince time.Time

		// waitReason is why the step was not started, as last logged at
		// waitLoggedAt.
		waitReason   string
		waitLoggedAt time.Time

		// gangFailedRuns are the numbers of the gang's failed runs, in order.
		gangFailedRuns []int
		gangCheckpoint string

		// failedOn has when a task of the step last failed on each worker.
		failedOn map[order.WorkerID]time.Time

		// tickets holds the ticket of each worker that may run the step; it is
		// nil until the first advice. ticketedWorkers are all workers that ever
		// got a ticket, in the order of the responses. requestedWorkers are
		// those that the service has given advice on, and openRequests those
		// that a request in flight names. New requests are considered from
		// advisePlanAt on.
		tickets          map[order.WorkerID]ticket
		ticketedWorkers  []order.WorkerID
		requestedWorkers map[order.WorkerID]bool
		openRequests     map[order.WorkerID]bool
		advisePlanAt     time.Time
	}

	// ticket permits the step to run on a worker. It comes from the advice
	// service.
	ticket struct {
		text       string
		validUntil time.Time
	}

	// task is one task of a step with its current attempt. failedOn also has
	// the workers where it stalled. foundDoneIn is the epoch in which this
	// owner found it done, and had not known of the run.
	task struct {
		step        *step
		index       int
		state       taskState
		run         int
		failedRuns  []int
		failedOn    []order.WorkerID
		checkpoint  string
		foundDoneIn order.Epoch
		attempt     *attempt
	}

	taskState uint8

	// attempt is one run of a task that a worker executes or may execute. It
	// keeps its capacity allocated until it has certainly ended. For a job that
	// ended before this process became the owner, the task is nil, and the size
	// is unknown if the journal no longer has the job. orderedAt is when the
	// last order was sent or the start confirmed, and progressAt when percent
	// last changed. startOpen reports whether copies of the start may still be
	// sent or executed. uncertainAt is when the start had its result, if that
	// leaves open which life of the worker has the run, and zero once a report
	// lists it. startPermit is nil for an adopted run, and stopPermit unless a
	// stop is queued or in flight.
	attempt struct {
		ref             TaskRef
		run             int
		task            *task
		worker          *worker
		size            order.Resources
		sizeUnknown     bool
		team            order.TeamName
		state           attemptState
		startedAt       time.Time
		orderedAt       time.Time
		stopConfirmedAt time.Time
		startOpen       bool
		uncertainAt     time.Time
		startPermit     *permit
		stopPermit      *permit
		percent         int
		progressAt      time.Time
	}

	attemptState uint8

	// attemptKey identifies a run among those of a worker.
	attemptKey struct {
		ref TaskRef
		run int
	}
)

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

const (
	// attemptSent: the start order has no response yet.
	attemptSent attemptState = iota
	// attemptRunning: the worker confirmed the start or reported the run.
	attemptRunning
	// attemptUnconfirmed: the start failed in a way that leaves open whether
	// the worker executes it.
	attemptUnconfirmed
	// attemptStopping: a stop order was sent, and is repeated until the run has
	// ended.
	attemptStopping
)

// gangIndex stands for a whole gang where a StepRecord has failed runs and
// checkpoints by task index.
const gangIndex = -1

// newJob returns the job with its steps, none of them done.
func newJob(id order.JobID, queue order.QueueName, team order.TeamName, spec order.JobSpec, accepted time.Time, epoch order.Epoch) *job {
	j := &job{id: id, queue: queue, team: team, spec: spec, accepted: accepted, epoch: epoch}
	j.buildSteps()
	return j
}

// buildSteps creates the steps of all occurrences and computes their paths, the
// last steps first since a step only waits for earlier ones.
func (j *job) buildSteps() {
	for k := range max(1, j.spec.Repeats()) {
		for i, s := range j.spec.Steps() {
			st := &step{job: j, occurrence: k, index: i, spec: s}
			for t := range s.Tasks() {
				st.tasks = append(st.tasks, &task{step: st, index: t})
			}
			j.steps = append(j.steps, st)
		}
	}
	for i := len(j.steps) - 1; i >= 0; i-- {
		j.steps[i].remainingPath = j.steps[i].longestPathFrom()
	}
	for _, s := range j.steps {
		s.criticalPath = s.longestPath()
	}
}

// notBefore returns when the occurrence of the step may start, and the zero
// time if the job is not repeated.
func (s *step) notBefore() time.Time {
	if s.job.spec.Repeats() == 0 {
		return time.Time{}
	}
	return s.job.spec.First().Add(time.Duration(s.occurrence) * s.job.spec.Period())
}

// step returns a step of an occurrence, or nil if there is none.
func (j *job) step(occurrence, index int) *step {
	n := len(j.spec.Steps())
	at := occurrence*n + index
	if occurrence < 0 || index < 0 || index >= n || at >= len(j.steps) {
		return nil
	}
	return j.steps[at]
}

// task returns the task that ref names, or nil if there is none.
func (j *job) task(ref TaskRef) *task {
	s := j.step(ref.occurrence, ref.step)
	if s == nil || ref.index < 0 || ref.index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.index]
}

// ready reports whether all steps that this step depends on are done.
func (s *step) ready() bool {
	for _, i := range s.spec.After() {
		before := s.job.step(s.occurrence, i)
		if before == nil || before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// complete reports whether all tasks of all steps are done.
func (j *job) complete() bool {
	for _, s := range j.steps {
		if s.done < len(s.tasks) {
			return false
		}
	}
	return true
}

// longestPathFrom returns the longest chain of estimated work from the step on.
// The paths of the later steps must be set already.
func (s *step) longestPathFrom() time.Duration {
	var longest time.Duration
	steps := s.job.spec.Steps()
	for i := s.index + 1; i < len(steps); i++ {
		if slices.Contains(steps[i].After(), s.index) {
			longest = max(longest, s.job.step(s.occurrence, i).remainingPath)
		}
	}
	return s.spec.Estimate() + longest
}

// longestPath returns the longest chain of estimated work of the step's
// occurrence.
func (s *step) longestPath() time.Duration {
	var longest time.Duration
	for i, first := range s.job.spec.Steps() {
		if len(first.After()) == 0 {
			longest = max(longest, s.job.step(s.occurrence, i).remainingPath)
		}
	}
	return longest
}

// ref returns the name of the task.
func (t *task) ref() TaskRef {
	return TaskRef{job: t.step.job.id, occurrence: t.step.occurrence, step: t.step.index, index: t.index}
}

// record returns the job as it is stored.
func (j *job) record() order.JobRecord {
	r := order.JobRecord{}.WithID(j.id).WithQueue(j.queue).WithTeam(j.team).
		WithAccepted(j.accepted).WithEpoch(j.epoch).WithState(j.state).WithEnded(j.ended).WithExcess(j.excess)
	if j.state.Ended() {
		// A new owner needs the sizes while a worker still stops tasks of the
		// job.
		return r.WithSpec(j.spec.WithPayload(""))
	}
	var steps []order.StepRecord
	for _, s := range j.steps {
		if sr, changed := s.record(); changed {
			steps = append(steps, sr)
		}
	}
	return r.WithSpec(j.spec).WithSteps(steps).WithAcceptedBy(queueRecord(j.acceptedBy)).WithLimit(j.limit)
}

// queueRecord returns the definition of a queue as it is stored.
func queueRecord(q policy.Queue) order.QueueRecord {
	return order.QueueRecord{}.WithHost(q.Host()).WithPrefix(q.Prefix()).WithService(q.Service()).WithPriority(q.Priority()).WithAttempts(q.MaxAttempts()).
		WithStretch(q.Stretch()).WithTarget(q.Target()).WithAdviceTime(q.Advice().CallTime()).
		WithAdviceTimePerWorker(q.Advice().TimePerWorker()).WithTicketValidity(q.Advice().Validity())
}

// restoreQueue returns the queue of a stored definition.
func restoreQueue(name order.QueueName, r order.QueueRecord) policy.Queue {
	return policy.NewQueue(name, r.Host(), r.Prefix(), r.Service()).WithPriority(r.Priority()).WithAttempts(r.Attempts()).
		WithObjective(r.Stretch(), r.Target()).
		WithAdvice(policy.NewAdvice(r.AdviceTime(), r.AdviceTimePerWorker(), r.TicketValidity()))
}

// queueOf returns the job's queue by the present configuration, or as it was
// defined when it accepted the job if it has been removed since. It reports
// false if a job of an earlier version lacks that definition.
func (m *Scheduler) queueOf(j *job) (policy.Queue, bool) {
	if j.queueOfConfig != m.config {
		j.queueOfConfig = m.config
		var ok bool
		if j.presentQueue, ok = m.findQueue(j); !ok {
			j.presentQueue = j.acceptedBy
		}
	}
	return j.presentQueue, j.presentQueue.Service() != ""
}

// findQueue returns the job's queue by the present configuration. It reports
// false if that has none. An earlier version stored no address, or no definition
// at all; the queue of such a job can be found by its name only.
func (m *Scheduler) findQueue(j *job) (policy.Queue, bool) {
	if j.acceptedBy.Host() == "" && j.acceptedBy.Prefix() == "" {
		return m.config.Queue(j.queue)
	}
	return m.config.Successor(j.acceptedBy)
}

// updateLimits takes the limits of teams from the present configuration. The
// jobs of a team that it has removed keep the last one. It is stored with them
// at each change, since the next owner may find the team removed.
func (m *Scheduler) updateLimits() {
	for _, j := range m.active {
		if limit := m.config.Limit(j.team); limit != j.limit && m.config.HasTeam(j.team) {
			j.limit = limit
			m.markDirty(j)
		}
	}
}

// logRemovedQueues logs the jobs whose queue the present configuration lacks.
func (m *Scheduler) logRemovedQueues() {
	count := make(map[order.QueueName]int)
	for _, j := range m.active {
		if _, ok := m.findQueue(j); !ok {
			count[j.queue]++
		}
	}
	for name, jobs := range count {
		m.log.Info().Str("queue", string(name)).Int("jobs", jobs).Uint64("revision", uint64(m.config.Revision())).
			Msg("yard: queue removed, its jobs go on as accepted")
	}
}

// record returns the progress of the step, and whether it has any.
func (s *step) record() (order.StepRecord, bool) {
	var done []int
	failures := make(map[int][]int)
	checkpoints := make(map[int]string)
	if len(s.gangFailedRuns) > 0 {
		failures[gangIndex] = s.gangFailedRuns
	}
	if s.gangCheckpoint != "" {
		checkpoints[gangIndex] = s.gangCheckpoint
	}
	for _, t := range s.tasks {
		if t.state == taskDone {
			done = append(done, t.index)
			continue
		}
		if len(t.failedRuns) > 0 {
			failures[t.index] = t.failedRuns
		}
		if t.checkpoint != "" {
			checkpoints[t.index] = t.checkpoint
		}
	}
	r := order.StepRecord{}.WithOccurrence(s.occurrence).WithStep(s.index).
		WithDone(done).WithFailures(failures).WithCheckpoints(checkpoints)
	return r, len(done)+len(failures)+len(checkpoints) > 0
}

// restore returns the job of a stored record.
func restore(r order.JobRecord, version storage.Version) *job {
	j := newJob(r.ID(), r.Queue(), r.Team(), r.Spec(), r.Accepted(), r.Epoch())
	j.state, j.storedState, j.ended = r.State(), r.State(), r.Ended()
	j.version, j.persisted, j.excess = version, true, r.Excess()
	j.acceptedBy, j.limit = restoreQueue(r.Queue(), r.AcceptedBy()), r.Limit()
	j.started = len(r.Steps()) > 0
	for _, sr := range r.Steps() {
		s := j.step(sr.Occurrence(), sr.Step())
		if s == nil {
			continue
		}
		s.restore(sr)
	}
	return j
}

// restore sets the progress of the step from a stored record.
func (s *step) restore(r order.StepRecord) {
	s.gangFailedRuns = r.Failures()[gangIndex]
	s.gangCheckpoint = r.Checkpoints()[gangIndex]
	for _, t := range s.tasks {
		t.failedRuns = r.Failures()[t.index]
		t.checkpoint = r.Checkpoints()[t.index]
	}
	for _, i := range r.Done() {
		if i >= 0 && i < len(s.tasks) && s.tasks[i].state != taskDone {
			s.tasks[i].state = taskDone
			s.done++
		}
	}
}

// insertRun adds a failed run to the sorted list, and reports whether it was
// new: a worker may report the same end more than once.
func insertRun(runs []int, run int) ([]int, bool) {
	i := sort.SearchInts(runs, run)
	if i < len(runs) && runs[i] == run {
		return runs, false
	}
	runs = append(runs, 0)
	copy(runs[i+1:], runs[i:])
	runs[i] = run
	return runs, true
}
