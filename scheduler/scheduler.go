// Package scheduler schedules the jobs of one cell: it accepts them, places
// their tasks on workers, and follows each run to its end. Scheduler makes the
// decisions without I/O: inputs lead to commands, which Runner executes. Start
// with Scheduler's Handle and Decide, then read place.go.
package scheduler

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

type (
	// Scheduler is the state of a cell at its owner. Handle applies one input
	// and Decide returns the commands that follow. It does not block, reads no
	// clock, and is not safe for concurrent use.
	Scheduler struct {
		self     order.MemberID
		epoch    order.Epoch
		limits   Limits
		registry *gauge.Registry
		log      zerolog.Logger

		config    *policy.Config
		withdrawn map[order.DomainName]bool

		// jobs are all jobs that clients may query, and active those that have
		// not ended. unreadable are those whose record could not be read.
		jobs           map[order.JobID]*job
		active         map[order.JobID]*job
		unreadable     map[order.JobID]bool
		workers        map[order.WorkerID]*worker
		sorted         []*worker
		usage          map[order.TeamName]order.Resources
		unconfirmed    map[order.TeamName]order.Resources
		unconfirmedAt  time.Time
		hosts          map[order.MemberID]*host
		adviceRequests map[uint64]*adviceRequest

		// lastAdviceCall is the number of the last advice request. It begins
		// with the epoch, so that a late reply to a request of an earlier epoch
		// of this process matches none of this one.
		lastAdviceCall uint64
		grantShares    map[order.QueueName]*grantShare
		adviceOffset   int
		shareBuckets   map[order.TeamName]*tokenBucket

		journal   journal
		refusals  refusals
		startedAt time.Time

		// formerLease is the longest time that a lease of an earlier owner can
		// last from startedAt on.
		formerLease time.Duration

		// unlistedLeaseEnd is when the leases of workers that the stored list
		// may lack have expired. It is zero if the list was read.
		unlistedLeaseEnd time.Time

		// confirmedAt is the latest time at which no other process had owned
		// the cell since this one claimed it, and confirmedSuspended how long
		// the machine had been suspended then. suspended is the present value.
		// superseded reports whether another process owns the cell now.
		// steadySince is the end of the last gap between confirmations.
		confirmedAt        time.Time
		steadySince        time.Time
		confirmedSuspended time.Duration
		suspended          time.Duration
		superseded         bool

		// endedRuns are ended runs whose tasks wait for a confirmation, and
		// unknownCalls the calls that wait for one, both in the order of time.
		endedRuns    []endedRun
		unknownCalls []unknownCall

		// headroom is the free capacity in the present round of placement.
		headroom headroom

		// firstContacts counts the open polls that are the first of the epoch.
		firstContacts int

		// nextPlacement is the earliest time of the next round of placement.
		// paused is the last PauseMsg, and startsHeld reports whether the last
		// round was left out because no task may be started.
		nextPlacement time.Time
		paused        bool
		startsHeld    bool

		// recoveryLogged reports whether the log has the end of the recovery.
		recoveryLogged bool
		commands       []Command
	}

	// tokenBucket limits the jobs that a team may submit within its share. The
	// team's weight is the refill rate in jobs a second.
	tokenBucket struct {
		tokens    float64
		updatedAt time.Time
	}

	// Limits are set by the platform: the longest lease of a worker, how long
	// ended jobs are shown, how long after the answer to a cancellation tasks of
	// the job may still start, how many writes a second the store takes, and how
	// long the discovery keeps the entry of a worker that sends no heartbeat.
	// The last two are zero if unknown.
	Limits struct {
		maxLease        time.Duration
		retention       time.Duration
		cancelBound     time.Duration
		writesPerSecond float64
		workerSilence   time.Duration
	}

	// Command is an action that follows from the inputs, executed by the caller
	// of Decide.
	Command interface{ command() }

	// StartCmd sends a start order; its result is a StartedMsg.
	StartCmd struct{ order StartOrder }

	// StopCmd sends a stop order; its result is a StoppedMsg.
	StopCmd struct{ order StopOrder }

	// PollCmd polls a worker; its result is a PolledMsg.
	PollCmd struct{ order PollOrder }

	// CommitCmd commits a batch to the store; its result is a CommittedMsg.
	CommitCmd struct {
		batchID int
		batch   storage.Batch
	}

	// SendCmd sends a message to another process. It has no result.
	SendCmd struct {
		to  order.MemberID
		msg order.Msg
	}

	// Msg is an input of the scheduler.
	Msg interface{ input() }

	// ConfigMsg sets the configuration and the domains withdrawn from use.
	ConfigMsg struct {
		config    *policy.Config
		withdrawn []order.DomainName
	}

	// WorkersMsg has the workers that the discovery lists. The entries of the
	// deleted ones, which are among the removed, are gone; those of the others
	// can't be read. All changes happened after changedAfter, when the machine
	// had been suspended for the given time; it is zero if that is not known.
	WorkersMsg struct {
		infos        []WorkerInfo
		removed      []order.WorkerID
		deleted      []order.WorkerID
		complete     bool
		changedAfter time.Time
		suspended    time.Duration
	}

	// CallMsg is a call of a client.
	CallMsg struct {
		from order.MemberID
		call order.JobCallMsg
	}

	// HostLinkMsg reports whether there is a link to an entry host.
	HostLinkMsg struct {
		host order.MemberID
		up   bool
	}

	// AdviceMsg is the response to an advice request.
	AdviceMsg struct {
		from  order.MemberID
		reply order.AdviceReplyMsg
	}

	// StartedMsg is the result of a StartCmd. unanswered reports whether some
	// copy of the order had no response, and may still be executed.
	StartedMsg struct {
		order      StartOrder
		clock      int64
		err        error
		unanswered bool
	}

	// StoppedMsg is the result of a StopCmd.
	StoppedMsg struct {
		order StopOrder
		clock int64
		err   error
	}

	// PolledMsg is the result of a PollCmd that was sent at sentAt.
	PolledMsg struct {
		order  PollOrder
		sentAt time.Time
		report Report
		err    error
	}

	// CommittedMsg reports that the batch of a CommitCmd was stored. The call
	// that showed it was sent at sentAt, when the machine had been suspended for
	// the given time.
	CommittedMsg struct {
		batchID   int
		version   storage.Version
		sentAt    time.Time
		suspended time.Duration
	}

	// PauseMsg pauses placement or resumes it.
	PauseMsg struct{ paused bool }

	// ConfirmedMsg reports that no other process had owned the cell at the
	// given time since this one claimed it with the epoch. The machine had been
	// suspended for the given time then.
	ConfirmedMsg struct {
		epoch     order.Epoch
		at        time.Time
		suspended time.Duration
	}

	// SuspendedMsg reports how long the machine has been suspended so far.
	SuspendedMsg struct{ total time.Duration }
)

const (
	// defaultRetention is how long an ended job is shown if the platform's
	// settings set none.
	defaultRetention = 120 * time.Second

	// defaultCancelBound is how long after the answer to a cancellation tasks
	// may still start, if the settings set no other bound.
	defaultCancelBound = 3 * time.Second
)

func (StartCmd) command()  {}
func (StopCmd) command()   {}
func (PollCmd) command()   {}
func (CommitCmd) command() {}
func (SendCmd) command()   {}

func (ConfigMsg) input()    {}
func (WorkersMsg) input()   {}
func (CallMsg) input()      {}
func (HostLinkMsg) input()  {}
func (AdviceMsg) input()    {}
func (StartedMsg) input()   {}
func (StoppedMsg) input()   {}
func (PolledMsg) input()    {}
func (CommittedMsg) input() {}
func (PauseMsg) input()     {}
func (ConfirmedMsg) input() {}
func (SuspendedMsg) input() {}

// NewLimits returns the limits for the longest lease of a worker and for how
// long ended jobs are shown. A retention of zero sets the default of 120 s.
func NewLimits(maxLease, retention time.Duration) Limits {
	if retention <= 0 {
		retention = defaultRetention
	}
	return Limits{maxLease: maxLease, retention: retention, cancelBound: defaultCancelBound}
}

// WithCancelBound returns a copy with the time after the answer to a
// cancellation in which tasks of the job may still start.
func (l Limits) WithCancelBound(bound time.Duration) Limits {
	l.cancelBound = bound
	return l
}

// WithWriteRate returns a copy with the writes a second that the store
// takes.
func (l Limits) WithWriteRate(perSecond float64) Limits {
	l.writesPerSecond = perSecond
	return l
}

// WithWorkerSilence returns a copy with the time for which the discovery keeps
// the entry of a worker that sends no heartbeat.
func (l Limits) WithWorkerSilence(silence time.Duration) Limits {
	l.workerSilence = silence
	return l
}

// NewConfigMsg returns the input for a configuration and the withdrawn domains.
// A nil configuration leaves the present one in force.
func NewConfigMsg(config *policy.Config, withdrawn []order.DomainName) ConfigMsg {
	return ConfigMsg{config: config, withdrawn: withdrawn}
}

// NewWorkersMsg returns the input for added or changed and for removed workers.
// A complete list replaces all earlier ones.
func NewWorkersMsg(infos []WorkerInfo, removed []order.WorkerID, complete bool) WorkersMsg {
	return WorkersMsg{infos: infos, removed: removed, complete: complete}
}

// WithDeleted returns a copy that says which of the removed workers have no
// entry any more.
func (m WorkersMsg) WithDeleted(deleted []order.WorkerID) WorkersMsg {
	m.deleted = deleted
	return m
}

// WithChangedAfter returns a copy with a time after which all its changes
// happened, and how long the machine had been suspended then.
func (m WorkersMsg) WithChangedAfter(at time.Time, suspended time.Duration) WorkersMsg {
	m.changedAfter, m.suspended = at, suspended
	return m
}

// NewCallMsg returns the input for a client's call. The reply is sent to from.
func NewCallMsg(from order.MemberID, call order.JobCallMsg) CallMsg {
	return CallMsg{from: from, call: call}
}

// NewHostLinkMsg returns the input for a link to an entry host that was
// opened (up) or closed.
func NewHostLinkMsg(host order.MemberID, up bool) HostLinkMsg { return HostLinkMsg{host: host, up: up} }

// NewAdviceMsg returns the input for an entry host's response to an advice
// request.
func NewAdviceMsg(from order.MemberID, reply order.AdviceReplyMsg) AdviceMsg {
	return AdviceMsg{from: from, reply: reply}
}

// NewPauseMsg returns the input that pauses or resumes placement.
func NewPauseMsg(paused bool) PauseMsg { return PauseMsg{paused: paused} }

// NewConfirmedMsg returns the input for a confirmation of the ownership by the
// store. The time is that at which the call was sent, with the time for which
// the machine had been suspended before.
func NewConfirmedMsg(epoch order.Epoch, at time.Time, suspended time.Duration) ConfirmedMsg {
	return ConfirmedMsg{epoch: epoch, at: at, suspended: suspended}
}

// New returns the scheduler of a cell that this process owns at the epoch. The
// record is the ownership record, whose key and version every commit expects.
// The job and worker lists of earlier owners are added by Restore and
// RestoreWorkers.
func New(self order.MemberID, epoch order.Epoch, record storage.Entry, limits Limits, now time.Time,
	registry *gauge.Registry, log zerolog.Logger) *Scheduler {
	m := &Scheduler{
		self: self, epoch: epoch, limits: limits, registry: registry, log: log,
		config:         policy.NewConfig(0, nil, nil),
		withdrawn:      make(map[order.DomainName]bool),
		jobs:           make(map[order.JobID]*job),
		active:         make(map[order.JobID]*job),
		unreadable:     make(map[order.JobID]bool),
		workers:        make(map[order.WorkerID]*worker),
		usage:          make(map[order.TeamName]order.Resources),
		hosts:          map[order.MemberID]*host{self: {}},
		adviceRequests: make(map[uint64]*adviceRequest),
		grantShares:    make(map[order.QueueName]*grantShare),
		shareBuckets:   make(map[order.TeamName]*tokenBucket),
		startedAt:      now,
		formerLease:    limits.maxLease,
		lastAdviceCall: uint64(epoch) << adviceCallBits,
	}
	m.journal = newJournal(record)
	m.refusals = make(refusals)
	return m
}

// Handle applies one input. Commands that it causes are returned by the next
// Decide.
func (m *Scheduler) Handle(now time.Time, in Msg) {
	switch in := in.(type) {
	case ConfigMsg:
		m.configure(now, in)
	case WorkersMsg:
		m.updateWorkers(now, in)
	case CallMsg:
		m.handleCall(now, in.from, in.call)
	case HostLinkMsg:
		m.setHostLink(in)
	case AdviceMsg:
		m.handleAdvice(now, in.reply)
	case StartedMsg:
		m.handleStarted(now, in)
	case StoppedMsg:
		m.handleStopped(now, in)
	case PolledMsg:
		m.handlePoll(now, in)
	case CommittedMsg:
		m.handleCommitted(now, in)
	case PauseMsg:
		m.paused = in.paused
	case ConfirmedMsg:
		if in.epoch == m.epoch {
			m.confirm(in.at, in.suspended)
		}
	case SuspendedMsg:
		m.suspended = in.total
	}
}

// Decide makes the decisions that follow from the inputs so far and from the
// time, and returns the commands to execute in order.
func (m *Scheduler) Decide(now time.Time) []Command {
	m.markLeft(now)
	m.expireRuns(now)
	m.requeueEndedRuns(now)
	m.answerUnknown(now)
	m.answerStalled(now)
	m.place(now)
	m.pollWorkers(now)
	m.flush(now)
	m.prune(now)
	commands := m.commands
	m.commands = nil
	return commands
}

func (m *Scheduler) emit(c Command) { m.commands = append(m.commands, c) }

// configure applies a configuration; one with an older revision is dropped.
func (m *Scheduler) configure(now time.Time, in ConfigMsg) {
	if in.config != nil && in.config.Revision() < m.config.Revision() {
		m.registry.Count("yard.config.older")
		in.config = nil
	}
	if in.config != nil {
		m.config = in.config
		m.updateLimits()
		m.logRemovedQueues()
	}
	clear(m.withdrawn)
	for _, d := range in.withdrawn {
		m.withdrawn[d] = true
	}
	for _, w := range m.sortedWorkers() {
		if m.withdrawn[w.info.domain] {
			m.withdrawStarts(now, w, "domain withdrawn")
		}
	}
	m.log.Info().Uint64("revision", uint64(m.config.Revision())).Interface("withdrawn", in.withdrawn).
		Msg("yard: configuration in force")
}

// Restore adds the jobs stored by earlier owners. It is called before the first
// Decide.
func (m *Scheduler) Restore(entries []storage.Entry) {
	for _, e := range entries {
		r, err := decodeJob(e)
		if err != nil {
			m.unreadable[order.JobID(strings.TrimPrefix(e.Key(), JobPrefix))] = true
			m.registry.Count("yard.job_unreadable")
			m.log.Error().Err(err).Str("key", e.Key()).Msg("yard: job record not read")
			continue
		}
		j := restore(r, e.Version())
		m.jobs[j.id] = j
		if !j.state.Ended() {
			m.active[j.id] = j
		}
	}
}

// decodeJob returns the record in an entry, or an error if no owner stored it.
func decodeJob(e storage.Entry) (order.JobRecord, error) {
	var r order.JobRecord
	if err := r.UnmarshalCBOR(e.Value()); err != nil {
		return r, fmt.Errorf("decode job record: %w", err)
	}
	if jobKey(r.ID()) != e.Key() {
		return r, fmt.Errorf("record of job %.80q", r.ID())
	}
	if code, text := validateSpec(r.Spec()); code != order.Done {
		return r, fmt.Errorf("invalid job: %s", text)
	}
	return r, nil
}

// prune deletes the jobs that ended longer ago than the retention.
func (m *Scheduler) prune(now time.Time) {
	if now.Sub(m.journal.lastPrune) < pruneInterval {
		return
	}
	m.journal.lastPrune = now
	m.refusals.expire(now)
	for id, j := range m.jobs {
		if j.storedState.Ended() && !j.inFlight && !j.dirty && now.Sub(j.ended) > m.limits.retention+pruneInterval {
			m.journal.deletions = append(m.journal.deletions, storage.NewEntry(jobKey(id), nil, j.version))
			delete(m.jobs, id)
		}
	}
}

func (m *Scheduler) addWorker(w *worker) {
	m.workers[w.id] = w
	m.sorted = nil
}

// removeWorker removes a worker that can have no more runs. The stored list
// follows, as a later owner would wait for the worker's report otherwise.
func (m *Scheduler) removeWorker(w *worker) {
	m.log.Info().Str("worker", string(w.id)).Bool("contacted", w.contacted).Bool("reported", w.reported).
		Bool("refuses", w.connRefused).Time("lease_end", w.leaseEnd).Uint64("epoch", uint64(m.epoch)).Msg("yard: worker removed")
	delete(m.workers, w.id)
	m.sorted = nil
	m.journal.workersDirty = true
}

// sortedWorkers returns the workers ordered by ID, which makes runs repeatable.
// The list must not be changed; removing a worker leaves it valid.
func (m *Scheduler) sortedWorkers() []*worker {
	if m.sorted == nil {
		m.sorted = make([]*worker, 0, len(m.workers))
		for _, w := range m.workers {
			m.sorted = append(m.sorted, w)
		}
		sort.Slice(m.sorted, func(i, j int) bool { return m.sorted[i].id < m.sorted[j].id })
	}
	return m.sorted
}

// visibleState returns the state of the job that clients may see. An end is
// visible only once it is stored, as a new owner could otherwise undo it.
func (j *job) visibleState() order.JobState {
	if j.storedState.Ended() {
		return j.storedState
	}
	if j.started {
		return order.JobRunning
	}
	return order.JobPending
}
