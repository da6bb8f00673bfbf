package berth

import (
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	hostState uint8

	// host is one worker with its room. Its tasks are those that hold room:
	// held, starting and running.
	host struct {
		worker   roster.Worker
		listed   bool
		state    hostState
		size     amount
		reserved amount
		used     amount
		tasks    map[order.TaskID]*entry

		stamp   crane.Stamp
		stampAt time.Time

		listing  bool
		tried    bool
		listAt   time.Time
		renewing bool
		renewAt  time.Time
		polling  bool
		pollAt   time.Time
		after    uint64
		usaging  bool
		usageAt  time.Time
		acking   bool
		acks     []crane.Ref

		cooldown cooldown
	}
)

const (
	// hostUnread: nothing is known; the worker may run tasks of an earlier
	// owner.
	hostUnread hostState = iota
	// hostReady: the task list was read and the worker answers.
	hostReady
	// hostSilent: the worker was read but does not answer now.
	hostSilent
	// hostLapsed: it was never read, and all leases it may hold are over.
	hostLapsed
)

func newHost(w roster.Worker, now time.Time) *host {
	return &host{
		worker:  w,
		listed:  true,
		size:    newAmount(w.Size()),
		tasks:   make(map[order.TaskID]*entry),
		listAt:  now,
		renewAt: now,
		usageAt: now.Add(usagePeriod),
	}
}

func (h *host) id() order.WorkerID { return h.worker.ID() }

func (h *host) slots() int { return min(h.worker.Slots(), h.worker.Connections()) }

func (h *host) freeSlots() int { return h.slots() - len(h.tasks) }

// Room counts for each task the larger of what is reserved and what was last
// seen, never the usage report alone.
func (h *host) free() amount { return h.size.minus(h.used) }

func (h *host) fits(size amount) bool {
	return h.freeSlots() > 0 && size.fitsIn(h.free())
}

// Reports whether more is reserved than the worker has room for, as after the
// adoption of a stray task or when the host list shows a smaller size.
func (h *host) crowded() bool {
	return h.freeSlots() < 0 || !h.reserved.fitsIn(h.size)
}

func (h *host) add(e *entry) {
	e.host = h
	h.tasks[e.task.ID()] = e
	h.recount()
}

func (h *host) remove(e *entry) {
	delete(h.tasks, e.task.ID())
	h.recount()
}

func (h *host) recount() {
	h.reserved, h.used = amount{}, amount{}
	for _, e := range h.tasks {
		h.reserved = h.reserved.plus(e.reserved)
		h.used = h.used.plus(e.reserved.atLeast(e.seen))
	}
}

func (h *host) sawStamp(stamp crane.Stamp, now time.Time) {
	if stamp.Incarnation() != h.stamp.Incarnation() || stamp.After(h.stamp) {
		h.stamp = stamp
		h.stampAt = now
	}
}

// Reports whether the worker may get new work as far as its answers show.
func (h *host) answers(now time.Time) bool {
	return h.state == hostReady && now.Sub(h.stampAt) < stampLife
}

// Returns how many unknown tasks the worker may run.
func (h *host) unknown() int {
	if h.state == hostUnread {
		return h.slots()
	}
	return 0
}
