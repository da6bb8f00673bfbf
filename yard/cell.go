package yard

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Cell runs a Machine: it feeds it with inputs and executes its commands.
	Cell struct {
		machine *Machine
		clock   tide.Clock
		store   depot.Batcher
		worker  Worker
		sender  order.Sender
		log     zerolog.Logger
		inbox   chan Msg
		lanes   map[order.WorkerID]chan Command
		wg      sync.WaitGroup
		failed  chan error

		// troubled is when batches began to fail; nil while they do not.
		troubled atomic.Pointer[time.Time]
	}
)

const (
	// inboxLength bounds the inputs that wait; a full inbox blocks the
	// goroutines that wait for workers and drops clients' calls.
	inboxLength = 8192

	// laneLength bounds the orders that wait for one worker.
	laneLength = 256

	// laneCalls is how many orders to one worker may be on their way.
	laneCalls = 2

	// settleInterval gathers inputs for one round of decisions.
	settleInterval = 3 * time.Millisecond

	// tickInterval bounds how late a decision that only time causes is.
	tickInterval = 20 * time.Millisecond

	// orderTimeout is how long the last try of an order may take; answers from
	// the farthest domain come within 10 ms.
	orderTimeout = 700 * time.Millisecond

	// repeatAfter is how long the earlier tries may take. The tightest
	// objective leaves 250 ms beside the work.
	repeatAfter = 200 * time.Millisecond

	// orderTries is how often an order is sent. With one in twenty unanswered,
	// one in 8,000 stays unclear.
	orderTries = 3
)

var (
	// ErrLost reports that another process owns the cell.
	ErrLost = errors.New("cell lost to another owner")

	// ErrInboxFull reports that too many inputs wait.
	ErrInboxFull = errors.New("inbox full")

	errDiverged = errors.New("stored jobs differ from those in memory")
)

// NewCell returns a cell that is not running yet.
func NewCell(m *Machine, clock tide.Clock, store depot.Batcher, worker Worker, sender order.Sender, log zerolog.Logger) *Cell {
	return &Cell{
		machine: m, clock: clock, store: store, worker: worker, sender: sender, log: log,
		inbox:  make(chan Msg, inboxLength),
		lanes:  make(map[order.WorkerID]chan Command),
		failed: make(chan error, maxFlights),
	}
}

// Offer queues an input without waiting.
func (c *Cell) Offer(in Msg) error {
	select {
	case c.inbox <- in:
		return nil
	default:
		return ErrInboxFull
	}
}

// Run decides and acts until the context ends or the cell is lost.
func (c *Cell) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer c.wg.Wait()
	defer cancel()
	ticks := c.clock.Subscribe(tickInterval)
	defer ticks.Close()
	for {
		select {
		case in := <-c.inbox:
			c.machine.Step(c.clock.Now(), in)
			c.gather(ctx)
		case <-ticks.C():
		case err := <-c.failed:
			return err
		case <-ctx.Done():
			return nil
		}
		for _, command := range c.machine.Settle(c.clock.Now()) {
			c.execute(ctx, command)
		}
	}
}

// gather takes further inputs for a short while, so that one round of
// decisions serves them all.
func (c *Cell) gather(ctx context.Context) {
	over := c.clock.After(settleInterval)
	for {
		select {
		case in := <-c.inbox:
			c.machine.Step(c.clock.Now(), in)
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) execute(ctx context.Context, command Command) {
	switch command := command.(type) {
	case StartCmd:
		c.lane(ctx, command.order.to.worker, command)
	case StopCmd:
		c.lane(ctx, command.order.to.worker, command)
	case HoldCmd:
		c.start(func() { c.hold(ctx, command.order) })
	case CommitCmd:
		c.start(func() { c.commit(ctx, command) })
	case SendCmd:
		if err := c.sender.Send(command.to, command.msg); err != nil {
			c.log.Warn().Err(err).Str("to", string(command.to)).Msg("yard: message not sent")
		}
	}
}

func (c *Cell) start(run func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		run()
	}()
}

// lane hands an order to the goroutines of its worker. A full lane means that
// the worker does not answer.
func (c *Cell) lane(ctx context.Context, id order.WorkerID, command Command) {
	lane, ok := c.lanes[id]
	if !ok {
		lane = make(chan Command, laneLength)
		c.lanes[id] = lane
		for range laneCalls {
			c.start(func() { c.drive(ctx, lane) })
		}
	}
	select {
	case lane <- command:
	default:
		c.log.Warn().Str("worker", string(id)).Msg("yard: too many orders wait for the worker")
		c.refuseOrder(command)
	}
}

// refuseOrder answers an order that never left the process.
func (c *Cell) refuseOrder(command Command) {
	switch command := command.(type) {
	case StartCmd:
		c.machine.Step(c.clock.Now(), StartedMsg{order: command.order, err: ErrNotSent})
	case StopCmd:
		c.machine.Step(c.clock.Now(), StoppedMsg{order: command.order, err: ErrNotSent})
	}
}

func (c *Cell) drive(ctx context.Context, lane <-chan Command) {
	for {
		select {
		case command := <-lane:
			c.order(ctx, command)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) order(ctx context.Context, command Command) {
	switch command := command.(type) {
	case StartCmd:
		clock, err := repeat(ctx, func(ctx context.Context) (int64, error) { return c.worker.Start(ctx, command.order) })
		c.input(ctx, StartedMsg{order: command.order, clock: clock, err: err})
	case StopCmd:
		clock, err := repeat(ctx, func(ctx context.Context) (int64, error) { return c.worker.Stop(ctx, command.order) })
		c.input(ctx, StoppedMsg{order: command.order, clock: clock, err: err})
	}
}

// repeat sends an order until it has an answer, at most orderTries times: a
// worker carries a start or a stop of a run out once, however often it is told
// to. A refusal that follows a try without an answer proves nothing, since that
// try may still be carried out.
func repeat(ctx context.Context, send func(context.Context) (int64, error)) (int64, error) {
	var unclear error
	for try := 1; ; try++ {
		timeout := repeatAfter
		if try == orderTries {
			timeout = orderTimeout
		}
		clock, err := within(ctx, timeout, send)
		if err == nil {
			return clock, nil
		}
		if unclear == nil {
			var refused *RefusedError
			if errors.As(err, &refused) || errors.Is(err, ErrNotSent) {
				return clock, err
			}
			unclear = err
		}
		if try == orderTries || ctx.Err() != nil {
			return clock, unclear
		}
	}
}

func within(ctx context.Context, timeout time.Duration, send func(context.Context) (int64, error)) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(limited)
}

func (c *Cell) hold(ctx context.Context, o HoldOrder) {
	limited, cancel := context.WithTimeout(ctx, o.wait+orderTimeout)
	defer cancel()
	sent := c.clock.Now()
	report, err := c.worker.Hold(limited, o)
	c.input(ctx, HeldMsg{order: o, sent: sent, report: report, err: err})
}

func (c *Cell) input(ctx context.Context, in Msg) {
	select {
	case c.inbox <- in:
	case <-ctx.Done():
	}
}
