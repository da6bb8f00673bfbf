package scheduler

import (
	"time"

	"chervilhollow/order"
)

type (
	// headroom is the free capacity of each service in a round of placement. It
	// answers a load that nearly fills a service: steps that can wait leave
	// the last free cores to urgent queues, whose steps would be late if they
	// waited for a run to end.
	headroom map[string]serviceCapacity

	serviceCapacity struct{ cores, free int64 }
)

const (
	// headroomDivisor sets which part of a service's cores is kept for urgent
	// queues: one in this many.
	headroomDivisor = 12

	// minHeadroomSlack is the least time that a step must have to spare beside
	// its estimated work to leave the headroom free. Estimates may be too low
	// by a third, so the slack must also exceed a third of the work.
	minHeadroomSlack   = 1500 * time.Millisecond
	estimateErrorShare = 3
)

// measureHeadroom returns the free capacity of all services.
func (m *Scheduler) measureHeadroom(now time.Time) headroom {
	h := make(headroom)
	for _, w := range m.workers {
		if !m.schedulable(now, w, w.info.service) {
			continue
		}
		c := h[w.info.service]
		c.cores += int64(w.info.capacity.Cores())
		c.free += int64(w.info.capacity.Cores() - w.used.Cores())
		h[w.info.service] = c
	}
	return h
}

// take records that a task of the size was started.
func (h headroom) take(service string, size order.Resources) {
	c := h[service]
	c.free -= int64(size.Cores())
	h[service] = c
}

// leavesHeadroom reports whether the step waits so that urgent queues find free
// cores: its service is nearly full, its queue is not the most urgent one of the
// service, and it has time to spare.
func (m *Scheduler) leavesHeadroom(now time.Time, p pendingStep) bool {
	if p.rank != rankInTime || p.step.spec.Gang() || p.step.spec.Lasting() {
		return false
	}
	if c := m.headroom[p.queue.Service()]; c.free*headroomDivisor >= c.cores {
		return false
	}
	if p.queue.Priority() <= m.config.TopPriority(p.queue.Service()) {
		return false
	}
	work := p.step.remainingPath
	return p.due.Sub(now)-work > max(minHeadroomSlack, work/estimateErrorShare)
}
