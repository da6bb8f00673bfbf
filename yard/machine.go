// Package yard is the scheduler of one cell: it keeps the jobs, decides which
// task runs on which worker, and follows the runs to their end.
package yard

import (
	"fmt"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tariff"
)

type (
	// Machine is the state of a cell at its owner. It is driven by Step and
	// Settle and returns commands; it neither blocks nor reads a clock.
	Machine struct {
		self     order.MemberID
		epoch    order.Epoch
		limits   Limits
		registry *gauge.Registry
		log      zerolog.Logger

		config    *tariff.Config
		withdrawn map[order.DomainName]bool

		jobs     map[order.JobID]*job
		active   map[order.JobID]*job
		workers  map[order.WorkerID]*worker
		sorted   []*worker
		usage    map[order.TeamName]order.Resources
		hosts    map[order.MemberID]*host
		advices  map[uint64]*advice
		lastCall uint64
		shares   map[order.TeamName]*share

		journal journal
		began   time.Time

		// placeNext is when the next round of placement may be.
		placeNext time.Time
		paused    bool
		out       []Command
	}

	// share is what a team may still submit without exceeding its weight in
	// jobs a second.
	share struct {
		left float64
		at   time.Time
	}

	// Limits are bounds that the platform sets: the longest lease of a worker,
	// how long ended jobs are shown, and how many writes a second its store
	// takes.
	Limits struct {
		maxHold time.Duration
		keep    time.Duration
		writes  float64
	}

	// Command is what the machine wants done.
	Command interface{ command() }

	// StartCmd sends a StartOrder; its result is a StartedMsg.
	StartCmd struct{ order StartOrder }

	// StopCmd sends a StopOrder; its result is a StoppedMsg.
	StopCmd struct{ order StopOrder }

	// HoldCmd sends a HoldOrder; its result is a HeldMsg.
	HoldCmd struct{ order HoldOrder }

	// CommitCmd stores a batch; its result is a CommittedMsg.
	CommitCmd struct {
		flight int
		batch  depot.Batch
	}

	// SendCmd sends a message to another process.
	SendCmd struct {
		to  order.MemberID
		msg order.Msg
	}

	// Msg is an input of the machine.
	Msg interface{ input() }

	// ConfigMsg brings a configuration and the domains taken out of use.
	ConfigMsg struct {
		config    *tariff.Config
		withdrawn []order.DomainName
	}

	// WorkersMsg brings what is known of the workers.
	WorkersMsg struct {
		infos   []WorkerInfo
		removed []order.WorkerID
		whole   bool
	}

	// CallMsg brings a call of a client.
	CallMsg struct {
		from order.MemberID
		call order.JobCallMsg
	}

	// HostMsg tells that an entry host is linked or not.
	HostMsg struct {
		host order.MemberID
		up   bool
	}

	// AdviceMsg brings the answer of an entry host that asked for advice.
	AdviceMsg struct {
		from  order.MemberID
		reply order.AdvisedMsg
	}

	// StartedMsg is the result of a StartCmd.
	StartedMsg struct {
		order StartOrder
		clock int64
		err   error
	}

	// StoppedMsg is the result of a StopCmd.
	StoppedMsg struct {
		order StopOrder
		clock int64
		err   error
	}

	// HeldMsg is the result of a HoldCmd.
	HeldMsg struct {
		order  HoldOrder
		sent   time.Time
		report Report
		err    error
	}

	// CommittedMsg is the result of a CommitCmd.
	CommittedMsg struct {
		flight  int
		version depot.Version
	}

	// PauseMsg stops new starts, or allows them again.
	PauseMsg struct{ paused bool }
)

// defaultKeep is how long an ended job is shown when the platform's settings
// name no time.
const defaultKeep = 120 * time.Second

func (StartCmd) command()  {}
func (StopCmd) command()   {}
func (HoldCmd) command()   {}
func (CommitCmd) command() {}
func (SendCmd) command()   {}

func (ConfigMsg) input()    {}
func (WorkersMsg) input()   {}
func (CallMsg) input()      {}
func (HostMsg) input()      {}
func (AdviceMsg) input()    {}
func (StartedMsg) input()   {}
func (StoppedMsg) input()   {}
func (HeldMsg) input()      {}
func (CommittedMsg) input() {}
func (PauseMsg) input()     {}

// NewLimits returns the longest lease of a worker and how long ended jobs are
// shown.
func NewLimits(maxHold, keep time.Duration) Limits {
	if keep <= 0 {
		keep = defaultKeep
	}
	return Limits{maxHold: maxHold, keep: keep}
}

// WithWrites returns a copy for a store that takes so many writes a second.
func (l Limits) WithWrites(perSecond float64) Limits {
	l.writes = perSecond
	return l
}

// NewConfigMsg returns the input for a configuration.
func NewConfigMsg(config *tariff.Config, withdrawn []order.DomainName) ConfigMsg {
	return ConfigMsg{config: config, withdrawn: withdrawn}
}

// NewWorkersMsg returns the input for a list of workers, which replaces all
// earlier ones if it is whole.
func NewWorkersMsg(infos []WorkerInfo, removed []order.WorkerID, whole bool) WorkersMsg {
	return WorkersMsg{infos: infos, removed: removed, whole: whole}
}

// NewCallMsg returns the input for a client's call.
func NewCallMsg(from order.MemberID, call order.JobCallMsg) CallMsg {
	return CallMsg{from: from, call: call}
}

// NewHostMsg returns the input for a link to an entry host.
func NewHostMsg(host order.MemberID, up bool) HostMsg { return HostMsg{host: host, up: up} }

// NewAdviceMsg returns the input for an answer of an entry host.
func NewAdviceMsg(from order.MemberID, reply order.AdvisedMsg) AdviceMsg {
	return AdviceMsg{from: from, reply: reply}
}

// NewPauseMsg returns the input that stops new starts or allows them.
func NewPauseMsg(paused bool) PauseMsg { return PauseMsg{paused: paused} }

// New returns the machine of a cell that the process owns at the epoch. The
// key and version are those of the ownership record, which every commit
// expects.
func New(self order.MemberID, epoch order.Epoch, record depot.Entry, limits Limits, now time.Time,
	registry *gauge.Registry, log zerolog.Logger) *Machine {
	m := &Machine{
		self: self, epoch: epoch, limits: limits, registry: registry, log: log,
		config:    tariff.NewConfig(0, nil, nil),
		withdrawn: make(map[order.DomainName]bool),
		jobs:      make(map[order.JobID]*job),
		active:    make(map[order.JobID]*job),
		workers:   make(map[order.WorkerID]*worker),
		usage:     make(map[order.TeamName]order.Resources),
		hosts:     map[order.MemberID]*host{self: {}},
		advices:   make(map[uint64]*advice),
		shares:    make(map[order.TeamName]*share),
		began:     now,
	}
	m.journal = newJournal(record)
	return m
}

// Step takes one input.
func (m *Machine) Step(now time.Time, in Msg) {
	switch in := in.(type) {
	case ConfigMsg:
		m.configure(in)
	case WorkersMsg:
		m.see(now, in)
	case CallMsg:
		m.call(now, in.from, in.call)
	case HostMsg:
		m.link(in)
	case AdviceMsg:
		m.advised(now, in.reply)
	case StartedMsg:
		m.startResult(now, in)
	case StoppedMsg:
		m.stopResult(now, in)
	case HeldMsg:
		m.holdResult(now, in)
	case CommittedMsg:
		m.committed(in)
	case PauseMsg:
		m.paused = in.paused
	}
}

// Settle decides on all inputs since the last call and returns the commands.
func (m *Machine) Settle(now time.Time) []Command {
	m.expire(now)
	m.refuseUnsent(now)
	m.place(now)
	m.hold(now)
	m.flush(now)
	m.prune(now)
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) emit(c Command) { m.out = append(m.out, c) }

// configure takes a newer configuration; an older one is dropped.
func (m *Machine) configure(in ConfigMsg) {
	if in.config != nil && in.config.Revision() < m.config.Revision() {
		m.registry.Count("yard.config.older")
		in.config = nil
	}
	if in.config != nil {
		m.config = in.config
	}
	clear(m.withdrawn)
	for _, d := range in.withdrawn {
		m.withdrawn[d] = true
	}
	m.log.Info().Uint64("revision", uint64(m.config.Revision())).Interface("withdrawn", in.withdrawn).
		Msg("yard: configuration in force")
}

// Restore adds the jobs of the journal. It is called before the first Step.
func (m *Machine) Restore(entries []depot.Entry) error {
	for _, e := range entries {
		var r order.JobRecord
		if err := r.UnmarshalCBOR(e.Value()); err != nil {
			return fmt.Errorf("job record %s: %w", e.Key(), err)
		}
		j := restore(r, e.Version())
		m.jobs[j.id] = j
		if !j.state.Ended() {
			m.active[j.id] = j
		}
	}
	return nil
}

// prune forgets jobs that ended longer ago than they have to be shown.
func (m *Machine) prune(now time.Time) {
	if now.Sub(m.journal.pruned) < pruneInterval {
		return
	}
	m.journal.pruned = now
	for id, j := range m.jobs {
		if j.durable.Ended() && !j.flying && !j.dirty && now.Sub(j.ended) > m.limits.keep+pruneInterval {
			m.journal.gone = append(m.journal.gone, depot.NewEntry(jobKey(id), nil, j.version))
			delete(m.jobs, id)
		}
	}
}

// addWorker adds a worker.
func (m *Machine) addWorker(w *worker) {
	m.workers[w.id] = w
	m.sorted = nil
}

// removeWorker forgets a worker.
func (m *Machine) removeWorker(w *worker) {
	delete(m.workers, w.id)
	m.sorted = nil
}

// sortedWorkers returns the workers in order of ID, so that runs repeat. The
// list must not be changed; removing a worker leaves it valid.
func (m *Machine) sortedWorkers() []*worker {
	if m.sorted == nil {
		m.sorted = make([]*worker, 0, len(m.workers))
		for _, w := range m.workers {
			m.sorted = append(m.sorted, w)
		}
		sort.Slice(m.sorted, func(i, j int) bool { return m.sorted[i].id < m.sorted[j].id })
	}
	return m.sorted
}

// shown returns the state of a job that clients may see: an end only once it
// is in the store.
func (j *job) shown() order.JobState {
	if j.durable.Ended() {
		return j.durable
	}
	if j.started {
		return order.JobRunning
	}
	return order.JobPending
}
