package placement

import (
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	hostState uint8

	// host is one worker and the capacity that is used on it. tasks holds the
	// entries that use capacity: held, starting and running ones.
	host struct {
		worker   roster.Worker
		listed   bool
		state    hostState
		size     amount
		reserved amount
		used     amount
		tasks    map[order.TaskID]*entry

		// stamp is the latest clock reading that the worker sent, and
		// stampAt the local time at which it arrived. Leases count from
		// it.
		stamp   dispatch.Stamp
		stampAt time.Time

		listInFlight  bool
		listTried     bool
		nextList      time.Time
		renewInFlight bool
		nextRenew     time.Time
		pollInFlight  bool
		nextPoll      time.Time
		lastEvent     uint64
		usageInFlight bool
		nextUsage     time.Time
		ackInFlight   bool
		pendingAcks   []dispatch.AttemptRef

		cooldown cooldown
	}
)

const (
	// hostUnread: the task list has not been read, so the worker may run
	// tasks of an earlier owner.
	hostUnread hostState = iota

	// hostReady: the task list was read and the worker answers.
	hostReady

	// hostUnreachable: the task list was read before, but the worker does
	// not answer or has restarted since.
	hostUnreachable

	// hostExpired: the task list was never read, and the leases of all
	// tasks that the worker may run have expired.
	hostExpired
)

func newHost(w roster.Worker, now time.Time) *host {
	return &host{
		worker:    w,
		listed:    true,
		size:      newAmount(w.Size()),
		tasks:     make(map[order.TaskID]*entry),
		nextList:  now,
		nextRenew: now,
		nextUsage: now.Add(usagePeriod),
	}
}

func (h *host) id() order.WorkerID { return h.worker.ID() }

// slots returns how many tasks the worker may run at the same time.
func (h *host) slots() int { return min(h.worker.Slots(), h.worker.Connections()) }

func (h *host) freeSlots() int { return h.slots() - len(h.tasks) }

// free returns the capacity for further tasks. Each task counts with the larger
// of its reservation and its last reported use, so a low usage report never
// frees reserved capacity.
func (h *host) free() amount { return h.size.minus(h.used) }

func (h *host) fits(size amount) bool {
	return h.freeSlots() > 0 && size.fitsIn(h.free())
}

// overcommitted reports whether more than the worker's capacity is reserved.
// This happens when a stray task is adopted or the host list shows a smaller
// size.
func (h *host) overcommitted() bool {
	return h.freeSlots() < 0 || !h.reserved.fitsIn(h.size)
}

func (h *host) add(e *entry) {
	e.host = h
	h.tasks[e.task.ID()] = e
	h.recalculate()
}

func (h *host) remove(e *entry) {
	delete(h.tasks, e.task.ID())
	h.recalculate()
}

func (h *host) recalculate() {
	h.reserved, h.used = amount{}, amount{}
	for _, e := range h.tasks {
		h.reserved = h.reserved.plus(e.reserved)
		h.used = h.used.plus(e.reserved.maxWith(e.reportedUse))
	}
}

func (h *host) recordStamp(stamp dispatch.Stamp, now time.Time) {
	if stamp.Incarnation() != h.stamp.Incarnation() || stamp.After(h.stamp) {
		h.stamp = stamp
		h.stampAt = now
	}
}

// responsive reports whether the worker has answered recently enough to get new
// work.
func (h *host) responsive(now time.Time) bool {
	return h.state == hostReady && now.Sub(h.stampAt) < maxStampAge
}

// unknownTasks returns the maximum number of tasks that the worker may run for
// an earlier owner.
func (h *host) unknownTasks() int {
	if h.state == hostUnread {
		return h.slots()
	}
	return 0
}
