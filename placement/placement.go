package placement

import (
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

func (m *machine) onBid(now time.Time, msg order.BidMsg) {
	task := msg.Task()
	ref := dispatch.NewAttemptRef(task.ID(), msg.Attempt())
	if e, ok := m.entries[task.ID()]; ok && !m.supersede(now, e, msg.Attempt()) {
		m.answerDuplicate(now, e)
		return
	}
	if t, found := m.tombstones[ref]; found && !t.offerExpired {
		m.deps.registry.Count("berth.duplicate_bid")
		return
	}
	if b, ok := m.bids.byTask[task.ID()]; ok && b.attempt >= msg.Attempt() {
		m.deps.registry.Count("berth.duplicate_bid")
		return
	}
	if code, text := m.checkBid(now, task); code != order.Done {
		m.refuseBid(task, msg.Attempt(), code, text)
		return
	}
	queued := task.Queued()
	if queued.IsZero() {
		queued = now
	}
	// The tombstone would make the machine ignore an attempt that a former owner
	// started.
	b := &bid{task: task, attempt: msg.Attempt(), queued: queued, offerEpoch: m.tombstones[ref].epoch}
	delete(m.tombstones, ref)
	m.bids.add(b)
}

// dropBid removes a waiting bid whose task is not started. Late messages about
// an offer that it had can then still be answered.
func (m *machine) dropBid(now time.Time, b *bid) {
	m.bids.remove(b.task.ID())
	if b.offerEpoch != 0 {
		m.addExpiredOffer(now, dispatch.NewAttemptRef(b.task.ID(), b.attempt), b.offerEpoch)
	}
}

// supersede removes the entry of an earlier attempt so that a later one can
// take its place, and reports whether it did. An entry that only holds a
// reservation or an outcome is removed; one that may run is not.
func (m *machine) supersede(now time.Time, e *entry, attempt order.Attempt) bool {
	if attempt <= e.attempt || e.active() {
		return false
	}
	if e.state == order.TaskHeld {
		m.release(e)
		return true
	}
	m.removeEntry(now, e)
	return true
}

// answerDuplicate answers a repeated message by sending the entry's current
// state again, because the sender may have missed the first answer.
func (m *machine) answerDuplicate(now time.Time, e *entry) {
	switch {
	case e.state == order.TaskHeld:
		m.post(requestPartitionOf(e.task), m.offerMsg(now, e))
	case e.state == order.TaskEnded:
		m.postEnded(now, e)
	case e.confirmed:
		m.post(requestPartitionOf(e.task), m.startedMsg(e))
	}
}

// checkBid returns the code and text with which to refuse a task, or order.Done
// if the task may wait here. The text is sent to the request partition.
func (m *machine) checkBid(now time.Time, task order.Task) (order.Code, string) {
	team, ok := m.deps.currentConfig().Team(task.Team())
	domain := m.group.Domain()
	switch {
	case !m.deps.currentConfig().DomainOpen(domain), ok && !team.MayUse(domain):
		return order.NoDomain, "the failure domain is not available"
	case m.tooLarge(task):
		return order.TooLarge, "no worker of the group can hold the task"
	case !task.Deadline().IsZero() && !now.Before(task.Deadline()):
		return order.DeadlineBeforeRun, "the deadline has passed"
	case m.bids.len() >= m.deps.bidLimit:
		return order.QueueFull, "too many waiting bids"
	}
	return order.Done, ""
}

func (m *machine) refuseBid(task order.Task, attempt order.Attempt, code order.Code, text string) {
	m.deps.registry.Count("berth.refused." + code.String())
	m.post(requestPartitionOf(task), order.BidRefusedMsg{}.
		WithPartition(requestPartitionOf(task)).
		WithTask(task.ID()).
		WithAttempt(attempt).
		WithGroup(m.group).
		WithCode(code).
		WithText(text))
}

// tooLarge reports whether the task fits on none of the listed workers, even
// when they are idle. It is false while no worker is listed.
func (m *machine) tooLarge(task order.Task) bool {
	size := newAmount(task.Size())
	anyListed := false
	for _, h := range m.hosts {
		if !h.listed {
			continue
		}
		anyListed = true
		if size.fitsIn(h.size) {
			return false
		}
	}
	return anyListed
}

// largestHostFor returns the largest size among the listed workers that can
// hold a task of the declared size.
func (m *machine) largestHostFor(declared amount) amount {
	var largest amount
	for _, h := range m.hosts {
		if h.listed && declared.fitsIn(h.size) && h.size.dominantShare(m.capacity) > largest.dominantShare(m.capacity) {
			largest = h.size
		}
	}
	return largest
}

// tickBids refuses the waiting bids that can no longer be placed, for example
// after their deadline.
func (m *machine) tickBids(now time.Time) {
	if now.Before(m.nextBidCheck) {
		return
	}
	m.nextBidCheck = now.Add(bidPeriod)
	m.updateReservedHost(now)
	m.checkMissingAllotments()
	for _, b := range m.bids.sorted() {
		if code, text := m.checkBid(now, b.task); code != order.Done && code != order.QueueFull {
			m.dropBid(now, b)
			m.refuseBid(b.task, b.attempt, code, text)
		}
	}
}

// place offers free capacity to waiting bids until no bid fits.
func (m *machine) place(now time.Time) {
	if m.bids.len() == 0 || !m.ready() || !m.mayStart() || !m.anyFreeSlot(now) {
		return
	}
	for m.placeOne(now) {
	}
}

// ready reports whether the group may place tasks: the allotments have been
// read and the task list of each worker was requested under the new epoch. A
// worker that did not answer stays unusable but does not delay the others.
func (m *machine) ready() bool {
	for _, h := range m.hosts {
		if h.listed && h.state == hostUnread && !h.listTried {
			return false
		}
	}
	return m.allotmentsRead
}

// mayStart reports whether new work may start now: the ownership lasts long
// enough, the process permits it and the failure domain is open.
func (m *machine) mayStart() bool {
	return m.deps.guard.Remaining() > minGuardTime && m.deps.permit() &&
		m.deps.currentConfig().DomainOpen(m.group.Domain())
}

// updateReservedHost keeps the usable worker with the most free capacity for
// the oldest bid if that bid has waited for reserveDelay. Without it, smaller
// tasks would take all capacity that becomes free and the bid would starve.
func (m *machine) updateReservedHost(now time.Time) {
	if m.reservedHost != nil {
		_, waiting := m.bids.byTask[m.reservedFor]
		if waiting && m.reservedHost.listed && m.usable(now, m.reservedHost, m.reservedFor) {
			return
		}
		m.reservedHost = nil
	}
	b := m.oldestBid()
	if b == nil || now.Sub(b.queued) < reserveDelay || m.chooseHost(now, b.task, m.estimatedSize(b.task), nil) != nil {
		return
	}
	if m.active[b.task.Team()]+m.held[b.task.Team()] >= m.allowed(b.task.Team()) {
		return
	}
	size, skipAccelerators := m.estimatedSize(b.task), m.avoidAccelerators(b.task)
	for _, h := range m.hosts {
		if !size.fitsIn(h.size) || skipAccelerators && h.size.accelerators > 0 || !m.usable(now, h, b.task.ID()) {
			continue
		}
		if m.reservedHost == nil || m.remainingFraction(h, size) > m.remainingFraction(m.reservedHost, size) {
			m.reservedHost, m.reservedFor = h, b.task.ID()
		}
	}
	if m.reservedHost != nil {
		m.deps.registry.Count("berth.worker_saved")
	}
}

func (m *machine) oldestBid() *bid {
	var oldest *bid
	for _, teams := range m.bids.classes {
		for _, t := range teams {
			if oldest == nil || compareBids(t.bids[0], oldest) < 0 {
				oldest = t.bids[0]
			}
		}
	}
	return oldest
}

func (m *machine) anyFreeSlot(now time.Time) bool {
	for _, h := range m.hosts {
		if h.freeSlots() > 0 && m.usable(now, h, "") {
			return true
		}
	}
	return false
}

// usable reports whether the worker may get new work. The task ID matters only
// after a cooldown, when a single probe task is allowed; an empty ID stands for
// any task.
func (m *machine) usable(now time.Time, h *host, id order.TaskID) bool {
	return h.listed && !h.worker.Leaving() && h.responsive(now) && h.cooldown.allows(now, id)
}

// placeOne offers capacity to the next bid that fits and reports whether there
// was one. Bids are tried by class, then by team, then by age.
func (m *machine) placeOne(now time.Time) bool {
	for _, class := range m.bids.classOrder() {
		for _, t := range m.bids.teamsByLoad(class, m.teamLoad) {
			if m.active[t.team]+m.held[t.team]+m.unknownTasks() >= m.allowed(t.team) {
				continue
			}
			for _, b := range t.bids[:min(lookahead, len(t.bids))] {
				size := m.estimatedSize(b.task)
				h := m.chooseHost(now, b.task, size, nil)
				if h == nil {
					continue
				}
				m.bids.remove(b.task.ID())
				m.bids.recordPlacement(class)
				m.offer(now, b, h, size)
				return true
			}
		}
	}
	return false
}

// teamLoad returns the cell-wide use of a team relative to its fair share. The
// team with the lowest load is served first.
func (m *machine) teamLoad(team order.TeamName) float64 {
	if m.deps.policy.arrivalOrder {
		return 0
	}
	t, ok := m.deps.currentConfig().Team(team)
	if !ok || t.Share() <= 0 {
		return 1e9
	}
	return (m.load[team] + m.deps.otherUse(team)) / t.Share()
}

// chooseHost returns the worker that would be left with the least free capacity
// in the task's dominant resource, or nil if none fits (best-fit bin packing).
// This leaves whole workers free for large tasks.
func (m *machine) chooseHost(now time.Time, task order.Task, size amount, except *host) *host {
	var (
		best      *host
		bestScore float64
	)
	skipAccelerators := m.avoidAccelerators(task)
	for _, h := range m.hosts {
		if h == except || h == m.reservedHost && task.ID() != m.reservedFor || !h.fits(size) || skipAccelerators && h.size.accelerators > 0 || !m.usable(now, h, task.ID()) {
			continue
		}
		hostScore := m.score(h, size)
		if best == nil || hostScore < bestScore {
			best, bestScore = h, hostScore
		}
	}
	return best
}

// avoidAccelerators reports whether the task must not use workers with
// accelerators. They are kept for tasks that need accelerators unless no other
// worker of the group is large enough.
func (m *machine) avoidAccelerators(task order.Task) bool {
	size := newAmount(task.Size())
	if size.accelerators > 0 {
		return false
	}
	for _, h := range m.hosts {
		if h.listed && h.size.accelerators == 0 && size.fitsIn(h.size) {
			return true
		}
	}
	return false
}

// remainingFraction returns the fraction of the worker's size that stays free
// after placing a task of the given size, in the task's dominant resource.
func (m *machine) remainingFraction(h *host, size amount) float64 {
	free := h.free()
	cores, memory := fraction(size.cores, h.size.cores), fraction(size.memory, h.size.memory)
	switch {
	case size.accelerators > 0:
		return fraction(free.accelerators-size.accelerators, h.size.accelerators)
	case cores >= memory:
		return fraction(free.cores-size.cores, h.size.cores)
	}
	return fraction(free.memory-size.memory, h.size.memory)
}

func (m *machine) offer(now time.Time, b *bid, h *host, size amount) {
	e := &entry{
		task:      b.task,
		attempt:   b.attempt,
		state:     order.TaskHeld,
		reserved:  size,
		queued:    b.queued,
		offers:    b.offers + 1,
		heldUntil: now.Add(offerHold),
	}
	m.reserve(e, h)
	m.post(requestPartitionOf(e.task), m.offerMsg(now, e))
}

func (m *machine) offerMsg(now time.Time, e *entry) order.OfferMsg {
	return order.OfferMsg{}.
		WithPartition(requestPartitionOf(e.task)).
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithGroup(m.group).
		WithEpoch(m.epoch).
		WithHold(max(0, e.heldUntil.Sub(now)))
}

// reserve assigns an entry to a worker whose free capacity was checked before.
// It asserts G1, that a worker never has more reserved than its capacity.
func (m *machine) reserve(e *entry, h *host) {
	m.addReservation(e, h)
	h.cooldown.taskReserved(e.task.ID())
	m.deps.registry.Invariant(!h.overcommitted(), "G1",
		"worker %s of size %v and %d slots has %v and %d tasks reserved",
		h.id(), h.size, h.slots(), h.reserved, len(h.tasks))
}

// addReservation adds an entry to the machine, its worker and the counts of its
// team.
func (m *machine) addReservation(e *entry, h *host) {
	m.entries[e.task.ID()] = e
	delete(m.tombstones, e.ref())
	e.load = e.reserved.dominantShare(m.capacity)
	h.add(e)
	m.addToCounts(e, 1)
}

// removeReservation subtracts an entry from its worker and the counts of its
// team. The entry itself stays in m.entries.
func (m *machine) removeReservation(e *entry) {
	m.addToCounts(e, -1)
	e.host.remove(e)
}

// addToCounts adds n times the entry to the counts and load of its team.
func (m *machine) addToCounts(e *entry, n int) {
	team := e.task.Team()
	counts := m.held
	if e.active() {
		counts = m.active
	}
	counts[team] += n
	if counts[team] == 0 {
		delete(counts, team)
	}
	m.load[team] += float64(n) * e.load
	if m.active[team]+m.held[team] == 0 {
		delete(m.load, team)
	}
}

// release removes an entry whose task was offered but not started.
func (m *machine) release(e *entry) {
	m.removeReservation(e)
	e.host.cooldown.taskReleased(e.task.ID())
	delete(m.entries, e.task.ID())
}

// onRelease handles a withdrawn bid or a declined offer.
func (m *machine) onRelease(now time.Time, ref dispatch.AttemptRef) {
	if b, ok := m.bids.byTask[ref.Task()]; ok && b.attempt <= ref.Attempt() {
		m.dropBid(now, b)
	}
	if e, ok := m.entries[ref.Task()]; ok && e.state == order.TaskHeld && e.attempt <= ref.Attempt() {
		m.release(e)
		// The partition may have bid again, received the offer only then, and
		// confirmed it.
		m.addExpiredOffer(now, e.ref(), m.epoch)
	}
}

// onHold reserves capacity for as many tasks of a gang as fit and answers with
// the IDs of those tasks.
func (m *machine) onHold(now time.Time, msg order.HoldMsg) {
	var held []order.TaskID
	for _, task := range msg.Tasks() {
		e, ok := m.entries[task.ID()]
		switch {
		case ok && e.attempt == msg.Attempt() && e.state == order.TaskHeld:
			e.heldUntil = now.Add(gangHold)
			held = append(held, task.ID())
		case ok && !m.supersede(now, e, msg.Attempt()):
			m.answerDuplicate(now, e)
		case m.tooLarge(task):
			m.refuseBid(task, msg.Attempt(), order.TooLarge, "no worker of the group can hold the task")
		case m.holdTask(now, task, msg.Attempt()):
			held = append(held, task.ID())
		}
	}
	partition := order.PartitionID("")
	if len(msg.Tasks()) > 0 {
		partition = requestPartitionOf(msg.Tasks()[0])
	}
	m.post(partition, order.HoldReplyMsg{}.
		WithPartition(partition).
		WithRequest(msg.Request()).
		WithGroup(m.group).
		WithAttempt(msg.Attempt()).
		WithTasks(held).
		WithHold(gangHold))
}

func (m *machine) holdTask(now time.Time, task order.Task, attempt order.Attempt) bool {
	team := task.Team()
	if t, found := m.tombstones[dispatch.NewAttemptRef(task.ID(), attempt)]; found && !t.offerExpired {
		return false
	}
	code, _ := m.checkBid(now, task)
	if code != order.Done || !m.ready() || !m.mayStart() {
		return false
	}
	if m.active[team]+m.held[team]+m.unknownTasks() >= m.allowed(team) {
		return false
	}
	size := m.estimatedSize(task)
	h := m.chooseHost(now, task, size, nil)
	if h == nil {
		return false
	}
	m.bids.remove(task.ID())
	m.reserve(&entry{
		task:      task,
		attempt:   attempt,
		state:     order.TaskHeld,
		reserved:  size,
		queued:    task.Queued(),
		heldUntil: now.Add(gangHold),
	}, h)
	return true
}
