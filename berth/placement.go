package berth

import (
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

func (m *machine) onBid(now time.Time, msg order.BidMsg) {
	task := msg.Task()
	ref := crane.NewRef(task.ID(), msg.Attempt())
	if e, ok := m.entries[task.ID()]; ok && !m.supersede(now, e, msg.Attempt()) {
		m.repeat(now, e)
		return
	}
	if s, over := m.settled[ref]; over && !s.expired {
		m.deps.registry.Count("berth.duplicate_bid")
		return
	}
	delete(m.settled, ref)
	if b, ok := m.bids.byTask[task.ID()]; ok && b.attempt >= msg.Attempt() {
		m.deps.registry.Count("berth.duplicate_bid")
		return
	}
	if code, text := m.refusal(now, task); code != order.Done {
		m.refuse(task, msg.Attempt(), code, text)
		return
	}
	queued := task.Queued()
	if queued.IsZero() {
		queued = now
	}
	m.bids.add(&bid{task: task, attempt: msg.Attempt(), queued: queued})
}

// Makes way for a later attempt of a task. An attempt that holds no more than
// room or an outcome gives way; one that may run does not.
func (m *machine) supersede(now time.Time, e *entry, attempt order.Attempt) bool {
	if attempt <= e.attempt || e.live() {
		return false
	}
	if e.state == order.TaskHeld {
		m.release(e)
		return true
	}
	m.forget(now, e)
	return true
}

// Answers a duplicate with the message that it may have missed.
func (m *machine) repeat(now time.Time, e *entry) {
	switch {
	case e.state == order.TaskHeld:
		m.post(requestPartitionOf(e.task), m.offerMsg(now, e))
	case e.state == order.TaskEnded:
		m.postEnded(now, e)
	case e.confirmed:
		m.post(requestPartitionOf(e.task), m.startedMsg(e))
	}
}

func (m *machine) refusal(now time.Time, task order.Task) (order.Code, string) {
	team, ok := m.deps.current().Team(task.Team())
	domain := m.group.Domain()
	switch {
	case !m.deps.current().DomainOpen(domain), ok && !team.MayUse(domain):
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

func (m *machine) refuse(task order.Task, attempt order.Attempt, code order.Code, text string) {
	m.deps.registry.Count("berth.refused." + code.String())
	m.post(requestPartitionOf(task), order.BidRefusedMsg{}.
		WithPartition(requestPartitionOf(task)).
		WithTask(task.ID()).
		WithAttempt(attempt).
		WithGroup(m.group).
		WithCode(code).
		WithText(text))
}

// A group that shows no worker yet refuses nothing for its size.
func (m *machine) tooLarge(task order.Task) bool {
	size := newAmount(task.Size())
	shown := false
	for _, h := range m.hosts {
		if !h.listed {
			continue
		}
		shown = true
		if size.fitsIn(h.size) {
			return false
		}
	}
	return shown
}

// Returns the largest room for a task of the declared size on one worker that
// can hold it.
func (m *machine) largestFor(declared amount) amount {
	var largest amount
	for _, h := range m.hosts {
		if h.listed && declared.fitsIn(h.size) && h.size.dominant(m.capacity) > largest.dominant(m.capacity) {
			largest = h.size
		}
	}
	return largest
}

// Removes the bids that can no longer be placed.
func (m *machine) tickBids(now time.Time) {
	if now.Before(m.bidsAt) {
		return
	}
	m.bidsAt = now.Add(bidPeriod)
	m.saveWorker(now)
	m.wantAllotments()
	for _, b := range m.bids.inOrder() {
		if code, text := m.refusal(now, b.task); code != order.Done && code != order.QueueFull {
			m.bids.remove(b.task.ID())
			m.refuse(b.task, b.attempt, code, text)
		}
	}
}

// Offers room to waiting bids until none fits.
func (m *machine) place(now time.Time) {
	if m.bids.len() == 0 || !m.ready() || !m.mayAct() || !m.anyRoom(now) {
		return
	}
	for m.placeOne(now) {
	}
}

// Reports whether the allotments are known and each worker was asked for its
// tasks under the new epoch. A worker that did not answer stays unusable.
func (m *machine) ready() bool {
	for _, h := range m.hosts {
		if h.listed && h.state == hostUnread && !h.tried {
			return false
		}
	}
	return m.allotmentsRead
}

func (m *machine) mayAct() bool {
	return m.deps.guard.Remaining() > writeThreshold && m.deps.permit() &&
		m.deps.current().DomainOpen(m.group.Domain())
}

// Keeps the emptiest worker free for the first bid in order if it has waited
// long because smaller tasks take all room that appears.
func (m *machine) saveWorker(now time.Time) {
	if m.saved != nil {
		_, waits := m.bids.byTask[m.savedFor]
		if waits && m.saved.listed && m.usable(now, m.saved, m.savedFor) {
			return
		}
		m.saved = nil
	}
	b := m.oldestBid()
	if b == nil || now.Sub(b.queued) < savePatience || m.choose(now, b.task, m.expected(b.task), nil) != nil {
		return
	}
	if m.live[b.task.Team()]+m.held[b.task.Team()] >= m.allowed(b.task.Team()) {
		return
	}
	size, plain := m.expected(b.task), m.avoidAccelerators(b.task)
	for _, h := range m.hosts {
		if !size.fitsIn(h.size) || plain && h.size.accelerators > 0 || !m.usable(now, h, b.task.ID()) {
			continue
		}
		if m.saved == nil || m.leftover(h, size) > m.leftover(m.saved, size) {
			m.saved, m.savedFor = h, b.task.ID()
		}
	}
	if m.saved != nil {
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

func (m *machine) anyRoom(now time.Time) bool {
	for _, h := range m.hosts {
		if h.freeSlots() > 0 && m.usable(now, h, "") {
			return true
		}
	}
	return false
}

func (m *machine) usable(now time.Time, h *host, id order.TaskID) bool {
	return h.listed && !h.worker.Leaving() && h.answers(now) && h.cooldown.open(now, id)
}

func (m *machine) placeOne(now time.Time) bool {
	for _, class := range m.bids.order() {
		for _, t := range m.bids.teams(class, m.teamLoad) {
			if m.live[t.team]+m.held[t.team]+m.unknownTasks() >= m.allowed(t.team) {
				continue
			}
			for _, b := range t.bids[:min(lookahead, len(t.bids))] {
				size := m.expected(b.task)
				h := m.choose(now, b.task, size, nil)
				if h == nil {
					continue
				}
				m.bids.remove(b.task.ID())
				m.bids.served(class)
				m.offer(now, b, h, size)
				return true
			}
		}
	}
	return false
}

// Returns the use of a team relative to its share.
func (m *machine) teamLoad(team order.TeamName) float64 {
	if m.deps.policy.arrivalOrder {
		return 0
	}
	t, ok := m.deps.current().Team(team)
	if !ok || t.Share() <= 0 {
		return 1e9
	}
	return (m.load[team] + m.deps.elsewhere(team)) / t.Share()
}

// Chooses the worker that is left with the least room in the resource that
// dominates the task, so that large tasks still find whole workers.
func (m *machine) choose(now time.Time, task order.Task, size amount, except *host) *host {
	var (
		best  *host
		score float64
	)
	plain := m.avoidAccelerators(task)
	for _, h := range m.hosts {
		if h == except || h == m.saved && task.ID() != m.savedFor || !h.fits(size) || plain && h.size.accelerators > 0 || !m.usable(now, h, task.ID()) {
			continue
		}
		left := m.score(h, size)
		if best == nil || left < score {
			best, score = h, left
		}
	}
	return best
}

// Workers with accelerators are kept for tasks that need them, unless no
// other worker of the group could ever hold the task.
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

func (m *machine) leftover(h *host, size amount) float64 {
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

// Reserves room; G1 holds because the room was checked against the same
// accounts before.
func (m *machine) reserve(e *entry, h *host) {
	m.enter(e, h)
	h.cooldown.reserved(e.task.ID())
	m.deps.registry.Invariant(!h.crowded(), "G1",
		"worker %s of size %v and %d slots has %v and %d tasks reserved",
		h.id(), h.size, h.slots(), h.reserved, len(h.tasks))
}

func (m *machine) enter(e *entry, h *host) {
	m.entries[e.task.ID()] = e
	delete(m.settled, e.ref())
	e.load = e.reserved.dominant(m.capacity)
	h.add(e)
	m.count(e, 1)
}

// Takes an entry out of the accounts of its worker and team.
func (m *machine) leave(e *entry) {
	m.count(e, -1)
	e.host.remove(e)
}

func (m *machine) count(e *entry, n int) {
	team := e.task.Team()
	counts := m.held
	if e.live() {
		counts = m.live
	}
	counts[team] += n
	if counts[team] == 0 {
		delete(counts, team)
	}
	m.load[team] += float64(n) * e.load
	if m.live[team]+m.held[team] == 0 {
		delete(m.load, team)
	}
}

// Gives held room back.
func (m *machine) release(e *entry) {
	m.leave(e)
	e.host.cooldown.released(e.task.ID())
	delete(m.entries, e.task.ID())
}

// Handles a withdrawn bid or a declined offer.
func (m *machine) onRelease(ref crane.Ref) {
	if b, ok := m.bids.byTask[ref.Task()]; ok && b.attempt <= ref.Attempt() {
		m.bids.remove(ref.Task())
	}
	if e, ok := m.entries[ref.Task()]; ok && e.state == order.TaskHeld && e.attempt <= ref.Attempt() {
		m.release(e)
	}
}

// Reserves room for as many tasks of a gang as fit.
func (m *machine) onHold(now time.Time, msg order.HoldMsg) {
	var held []order.TaskID
	for _, task := range msg.Tasks() {
		e, ok := m.entries[task.ID()]
		switch {
		case ok && e.attempt == msg.Attempt() && e.state == order.TaskHeld:
			e.heldUntil = now.Add(gangHold)
			held = append(held, task.ID())
		case ok && !m.supersede(now, e, msg.Attempt()):
			m.repeat(now, e)
		case m.tooLarge(task):
			m.refuse(task, msg.Attempt(), order.TooLarge, "no worker of the group can hold the task")
		case m.hold(now, task, msg.Attempt()):
			held = append(held, task.ID())
		}
	}
	partition := order.PartitionID("")
	if len(msg.Tasks()) > 0 {
		partition = requestPartitionOf(msg.Tasks()[0])
	}
	m.post(partition, order.HeldMsg{}.
		WithPartition(partition).
		WithRequest(msg.Request()).
		WithGroup(m.group).
		WithAttempt(msg.Attempt()).
		WithTasks(held).
		WithHold(gangHold))
}

func (m *machine) hold(now time.Time, task order.Task, attempt order.Attempt) bool {
	team := task.Team()
	if s, over := m.settled[crane.NewRef(task.ID(), attempt)]; over && !s.expired {
		return false
	}
	code, _ := m.refusal(now, task)
	if code != order.Done || !m.ready() || !m.mayAct() {
		return false
	}
	if m.live[team]+m.held[team]+m.unknownTasks() >= m.allowed(team) {
		return false
	}
	size := m.expected(task)
	h := m.choose(now, task, size, nil)
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
