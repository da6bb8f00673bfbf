package yard

import (
	"sort"
	"time"

	"chervilhollow/tariff"
)

type (
	// turn is a step that has tasks to start, with its place in the queue.
	turn struct {
		step  *step
		queue tariff.Queue
		rank  rank
		due   time.Time
	}

	// rank orders jobs before their priority: those that can still be complete
	// in time come first, since the others are worth less to their clients.
	rank int
)

const (
	rankInTime rank = iota
	rankLate
	rankHopeless

	// lateFactor is how many times its objective a job may take and still be
	// worth something, by the users' page.
	lateFactor = 3
)

var rankNames = [...]string{rankInTime: "in_time", rankLate: "late", rankHopeless: "hopeless"}

// String implements fmt.Stringer.
func (r rank) String() string { return rankNames[r] }

// together returns how many tasks of the step have to start at once.
func (s *step) together() int {
	if s.spec.Gang() {
		return len(s.tasks)
	}
	return 1
}

// turns returns the steps that wait, in order of rank, of priority, and of the
// time by which the job should be complete.
func (m *Machine) turns(now time.Time, settled bool) []turn {
	var list []turn
	for _, j := range m.active {
		q, ok := m.config.Queue(j.queue)
		if !ok || (j.epoch < m.epoch && !settled) {
			continue
		}
		for _, s := range j.steps {
			// An unstored job may still be refused, so it only gets advice.
			advise := q.Advice().Needed() && s.allowed == nil
			if s.waits(now) && (j.recorded || advise) {
				list = append(list, newTurn(now, s, q))
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	return list
}

func newTurn(now time.Time, s *step, q tariff.Queue) turn {
	j := s.job
	start := j.accepted
	if d := s.due(); !d.IsZero() {
		start = d
	}
	objective := q.Target() + time.Duration(q.Stretch()*float64(s.jobChain))
	t := turn{step: s, queue: q, due: start.Add(objective)}
	switch finish := now.Add(s.chain); {
	case s.spec.Lasting():
		// A task that lasts is restarted at once, however old its job is.
	case j.excess || finish.After(start.Add(lateFactor*objective)):
		t.rank = rankHopeless
	case finish.After(t.due):
		t.rank = rankLate
	}
	return t
}

func (t turn) before(u turn) bool {
	switch {
	case t.rank != u.rank:
		return t.rank < u.rank
	case t.queue.Priority() != u.queue.Priority():
		return t.queue.Priority() < u.queue.Priority()
	case !t.due.Equal(u.due):
		return t.due.Before(u.due)
	case t.step.job.id != u.step.job.id:
		return t.step.job.id < u.step.job.id
	case t.step.occurrence != u.step.occurrence:
		return t.step.occurrence < u.step.occurrence
	}
	return t.step.index < u.step.index
}

// waits reports whether a task of the step may start now.
func (s *step) waits(now time.Time) bool {
	if s.done == len(s.tasks) || now.Before(s.due()) {
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
