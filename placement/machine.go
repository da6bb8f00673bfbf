package placement

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/roster"
)

// machine is the state machine of a worker group. step takes the current time
// and one event and returns the commands that Group has to execute. It does no
// I/O and reads no clock. It is not safe for concurrent use.
type machine struct {
	group      order.GroupID
	epoch      order.Epoch
	deps       Deps
	takeoverAt time.Time

	// hosts is sorted by worker ID.
	hosts           []*host
	byID            map[order.WorkerID]*host
	nextHostRefresh time.Time

	entries map[order.TaskID]*entry
	bids    *bidQueue

	// Per team: active counts the starting and running tasks, held the
	// offered ones. load sums the dominant shares of both.
	active   map[order.TeamName]int
	held     map[order.TeamName]int
	load     map[order.TeamName]float64
	capacity amount

	allotments        map[order.TeamName]allotment
	allotmentsRead    bool
	readingAllotments bool
	nextAllotRead     time.Time
	lastAllotRead     time.Time
	nextExcessCheck   time.Time
	nextBidCheck      time.Time

	// reservedHost is kept free for the waiting task reservedFor, so that
	// smaller tasks do not starve it.
	reservedHost *host
	reservedFor  order.TaskID

	tombstones map[dispatch.AttemptRef]tombstone
	estimates  map[workloadKey]*usageEstimate
	histories  map[workloadKey]*outcomeHistory
	commands   []command
	scratch    []*entry
}

const defaultBidLimit = 4096

func newMachine(group order.GroupID, epoch order.Epoch, deps Deps, now time.Time) *machine {
	return &machine{
		group:      group,
		epoch:      epoch,
		deps:       deps,
		takeoverAt: now,
		byID:       make(map[order.WorkerID]*host),
		entries:    make(map[order.TaskID]*entry),
		bids:       newBidQueue(),
		active:     make(map[order.TeamName]int),
		held:       make(map[order.TeamName]int),
		load:       make(map[order.TeamName]float64),
		allotments: make(map[order.TeamName]allotment),
		tombstones: make(map[dispatch.AttemptRef]tombstone),
		estimates:  make(map[workloadKey]*usageEstimate),
		histories:  make(map[workloadKey]*outcomeHistory),
	}
}

// step handles one event and returns the commands that result from it. The
// returned slice is valid until the next call.
func (m *machine) step(now time.Time, ev event) []command {
	clear(m.commands)
	m.commands = m.commands[:0]
	switch ev := ev.(type) {
	case messageEvent:
		m.onMessage(now, ev.message)
	case tickEvent:
		m.onTick(now)
	case startResult:
		m.onStartResult(now, ev)
	case listResult:
		m.onListResult(now, ev)
	case renewResult:
		m.onRenewResult(now, ev)
	case pollResult:
		m.onPollResult(now, ev)
	case ackResult:
		m.onAckResult(ev)
	case usageResult:
		m.onUsageResult(now, ev)
	case allotmentsResult:
		m.onAllotmentsResult(now, ev)
	}
	m.place(now)
	return m.commands
}

// sortedEntries returns the entries sorted by task ID, so that equal inputs
// produce equal commands. The result is valid until the next call.
func (m *machine) sortedEntries(entries map[order.TaskID]*entry) []*entry {
	m.scratch = m.scratch[:0]
	for _, e := range entries {
		m.scratch = append(m.scratch, e)
	}
	slices.SortFunc(m.scratch, func(a, b *entry) int { return cmp.Compare(a.task.ID(), b.task.ID()) })
	return m.scratch
}

func (m *machine) emit(c command) { m.commands = append(m.commands, c) }

// post sends a message unless the ownership of the group has expired. The next
// owner may already have acknowledged outcomes to the workers, so what this
// owner infers from a worker's task list may be wrong. If the ownership is
// renewed, the outcomes are posted again.
func (m *machine) post(partition order.PartitionID, msg order.Msg) {
	if m.deps.guard.Remaining() <= 0 {
		m.deps.registry.Count("berth.post_suppressed")
		return
	}
	m.emit(postCommand{partition: partition, message: msg})
}

// stop stops an attempt on its worker. After the ownership has expired it does
// nothing, because the next owner may have started the attempt.
func (m *machine) stop(worker order.WorkerID, ref dispatch.AttemptRef, checkpoint bool) {
	if m.deps.guard.Remaining() > 0 {
		m.emit(stopCommand{worker: worker, ref: ref, checkpoint: checkpoint})
	}
}

func (m *machine) onMessage(now time.Time, msg order.Msg) {
	switch msg := msg.(type) {
	case order.BidMsg:
		m.onBid(now, msg)
	case order.WithdrawMsg:
		m.onRelease(now, dispatch.NewAttemptRef(msg.Task(), msg.Attempt()))
	case order.DeclineMsg:
		m.onRelease(now, dispatch.NewAttemptRef(msg.Task(), msg.Attempt()))
	case order.ConfirmMsg:
		m.onConfirm(now, dispatch.NewAttemptRef(msg.Task(), msg.Attempt()))
	case order.StopMsg:
		m.onStop(now, dispatch.NewAttemptRef(msg.Task(), msg.Attempt()))
	case order.EndedAckMsg:
		m.onEndedAck(now, dispatch.NewAttemptRef(msg.Task(), msg.Attempt()))
	case order.AllotMsg:
		m.onAllot(msg)
	case order.HoldMsg:
		m.onHold(now, msg)
	default:
		m.deps.registry.Count("berth.unexpected_message")
	}
}

func (m *machine) onTick(now time.Time) {
	if !now.Before(m.nextHostRefresh) {
		m.nextHostRefresh = now.Add(hostRefreshPeriod)
		m.refreshHosts(now)
	}
	if !m.readingAllotments && !now.Before(m.nextAllotRead) {
		m.readingAllotments = true
		m.emit(readAllotmentsCommand{})
	}
	for _, h := range m.hosts {
		m.tickHost(now, h)
	}
	m.tickEntries(now)
	m.tickBids(now)
	m.checkpointExcess(now)
	for ref, t := range m.tombstones {
		if now.After(t.expiresAt) {
			delete(m.tombstones, ref)
		}
	}
}

// refreshHosts updates the workers from the host list. A worker that is no
// longer listed gets no new tasks and is removed once its tasks have ended or
// are reported lost.
func (m *machine) refreshHosts(now time.Time) {
	listed := make(map[order.WorkerID]bool)
	for _, w := range m.deps.workers() {
		if w.Group() != m.group {
			continue
		}
		listed[w.ID()] = true
		m.refreshHost(now, w)
	}
	m.hosts = slices.DeleteFunc(m.hosts, func(h *host) bool {
		h.listed = listed[h.id()]
		if h.listed || len(h.tasks) > 0 || h.unknownTasks() > 0 && now.Before(m.leasesExpireAt()) {
			return false
		}
		delete(m.byID, h.id())
		m.emit(closeClientCommand{worker: h.id()})
		return true
	})
	m.capacity = amount{}
	for _, h := range m.hosts {
		if h.listed {
			m.capacity = m.capacity.plus(h.size)
		}
	}
}

func (m *machine) refreshHost(now time.Time, w roster.Worker) {
	if h, ok := m.byID[w.ID()]; ok {
		h.worker = w
		h.size = newAmount(w.Size())
		return
	}
	h := newHost(w, now)
	m.byID[w.ID()] = h
	m.hosts = append(m.hosts, h)
	slices.SortFunc(m.hosts, func(a, b *host) int { return cmp.Compare(a.id(), b.id()) })
}

// leasesExpireAt returns when every lease granted by an earlier owner has
// expired.
func (m *machine) leasesExpireAt() time.Time { return m.takeoverAt.Add(taskLease + leaseMargin) }

// unknownTasks returns the maximum number of tasks that earlier owners started
// and that may run on workers whose task list has not been read.
func (m *machine) unknownTasks() int {
	n := 0
	for _, h := range m.hosts {
		n += h.unknownTasks()
	}
	return n
}

// adopted reports whether every task that an earlier owner started is either
// known or has an expired lease.
func (m *machine) adopted() bool {
	return len(m.hosts) > 0 && m.unknownTasks() == 0
}

func (m *machine) tickHost(now time.Time, h *host) {
	if h.state == hostUnread && !now.Before(m.leasesExpireAt()) {
		h.state = hostExpired
	}
	if !h.listInFlight && !now.Before(h.nextList) && (h.state != hostReady || m.needsList(now, h)) {
		h.listInFlight = true
		h.nextList = now.Add(listRetry)
		m.emit(listCommand{worker: h.id()})
	}
	if h.state != hostReady {
		return
	}
	if !h.renewInFlight && !now.Before(h.nextRenew) && m.deps.guard.Remaining() > minGuardTime {
		m.renew(now, h)
	}
	if !h.pollInFlight && !now.Before(h.nextPoll) {
		h.pollInFlight = true
		m.emit(pollCommand{worker: h.id(), after: h.lastEvent})
	}
	if !h.usageInFlight && !now.Before(h.nextUsage) {
		h.usageInFlight = true
		h.nextUsage = now.Add(usagePeriod)
		m.emit(usageCommand{worker: h.id()})
	}
	if !h.ackInFlight && len(h.pendingAcks) > 0 && m.deps.guard.Remaining() > 0 {
		h.ackInFlight = true
		m.emit(ackCommand{worker: h.id(), refs: h.pendingAcks})
		h.pendingAcks = nil
	}
}

// needsList reports whether a start without an answer has an expired lease, so
// that the worker's task list must be read to find out whether the task ran.
func (m *machine) needsList(now time.Time, h *host) bool {
	for _, e := range h.tasks {
		if e.state == order.TaskStarting && e.uncertain && e.inFlight == 0 && !now.Before(e.leaseEnd()) {
			return true
		}
	}
	return false
}

// renew extends the leases of the running tasks. It also runs without tasks,
// because the answer carries the worker's clock reading from which the lease of
// the next start counts.
func (m *machine) renew(now time.Time, h *host) {
	h.renewInFlight = true
	h.nextRenew = now.Add(renewPeriod)
	var refs []dispatch.AttemptRef
	for _, e := range h.tasks {
		if e.state == order.TaskRunning {
			e.leaseBase = h.stampAt
			refs = append(refs, e.ref())
		}
	}
	slices.SortFunc(refs, func(a, b dispatch.AttemptRef) int { return cmp.Compare(a.Task(), b.Task()) })
	m.emit(renewCommand{worker: h.id(), stamp: h.stamp, refs: refs})
}

func (m *machine) onRenewResult(now time.Time, r renewResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.renewInFlight = false
	if r.err != nil {
		m.markUnreachable(now, h)
		return
	}
	if !m.checkIncarnation(now, h, r.renewal.Stamp()) {
		return
	}
	if len(r.renewal.Unknown()) > 0 {
		m.requestList(now, h)
	}
}

func (m *machine) onPollResult(now time.Time, r pollResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.pollInFlight = false
	if r.err != nil {
		h.nextPoll = now.Add(pollRetry)
		m.requestList(now, h)
		return
	}
	if !m.checkIncarnation(now, h, r.events.Stamp()) {
		return
	}
	h.lastEvent = max(h.lastEvent, r.events.Next())
	for _, ended := range r.events.Outcomes() {
		m.onOutcome(now, h, ended)
	}
	if h.state == hostReady {
		h.pollInFlight = true
		m.emit(pollCommand{worker: h.id(), after: h.lastEvent})
	}
}

func (m *machine) onAckResult(r ackResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.ackInFlight = false
	if r.err != nil {
		h.pendingAcks = append(h.pendingAcks, r.refs...)
	}
}

func (m *machine) onUsageResult(now time.Time, r usageResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.usageInFlight = false
	if r.err != nil {
		return
	}
	for _, use := range r.uses {
		e, ok := h.tasks[use.Ref().Task()]
		if !ok || e.attempt != use.Ref().Attempt() {
			m.handleStrayTask(now, h, use.Ref())
			continue
		}
		e.reportedUse = newAmount(use.Used())
		m.recordUsage(e.task, e.reportedUse)
	}
	h.recalculate()
	h.nextUsage = now.Add(usagePeriod)
}

// handleStrayTask handles an attempt in a usage report that has no entry here.
// A former owner started it after the task list was read, which is possible
// only on a worker without fencing. The list is read again, which adopts the
// task.
func (m *machine) handleStrayTask(now time.Time, h *host, ref dispatch.AttemptRef) {
	if _, found := m.tombstones[ref]; !found {
		m.deps.registry.Count("berth.stray_task")
		m.requestList(now, h)
	}
}

// checkIncarnation records the clock reading of an answer and reports whether
// the worker still runs under the same incarnation. A new incarnation means
// that the worker restarted and lost its tasks; its task list is then read
// again.
func (m *machine) checkIncarnation(now time.Time, h *host, stamp dispatch.Stamp) bool {
	if stamp.Incarnation() == h.stamp.Incarnation() {
		h.recordStamp(stamp, now)
		return true
	}
	m.markUnreachable(now, h)
	return false
}

// markUnreachable stops new work for a worker until its task list has been read
// again.
func (m *machine) markUnreachable(now time.Time, h *host) {
	if h.state == hostReady {
		h.state = hostUnreachable
		h.nextList = now
	}
}

func (m *machine) requestList(now time.Time, h *host) {
	if !h.listInFlight {
		h.listInFlight = true
		h.nextList = now.Add(listRetry)
		m.emit(listCommand{worker: h.id()})
	}
}
