package logbook

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Journal is the journal of one partition, written by its owner. It makes
	// the store calls of a Log in its own goroutine. Any goroutine may call its
	// methods.
	Journal struct {
		store     storage.Store
		clock     timers.Clock
		guard     order.Guard
		registry  *gauge.Registry
		log       zerolog.Logger
		retention time.Duration

		mu        sync.Mutex
		machine   *Log
		callbacks map[Token]func(error)
		closed    bool

		wakeup chan struct{}
		stop   context.CancelFunc
		done   chan struct{}
	}

	// Option configures a Journal in Open.
	Option func(*Journal)
)

const (
	callTimeout       = time.Second
	guardPollInterval = 50 * time.Millisecond
)

// ErrClosed reports that the journal was closed before the record was known to
// be in the store.
var ErrClosed = errors.New("journal closed")

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log zerolog.Logger) Option { return func(j *Journal) { j.log = log } }

// WithRegistry sets the registry for the metrics of the store calls.
func WithRegistry(r *gauge.Registry) Option { return func(j *Journal) { j.registry = r } }

// WithRetention sets how long outcomes stay in the journal, instead of
// Retention.
func WithRetention(d time.Duration) Option { return func(j *Journal) { j.retention = d } }

// Open replays the journal of a partition and fences its earlier owners: it
// writes a first segment, so that a late write of an earlier owner fails with a
// conflict. It returns the newest record of each request. Afterwards the
// journal makes store calls only while the guard has time remaining.
func Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, store storage.Store, clock timers.Clock, guard order.Guard, opts ...Option) (*Journal, []Record, error) {
	j := &Journal{
		store:     store,
		clock:     clock,
		guard:     guard,
		registry:  gauge.New(zerolog.Nop()),
		log:       zerolog.Nop(),
		callbacks: make(map[Token]func(error)),
		retention: Retention,
		wakeup:    make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(j)
	}
	machine, err := openLog(ctx, partition, epoch, store, clock.Now())
	if err != nil {
		return nil, nil, fmt.Errorf("open journal of %s: %w", partition, err)
	}
	machine.retention = j.retention
	j.machine = machine
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	j.stop = stop
	go j.run(run)
	return j, machine.Records(), nil
}

// Append writes the record and returns when it is in the store, or an error.
// After an error other than ErrFenced the record may still be written.
func (j *Journal) Append(ctx context.Context, r Record) error {
	result := make(chan error, 1)
	if _, err := j.AppendAsync(r, func(err error) { result <- err }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AppendAsync queues the record and returns at once. The done function is
// called once from another goroutine: with nil when the record is in the store,
// or with the reason why it is not known to be. It must not block.
func (j *Journal) AppendAsync(r Record, done func(error)) (Token, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return 0, ErrClosed
	}
	token, err := j.machine.Add(r)
	if err != nil {
		return 0, err
	}
	j.callbacks[token] = done
	j.signal()
	return token, nil
}

// Cancel removes a record that certainly was not written. Its done function is
// then not called. Cancel returns false if the record may be in the store.
func (j *Journal) Cancel(token Token) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.machine.Cancel(token) {
		return false
	}
	delete(j.callbacks, token)
	return true
}

// Close stops writing and waits until the open call has ended. Records that are
// not known to be in the store end with ErrClosed.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.stop()
	<-j.done
}

// signal makes run check again for calls.
func (j *Journal) signal() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// run makes the store calls, one at a time, until the context ends.
func (j *Journal) run(ctx context.Context) {
	defer close(j.done)
	defer j.failWaiting()
	for ctx.Err() == nil {
		op, wait := j.nextCall()
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
		case <-j.wakeup:
		case <-timer:
		}
	}
}

// nextCall returns the call to make, or how long to wait. Zero means to wait
// until a record is added.
func (j *Journal) nextCall() (Op, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	due := j.machine.NextDue()
	if due.IsZero() && j.machine.Err() == nil && len(j.machine.pending) == 0 {
		return Op{}, 0
	}
	if j.guard.Remaining() <= 0 {
		return Op{}, guardPollInterval
	}
	if op, ok := j.machine.Next(now); ok {
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
	completions := j.machine.HandleResult(now, op, result)
	callbacks := make([]func(error), 0, len(completions))
	for _, c := range completions {
		callbacks = append(callbacks, j.callbacks[c.token])
		delete(j.callbacks, c.token)
	}
	fenced := j.machine.Err()
	j.mu.Unlock()
	if fenced != nil {
		j.log.Warn().Err(fenced).Msg("logbook: journal stopped writing")
	}
	for i, c := range completions {
		callbacks[i](c.err)
	}
}

// failWaiting ends the records whose results are unknown with ErrClosed.
func (j *Journal) failWaiting() {
	j.mu.Lock()
	callbacks := j.callbacks
	j.callbacks = nil
	j.mu.Unlock()
	for _, done := range callbacks {
		done(ErrClosed)
	}
}

// Execute makes one call to the store, with a timeout.
func Execute(ctx context.Context, store storage.Store, op Op) Result {
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

// openLog lists the segments and writes the first one of this owner. A conflict
// means that a write of an earlier owner arrived in between, so it lists again,
// as it does after an uncertain write.
func openLog(ctx context.Context, partition order.PartitionID, epoch order.Epoch, store storage.Store, now time.Time) (*Log, error) {
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
		l.HandleResult(now, op, result)
		if l.Fenced() {
			return l, nil
		}
		err = result.err
		if !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrUncertain) {
			return nil, err
		}
	}
}
