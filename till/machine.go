// Package till is the request queue: a request partition, which takes requests
// from gates, finds room for their tasks in worker groups, and keeps outcomes.
package till

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
	// Recorder takes records for the journal without blocking. *logbook.Log
	// implements it.
	Recorder interface {
		Add(logbook.Record) (logbook.Token, error)
		Cancel(logbook.Token) bool
	}

	// Command is something that the machine wants to be done.
	Command interface{ command() }

	// SendCmd sends a message to a process.
	SendCmd struct {
		to  order.MemberID
		msg order.Msg
	}

	// PostCmd sends a message to the owner of a group. A confirmation is posted
	// only while the guard allows it.
	PostCmd struct {
		group order.GroupID
		msg   order.Msg
	}

	// Machine is the state machine of a request partition. Time, messages and
	// completions are passed in; commands are returned. It is not safe for
	// concurrent use.
	Machine struct {
		partition order.PartitionID
		epoch     order.Epoch
		registry  *gauge.Registry
		recorder  Recorder
		rand      *rand.Rand
		limit     int
		teamLimit int

		candidates int
		retention  time.Duration

		now      time.Time
		commands []Command
		stopped  bool

		// draining tells that the partition moves; nothing may start.
		draining bool

		jobs    map[logbook.Key]*job
		open    int
		perTeam map[order.TeamName]int
		backlog *backlog
		alarms  alarms
		records map[logbook.Token]recorded
		view    view
		config  *sheet.Config
		budget  budget
		kept    keptBodies
		last    order.Attempt

		recovery recovery
		deferred []deferredCall
		holding  map[logbook.Key]*job
	}

	// MachineOption changes a Machine when it is made.
	MachineOption func(*Machine)

	// recorded is what a pending record was for.
	recorded struct {
		job  *job
		kind logbook.Kind
	}

	// deferredCall is a call about a request that is not known yet.
	deferredCall struct {
		from order.MemberID
		msg  order.Msg
	}
)

const (
	// defaultLimit bounds the open requests of a partition.
	defaultLimit = 8192

	// attemptBits is the number of low bits that count attempts within one
	// epoch. The epoch above them keeps the attempts of two owners apart.
	attemptBits = 16

	maxDeferred = 1024
)

// WithLimit sets how many requests may be open.
func WithLimit(limit int) MachineOption { return func(m *Machine) { m.limit = limit } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) MachineOption {
	return func(m *Machine) { m.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// NewMachine returns the machine of a partition whose owner has just changed:
// it starts with the records of the journal and needs an inventory.
func NewMachine(now time.Time, partition order.PartitionID, epoch order.Epoch, recorder Recorder, registry *gauge.Registry, records []logbook.Record, opts ...MachineOption) *Machine {
	m := &Machine{
		partition:  partition,
		epoch:      epoch,
		registry:   registry,
		recorder:   recorder,
		rand:       rand.New(rand.NewPCG(rand.Uint64(), uint64(epoch))),
		limit:      defaultLimit,
		candidates: defaultCandidates,
		retention:  logbook.Retention,
		now:        now,
		jobs:       make(map[logbook.Key]*job),
		perTeam:    make(map[order.TeamName]int),
		backlog:    newBacklog(),
		records:    make(map[logbook.Token]recorded),
		holding:    make(map[logbook.Key]*job),
		view:       newView(),
		budget:     newBudget(now),
		last:       order.Attempt(epoch) << attemptBits,
	}
	for _, opt := range opts {
		opt(m)
	}
	m.restore(records)
	return m
}

// To returns the process that the message goes to.
func (c SendCmd) To() order.MemberID { return c.to }

// Msg returns the message.
func (c SendCmd) Msg() order.Msg { return c.msg }

// Group returns the group that the message goes to.
func (c PostCmd) Group() order.GroupID { return c.group }

// Msg returns the message.
func (c PostCmd) Msg() order.Msg { return c.msg }

func (SendCmd) command() {}
func (PostCmd) command() {}

// Stopped reports whether the machine found that another owner acts.
func (m *Machine) Stopped() bool { return m.stopped }

// Recovered reports whether the inventory is complete.
func (m *Machine) Recovered() bool { return m.recovery.complete }

// Open returns the number of requests without an outcome.
func (m *Machine) Open() int { return m.open }

// Handle takes one message.
func (m *Machine) Handle(now time.Time, from order.MemberID, msg order.Msg) []Command {
	m.begin(now)
	if m.stopped {
		return nil
	}
	switch msg := msg.(type) {
	case order.SubmitMsg:
		m.submit(from, msg)
	case order.StatusMsg:
		m.status(from, msg)
	case order.CancelMsg:
		m.cancel(from, msg)
	case order.OfferMsg:
		m.offered(msg)
	case order.BidRefusedMsg:
		m.bidRefused(msg)
	case order.StartedMsg:
		m.started(msg)
	case order.EndedMsg:
		m.endedMsg(msg)
	case order.HeldMsg:
		m.held(msg)
	case order.NotOwnerMsg:
		m.notOwner(msg)
	case order.InventoryReplyMsg:
		m.inventory(msg)
	default:
		m.registry.Count("till.dropped.unexpected")
	}
	return m.finishStep()
}

// Tick does what has become due.
func (m *Machine) Tick(now time.Time) []Command {
	m.begin(now)
	if m.stopped {
		return nil
	}
	m.budget.refill(now)
	m.askInventory()
	m.fire()
	return m.finishStep()
}

// Next returns when Tick has something to do, the zero time if never.
func (m *Machine) Next() time.Time {
	next := m.recovery.askAt
	if m.recovery.complete {
		next = time.Time{}
	}
	if len(m.alarms) > 0 && (next.IsZero() || m.alarms[0].at.Before(next)) {
		next = m.alarms[0].at
	}
	return next
}

// Recorded tells that a record is in the journal, or why it never will be.
func (m *Machine) Recorded(now time.Time, token logbook.Token, err error) []Command {
	m.begin(now)
	r, ok := m.records[token]
	delete(m.records, token)
	if m.stopped || !ok {
		return nil
	}
	if err != nil {
		// The journal belongs to another owner, which acts from now on.
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
	m.settle(r.job)
	return m.finishStep()
}

// Failed tells that a posted message was certainly not sent.
func (m *Machine) Failed(now time.Time, c PostCmd) {
	m.begin(now)
	switch msg := c.msg.(type) {
	case order.BidMsg:
		if t := m.task(msg.Task().ID()); t != nil && t.state == taskBidding {
			t.checkAt = now.Add(resendSoon)
			m.settle(t.job)
		}
	case order.ConfirmMsg:
		t := m.task(msg.Task())
		if t != nil && t.state == taskConfirmed && t.attempt == msg.Attempt() {
			t.resendAt = now.Add(resendSoon)
			m.settle(t.job)
		}
	}
}

func (m *Machine) begin(now time.Time) {
	m.now = now
	m.commands = nil
}

func (m *Machine) finishStep() []Command {
	for t := m.backlog.pop(); t != nil; t = m.backlog.pop() {
		m.place(t)
		m.settle(t.job)
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
	m.last++
	return m.last
}

// task returns the task with the identifier, or nil.
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

// sortedJobs returns all jobs in order of arrival.
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

// record journals a fact about the job.
func (m *Machine) record(j *job, kind logbook.Kind) error {
	request := j.request
	if kind != logbook.Accepted {
		request = request.WithPayload(nil)
	}
	r := logbook.NewRecord(kind, request, j.checksum, m.now).WithRound(j.round)
	if kind == logbook.Ended {
		r = r.WithOutcome(keepable(j.outcome))
	}
	token, err := m.recorder.Add(r)
	if err != nil {
		return err
	}
	j.token = token
	m.records[token] = recorded{job: j, kind: kind}
	return nil
}

// cancelRecord takes the last record of the job back, if it certainly was not
// written.
func (m *Machine) cancelRecord(j *job) bool {
	if !m.recorder.Cancel(j.token) {
		return false
	}
	delete(m.records, j.token)
	return true
}

func checksum(body []byte) uint64 { return xxhash.Sum64(body) }
