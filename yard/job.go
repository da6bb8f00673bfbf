package yard

import (
	"slices"
	"sort"
	"time"

	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// job is a job in memory, with its place in the journal.
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

		// started reports whether any task was ever started.
		started bool

		// excess reports whether the team had submitted more than its share
		// when the job came.
		excess bool

		// seq counts the changes, stored is the last one in the store, and
		// durable is the state that the store has.
		seq, stored int
		durable     order.JobState
		version     depot.Version
		flying      bool
		flown       bool
		dirty       bool
		recorded    bool
		waiters     []waiter
	}

	// waiter is a call that is answered once a change is stored.
	waiter struct {
		from order.MemberID
		call uint64
		verb order.JobVerb
		seq  int
	}

	// step is one step of one occurrence of a job.
	step struct {
		job        *job
		occurrence int
		index      int
		spec       order.JobStep
		tasks      []*task
		done       int

		// chain is the longest chain of estimated work from the step on, and
		// jobChain that of the whole occurrence.
		chain    time.Duration
		jobChain time.Duration

		// lookAgain is when a step of the last rank is looked at again.
		lookAgain time.Time

		// waitReason is why the step was not started in the last round, and
		// waitLogged when the log got a line about it.
		waitReason string
		waitLogged time.Time

		// gangRuns are the failed runs of a gang.
		gangRuns   []int
		checkpoint string

		// allowed are the workers that may run the step, with their tickets,
		// among those that were asked about; advised are all that ever were
		// allowed, in the order of the answers.
		allowed  map[order.WorkerID]ticket
		advised  []order.WorkerID
		asked    map[order.WorkerID]bool
		asking   uint64
		askAgain time.Time
	}

	ticket struct {
		text  string
		until time.Time
	}

	// task is one task with its current attempt.
	task struct {
		step       *step
		index      int
		state      taskState
		run        int
		failedRuns []int
		failedOn   []order.WorkerID
		checkpoint string
		attempt    *attempt
	}

	taskState uint8

	// attempt is one run of a task that a worker executes or may execute. It
	// occupies room until its end is certain. Of a job that has ended before
	// this owner came, neither task nor size are known.
	attempt struct {
		ref     TaskRef
		run     int
		task    *task
		worker  *worker
		size    order.Resources
		unsized bool
		team    order.TeamName
		state   attemptState
		since   time.Time
		asked   time.Time
		stopped time.Time
		percent int
		moved   time.Time
	}

	attemptState uint8

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
	// attemptSent: the start is on its way.
	attemptSent attemptState = iota
	// attemptRunning: the worker confirmed it.
	attemptRunning
	// attemptUnclear: the start has no answer.
	attemptUnclear
	// attemptStopping: a stop was sent or must be sent.
	attemptStopping
)

// gangFailures is the key of a gang's failed runs in a StepRecord.
const gangFailures = -1

// newJob returns the job with its steps, none of them done.
func newJob(id order.JobID, queue order.QueueName, team order.TeamName, spec order.JobSpec, accepted time.Time, epoch order.Epoch) *job {
	j := &job{id: id, queue: queue, team: team, spec: spec, accepted: accepted, epoch: epoch}
	j.build()
	return j
}

func (j *job) build() {
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
		j.steps[i].chain = j.steps[i].longestFrom()
	}
	for _, s := range j.steps {
		s.jobChain = s.longestChain()
	}
}

// due returns when the occurrence of a step may start.
func (s *step) due() time.Time {
	if s.job.spec.Repeats() == 0 {
		return time.Time{}
	}
	return s.job.spec.First().Add(time.Duration(s.occurrence) * s.job.spec.Period())
}

// step returns a step of an occurrence, or nil.
func (j *job) step(occurrence, index int) *step {
	n := len(j.spec.Steps())
	at := occurrence*n + index
	if occurrence < 0 || index < 0 || index >= n || at >= len(j.steps) {
		return nil
	}
	return j.steps[at]
}

// task returns the task with the name, or nil.
func (j *job) task(ref TaskRef) *task {
	s := j.step(ref.occurrence, ref.step)
	if s == nil || ref.index < 0 || ref.index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.index]
}

// ready reports whether all steps that the step waits for are done.
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

// longestFrom returns the longest chain of estimated work from the step on; the
// chains of later steps are known already.
func (s *step) longestFrom() time.Duration {
	var longest time.Duration
	steps := s.job.spec.Steps()
	for i := s.index + 1; i < len(steps); i++ {
		if slices.Contains(steps[i].After(), s.index) {
			longest = max(longest, s.job.step(s.occurrence, i).chain)
		}
	}
	return s.spec.Estimate() + longest
}

// longestChain returns the longest chain of estimated work of the step's
// occurrence.
func (s *step) longestChain() time.Duration {
	var longest time.Duration
	for i, first := range s.job.spec.Steps() {
		if len(first.After()) == 0 {
			longest = max(longest, s.job.step(s.occurrence, i).chain)
		}
	}
	return longest
}

func (t *task) ref() TaskRef {
	return TaskRef{job: t.step.job.id, occurrence: t.step.occurrence, step: t.step.index, index: t.index}
}

// record returns the job as it is to be stored.
func (j *job) record() order.JobRecord {
	r := order.JobRecord{}.WithID(j.id).WithQueue(j.queue).WithTeam(j.team).
		WithAccepted(j.accepted).WithEpoch(j.epoch).WithState(j.state).WithEnded(j.ended).WithExcess(j.excess)
	if j.state.Ended() {
		// The sizes are needed while a worker still stops tasks of the job.
		return r.WithSpec(j.spec.WithPayload(""))
	}
	var steps []order.StepRecord
	for _, s := range j.steps {
		if sr, changed := s.record(); changed {
			steps = append(steps, sr)
		}
	}
	return r.WithSpec(j.spec).WithSteps(steps)
}

func (s *step) record() (order.StepRecord, bool) {
	var done []int
	failures := make(map[int][]int)
	checkpoints := make(map[int]string)
	if len(s.gangRuns) > 0 {
		failures[gangFailures] = s.gangRuns
	}
	if s.checkpoint != "" {
		checkpoints[gangFailures] = s.checkpoint
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
func restore(r order.JobRecord, version depot.Version) *job {
	j := newJob(r.ID(), r.Queue(), r.Team(), r.Spec(), r.Accepted(), r.Epoch())
	j.state, j.durable, j.ended = r.State(), r.State(), r.Ended()
	j.version, j.recorded, j.excess = version, true, r.Excess()
	for _, sr := range r.Steps() {
		s := j.step(sr.Occurrence(), sr.Step())
		if s == nil {
			continue
		}
		s.restore(sr)
	}
	return j
}

func (s *step) restore(r order.StepRecord) {
	s.gangRuns = r.Failures()[gangFailures]
	s.checkpoint = r.Checkpoints()[gangFailures]
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

// addRun adds a failed run once, and reports whether it was new.
func addRun(runs []int, run int) ([]int, bool) {
	i := sort.SearchInts(runs, run)
	if i < len(runs) && runs[i] == run {
		return runs, false
	}
	runs = append(runs, 0)
	copy(runs[i+1:], runs[i:])
	runs[i] = run
	return runs, true
}
