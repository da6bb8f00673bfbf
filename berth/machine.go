package berth

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
	"chervilhollow/roster"
)

// machine is the decision code of a group: a state machine that takes the
// time and an event and returns the commands to execute.
type machine struct {
	group order.GroupID
	epoch order.Epoch
	deps  Deps
	began time.Time

	hosts   []*host
	byID    map[order.WorkerID]*host
	hostsAt time.Time

	entries  map[order.TaskID]*entry
	bids     *queue
	live     map[order.TeamName]int
	held     map[order.TeamName]int
	load     map[order.TeamName]float64
	capacity amount

	allotments        map[order.TeamName]allotment
	allotmentsRead    bool
	readingAllotments bool
	allotAt           time.Time
	allotReadAt       time.Time
	excessAt          time.Time
	bidsAt            time.Time

	// saved is a worker that is kept free for a large task.
	saved    *host
	savedFor order.TaskID

	settled  map[crane.Ref]settled
	learned  map[learnKey]*learnedUse
	records  map[learnKey]*record
	commands []command
	scratch  []*entry
}

const defaultBidLimit = 4096

func newMachine(group order.GroupID, epoch order.Epoch, deps Deps, now time.Time) *machine {
	return &machine{
		group:      group,
		epoch:      epoch,
		deps:       deps,
		began:      now,
		byID:       make(map[order.WorkerID]*host),
		entries:    make(map[order.TaskID]*entry),
		bids:       newQueue(),
		live:       make(map[order.TeamName]int),
		held:       make(map[order.TeamName]int),
		load:       make(map[order.TeamName]float64),
		allotments: make(map[order.TeamName]allotment),
		settled:    make(map[crane.Ref]settled),
		learned:    make(map[learnKey]*learnedUse),
		records:    make(map[learnKey]*record),
	}
}

// Step handles one event and returns the commands that follow from it. The
// result is valid until the next call.
func (m *machine) step(now time.Time, ev event) []command {
	clear(m.commands)
	m.commands = m.commands[:0]
	switch ev := ev.(type) {
	case messageEvent:
		m.onMessage(now, ev.message)
	case tickEvent:
		m.onTick(now)
	case startResult:
		m.onStart(now, ev)
	case listResult:
		m.onList(now, ev)
	case renewResult:
		m.onRenew(now, ev)
	case pollResult:
		m.onPoll(now, ev)
	case ackResult:
		m.onAck(ev)
	case usageResult:
		m.onUsage(now, ev)
	case allotmentsResult:
		m.onAllotments(now, ev)
	}
	m.place(now)
	return m.commands
}

// Returns the entries in order of task, so that equal inputs give equal
// commands. The result is valid until the next call.
func (m *machine) inOrder(entries map[order.TaskID]*entry) []*entry {
	m.scratch = m.scratch[:0]
	for _, e := range entries {
		m.scratch = append(m.scratch, e)
	}
	slices.SortFunc(m.scratch, func(a, b *entry) int { return cmp.Compare(a.task.ID(), b.task.ID()) })
	return m.scratch
}

func (m *machine) emit(c command) { m.commands = append(m.commands, c) }

// Posts a message unless the ownership has ended. A successor may have taken
// over by then and acknowledged outcomes, so what this owner concludes from a
// worker's list may be wrong. Outcomes are posted again if the ownership
// continues.
func (m *machine) post(partition order.PartitionID, msg order.Msg) {
	if m.deps.guard.Remaining() <= 0 {
		m.deps.registry.Count("berth.post_suppressed")
		return
	}
	m.emit(postCommand{partition: partition, message: msg})
}

// Stops an attempt on its worker. A former owner stops nothing: the attempt
// may be its successor's.
func (m *machine) stop(worker order.WorkerID, ref crane.Ref, checkpoint bool) {
	if m.deps.guard.Remaining() > 0 {
		m.emit(stopCommand{worker: worker, ref: ref, checkpoint: checkpoint})
	}
}

func (m *machine) onMessage(now time.Time, msg order.Msg) {
	switch msg := msg.(type) {
	case order.BidMsg:
		m.onBid(now, msg)
	case order.WithdrawMsg:
		m.onRelease(crane.NewRef(msg.Task(), msg.Attempt()))
	case order.DeclineMsg:
		m.onRelease(crane.NewRef(msg.Task(), msg.Attempt()))
	case order.ConfirmMsg:
		m.onConfirm(now, crane.NewRef(msg.Task(), msg.Attempt()))
	case order.StopMsg:
		m.onStop(now, crane.NewRef(msg.Task(), msg.Attempt()))
	case order.EndedAckMsg:
		m.onEndedAck(now, crane.NewRef(msg.Task(), msg.Attempt()))
	case order.AllotMsg:
		m.onAllot(msg)
	case order.HoldMsg:
		m.onHold(now, msg)
	default:
		m.deps.registry.Count("berth.unexpected_message")
	}
}

func (m *machine) onTick(now time.Time) {
	if !now.Before(m.hostsAt) {
		m.hostsAt = now.Add(hostPeriod)
		m.refreshHosts(now)
	}
	if !m.readingAllotments && !now.Before(m.allotAt) {
		m.readingAllotments = true
		m.emit(readAllotmentsCommand{})
	}
	for _, h := range m.hosts {
		m.tickHost(now, h)
	}
	m.tickEntries(now)
	m.tickBids(now)
	m.checkpointExcess(now)
	for ref, s := range m.settled {
		if now.After(s.until) {
			delete(m.settled, ref)
		}
	}
}

// Takes over the host list. A worker that it no longer shows keeps its tasks
// until they end or are lost, and gets no new ones.
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
		if h.listed || len(h.tasks) > 0 || h.unknown() > 0 && now.Before(m.lapse()) {
			return false
		}
		delete(m.byID, h.id())
		m.emit(dropCommand{worker: h.id()})
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

// Returns when all leases that an earlier owner may have given are over.
func (m *machine) lapse() time.Time { return m.began.Add(taskLease + leaseMargin) }

// Returns how many unknown tasks of earlier owners may run in the group.
func (m *machine) unknownTasks() int {
	n := 0
	for _, h := range m.hosts {
		n += h.unknown()
	}
	return n
}

// Reports whether all tasks of earlier owners are known or over.
func (m *machine) adopted() bool {
	return len(m.hosts) > 0 && m.unknownTasks() == 0
}

func (m *machine) tickHost(now time.Time, h *host) {
	if h.state == hostUnread && !now.Before(m.lapse()) {
		h.state = hostLapsed
	}
	if !h.listing && !now.Before(h.listAt) && (h.state != hostReady || m.wantsList(now, h)) {
		h.listing = true
		h.listAt = now.Add(listRetry)
		m.emit(listCommand{worker: h.id()})
	}
	if h.state != hostReady {
		return
	}
	if !h.renewing && !now.Before(h.renewAt) && m.deps.guard.Remaining() > writeThreshold {
		m.renew(now, h)
	}
	if !h.polling && !now.Before(h.pollAt) {
		h.polling = true
		m.emit(pollCommand{worker: h.id(), after: h.after})
	}
	if !h.usaging && !now.Before(h.usageAt) {
		h.usaging = true
		h.usageAt = now.Add(usagePeriod)
		m.emit(usageCommand{worker: h.id()})
	}
	if !h.acking && len(h.acks) > 0 && m.deps.guard.Remaining() > 0 {
		h.acking = true
		m.emit(ackCommand{worker: h.id(), refs: h.acks})
		h.acks = nil
	}
}

// Reports whether the fate of an unconfirmed start is to be read from the
// worker's list.
func (m *machine) wantsList(now time.Time, h *host) bool {
	for _, e := range h.tasks {
		if e.state == order.TaskStarting && e.uncertain && e.inFlight == 0 && !now.Before(e.leaseEnd()) {
			return true
		}
	}
	return false
}

// A renewal is sent without tasks as well: it brings the clock reading that
// the lease of the next start counts from.
func (m *machine) renew(now time.Time, h *host) {
	h.renewing = true
	h.renewAt = now.Add(renewPeriod)
	var refs []crane.Ref
	for _, e := range h.tasks {
		if e.state == order.TaskRunning {
			e.leaseBase = h.stampAt
			refs = append(refs, e.ref())
		}
	}
	slices.SortFunc(refs, func(a, b crane.Ref) int { return cmp.Compare(a.Task(), b.Task()) })
	m.emit(renewCommand{worker: h.id(), stamp: h.stamp, refs: refs})
}

func (m *machine) onRenew(now time.Time, r renewResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.renewing = false
	if r.err != nil {
		m.silent(now, h)
		return
	}
	if !m.sameRun(now, h, r.renewal.Stamp()) {
		return
	}
	if len(r.renewal.Unknown()) > 0 {
		m.relist(now, h)
	}
}

func (m *machine) onPoll(now time.Time, r pollResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.polling = false
	if r.err != nil {
		h.pollAt = now.Add(pollRetry)
		m.relist(now, h)
		return
	}
	if !m.sameRun(now, h, r.events.Stamp()) {
		return
	}
	h.after = max(h.after, r.events.Next())
	for _, ended := range r.events.Outcomes() {
		m.onOutcome(now, h, ended)
	}
	if h.state == hostReady {
		h.polling = true
		m.emit(pollCommand{worker: h.id(), after: h.after})
	}
}

func (m *machine) onAck(r ackResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.acking = false
	if r.err != nil {
		h.acks = append(h.acks, r.refs...)
	}
}

func (m *machine) onUsage(now time.Time, r usageResult) {
	h, ok := m.byID[r.worker]
	if !ok {
		return
	}
	h.usaging = false
	if r.err != nil {
		return
	}
	for _, use := range r.uses {
		e, ok := h.tasks[use.Ref().Task()]
		if !ok || e.attempt != use.Ref().Attempt() {
			m.noteStray(now, h, use.Ref())
			continue
		}
		e.seen = newAmount(use.Used())
		m.observeUse(e.task, e.seen)
	}
	h.recount()
	h.usageAt = now.Add(usagePeriod)
}

// A task that the group does not know was started by a former owner after the
// list was read, which only a worker without fence support allows. The list
// is read again to adopt it.
func (m *machine) noteStray(now time.Time, h *host, ref crane.Ref) {
	if _, over := m.settled[ref]; !over {
		m.deps.registry.Count("berth.stray_task")
		m.relist(now, h)
	}
}

// Notes the clock reading of an answer. A reading of another run of the
// worker means that its tasks are gone; its list is then read again.
func (m *machine) sameRun(now time.Time, h *host, stamp crane.Stamp) bool {
	if stamp.Incarnation() == h.stamp.Incarnation() {
		h.sawStamp(stamp, now)
		return true
	}
	m.silent(now, h)
	return false
}

func (m *machine) silent(now time.Time, h *host) {
	if h.state == hostReady {
		h.state = hostSilent
		h.listAt = now
	}
}

func (m *machine) relist(now time.Time, h *host) {
	if !h.listing {
		h.listing = true
		h.listAt = now.Add(listRetry)
		m.emit(listCommand{worker: h.id()})
	}
}
