package till

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// Queue runs the machine of one request partition.
	Queue struct {
		partition order.PartitionID
		deps      Deps
		machine   *Machine
		inbox     chan inbound
		size      int
		options   []MachineOption

		mu        sync.Mutex
		completed []completion
		tokens    map[logbook.Token]logbook.Token
		lastToken logbook.Token
		kick      chan struct{}
		state     []byte
		drain     chan chan []byte
		held      []SendCmd

		closing   chan struct{}
		closeOnce sync.Once
		done      chan struct{}
		startOnce sync.Once
	}

	// Option changes a Queue when it is made.
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
	inboxSize     = 4096
	observePeriod = 500 * time.Millisecond
	tickPeriod    = 25 * time.Millisecond

	// confirmThreshold is the least time that must be left to the owner when
	// it confirms an offer.
	confirmThreshold = 20 * time.Millisecond

	// maxHeld bounds the messages kept while the owner may not act.
	maxHeld = 4096
)

// WithInbox sets how many messages may wait.
func WithInbox(size int) Option { return func(q *Queue) { q.size = size } }

// WithMachine passes options to the machine.
func WithMachine(opts ...MachineOption) Option {
	return func(q *Queue) { q.options = append(q.options, opts...) }
}

// New returns the queue of a partition that this process owns at the epoch.
func New(partition order.PartitionID, epoch order.Epoch, deps Deps, opts ...Option) *Queue {
	q := &Queue{
		partition: partition,
		deps:      deps,
		size:      inboxSize,
		tokens:    make(map[logbook.Token]logbook.Token),
		kick:      make(chan struct{}, 1),
		drain:     make(chan chan []byte),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.inbox = make(chan inbound, q.size)
	q.machine = NewMachine(deps.clock.Now(), partition, epoch, q, deps.registry, deps.records, q.options...)
	if err := q.machine.importState(q.state); err != nil {
		deps.log.Warn().Err(err).Str("partition", string(partition)).Msg("till: starts without a known outcome are answered as unknown")
	}
	return q
}

// Handle takes a message. It never blocks: if the inbox is full a submission
// is refused, and other messages are dropped, because their senders repeat
// them.
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

// refuseFull refuses a submission that the queue has not seen. It may be the
// repetition of one that runs, so the answer does not say "not run" unless the
// gate made the ID itself and hands it over for the first time.
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

// Run works until the context ends, Close is called, or another owner writes
// the journal.
func (q *Queue) Run(ctx context.Context) error {
	started := false
	q.startOnce.Do(func() { started = true })
	if !started {
		return nil
	}
	defer close(q.done)
	ticks := q.deps.clock.Subscribe(tickPeriod)
	defer ticks.Close()
	observations := q.deps.clock.Subscribe(observePeriod)
	defer observations.Close()
	q.observe()
	for !q.machine.Stopped() {
		select {
		case <-ctx.Done():
			return nil
		case <-q.closing:
			return nil
		case reply := <-q.drain:
			reply <- q.drained()
			return nil
		case in := <-q.inbox:
			q.execute(q.machine.Handle(q.deps.clock.Now(), in.from, in.msg))
		case <-q.kick:
			q.completeRecords()
		case <-observations.C():
			q.observe()
		case <-ticks.C():
			q.tick()
		}
	}
	q.deps.log.Warn().Str("partition", string(q.partition)).Msg("till: stopped, another owner writes the journal")
	return fmt.Errorf("queue of %s: %w", q.partition, logbook.ErrFenced)
}

// Close ends Run and waits for it.
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
	token, err := q.deps.journal.Start(r, func(err error) { q.recorded(own, err) })
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

func (q *Queue) recorded(own logbook.Token, err error) {
	q.mu.Lock()
	q.completed = append(q.completed, completion{token: own, err: err})
	delete(q.tokens, own)
	q.mu.Unlock()
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

func (q *Queue) completeRecords() {
	q.mu.Lock()
	completed := q.completed
	q.completed = nil
	q.mu.Unlock()
	for _, c := range completed {
		q.execute(q.machine.Recorded(q.deps.clock.Now(), c.token, c.err))
	}
}

func (q *Queue) tick() {
	q.sendHeld()
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

// execute carries the commands out. Without ownership nothing is sent: another
// owner may act already.
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

// sendOrHold keeps messages for the moments in which the owner may not act, as
// while its standby changes. Gates do not ask again for seconds after their
// request was accepted, so a dropped answer would delay the caller.
func (q *Queue) sendOrHold(c SendCmd) {
	switch {
	case q.deps.guard.Remaining() > 0 && len(q.held) == 0:
		q.send(c.to, c.msg)
	case len(q.held) < maxHeld:
		q.held = append(q.held, c)
		q.deps.registry.Count("till.held")
	default:
		q.deps.registry.Count("till.dropped.guard")
	}
}

func (q *Queue) sendHeld() {
	if len(q.held) == 0 || q.deps.guard.Remaining() <= 0 {
		return
	}
	for _, c := range q.held {
		q.send(c.to, c.msg)
	}
	q.held = nil
}

func (q *Queue) send(to order.MemberID, m order.Msg) {
	if err := q.deps.sender.Send(to, m); err != nil {
		q.deps.registry.Count("till.dropped.send")
	}
}

func (q *Queue) post(c PostCmd) {
	threshold := time.Duration(0)
	if _, ok := c.msg.(order.ConfirmMsg); ok {
		threshold = confirmThreshold
	}
	if q.deps.guard.Remaining() <= threshold {
		q.deps.registry.Count("till.dropped.guard")
		q.execute(q.machine.Unsent(q.deps.clock.Now(), c))
		return
	}
	if err := q.deps.poster.Post(order.GroupPartition(c.group), c.msg); err != nil {
		q.deps.registry.Count("till.dropped.post")
		q.machine.Failed(q.deps.clock.Now(), c)
	}
}
