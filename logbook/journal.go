package logbook

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Journal runs a Log against the store.
	Journal struct {
		store     depot.Store
		clock     tide.Clock
		guard     order.Guard
		registry  *gauge.Registry
		log       zerolog.Logger
		retention time.Duration

		mu      sync.Mutex
		core    *Log
		waiting map[Token]func(error)
		closed  bool

		kick chan struct{}
		stop context.CancelFunc
		done chan struct{}
	}

	// Option changes a Journal when it is opened.
	Option func(*Journal)
)

const (
	callTimeout = time.Second
	guardPoll   = 50 * time.Millisecond
)

// ErrClosed reports that the journal was closed before the record was known to
// be in the store.
var ErrClosed = errors.New("journal closed")

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(j *Journal) { j.log = log } }

// WithRegistry sets the registry of the counters.
func WithRegistry(r *gauge.Registry) Option { return func(j *Journal) { j.registry = r } }

// WithRetention sets how long outcomes stay in the journal.
func WithRetention(d time.Duration) Option { return func(j *Journal) { j.retention = d } }

// Open replays the journal of a partition and fences its earlier owners: it
// writes a first segment of its own, after which a late write of an earlier
// owner meets a conflict. It returns the newest record of each request.
func Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, store depot.Store, clock tide.Clock, guard order.Guard, opts ...Option) (*Journal, []Record, error) {
	j := &Journal{
		store:     store,
		clock:     clock,
		guard:     guard,
		registry:  gauge.New(zerolog.Nop()),
		log:       zerolog.Nop(),
		waiting:   make(map[Token]func(error)),
		retention: Retention,
		kick:      make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(j)
	}
	core, err := openLog(ctx, partition, epoch, store, clock.Now())
	if err != nil {
		return nil, nil, fmt.Errorf("open journal of %s: %w", partition, err)
	}
	core.retention = j.retention
	j.core = core
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	j.stop = stop
	go j.run(run)
	return j, core.Records(), nil
}

// Append returns when the record is in the store, or an error. After an error
// other than ErrFenced the record may still be written.
func (j *Journal) Append(ctx context.Context, r Record) error {
	result := make(chan error, 1)
	if _, err := j.Start(r, func(err error) { result <- err }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Start queues the record and returns at once. The function is called once
// when the record is in the store or never will be; it must not block.
func (j *Journal) Start(r Record, done func(error)) (Token, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return 0, ErrClosed
	}
	token, err := j.core.Add(r)
	if err != nil {
		return 0, err
	}
	j.waiting[token] = done
	j.wake()
	return token, nil
}

// Cancel takes a record back that certainly was not written; its function is
// then not called. It reports false if the record may be in the store.
func (j *Journal) Cancel(token Token) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.core.Cancel(token) {
		return false
	}
	delete(j.waiting, token)
	return true
}

// Close stops writing and waits. Records that are not known to be in the store
// end with ErrClosed.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.stop()
	<-j.done
}

func (j *Journal) wake() {
	select {
	case j.kick <- struct{}{}:
	default:
	}
}

func (j *Journal) run(ctx context.Context) {
	defer close(j.done)
	defer j.abandon()
	for ctx.Err() == nil {
		op, wait := j.next()
		if op.kind != 0 {
			j.execute(ctx, op)
			continue
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = j.clock.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-j.kick:
		case <-timer:
		}
	}
}

// next returns the call to make, or how long to wait; zero means until a
// record is added.
func (j *Journal) next() (Op, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	due := j.core.Due()
	if due.IsZero() && j.core.Err() == nil && len(j.core.pending) == 0 {
		return Op{}, 0
	}
	if j.guard.Remaining() <= 0 {
		return Op{}, guardPoll
	}
	if op, ok := j.core.Next(now); ok {
		return op, 0
	}
	if due.IsZero() {
		return Op{}, 0
	}
	return Op{}, max(due.Sub(now), time.Millisecond)
}

func (j *Journal) execute(ctx context.Context, op Op) {
	started := j.clock.Now()
	result := Execute(ctx, j.store, op)
	now := j.clock.Now()
	j.registry.Observe("logbook.call", now.Sub(started))
	if result.err != nil {
		j.registry.Count("logbook.call.failed")
	}
	j.mu.Lock()
	completions := j.core.Done(now, op, result)
	callbacks := make([]func(error), 0, len(completions))
	for _, c := range completions {
		callbacks = append(callbacks, j.waiting[c.token])
		delete(j.waiting, c.token)
	}
	fenced := j.core.Err()
	j.mu.Unlock()
	if fenced != nil {
		j.log.Warn().Err(fenced).Msg("logbook: stopped writing")
	}
	for i, c := range completions {
		callbacks[i](c.err)
	}
}

func (j *Journal) abandon() {
	j.mu.Lock()
	waiting := j.waiting
	j.waiting = nil
	j.mu.Unlock()
	for _, done := range waiting {
		done(ErrClosed)
	}
}

// Execute makes one call to the store.
func Execute(ctx context.Context, store depot.Store, op Op) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r Result
	switch op.kind {
	case OpCreate:
		r.version, r.err = store.Swap(ctx, op.key, 0, op.value, 0)
	case OpRead:
		r.entry, r.err = store.Get(ctx, op.key)
	case OpDelete:
		r.err = store.Delete(ctx, op.key, op.version)
	}
	return r
}

// openLog lists the segments and writes the first own one. A conflict means
// that an earlier owner's write arrived in between, so it lists again.
func openLog(ctx context.Context, partition order.PartitionID, epoch order.Epoch, store depot.Store, now time.Time) (*Log, error) {
	for {
		entries, _, err := store.List(ctx, Prefix(partition))
		if err != nil {
			return nil, err
		}
		l, err := NewLog(partition, epoch, ulid.Make().String(), entries)
		if err != nil {
			return nil, err
		}
		op := l.Fence(now)
		result := Execute(ctx, store, op)
		l.Done(now, op, result)
		if l.Fenced() {
			return l, nil
		}
		err = result.err
		if !errors.Is(err, depot.ErrConflict) && !errors.Is(err, depot.ErrUncertain) {
			return nil, err
		}
	}
}
