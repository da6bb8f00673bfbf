package queue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// Queue runs the Machine of one request partition in the goroutine that
	// calls Run. Its exported methods are safe for concurrent use.
	Queue struct {
		partition      order.PartitionID
		deps           Deps
		machine        *Machine
		inbox          chan inbound
		inboxLen       int
		machineOptions []MachineOption

		mu        sync.Mutex
		completed []completion
		// tokens maps the tokens given to the Machine to those of the journal.
		tokens    map[logbook.Token]logbook.Token
		lastToken logbook.Token
		// recordsDone signals that completed is not empty.
		recordsDone   chan struct{}
		importedState []byte
		// drainRequests carries the channels on which Drain receives the state.
		drainRequests chan chan []byte
		// heldSends are messages that wait for the ownership guard.
		heldSends []SendCmd

		closing   chan struct{}
		closeOnce sync.Once
		done      chan struct{}
		startOnce sync.Once
	}

	// Option configures a Queue in New.
	Option func(*Queue)

	inbound struct {
		from order.MemberID
		msg  order.Msg
	}

	completion struct {
		token logbook.Token
		err   error
	}
)

const (
	defaultInboxLen = 4096
	// observePeriod is the interval of calls to Machine.Observe.
	observePeriod = 500 * time.Millisecond
	// tickPeriod is the resolution of the machine's timers.
	tickPeriod = 25 * time.Millisecond

	// minConfirmTime is the time that must remain on the ownership guard to
	// send a confirmation.
	minConfirmTime = 20 * time.Millisecond

	// maxHeldSends bounds the messages to gates and placers that are held while
	// the guard has no time left.
	maxHeldSends = 4096
)

// WithInbox sets how many received messages may wait for Run.
func WithInbox(size int) Option { return func(q *Queue) { q.inboxLen = size } }

// WithMachineOptions passes options to the Machine.
func WithMachineOptions(opts ...MachineOption) Option {
	return func(q *Queue) { q.machineOptions = append(q.machineOptions, opts...) }
}

// New returns the queue of a partition that this process owns at the given
// epoch. It replays the journal records in deps; call Run to start it.
func New(partition order.PartitionID, epoch order.Epoch, deps Deps, opts ...Option) *Queue {
	q := &Queue{
		partition:     partition,
		deps:          deps,
		inboxLen:      defaultInboxLen,
		tokens:        make(map[logbook.Token]logbook.Token),
		recordsDone:   make(chan struct{}, 1),
		drainRequests: make(chan chan []byte),
		closing:       make(chan struct{}),
		done:          make(chan struct{}),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.inbox = make(chan inbound, q.inboxLen)
	q.machine = NewMachine(deps.clock.Now(), partition, epoch, q, deps.registry, deps.records, q.machineOptions...)
	if err := q.machine.importState(q.importedState); err != nil {
		deps.log.Warn().Err(err).Str("partition", string(partition)).Msg("till: handover state not decoded, unconfirmed starts end with an unknown outcome")
	}
	return q
}

// Handle adds a message to the inbox. It never blocks: if the inbox is full, a
// submission is refused and any other message is dropped, because its sender
// repeats it. It is safe for concurrent use.
func (q *Queue) Handle(from order.MemberID, m order.Msg) {
	select {
	case q.inbox <- inbound{from: from, msg: m}:
		return
	default:
	}
	q.deps.registry.Count("till.refused.inbox_full")
	if submit, ok := m.(order.SubmitMsg); ok {
		q.refuseFull(from, submit)
	}
}

// refuseFull refuses a submission that didn't fit into the inbox. The request
// may already be running from an earlier submission, so "not run" is answered
// only if the gate created the ID itself and submits it for the first time.
// Otherwise the gate gets no answer and sends again.
func (q *Queue) refuseFull(from order.MemberID, m order.SubmitMsg) {
	if !m.Request().Fresh() {
		return
	}
	q.send(from, order.AnswerMsg{}.
		WithTeam(m.Request().Team()).
		WithRequest(m.Request().ID()).
		WithCode(order.QueueFull).
		WithText(order.QueueFull.Text()).
		WithFinal(true).
		WithSequence(m.Sequence()))
}

// Run processes messages and timers until the context ends, or Close or Drain
// is called; it returns nil then. If another owner writes the journal, it
// returns an error that wraps logbook.ErrFenced. A second call returns at once.
func (q *Queue) Run(ctx context.Context) error {
	started := false
	q.startOnce.Do(func() { started = true })
	if !started {
		return nil
	}
	defer close(q.done)
	ticks := q.deps.clock.Subscribe(tickPeriod)
	defer ticks.Close()
	observeTicks := q.deps.clock.Subscribe(observePeriod)
	defer observeTicks.Close()
	q.observe()
	for !q.machine.Stopped() {
		select {
		case <-ctx.Done():
			return nil
		case <-q.closing:
			return nil
		case reply := <-q.drainRequests:
			reply <- q.runDrain()
			return nil
		case in := <-q.inbox:
			q.execute(q.machine.Handle(q.deps.clock.Now(), in.from, in.msg))
		case <-q.recordsDone:
			q.handleCompletions()
		case <-observeTicks.C():
			q.observe()
		case <-ticks.C():
			q.tick()
		}
	}
	q.deps.log.Warn().Str("partition", string(q.partition)).Msg("till: stopped, another owner writes the journal")
	return fmt.Errorf("run queue of partition %s: %w", q.partition, logbook.ErrFenced)
}

// Close stops Run and waits until it has returned.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.closing) })
	q.startOnce.Do(func() { close(q.done) })
	<-q.done
}

// Add implements Recorder.
func (q *Queue) Add(r logbook.Record) (logbook.Token, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastToken++
	own := q.lastToken
	token, err := q.deps.journal.AppendAsync(r, func(err error) { q.recordDone(own, err) })
	if err != nil {
		return 0, err
	}
	q.tokens[own] = token
	return own, nil
}

// Cancel implements Recorder.
func (q *Queue) Cancel(own logbook.Token) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	token, ok := q.tokens[own]
	if !ok || !q.deps.journal.Cancel(token) {
		return false
	}
	delete(q.tokens, own)
	return true
}

// recordDone is called by the journal, from any goroutine.
func (q *Queue) recordDone(own logbook.Token, err error) {
	q.mu.Lock()
	q.completed = append(q.completed, completion{token: own, err: err})
	delete(q.tokens, own)
	q.mu.Unlock()
	select {
	case q.recordsDone <- struct{}{}:
	default:
	}
}

func (q *Queue) handleCompletions() {
	q.mu.Lock()
	completed := q.completed
	q.completed = nil
	q.mu.Unlock()
	for _, c := range completed {
		q.execute(q.machine.RecordDone(q.deps.clock.Now(), c.token, c.err))
	}
}

func (q *Queue) tick() {
	q.flushHeldSends()
	now := q.deps.clock.Now()
	if next := q.machine.Next(); next.IsZero() || next.After(now) {
		return
	}
	q.execute(q.machine.Tick(now))
}

func (q *Queue) observe() {
	q.deps.registry.Set("till.open."+string(q.partition), int64(q.machine.Open()))
	q.execute(q.machine.Observe(q.deps.clock.Now(), NewObservation().
		WithGroups(q.deps.groups()).
		WithDigests(q.deps.digests()).
		WithPlacers(q.deps.placers()).
		WithConfig(q.deps.config()).
		WithOwned(q.deps.owned)))
}

// execute sends the messages of the commands. Nothing is sent while the
// ownership guard has no time left, because another owner may be active.
func (q *Queue) execute(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case SendCmd:
			q.sendOrHold(c)
		case PostCmd:
			q.post(c)
		}
	}
}

// sendOrHold sends a message, or holds it while the ownership guard has no time
// left, for example while the partition's standby changes. A gate queries
// the state again only seconds after its request was accepted, so dropping an
// answer would delay the caller.
func (q *Queue) sendOrHold(c SendCmd) {
	switch {
	case q.deps.guard.Remaining() > 0 && len(q.heldSends) == 0:
		q.send(c.to, c.msg)
	case len(q.heldSends) < maxHeldSends:
		q.heldSends = append(q.heldSends, c)
		q.deps.registry.Count("till.held")
	default:
		q.deps.registry.Count("till.dropped.guard")
	}
}

func (q *Queue) flushHeldSends() {
	if len(q.heldSends) == 0 || q.deps.guard.Remaining() <= 0 {
		return
	}
	for _, c := range q.heldSends {
		q.send(c.to, c.msg)
	}
	q.heldSends = nil
}

func (q *Queue) send(to order.MemberID, m order.Msg) {
	if a, ok := m.(order.AnswerMsg); ok && a.Code() == order.OutcomeUnknown {
		q.deps.log.Warn().Str("partition", string(q.partition)).Str("team", string(a.Team())).
			Str("request", string(a.Request())).Str("cause", a.Text()).Msg("till: outcome of a request unknown")
	}
	if err := q.deps.sender.Send(to, m); err != nil {
		q.deps.registry.Count("till.dropped.send")
	}
}

func (q *Queue) post(c PostCmd) {
	minRemaining := time.Duration(0)
	if _, ok := c.msg.(order.ConfirmMsg); ok {
		minRemaining = minConfirmTime
	}
	if q.deps.guard.Remaining() <= minRemaining {
		q.deps.registry.Count("till.dropped.guard")
		q.execute(q.machine.PostBlocked(q.deps.clock.Now(), c))
		return
	}
	if err := q.deps.poster.Post(order.GroupPartition(c.group), c.msg); err != nil {
		q.deps.registry.Count("till.dropped.post")
		q.machine.PostFailed(q.deps.clock.Now(), c)
	}
}
