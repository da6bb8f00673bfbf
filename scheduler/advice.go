package scheduler

import (
	"slices"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/timers"
)

type (
	// host is an entry host that can send advice requests. Its requests sent so
	// far are answered by busyUntil.
	host struct {
		busyUntil time.Time
	}

	// adviceRequest is a request that was assigned to an entry host and has no
	// response yet.
	adviceRequest struct {
		step      *step
		workers   []order.WorkerID
		host      order.MemberID
		sentAt    time.Time
		expiresAt time.Time
	}
)

const (
	// adviceCallBits is how many bits of a request's number count the requests
	// of an epoch.
	adviceCallBits = 32

	// maxAdviceWorkers is how many workers a request may name.
	maxAdviceWorkers = 100

	// minAdviceWorkers is how many workers a request names if there are as
	// many.
	minAdviceWorkers = 30

	// adviceTimeout is added to the expected response time before the request
	// expires and may go to another host.
	adviceTimeout = 700 * time.Millisecond

	// ticketMargin is the part of a ticket's validity that may pass between the
	// service's response and the arrival of a start at the worker.
	ticketMargin = 150 * time.Millisecond

	// maxAdviceBacklog is how long the earlier requests at a host may take. A
	// longer backlog would delay requests whose tickets expire before there is
	// capacity, ahead of more urgent ones.
	maxAdviceBacklog = 200 * time.Millisecond

	// shortRequestTime is the longest response time of a request that may use
	// all hosts. Longer ones leave some hosts free, so that the short requests
	// of urgent steps need not wait behind them.
	shortRequestTime = 50 * time.Millisecond

	// reservedHostDivisor sets how many hosts long requests leave free: one in
	// this many.
	reservedHostDivisor = 3

	// adviceRetryDelay is how long a step waits after a failed request.
	adviceRetryDelay = 100 * time.Millisecond
)

// setHostLink adds or removes an entry host. The owner itself always stays, so
// that it can send requests without any link.
func (m *Scheduler) setHostLink(in HostLinkMsg) {
	if in.up {
		if m.hosts[in.host] == nil {
			m.hosts[in.host] = &host{}
		}
		return
	}
	if in.host == m.self {
		return
	}
	delete(m.hosts, in.host)
	for call, req := range m.adviceRequests {
		if req.host == in.host {
			m.closeRequest(call, req)
			m.registry.Count("yard.advice_host_lost")
		}
	}
}

// isLong reports whether the service takes long for a request about so many
// workers.
func isLong(q policy.Queue, workers int) bool { return q.Advice().Duration(workers) > shortRequestTime }

// adviceHost returns the host that may send a request about so many workers now.
// It returns false while the hosts are busy.
func (m *Scheduler) adviceHost(now time.Time, q policy.Queue, workers int) (order.MemberID, bool) {
	name := m.leastBusyHost(now)
	if m.hosts[name].busyUntil.Sub(now) > maxAdviceBacklog || (isLong(q, workers) && m.busyHosts(now) >= m.maxBusyHosts()) {
		m.registry.Count("yard.waits.advice")
		return "", false
	}
	return name, true
}

// requestAdvice has an entry host request from the advice service which of the
// workers may run the step. It returns false if no host is free.
func (m *Scheduler) requestAdvice(now time.Time, s *step, q policy.Queue, workers []order.WorkerID) bool {
	name, ok := m.adviceHost(now, q, len(workers))
	if !ok {
		return false
	}
	h := m.hosts[name]
	h.busyUntil = timers.Later(h.busyUntil, now).Add(q.Advice().Duration(len(workers)))
	m.lastAdviceCall++
	m.adviceRequests[m.lastAdviceCall] = &adviceRequest{step: s, workers: workers, host: name, sentAt: now, expiresAt: h.busyUntil.Add(adviceTimeout)}
	if s.openRequests == nil {
		s.openRequests = make(map[order.WorkerID]bool)
		s.requestedWorkers = make(map[order.WorkerID]bool)
	}
	for _, id := range workers {
		s.openRequests[id] = true
	}
	m.registry.Count("yard.advice_asked")
	m.emit(SendCmd{to: name, msg: order.AdviceRequestMsg{}.WithCall(m.lastAdviceCall).WithJob(s.job.id).
		WithOccurrence(s.occurrence).WithStep(s.index).WithWorkers(workers)})
	return true
}

// closeRequest removes a request that was answered or has failed.
func (m *Scheduler) closeRequest(call uint64, req *adviceRequest) {
	delete(m.adviceRequests, call)
	for _, id := range req.workers {
		delete(req.step.openRequests, id)
	}
}

// busyHosts counts the hosts that are busy for longer than shortRequestTime.
func (m *Scheduler) busyHosts(now time.Time) int {
	n := 0
	for _, h := range m.hosts {
		if h.busyUntil.Sub(now) > shortRequestTime {
			n++
		}
	}
	return n
}

// maxBusyHosts returns how many hosts long requests may keep busy.
func (m *Scheduler) maxBusyHosts() int {
	return max(1, len(m.hosts)-(len(m.hosts)+reservedHostDivisor-1)/reservedHostDivisor)
}

// leastBusyHost returns the host that is free first, the one with the smallest
// ID if there are several.
func (m *Scheduler) leastBusyHost(now time.Time) order.MemberID {
	var best order.MemberID
	var earliest time.Time
	for name, h := range m.hosts {
		until := timers.Later(h.busyUntil, now)
		if best == "" || until.Before(earliest) || (until.Equal(earliest) && name < best) {
			best, earliest = name, until
		}
	}
	return best
}

// handleAdvice stores the tickets of a response, or schedules a retry if the
// request failed. Responses to expired requests are dropped, as are tickets of
// workers that may have restarted after the service decided.
func (m *Scheduler) handleAdvice(now time.Time, r order.AdviceReplyMsg) {
	req, ok := m.adviceRequests[r.Call()]
	if !ok {
		return
	}
	m.closeRequest(r.Call(), req)
	s := req.step
	if !r.Ok() {
		m.registry.Count("yard.advice_failed")
		m.log.Warn().Str("job", string(s.job.id)).Str("host", string(req.host)).Str("reason", r.Text()).Msg("yard: advice request failed")
		s.advisePlanAt = now.Add(adviceRetryDelay)
		return
	}
	queue, ok := m.queueOf(s.job)
	if !ok {
		return
	}
	if s.tickets == nil {
		s.tickets = make(map[order.WorkerID]ticket)
	}
	until := now.Add(queue.Advice().Validity() - ticketMargin)
	granted := 0
	for _, t := range r.Tickets() {
		if m.restartedSince(t.Worker(), req.sentAt) {
			continue
		}
		if !s.requestedWorkers[t.Worker()] {
			granted++
		}
		if !slices.Contains(s.ticketedWorkers, t.Worker()) {
			s.ticketedWorkers = append(s.ticketedWorkers, t.Worker())
		}
		s.tickets[t.Worker()] = ticket{text: t.Ticket(), validUntil: until}
	}
	named := 0
	for _, id := range req.workers {
		if m.restartedSince(id, req.sentAt) {
			continue
		}
		if !s.requestedWorkers[id] {
			named++
		}
		s.requestedWorkers[id] = true
	}
	m.grants(s.job.queue).record(named, granted)
	m.registry.Observe("yard.advice", now.Sub(req.sentAt))
}

// restartedSince reports whether this owner has learned of a restart of the
// worker after the given time.
func (m *Scheduler) restartedSince(id order.WorkerID, t time.Time) bool {
	w := m.workers[id]
	return w != nil && t.Before(w.restartedAt)
}

// dropTickets drops the tickets of a worker that has restarted, as they end with
// its life, so that the steps request new ones.
func (m *Scheduler) dropTickets(id order.WorkerID) {
	for _, j := range m.active {
		for _, s := range j.steps {
			if _, ok := s.tickets[id]; ok {
				delete(s.tickets, id)
				delete(s.requestedWorkers, id)
			}
		}
	}
}

// expireAdvice drops requests without a response, so that their steps send new
// ones. It keeps the host in question out of use for a second.
func (m *Scheduler) expireAdvice(now time.Time) {
	for call, req := range m.adviceRequests {
		if now.Before(req.expiresAt) {
			continue
		}
		m.closeRequest(call, req)
		if h := m.hosts[req.host]; h != nil {
			h.busyUntil = timers.Later(h.busyUntil, now.Add(time.Second))
		}
		m.registry.Count("yard.advice_timeout")
		m.log.Warn().Str("job", string(req.step.job.id)).Str("host", string(req.host)).Msg("yard: advice request timed out")
	}
}

// maxWorkersPerRequest returns how many workers a request of the queue may
// name, between minAdviceWorkers and maxAdviceWorkers.
func (m *Scheduler) maxWorkersPerRequest(q policy.Queue) int {
	return min(maxAdviceWorkers, max(minAdviceWorkers, q.Advice().MaxWorkersPerCall()))
}

// updateFree sets the free fraction of the worker's cores or memory, whichever
// is smaller. It is called whenever the capacity or what is used changes.
func (w *worker) updateFree() {
	capacity := w.info.capacity
	cores := 1 - fraction(int64(w.used.Cores()), int64(capacity.Cores()))
	memory := 1 - fraction(int64(w.used.Memory()), int64(capacity.Memory()))
	w.free = min(cores, memory)
}

// fraction returns part/whole, or one if whole is not positive, so that a
// worker of unknown capacity counts as full.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
