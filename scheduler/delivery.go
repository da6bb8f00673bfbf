package scheduler

import (
	"errors"
	"time"
)

type (
	// orderQueue holds the orders to one worker, of which a few are delivered
	// at a time. It is not safe for concurrent use.
	orderQueue struct {
		waiting []Command
		open    int
	}

	// delivery decides on the attempts to send one order. It does no I/O, and
	// is not safe for concurrent use.
	delivery struct {
		permit *permit

		// attempts counts those made. unconfirmed is the error of the first one
		// without a response, after which the worker may execute the order.
		attempts    int
		unconfirmed error
	}
)

const (
	// orderQueueLength limits the orders that wait for one worker.
	orderQueueLength = 256

	// maxOrdersPerWorker is how many orders to one worker may be in flight.
	maxOrdersPerWorker = 2

	// orderTimeout is the timeout of the last attempt to send an order.
	// Responses from the farthest domain arrive within 10 ms.
	orderTimeout = 700 * time.Millisecond

	// earlyOrderTimeout is the timeout of the earlier attempts. The tightest
	// objective leaves 250 ms beside the work.
	earlyOrderTimeout = 200 * time.Millisecond

	// maxOrderTries is how often an order is sent. If one in twenty attempts
	// has no response, one order in 8,000 stays unconfirmed.
	maxOrderTries = 3
)

// add queues an order. It reports false if the queue is full.
func (q *orderQueue) add(c Command) bool {
	if len(q.waiting) >= orderQueueLength {
		return false
	}
	q.waiting = append(q.waiting, c)
	return true
}

// next returns the order to deliver now. It reports false if none waits or
// enough are open; otherwise done must follow.
func (q *orderQueue) next() (Command, bool) {
	if len(q.waiting) == 0 || q.open >= maxOrdersPerWorker {
		return nil, false
	}
	c := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	q.open++
	return c, true
}

// done records that an order has its result.
func (q *orderQueue) done() { q.open-- }

// idle reports whether the queue has no order.
func (q *orderQueue) idle() bool { return q.open == 0 && len(q.waiting) == 0 }

// begin returns the timeout of the next attempt, or the result of the order if
// its permit does not hold.
func (d *delivery) begin(now time.Time) (time.Duration, error) {
	if !d.permit.use(now) {
		return 0, d.abandon()
	}
	d.attempts++
	if d.attempts == maxOrderTries {
		return orderTimeout, nil
	}
	return earlyOrderTimeout, nil
}

// abandon returns the result of an order that is not sent again.
func (d *delivery) abandon() error {
	if d.unconfirmed != nil {
		return d.unconfirmed
	}
	return errWithdrawn
}

// end records the error of an attempt, or nil. It returns the result of the
// order, and final is false if another attempt has to be made. After an attempt
// without a response a later refusal proves nothing, since the worker may still
// execute the earlier one.
func (d *delivery) end(err error) (final bool, result error) {
	switch {
	case err == nil:
		return true, nil
	case d.unconfirmed != nil:
	case notExecuted(err):
		return true, err
	default:
		d.unconfirmed = err
	}
	return d.attempts == maxOrderTries, d.unconfirmed
}

// notExecuted reports whether the error of an order says that the worker has
// certainly not executed it.
func notExecuted(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) || errors.Is(err, ErrNotSent)
}
