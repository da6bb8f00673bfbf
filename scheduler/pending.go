package scheduler

import (
	"sort"
	"time"

	"chervilhollow/policy"
)

type (
	// pendingStep is a step with tasks to start and its place in the order of
	// placement.
	pendingStep struct {
		step  *step
		queue policy.Queue
		rank  rank
		due   time.Time
	}

	// rank orders steps before the priority of their queue: those that can
	// still finish in time come first, since late results are worth less to the
	// clients.
	rank int
)

const (
	// rankInTime: the job can still meet its latency objective, or the step is
	// long-running.
	rankInTime rank = iota
	// rankLate: the job misses its objective but not by much.
	rankLate
	// rankBestEffort: the job exceeds its objective by more than maxLateFactor,
	// or its team exceeded its share when submitting it. It is logged as
	// "hopeless".
	rankBestEffort

	// maxLateFactor is how many times its objective a job may take and still be
	// of use to its client.
	maxLateFactor = 3
)

var rankNames = [...]string{rankInTime: "in_time", rankLate: "late", rankBestEffort: "hopeless"}

// String implements fmt.Stringer.
func (r rank) String() string { return rankNames[r] }

// tasksAtOnce returns how many tasks of the step have to start together.
func (s *step) tasksAtOnce() int {
	if s.spec.Gang() {
		return len(s.tasks)
	}
	return 1
}

// pendingSteps returns the steps with startable tasks, ordered by rank,
// priority and the time at which the job is due. Jobs of earlier owners are
// left out until recovered is true, because their tasks may still run.
func (m *Scheduler) pendingSteps(now time.Time, recovered bool) []pendingStep {
	var list []pendingStep
	for _, j := range m.active {
		q, ok := m.queueOf(j)
		if !ok || (j.epoch < m.epoch && !recovered) {
			continue
		}
		for _, s := range j.steps {
			// An unstored job may still be refused, so it only gets advice.
			needsAdvice := q.Advice().Needed() && s.tickets == nil
			if s.startable(now) && (j.persisted || needsAdvice) {
				list = append(list, newPendingStep(now, s, q))
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	return list
}

// newPendingStep ranks the step by the time at which its job would finish if
// the step started now.
func newPendingStep(now time.Time, s *step, q policy.Queue) pendingStep {
	j := s.job
	start := j.accepted
	if d := s.notBefore(); !d.IsZero() {
		start = d
	}
	objective := q.Target() + time.Duration(q.Stretch()*float64(s.criticalPath))
	p := pendingStep{step: s, queue: q, due: start.Add(objective)}
	switch finish := now.Add(s.remainingPath); {
	case s.spec.Lasting():
		// A long-running task is restarted at once, however old its job is.
	case j.excess || finish.After(start.Add(maxLateFactor*objective)):
		p.rank = rankBestEffort
	case finish.After(p.due):
		p.rank = rankLate
	}
	return p
}

// before reports whether p is placed before q. Ties are broken by ID, so that
// the order is deterministic.
func (p pendingStep) before(q pendingStep) bool {
	switch {
	case p.rank != q.rank:
		return p.rank < q.rank
	case p.queue.Priority() != q.queue.Priority():
		return p.queue.Priority() < q.queue.Priority()
	case !p.due.Equal(q.due):
		return p.due.Before(q.due)
	case p.step.job.id != q.step.job.id:
		return p.step.job.id < q.step.job.id
	case p.step.occurrence != q.step.occurrence:
		return p.step.occurrence < q.step.occurrence
	}
	return p.step.index < q.step.index
}

// startable reports whether a task of the step may start now. A gang may start
// only if all its tasks are waiting.
func (s *step) startable(now time.Time) bool {
	if s.done == len(s.tasks) || now.Before(s.notBefore()) {
		return false
	}
	waiting := 0
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			waiting++
		}
	}
	if waiting == 0 || (s.spec.Gang() && waiting < len(s.tasks)) {
		return false
	}
	return s.ready()
}
