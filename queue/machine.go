// Package queue implements the request queue of a partition. It admits the
// requests that gates submit, bids for worker slots in groups of workers,
// confirms one offer per task, retries lost attempts and keeps outcomes for
// callers.
//
// Machine holds the scheduling logic and does no I/O. Queue runs a Machine with
// a clock, the journal and the network, and is the place to start.
package queue

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// Recorder queues records for the journal without blocking. The outcome of
	// a record is reported to Machine.RecordDone. Cancel returns false if the
	// record may already be in the store.
	Recorder interface {
		Add(logbook.Record) (logbook.Token, error)
		Cancel(logbook.Token) bool
	}

	// Command is a message that the caller of a Machine method has to send.
	Command interface{ command() }

	// SendCmd sends a message to a gate or placer.
	SendCmd struct {
		to  order.MemberID
		msg order.Msg
	}

	// PostCmd sends a message to the owner of a group. The ownership guard is
	// checked before it is sent.
	PostCmd struct {
		group order.GroupID
		msg   order.Msg
	}

	// Machine is the state machine of a request partition. Its methods take the
	// current time, messages and completed records, and return the commands to
	// execute. It is not safe for concurrent use.
	Machine struct {
		partition order.PartitionID
		epoch     order.Epoch
		registry  *gauge.Registry
		recorder  Recorder
		rand      *rand.Rand
		openLimit int
		// teamOpenLimit bounds the open requests of one team. Zero means half
		// of openLimit.
		teamOpenLimit int

		candidates int
		retention  time.Duration

		now      time.Time
		commands []Command
		stopped  bool

		// draining is set by Queue.Drain. A start whose record is written after
		// that is not confirmed.
		draining bool

		jobs map[logbook.Key]*job
		// openCount is the number of requests without an outcome, and
		// openPerTeam their number by team.
		openCount   int
		openPerTeam map[order.TeamName]int
		backlog     *backlog
		timers      timerHeap
		// pendingRecords are the records that RecordDone has not reported yet.
		pendingRecords map[logbook.Token]pendingRecord
		view           view
		config         *sheet.Config
		budget         retryBudget
		// outcomes are the outcomes that the journal does not keep.
		outcomes outcomeCache
		// lastAttempt is the attempt number used last.
		lastAttempt order.Attempt

		recovery      recovery
		deferredCalls []deferredCall
		// holdingGangs are the gangs that hold slots or request them.
		holdingGangs map[logbook.Key]*job
	}

	// MachineOption configures a Machine in NewMachine.
	MachineOption func(*Machine)

	// pendingRecord identifies what a record that is not yet written is for.
	pendingRecord struct {
		job  *job
		kind logbook.Kind
	}

	// deferredCall is a status or cancel call about a request that is not in
	// the table yet. It is handled when the inventory is complete.
	deferredCall struct {
		from order.MemberID
		msg  order.Msg
	}
)

const (
	// defaultOpenLimit bounds the requests without an outcome in a partition.
	defaultOpenLimit = 8192

	// attemptBits is the number of low bits that count attempts within one
	// epoch. The bits above hold the epoch, so that two owners never use the
	// same attempt number.
	attemptBits = 16

	// maxDeferred bounds the deferred calls.
	maxDeferred = 1024
)

// WithOpenLimit sets how many requests without an outcome the partition holds.
// Further ones are refused as queue full.
func WithOpenLimit(limit int) MachineOption { return func(m *Machine) { m.openLimit = limit } }

// WithSeed seeds the random choices of groups and delays, for tests.
func WithSeed(seed uint64) MachineOption {
	return func(m *Machine) { m.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// NewMachine returns the machine of a partition that has a new owner. It
// replays the journal records and then requests an inventory of running tasks
// from all placers. Until the inventory is complete, it starts nothing that a
// former owner may have started.
func NewMachine(now time.Time, partition order.PartitionID, epoch order.Epoch, recorder Recorder, registry *gauge.Registry, records []logbook.Record, opts ...MachineOption) *Machine {
	m := &Machine{
		partition:      partition,
		epoch:          epoch,
		registry:       registry,
		recorder:       recorder,
		rand:           rand.New(rand.NewPCG(rand.Uint64(), uint64(epoch))),
		openLimit:      defaultOpenLimit,
		candidates:     defaultCandidates,
		retention:      logbook.Retention,
		now:            now,
		jobs:           make(map[logbook.Key]*job),
		openPerTeam:    make(map[order.TeamName]int),
		backlog:        newBacklog(),
		pendingRecords: make(map[logbook.Token]pendingRecord),
		holdingGangs:   make(map[logbook.Key]*job),
		view:           newView(),
		budget:         newRetryBudget(now),
		lastAttempt:    order.Attempt(epoch) << attemptBits,
	}
	for _, opt := range opts {
		opt(m)
	}
	m.restore(records)
	return m
}

// To returns the gate or placer that receives the message.
func (c SendCmd) To() order.MemberID { return c.to }

// Msg returns the message to send.
func (c SendCmd) Msg() order.Msg { return c.msg }

// Group returns the group whose owner receives the message.
func (c PostCmd) Group() order.GroupID { return c.group }

// Msg returns the message to send.
func (c PostCmd) Msg() order.Msg { return c.msg }

func (SendCmd) command() {}
func (PostCmd) command() {}

// Stopped reports whether the journal belongs to another owner. A stopped
// machine handles nothing and returns no commands.
func (m *Machine) Stopped() bool { return m.stopped }

// Recovered reports whether the inventory after a change of owner is complete.
func (m *Machine) Recovered() bool { return m.recovery.complete }

// Open returns the number of requests without an outcome.
func (m *Machine) Open() int { return m.openCount }

// Handle processes one message and returns the commands that follow. Unexpected
// messages are counted and dropped.
func (m *Machine) Handle(now time.Time, from order.MemberID, msg order.Msg) []Command {
	m.beginStep(now)
	if m.stopped {
		return nil
	}
	switch msg := msg.(type) {
	case order.SubmitMsg:
		m.handleSubmit(from, msg)
	case order.StatusMsg:
		m.handleStatus(from, msg)
	case order.CancelMsg:
		m.handleCancel(from, msg)
	case order.OfferMsg:
		m.handleOffer(msg)
	case order.BidRefusedMsg:
		m.handleBidRefused(msg)
	case order.StartedMsg:
		m.handleStarted(msg)
	case order.EndedMsg:
		m.handleEnded(msg)
	case order.HoldReplyMsg:
		m.handleHeld(msg)
	case order.NotOwnerMsg:
		m.handleNotOwner(msg)
	case order.InventoryReplyMsg:
		m.handleInventory(msg)
	default:
		m.registry.Count("till.dropped.unexpected")
	}
	return m.finishStep()
}

// Tick runs the timers that are due. Call it at the time that Next returns.
func (m *Machine) Tick(now time.Time) []Command {
	m.beginStep(now)
	if m.stopped {
		return nil
	}
	m.budget.refill(now)
	m.requestInventory()
	m.runTimers()
	return m.finishStep()
}

// Next returns the time of the earliest timer, or the zero time if there is
// none.
func (m *Machine) Next() time.Time {
	next := m.recovery.nextRequestAt
	if m.recovery.complete {
		next = time.Time{}
	}
	if len(m.timers) > 0 && (next.IsZero() || m.timers[0].at.Before(next)) {
		next = m.timers[0].at
	}
	return next
}

// RecordDone reports that a record is in the journal. A non-nil error means
// that it never will be, because another owner writes the journal; the machine
// stops.
func (m *Machine) RecordDone(now time.Time, token logbook.Token, err error) []Command {
	m.beginStep(now)
	r, ok := m.pendingRecords[token]
	delete(m.pendingRecords, token)
	if m.stopped || !ok {
		return nil
	}
	if err != nil {
		// The journal belongs to another owner, which runs the partition now.
		m.registry.Count("till.stopped.journal")
		m.stopped = true
		return nil
	}
	switch r.kind {
	case logbook.Accepted:
		m.acceptRecorded(r.job)
	case logbook.Starting:
		m.startRecorded(r.job)
	case logbook.Ended:
		m.endRecorded(r.job)
	}
	m.scheduleTimers(r.job)
	return m.finishStep()
}

// PostFailed reports that a posted message was not sent. Bids and confirmations
// are sent again after resendDelay.
func (m *Machine) PostFailed(now time.Time, c PostCmd) {
	m.beginStep(now)
	switch msg := c.msg.(type) {
	case order.BidMsg:
		if t := m.task(msg.Task().ID()); t != nil && t.state == taskBidding {
			t.renewAt = now.Add(resendDelay)
			m.scheduleTimers(t.job)
		}
	case order.ConfirmMsg:
		t := m.task(msg.Task())
		if t != nil && t.state == taskConfirmed && t.attempt == msg.Attempt() {
			t.resendAt = now.Add(resendDelay)
			m.scheduleTimers(t.job)
		}
	}
}

func (m *Machine) beginStep(now time.Time) {
	m.now = now
	m.commands = nil
}

// finishStep places queued tasks as far as the bid limits allow and returns the
// commands of the step.
func (m *Machine) finishStep() []Command {
	for t := m.backlog.pop(); t != nil; t = m.backlog.pop() {
		m.place(t)
		m.scheduleTimers(t.job)
	}
	return m.commands
}

func (m *Machine) send(to order.MemberID, msg order.Msg) {
	m.commands = append(m.commands, SendCmd{to: to, msg: msg})
}

func (m *Machine) post(group order.GroupID, msg order.Msg) {
	m.commands = append(m.commands, PostCmd{group: group, msg: msg})
}

func (m *Machine) nextAttempt() order.Attempt {
	m.lastAttempt++
	return m.lastAttempt
}

// task returns the task with the ID, or nil.
func (m *Machine) task(id order.TaskID) *task {
	key, index, ok := splitTaskID(id)
	if !ok {
		return nil
	}
	j := m.jobs[key]
	if j == nil || index >= len(j.tasks) {
		return nil
	}
	return j.tasks[index]
}

// sortedJobs returns all jobs, sorted by the time they were received and then
// by task ID.
func (m *Machine) sortedJobs() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		if !jobs[a].received.Equal(jobs[b].received) {
			return jobs[a].received.Before(jobs[b].received)
		}
		return jobs[a].tasks[0].id < jobs[b].tasks[0].id
	})
	return jobs
}

// splitTaskID splits "team/request/index". The request ID may contain slashes.
func splitTaskID(id order.TaskID) (logbook.Key, int, bool) {
	team, rest, _ := strings.Cut(string(id), "/")
	end := strings.LastIndexByte(rest, '/')
	if end < 0 {
		return logbook.Key{}, 0, false
	}
	index, err := strconv.Atoi(rest[end+1:])
	if err != nil || index < 0 {
		return logbook.Key{}, 0, false
	}
	return logbook.Key{Team: order.TeamName(team), Request: order.RequestID(rest[:end])}, index, true
}

// record adds a record of the given kind to the journal. Only the record of an
// accepted request carries the payload.
func (m *Machine) record(j *job, kind logbook.Kind) error {
	request := j.request
	if kind != logbook.Accepted {
		request = request.WithPayload(nil)
	}
	r := logbook.NewRecord(kind, request, j.checksum, m.now).WithSubmission(j.round)
	if kind == logbook.Ended {
		r = r.WithOutcome(journalOutcome(j.outcome))
	}
	token, err := m.recorder.Add(r)
	if err != nil {
		return err
	}
	j.recordToken = token
	m.pendingRecords[token] = pendingRecord{job: j, kind: kind}
	return nil
}

// cancelRecord cancels the last record of the job. It returns false if the
// record may have been written.
func (m *Machine) cancelRecord(j *job) bool {
	if !m.recorder.Cancel(j.recordToken) {
		return false
	}
	delete(m.pendingRecords, j.recordToken)
	return true
}

func checksum(body []byte) uint64 { return xxhash.Sum64(body) }
