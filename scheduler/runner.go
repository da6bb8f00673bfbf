package scheduler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Runner runs the scheduler of a cell: it collects inputs, executes the
	// commands that follow from them, and feeds the results back.
	Runner struct {
		scheduler *Scheduler
		clock     timers.Clock
		store     storage.Batcher
		workers   WorkerClient
		sender    order.Sender
		log       zerolog.Logger
		inbox     chan Msg

		// ordersMu guards orderQueues, which has the workers with orders.
		ordersMu    sync.Mutex
		orderQueues map[order.WorkerID]*orderQueue
		wg          sync.WaitGroup
		failed      chan error

		// settled is whether the scheduler was settled after its last decisions.
		settled atomic.Bool

		// failingSince is when commits began to fail, and nil while they
		// succeed.
		failingSince atomic.Pointer[time.Time]
	}
)

const (
	// inboxLength limits the queued inputs. A full inbox blocks the goroutines
	// with results of orders, and callers' requests are dropped.
	inboxLength = 8192

	// gatherInterval is how long further inputs are collected for one round of
	// decisions.
	gatherInterval = 3 * time.Millisecond

	// tickInterval limits how late a decision is that depends only on the time.
	tickInterval = 20 * time.Millisecond
)

var (
	// ErrLost reports that another process owns the cell.
	ErrLost = errors.New("cell lost to another owner")

	// ErrInboxFull reports that an input was dropped because too many are
	// queued.
	ErrInboxFull = errors.New("inbox full")

	// errDiverged reports that the store has other jobs than this owner wrote,
	// although the ownership has not changed.
	errDiverged = errors.New("stored jobs differ from those in memory")
)

// NewRunner returns a runner of the scheduler. It does nothing until Run is
// called.
func NewRunner(scheduler *Scheduler, clock timers.Clock, store storage.Batcher, workers WorkerClient, sender order.Sender, log zerolog.Logger) *Runner {
	return &Runner{
		scheduler: scheduler, clock: clock, store: store, workers: workers, sender: sender, log: log,
		inbox:       make(chan Msg, inboxLength),
		orderQueues: make(map[order.WorkerID]*orderQueue),
		failed:      make(chan error, maxInFlight),
	}
}

// Enqueue queues an input without blocking. It may be called from any
// goroutine.
func (r *Runner) Enqueue(in Msg) error {
	select {
	case r.inbox <- in:
		return nil
	default:
		return ErrInboxFull
	}
}

// EnqueueWait queues an input that must not be lost. It blocks while the inbox
// is full, until the context ends. It may be called from any goroutine but that
// of Run.
func (r *Runner) EnqueueWait(ctx context.Context, in Msg) error {
	select {
	case r.inbox <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run processes inputs until the context ends, and then returns nil. It returns
// an error if the cell is lost to another owner or the store diverged.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer r.workers.Disconnect()
	defer cancel()
	ticks := r.clock.Subscribe(tickInterval)
	defer ticks.Close()
	for {
		select {
		case in := <-r.inbox:
			r.scheduler.Handle(r.clock.Now(), in)
			r.gather(ctx)
		case <-ticks.C():
		case err := <-r.failed:
			return err
		case <-ctx.Done():
			return nil
		}
		r.scheduler.Handle(r.clock.Now(), SuspendedMsg{total: r.clock.Suspended()})
		commands := r.scheduler.Decide(r.clock.Now())
		if r.scheduler.Superseded() {
			return ErrLost
		}
		r.settled.Store(r.scheduler.Settled(r.clock.Now()))
		for _, cmd := range commands {
			r.execute(ctx, cmd)
		}
	}
}

// Settled reports whether the scheduler is paused and settled, see
// Scheduler.Settled. It may be called from any goroutine.
func (r *Runner) Settled() bool { return r.settled.Load() }

// gather collects further inputs for a short while, so that one round of
// decisions covers them all.
func (r *Runner) gather(ctx context.Context) {
	deadline := r.clock.After(gatherInterval)
	for {
		select {
		case in := <-r.inbox:
			r.scheduler.Handle(r.clock.Now(), in)
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// execute starts a command. Results come back through the inbox.
func (r *Runner) execute(ctx context.Context, cmd Command) {
	switch cmd := cmd.(type) {
	case StartCmd:
		r.enqueueOrder(ctx, cmd.order.to.worker, cmd)
	case StopCmd:
		r.enqueueOrder(ctx, cmd.order.to.worker, cmd)
	case PollCmd:
		r.spawn(func() { r.pollWorker(ctx, cmd.order) })
	case CommitCmd:
		r.spawn(func() { r.commit(ctx, cmd) })
	case SendCmd:
		if err := r.sender.Send(cmd.to, cmd.msg); err != nil {
			r.log.Warn().Err(err).Str("to", string(cmd.to)).Msg("yard: message not sent")
		}
	}
}

// spawn runs the function on a goroutine that Run waits for.
func (r *Runner) spawn(run func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		run()
	}()
}

// enqueueOrder queues an order to a worker, and delivers it on a new goroutine
// if not enough others are open. If the queue is full, the worker does not
// respond, and the order fails at once.
func (r *Runner) enqueueOrder(ctx context.Context, id order.WorkerID, cmd Command) {
	r.ordersMu.Lock()
	queue := r.orderQueues[id]
	if queue == nil {
		queue = &orderQueue{}
		r.orderQueues[id] = queue
	}
	queued := queue.add(cmd)
	next, free := queue.next()
	r.ordersMu.Unlock()
	if free {
		r.spawn(func() { r.sendOrders(ctx, id, next) })
	}
	if !queued {
		r.log.Warn().Str("worker", string(id)).Msg("yard: order queue of worker full")
		r.failOrder(cmd)
	}
}

// failOrder reports the order as not sent.
func (r *Runner) failOrder(cmd Command) {
	switch cmd := cmd.(type) {
	case StartCmd:
		r.scheduler.Handle(r.clock.Now(), StartedMsg{order: cmd.order, err: ErrNotSent})
	case StopCmd:
		r.scheduler.Handle(r.clock.Now(), StoppedMsg{order: cmd.order, err: ErrNotSent})
	}
}

// sendOrders delivers the order, and then the queued ones of the worker, one
// after the other.
func (r *Runner) sendOrders(ctx context.Context, id order.WorkerID, cmd Command) {
	for more := true; more; cmd, more = r.nextOrder(id) {
		r.sendOrder(ctx, cmd)
	}
}

// nextOrder returns the next order to a worker after one has its result.
func (r *Runner) nextOrder(id order.WorkerID) (Command, bool) {
	r.ordersMu.Lock()
	defer r.ordersMu.Unlock()
	queue := r.orderQueues[id]
	queue.done()
	next, ok := queue.next()
	if queue.idle() {
		delete(r.orderQueues, id)
	}
	return next, ok
}

// sendOrder sends an order with retries and delivers its result.
func (r *Runner) sendOrder(ctx context.Context, cmd Command) {
	switch cmd := cmd.(type) {
	case StartCmd:
		d := delivery{permit: cmd.order.permit}
		clock, err := r.sendUntilFinal(ctx, &d, func(ctx context.Context) (int64, error) { return r.workers.Start(ctx, cmd.order) })
		r.deliver(ctx, StartedMsg{order: cmd.order, clock: clock, err: err, unanswered: d.unconfirmed != nil})
	case StopCmd:
		clock, err := r.sendWithRetry(ctx, cmd.order.permit, func(ctx context.Context) (int64, error) { return r.workers.Stop(ctx, cmd.order) })
		r.deliver(ctx, StoppedMsg{order: cmd.order, clock: clock, err: err})
	}
}

// sendWithRetry sends an order until it gets a response, at most maxOrderTries
// times and only while the permit holds. That is safe because a worker executes
// the start or stop of a run once, however often it gets the order.
func (r *Runner) sendWithRetry(ctx context.Context, p *permit, send func(context.Context) (int64, error)) (int64, error) {
	return r.sendUntilFinal(ctx, &delivery{permit: p}, send)
}

// sendUntilFinal makes the attempts of a delivery.
func (r *Runner) sendUntilFinal(ctx context.Context, d *delivery, send func(context.Context) (int64, error)) (int64, error) {
	for {
		if ctx.Err() != nil {
			return 0, d.abandon()
		}
		timeout, err := d.begin(r.clock.Now())
		if err != nil {
			return 0, err
		}
		clock, err := sendWithTimeout(ctx, timeout, send)
		if final, result := d.end(err); final {
			return clock, result
		}
	}
}

// sendWithTimeout makes one attempt.
func sendWithTimeout(ctx context.Context, timeout time.Duration, send func(context.Context) (int64, error)) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(limited)
}

// pollWorker polls a worker and delivers its report.
func (r *Runner) pollWorker(ctx context.Context, o PollOrder) {
	sentAt := r.clock.Now()
	if !o.permit.use(sentAt) {
		r.deliver(ctx, PolledMsg{order: o, sentAt: sentAt, err: errWithdrawn})
		return
	}
	limited, cancel := context.WithTimeout(ctx, o.wait+orderTimeout)
	defer cancel()
	report, err := r.workers.Poll(limited, o)
	r.deliver(ctx, PolledMsg{order: o, sentAt: sentAt, report: report, err: err})
}

// deliver queues the result of a command. It blocks while the inbox is full.
func (r *Runner) deliver(ctx context.Context, in Msg) {
	select {
	case r.inbox <- in:
	case <-ctx.Done():
	}
}
