// Package dispatch is the client of the worker protocol, which is HTTP with
// JSON bodies (docs/worker-protocol.md and section 9 of docs/design.md). A
// Client starts, stops and watches the tasks of one worker. Its errors
// distinguish calls that were certainly not sent, calls that the worker
// refused, and calls whose effect is unknown.
package dispatch

import (
	"errors"
	"time"

	"chervilhollow/order"
)

type (
	// Stamp is a reading of a worker's own clock. The owner sends it back, and
	// leases count from it. A message that is delayed in the network or in a
	// paused worker thus never extends a lease beyond what the owner assumes.
	Stamp struct {
		incarnation string
		clock       int64
	}

	// AttemptRef identifies one attempt of a task.
	AttemptRef struct {
		task    order.TaskID
		attempt order.Attempt
	}

	// StartRequest is a request to start a task.
	StartRequest struct {
		task     order.Task
		attempt  order.Attempt
		epoch    order.Epoch
		reserved order.Resources
		lease    time.Duration
		stamp    Stamp
	}

	// RunningTask is one running task in a listing.
	RunningTask struct {
		task     order.Task
		attempt  order.Attempt
		reserved order.Resources
		started  time.Time
	}

	// Listing holds all running tasks of a worker and the outcomes that were
	// not acknowledged yet.
	Listing struct {
		stamp    Stamp
		running  []RunningTask
		outcomes []EndedTask
	}

	// EndedTask is an ended task with its outcome. The worker retains it until it
	// is acknowledged.
	EndedTask struct {
		task    order.Task
		outcome order.Outcome
	}

	// Renewal is the worker's answer to Renew.
	Renewal struct {
		stamp   Stamp
		unknown []AttemptRef
	}

	// Events is the worker's answer to a poll for outcomes.
	Events struct {
		stamp    Stamp
		next     uint64
		outcomes []EndedTask
	}

	// TaskUsage is the measured resource usage of one running task.
	TaskUsage struct {
		ref  AttemptRef
		used order.Resources
	}

	// RefusedError reports that the worker refused the call and did nothing.
	RefusedError struct {
		reason string
	}
)

// Reasons of a refusal, as the protocol names them.
const (
	// ReasonStaleEpoch means that the worker has seen a higher epoch.
	ReasonStaleEpoch = "stale_epoch"

	// ReasonStaleStamp means that the lease has expired already, or that the
	// stamp is of an earlier run of the worker.
	ReasonStaleStamp = "stale_stamp"

	// ReasonNoCapacity means that the task doesn't fit beside the running ones.
	ReasonNoCapacity = "no_room"

	// ReasonFailing means that the worker can't start tasks now.
	ReasonFailing = "failing"

	// ReasonForgotten means that the attempt has ended and its outcome was
	// acknowledged.
	ReasonForgotten = "forgotten"

	// ReasonOtherAttempt means that the worker runs, or has run, another
	// attempt of the task.
	ReasonOtherAttempt = "other_attempt"
)

// TCPUserTimeout is the TCP_USER_TIMEOUT of connections to workers. The kernel
// closes a connection whose bytes are not acknowledged for this long. A start
// that a broken network delays thus never arrives after another owner may act.
const TCPUserTimeout = 500 * time.Millisecond

var (
	// ErrNotSent reports that the worker certainly did not receive the whole
	// request, so it had no effect.
	ErrNotSent = errors.New("request not sent")

	// ErrUncertain reports that the worker may or may not have executed the
	// call.
	ErrUncertain = errors.New("worker's answer lost")
)

// NewStamp returns a reading, in microseconds, of the clock of one run of a
// worker.
func NewStamp(incarnation string, clock int64) Stamp {
	return Stamp{incarnation: incarnation, clock: clock}
}

// Incarnation returns the ID of the run of the worker. It changes when the
// worker restarts and so has lost all of its tasks.
func (s Stamp) Incarnation() string { return s.incarnation }

// Clock returns the worker's monotonic clock in microseconds.
func (s Stamp) Clock() int64 { return s.clock }

// After reports whether the stamp was read after the other one in the same
// run of the worker.
func (s Stamp) After(other Stamp) bool {
	return s.incarnation == other.incarnation && s.clock > other.clock
}

// NewAttemptRef returns the reference to an attempt of a task.
func NewAttemptRef(task order.TaskID, attempt order.Attempt) AttemptRef {
	return AttemptRef{task: task, attempt: attempt}
}

// Task returns the ID of the task.
func (r AttemptRef) Task() order.TaskID { return r.task }

// Attempt returns the number of the attempt.
func (r AttemptRef) Attempt() order.Attempt { return r.attempt }

// NewStartRequest returns a request to start the task under a lease that ends
// at the given time after the stamp. It reserves the task's declared size.
func NewStartRequest(task order.Task, attempt order.Attempt, epoch order.Epoch, lease time.Duration, stamp Stamp) StartRequest {
	return StartRequest{task: task, attempt: attempt, epoch: epoch, reserved: task.Size(), lease: lease, stamp: stamp}
}

// WithReserved returns a copy that reserves another size on the worker.
func (s StartRequest) WithReserved(reserved order.Resources) StartRequest {
	s.reserved = reserved
	return s
}

// Task returns the task to start.
func (s StartRequest) Task() order.Task { return s.task }

// Attempt returns the number of the attempt.
func (s StartRequest) Attempt() order.Attempt { return s.attempt }

// Epoch returns the fencing token of the owner that starts the task.
func (s StartRequest) Epoch() order.Epoch { return s.epoch }

// Reserved returns the size to reserve on the worker.
func (s StartRequest) Reserved() order.Resources { return s.reserved }

// Lease returns how long after the stamp the lease ends.
func (s StartRequest) Lease() time.Duration { return s.lease }

// Stamp returns the clock reading that the lease counts from.
func (s StartRequest) Stamp() Stamp { return s.stamp }

// NewRunningTask returns one running task of a listing.
func NewRunningTask(task order.Task, attempt order.Attempt, reserved order.Resources, started time.Time) RunningTask {
	return RunningTask{task: task, attempt: attempt, reserved: reserved, started: started}
}

// Task returns the task without its payload.
func (r RunningTask) Task() order.Task { return r.task }

// Attempt returns the number of the attempt.
func (r RunningTask) Attempt() order.Attempt { return r.attempt }

// Reserved returns the size that was reserved at the start.
func (r RunningTask) Reserved() order.Resources { return r.reserved }

// Started returns when the worker started the task, by the worker's clock.
func (r RunningTask) Started() time.Time { return r.started }

// NewEndedTask returns a retained outcome.
func NewEndedTask(task order.Task, outcome order.Outcome) EndedTask {
	return EndedTask{task: task, outcome: outcome}
}

// Task returns the task without its payload.
func (e EndedTask) Task() order.Task { return e.task }

// Outcome returns the outcome of the attempt.
func (e EndedTask) Outcome() order.Outcome { return e.outcome }

// NewListing returns a worker's answer to a call for its tasks.
func NewListing(stamp Stamp, running []RunningTask, outcomes []EndedTask) Listing {
	return Listing{stamp: stamp, running: running, outcomes: outcomes}
}

// Stamp returns the worker's clock at the listing.
func (l Listing) Stamp() Stamp { return l.stamp }

// Running returns the running tasks.
func (l Listing) Running() []RunningTask { return l.running }

// Outcomes returns the outcomes that were not acknowledged.
func (l Listing) Outcomes() []EndedTask { return l.outcomes }

// NewRenewal returns the answer to a renewal.
func NewRenewal(stamp Stamp, unknown []AttemptRef) Renewal {
	return Renewal{stamp: stamp, unknown: unknown}
}

// Stamp returns the worker's clock at the renewal.
func (r Renewal) Stamp() Stamp { return r.stamp }

// Unknown returns the attempts of the renewal that the worker doesn't run.
func (r Renewal) Unknown() []AttemptRef { return r.unknown }

// NewEvents returns the answer to an event poll.
func NewEvents(stamp Stamp, next uint64, outcomes []EndedTask) Events {
	return Events{stamp: stamp, next: next, outcomes: outcomes}
}

// Stamp returns the worker's clock at the answer.
func (e Events) Stamp() Stamp { return e.stamp }

// Next returns the position for the next poll.
func (e Events) Next() uint64 { return e.next }

// Outcomes returns the outcomes after the polled position.
func (e Events) Outcomes() []EndedTask { return e.outcomes }

// NewTaskUsage returns the measured usage of an attempt.
func NewTaskUsage(ref AttemptRef, used order.Resources) TaskUsage {
	return TaskUsage{ref: ref, used: used}
}

// Ref returns the attempt that used the resources.
func (u TaskUsage) Ref() AttemptRef { return u.ref }

// Used returns the resources that the attempt uses.
func (u TaskUsage) Used() order.Resources { return u.used }

// NewRefusedError returns a refusal with one of the reasons.
func NewRefusedError(reason string) *RefusedError { return &RefusedError{reason: reason} }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused: " + e.reason }

// Reason returns why the worker refused, as one of the Reason constants.
func (e *RefusedError) Reason() string { return e.reason }
