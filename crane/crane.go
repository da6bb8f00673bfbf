// Package crane is the client of the worker protocol: HTTP with JSON bodies
// (design section 9).
package crane

import (
	"errors"
	"time"

	"chervilhollow/order"
)

type (
	// Stamp is a reading of a worker's own clock. Leases count from a stamp
	// that the owner sends back, so a message that was delayed on its way or
	// in a paused worker never extends a lease beyond what the owner assumes.
	Stamp struct {
		incarnation string
		clock       int64
	}

	// Ref names one attempt of a task.
	Ref struct {
		task    order.TaskID
		attempt order.Attempt
	}

	// Start describes a task to start.
	Start struct {
		task     order.Task
		attempt  order.Attempt
		epoch    order.Epoch
		reserved order.Resources
		lease    time.Duration
		stamp    Stamp
	}

	// Running is one running task in a listing.
	Running struct {
		task     order.Task
		attempt  order.Attempt
		reserved order.Resources
		started  time.Time
	}

	// Listing is all that a worker knows: its running tasks and the outcomes
	// that nobody acknowledged yet.
	Listing struct {
		stamp    Stamp
		running  []Running
		outcomes []Ended
	}

	// Ended is a retained outcome with the task it belongs to.
	Ended struct {
		task    order.Task
		outcome order.Outcome
	}

	// Renewal is the answer to a renewal.
	Renewal struct {
		stamp   Stamp
		unknown []Ref
	}

	// Events is the answer to an event poll.
	Events struct {
		stamp    Stamp
		next     uint64
		outcomes []Ended
	}

	// Use is the measured use of one running task.
	Use struct {
		ref  Ref
		used order.Resources
	}

	// RefusedError reports that the worker answered that it did not act.
	RefusedError struct {
		reason string
	}
)

// Reasons of a refusal.
const (
	ReasonStaleEpoch = "stale_epoch"
	ReasonStaleStamp = "stale_stamp"
	ReasonNoRoom     = "no_room"
	ReasonFailing    = "failing"
	ReasonForgotten  = "forgotten"
	ReasonOther      = "other_attempt"
)

// UserTimeout is the TCP_USER_TIMEOUT of connections to workers. The kernel
// drops bytes that are not acknowledged for this long, so a start that a cut
// link delays never arrives after a successor may act.
const UserTimeout = 500 * time.Millisecond

var (
	// ErrNotSent reports that the request was certainly not written.
	ErrNotSent = errors.New("request not sent")

	// ErrUncertain reports that the worker may have acted.
	ErrUncertain = errors.New("worker's answer lost")
)

// NewStamp returns a clock reading of one run of a worker.
func NewStamp(incarnation string, clock int64) Stamp {
	return Stamp{incarnation: incarnation, clock: clock}
}

// Incarnation names the run of the worker. It changes when the worker has
// lost all of its tasks.
func (s Stamp) Incarnation() string { return s.incarnation }

// Clock returns the worker's monotonic clock in microseconds.
func (s Stamp) Clock() int64 { return s.clock }

// After reports whether the stamp was read after the other one in the same
// run of the worker.
func (s Stamp) After(other Stamp) bool {
	return s.incarnation == other.incarnation && s.clock > other.clock
}

// NewRef returns the name of an attempt.
func NewRef(task order.TaskID, attempt order.Attempt) Ref {
	return Ref{task: task, attempt: attempt}
}

// Task returns the ID of the task.
func (r Ref) Task() order.TaskID { return r.task }

// Attempt returns the number of the attempt.
func (r Ref) Attempt() order.Attempt { return r.attempt }

// NewStart returns the description of a start under a lease that counts from
// the stamp.
func NewStart(task order.Task, attempt order.Attempt, epoch order.Epoch, lease time.Duration, stamp Stamp) Start {
	return Start{task: task, attempt: attempt, epoch: epoch, reserved: task.Size(), lease: lease, stamp: stamp}
}

// WithReserved returns a copy with the size that is reserved on the worker.
func (s Start) WithReserved(reserved order.Resources) Start {
	s.reserved = reserved
	return s
}

// Task returns the task to start.
func (s Start) Task() order.Task { return s.task }

// Attempt returns the number of the attempt.
func (s Start) Attempt() order.Attempt { return s.attempt }

// Epoch returns the fencing token.
func (s Start) Epoch() order.Epoch { return s.epoch }

// Reserved returns the size that is reserved on the worker.
func (s Start) Reserved() order.Resources { return s.reserved }

// Lease returns how long after the stamp the lease ends.
func (s Start) Lease() time.Duration { return s.lease }

// Stamp returns the clock reading that the lease counts from.
func (s Start) Stamp() Stamp { return s.stamp }

// NewRunning returns one running task of a listing.
func NewRunning(task order.Task, attempt order.Attempt, reserved order.Resources, started time.Time) Running {
	return Running{task: task, attempt: attempt, reserved: reserved, started: started}
}

// Task returns the task without its payload.
func (r Running) Task() order.Task { return r.task }

// Attempt returns the number of the attempt.
func (r Running) Attempt() order.Attempt { return r.attempt }

// Reserved returns the size that was reserved at the start.
func (r Running) Reserved() order.Resources { return r.reserved }

// Started returns when the worker started the task, by the worker's clock.
func (r Running) Started() time.Time { return r.started }

// NewEnded returns a retained outcome.
func NewEnded(task order.Task, outcome order.Outcome) Ended {
	return Ended{task: task, outcome: outcome}
}

// Task returns the task without its payload.
func (e Ended) Task() order.Task { return e.task }

// Outcome returns the outcome of the attempt.
func (e Ended) Outcome() order.Outcome { return e.outcome }

// NewListing returns a listing.
func NewListing(stamp Stamp, running []Running, outcomes []Ended) Listing {
	return Listing{stamp: stamp, running: running, outcomes: outcomes}
}

// Stamp returns the worker's clock at the listing.
func (l Listing) Stamp() Stamp { return l.stamp }

// Running returns the running tasks.
func (l Listing) Running() []Running { return l.running }

// Outcomes returns the outcomes that were not acknowledged.
func (l Listing) Outcomes() []Ended { return l.outcomes }

// NewRenewal returns the answer to a renewal.
func NewRenewal(stamp Stamp, unknown []Ref) Renewal {
	return Renewal{stamp: stamp, unknown: unknown}
}

// Stamp returns the worker's clock at the renewal.
func (r Renewal) Stamp() Stamp { return r.stamp }

// Unknown returns the attempts that the worker does not run.
func (r Renewal) Unknown() []Ref { return r.unknown }

// NewEvents returns the answer to an event poll.
func NewEvents(stamp Stamp, next uint64, outcomes []Ended) Events {
	return Events{stamp: stamp, next: next, outcomes: outcomes}
}

// Stamp returns the worker's clock at the answer.
func (e Events) Stamp() Stamp { return e.stamp }

// Next returns the position to poll from next.
func (e Events) Next() uint64 { return e.next }

// Outcomes returns the outcomes after the polled position.
func (e Events) Outcomes() []Ended { return e.outcomes }

// NewUse returns the measured use of a task.
func NewUse(ref Ref, used order.Resources) Use { return Use{ref: ref, used: used} }

// Ref returns the attempt that was measured.
func (u Use) Ref() Ref { return u.ref }

// Used returns the measured use.
func (u Use) Used() order.Resources { return u.used }

// NewRefusedError returns a refusal with the reason.
func NewRefusedError(reason string) *RefusedError { return &RefusedError{reason: reason} }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused: " + e.reason }

// Reason returns why the worker refused.
func (e *RefusedError) Reason() string { return e.reason }
