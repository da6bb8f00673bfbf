package yard

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
	"chervilhollow/tariff"
	"chervilhollow/tide"
)

type (
	// host is an entry host that can ask for advice.
	host struct {
		busyUntil time.Time
	}

	// advice is a question on its way.
	advice struct {
		step    *step
		workers []order.WorkerID
		host    order.MemberID
		asked   time.Time
		expires time.Time
	}
)

const (
	// adviceMost is how many workers a question may name.
	adviceMost = 100

	// adviceLeast is how many workers a question names if there are as many.
	adviceLeast = 30

	// adviceTimeout is added to the expected time of an answer before another
	// host is asked.
	adviceTimeout = 700 * time.Millisecond

	// ticketMargin is the part of a ticket's validity that may pass between
	// the service's answer and the arrival of a start at the worker.
	ticketMargin = 150 * time.Millisecond

	// adviceBacklog is how long the questions before a new one may take at its
	// host. Longer queues would fill with questions whose tickets expire before
	// there is room, in front of more urgent ones.
	adviceBacklog = 200 * time.Millisecond

	// shortQuestion is the longest time of a question that may use all hosts.
	// Longer ones leave a part of the hosts free, so that the short questions
	// of urgent steps need not wait behind them.
	shortQuestion = 50 * time.Millisecond

	// shortHosts is the part of the hosts that long questions leave free: one
	// in this many.
	shortHosts = 3

	// adviceRetry is the delay before a failed question is repeated.
	adviceRetry = 100 * time.Millisecond
)

func (m *Machine) link(in HostMsg) {
	if in.up {
		if m.hosts[in.host] == nil {
			m.hosts[in.host] = &host{}
		}
		return
	}
	if in.host != m.self {
		delete(m.hosts, in.host)
	}
}

// hostFor returns the host that could ask about so many workers now, if there
// is one.
func (m *Machine) hostFor(now time.Time, s *step, q tariff.Queue, workers int) (order.MemberID, bool) {
	if s.asking != 0 || now.Before(s.askAgain) || workers == 0 {
		return "", false
	}
	name := m.idlest(now)
	long := q.Advice().Duration(workers) > shortQuestion
	if m.hosts[name].busyUntil.Sub(now) > adviceBacklog || (long && m.longHosts(now) >= m.longMost()) {
		m.registry.Count("yard.waits.advice")
		return "", false
	}
	return name, true
}

// ask has an entry host ask which of the workers may run the step.
func (m *Machine) ask(now time.Time, s *step, q tariff.Queue, workers []order.WorkerID) {
	name, ok := m.hostFor(now, s, q, len(workers))
	if !ok {
		return
	}
	h := m.hosts[name]
	h.busyUntil = tide.Later(h.busyUntil, now).Add(q.Advice().Duration(len(workers)))
	m.lastCall++
	s.asking = m.lastCall
	m.advices[m.lastCall] = &advice{step: s, workers: workers, host: name, asked: now, expires: h.busyUntil.Add(adviceTimeout)}
	m.registry.Count("yard.advice_asked")
	m.emit(SendCmd{to: name, msg: order.AdviseMsg{}.WithCall(m.lastCall).WithJob(s.job.id).
		WithOccurrence(s.occurrence).WithStep(s.index).WithWorkers(workers)})
}

// askNew asks about workers that the step has not asked about yet. They are
// looked for only if a host could ask.
func (m *Machine) askNew(now time.Time, s *step, q tariff.Queue) {
	if _, ok := m.hostFor(now, s, q, 1); ok {
		m.ask(now, s, q, m.candidates(now, s, q))
	}
}

// longHosts counts the hosts that are busy for longer than a short question.
func (m *Machine) longHosts(now time.Time) int {
	n := 0
	for _, h := range m.hosts {
		if h.busyUntil.Sub(now) > shortQuestion {
			n++
		}
	}
	return n
}

// longMost returns how many hosts may be busy with long questions.
func (m *Machine) longMost() int {
	return max(1, len(m.hosts)-(len(m.hosts)+shortHosts-1)/shortHosts)
}

// idlest returns the host whose questions are answered first.
func (m *Machine) idlest(now time.Time) order.MemberID {
	var first order.MemberID
	var least time.Time
	for name, h := range m.hosts {
		until := tide.Later(h.busyUntil, now)
		if first == "" || until.Before(least) || (until.Equal(least) && name < first) {
			first, least = name, until
		}
	}
	return first
}

// advised takes the answer to a question.
func (m *Machine) advised(now time.Time, r order.AdvisedMsg) {
	q, ok := m.advices[r.Call()]
	if !ok {
		return
	}
	delete(m.advices, r.Call())
	s := q.step
	if s.asking == r.Call() {
		s.asking = 0
	}
	if !r.Ok() {
		m.registry.Count("yard.advice_failed")
		m.log.Warn().Str("job", string(s.job.id)).Str("host", string(q.host)).Str("reason", r.Text()).Msg("yard: advice failed")
		s.askAgain = now.Add(adviceRetry)
		return
	}
	queue, ok := m.config.Queue(s.job.queue)
	if !ok {
		return
	}
	if s.allowed == nil {
		s.allowed = make(map[order.WorkerID]ticket)
		s.asked = make(map[order.WorkerID]bool)
	}
	for _, id := range q.workers {
		s.asked[id] = true
	}
	until := now.Add(queue.Advice().Validity() - ticketMargin)
	for _, t := range r.Tickets() {
		if !slices.Contains(s.advised, t.Worker()) {
			s.advised = append(s.advised, t.Worker())
		}
		s.allowed[t.Worker()] = ticket{text: t.Ticket(), until: until}
	}
	m.registry.Observe("yard.advice", now.Sub(q.asked))
}

// expireAdvice asks again where a host did not answer.
func (m *Machine) expireAdvice(now time.Time) {
	for call, q := range m.advices {
		if now.Before(q.expires) {
			continue
		}
		delete(m.advices, call)
		if q.step.asking == call {
			q.step.asking = 0
		}
		if h := m.hosts[q.host]; h != nil {
			h.busyUntil = tide.Later(h.busyUntil, now.Add(time.Second))
		}
		m.registry.Count("yard.advice_timeout")
		m.log.Warn().Str("job", string(q.step.job.id)).Str("host", string(q.host)).Msg("yard: no advice in time")
	}
}

// candidates returns the workers to name in the next question of a step: those
// that it has not asked about, the ones with the most room first, as many as
// the answer's time allows.
func (m *Machine) candidates(now time.Time, s *step, q tariff.Queue) []order.WorkerID {
	type candidate struct {
		id   order.WorkerID
		free float64
	}
	list := make([]candidate, 0, len(m.workers))
	for _, w := range m.sortedWorkers() {
		if !s.asked[w.id] && m.usable(now, w, q.Service()) && m.suits(w, s) {
			list = append(list, candidate{id: w.id, free: w.free()})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.free, a.free) })
	list = list[:min(len(list), m.mostNamed(q))]
	ids := make([]order.WorkerID, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.id)
	}
	return ids
}

// mostNamed returns how many workers a question of the queue may name.
func (m *Machine) mostNamed(q tariff.Queue) int {
	return min(adviceMost, max(adviceLeast, q.Advice().Affordable()))
}

// free returns the part of the worker's processor and memory that is free,
// whichever is less.
func (w *worker) free() float64 {
	capacity := w.info.capacity
	cores := 1 - ratio(int64(w.used.Cores()), int64(capacity.Cores()))
	memory := 1 - ratio(int64(w.used.Memory()), int64(capacity.Memory()))
	return min(cores, memory)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
