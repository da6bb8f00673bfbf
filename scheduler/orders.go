package scheduler

import (
	"context"
	"errors"
	"time"

	"chervilhollow/order"
)

type (
	// TaskRef names one task of a job. It is comparable.
	TaskRef struct {
		job        order.JobID
		occurrence int
		step       int
		index      int
	}

	// WorkerInfo describes a worker as the discovery lists it.
	WorkerInfo struct {
		id          order.WorkerID
		address     string
		service     string
		domain      order.DomainName
		capacity    order.Resources
		labels      []string
		incarnation int64
		draining    bool
	}

	// WorkerAddress is where one incarnation of a worker receives orders.
	WorkerAddress struct {
		address     string
		worker      order.WorkerID
		incarnation int64
	}

	// StartOrder starts a run of a task under a lease. A worker that gets it
	// more than once starts the run once.
	StartOrder struct {
		to         WorkerAddress
		task       TaskRef
		run        int
		payload    string
		leaseEnd   int64
		epoch      order.Epoch
		checkpoint string
		ticket     string
		permit     *permit
	}

	// StopOrder stops a run of a task.
	StopOrder struct {
		to     WorkerAddress
		task   TaskRef
		run    int
		epoch  order.Epoch
		permit *permit
	}

	// PollOrder is a long poll: it renews the lease of all runs of the worker,
	// acknowledges ended runs, and waits for the next end.
	PollOrder struct {
		to       WorkerAddress
		epoch    order.Epoch
		acked    int64
		leaseEnd int64
		wait     time.Duration
		permit   *permit

		// first marks the first poll of a worker in the epoch.
		first bool
	}

	// Report is a worker's response to a poll. Its clock and incarnation are
	// zero if the response lacks them. The list of ended runs has only the first
	// of them if moreEnds is set; the list of running ones is complete.
	Report struct {
		clock       int64
		incarnation int64
		running     []RunningTask
		ended       []EndedTask
		unreadable  int
		moreEnds    bool
	}

	// RunningTask is a run that a worker executes.
	RunningTask struct {
		task       TaskRef
		run        int
		checkpoint string
		percent    int
	}

	// EndedTask is the end of a run, with a number that grows within an
	// incarnation of the worker. A worker repeats it until it is acknowledged.
	EndedTask struct {
		number     int64
		task       TaskRef
		run        int
		result     Result
		checkpoint string
	}

	// Result is how a run ended. The zero value is invalid.
	Result uint8

	// Refusal is why a worker refused an order. The zero value is invalid.
	Refusal uint8

	// RefusedError reports that a worker refused an order and did nothing. Its
	// clock is zero if the worker sent none.
	RefusedError struct {
		reason Refusal
		clock  int64
	}

	// WorkerClient sends orders to workers. The clocks it returns are those of
	// the workers, in milliseconds. After an error other than a *RefusedError
	// or ErrNotSent the worker may still execute the order, even later. It is
	// called from several goroutines.
	WorkerClient interface {
		Start(ctx context.Context, o StartOrder) (clock int64, err error)
		Stop(ctx context.Context, o StopOrder) (clock int64, err error)
		Poll(ctx context.Context, o PollOrder) (Report, error)

		// Disconnect closes all connections, so that pending calls fail. A
		// cancelled context does not end them.
		Disconnect()
	}

	// Adviser requests from the advice service which of the workers may run a
	// step, and returns a ticket for each of these.
	Adviser interface {
		Advise(ctx context.Context, job order.JobID, occurrence, step int, workers []order.WorkerID) ([]order.WorkerTicket, error)
	}
)

// Results of a run.
const (
	// ResultDone means that the task completed.
	ResultDone Result = iota + 1
	// ResultFailed means that the task failed.
	ResultFailed
	// ResultStopped means that the run was stopped by an order.
	ResultStopped
	// ResultLeaseExpired means that the lease of the run expired.
	ResultLeaseExpired
	// ResultGangEnded means that another member of the gang had ended.
	ResultGangEnded
	// ResultGangTimeout means that the rest of the gang did not start in
	// time.
	ResultGangTimeout
)

// Reasons of refusals.
const (
	// RefusedStaleEpoch means that the worker has accepted a later epoch.
	RefusedStaleEpoch Refusal = iota + 1
	// RefusedKnownRun means that the worker has this or a later run
	// already.
	RefusedKnownRun
	// RefusedLeaseExpired means that the lease had expired on arrival.
	RefusedLeaseExpired
	// RefusedNoCapacity means that the worker has not enough free capacity.
	RefusedNoCapacity
	// RefusedTicket means that the ticket is missing, invalid or expired.
	RefusedTicket
	// RefusedBusy means that the worker is overloaded or unavailable.
	RefusedBusy
	// RefusedIncarnation means that another incarnation or worker is
	// there.
	RefusedIncarnation
	// RefusedMalformed means that the worker could not read the order.
	RefusedMalformed
)

var (
	// ErrNotSent reports that no byte of the order left this process.
	ErrNotSent = errors.New("order not sent")

	// ErrConnectionRefused reports, beside ErrNotSent, that the worker's address
	// refused the connection. The worker may run on behind a partition that
	// refuses connections on its behalf.
	ErrConnectionRefused = errors.New("the address refuses connections")

	resultNames  = [...]string{ResultDone: "done", ResultFailed: "failed", ResultStopped: "stopped", ResultLeaseExpired: "lapsed", ResultGangEnded: "broken", ResultGangTimeout: "alone"}
	refusalNames = [...]string{
		RefusedStaleEpoch: "fence", RefusedKnownRun: "run", RefusedLeaseExpired: "late", RefusedNoCapacity: "room",
		RefusedTicket: "ticket", RefusedBusy: "busy", RefusedIncarnation: "life", RefusedMalformed: "malformed",
	}
)

// NewTaskRef returns the name of a task. The numbers count from zero.
func NewTaskRef(job order.JobID, occurrence, step, index int) TaskRef {
	return TaskRef{job: job, occurrence: occurrence, step: step, index: index}
}

// NewWorkerInfo returns the description of a worker with no labels and an
// unknown incarnation.
func NewWorkerInfo(id order.WorkerID, address, service string, domain order.DomainName, capacity order.Resources) WorkerInfo {
	return WorkerInfo{id: id, address: address, service: service, domain: domain, capacity: capacity}
}

// WithLabels returns a copy with the labels. One of them may name the rack.
func (w WorkerInfo) WithLabels(labels []string) WorkerInfo {
	w.labels = labels
	return w
}

// WithIncarnation returns a copy for the incarnation, which grows with
// each start of the worker under the same ID.
func (w WorkerInfo) WithIncarnation(incarnation int64, draining bool) WorkerInfo {
	w.incarnation, w.draining = incarnation, draining
	return w
}

// NewReport returns a worker's response to a poll. The clock is in
// milliseconds.
func NewReport(clock, incarnation int64, running []RunningTask, ended []EndedTask) Report {
	return Report{clock: clock, incarnation: incarnation, running: running, ended: ended}
}

// WithUnreadable returns a copy with the number of rows that could not be read.
func (r Report) WithUnreadable(rows int) Report {
	r.unreadable = rows
	return r
}

// WithMoreEnds returns a copy that says whether the worker may have more ended
// runs than those listed.
func (r Report) WithMoreEnds(more bool) Report {
	r.moreEnds = more
	return r
}

// NewRunningTask returns a run that a worker executes, with its last
// checkpoint and its progress in percent.
func NewRunningTask(task TaskRef, run int, checkpoint string, percent int) RunningTask {
	return RunningTask{task: task, run: run, checkpoint: checkpoint, percent: percent}
}

// NewEndedTask returns the end of a run, with its last checkpoint. One that
// names no task is only acknowledged.
func NewEndedTask(number int64, task TaskRef, run int, result Result, checkpoint string) EndedTask {
	return EndedTask{number: number, task: task, run: run, result: result, checkpoint: checkpoint}
}

// NewRefusedError returns the error for an order that was not executed.
func NewRefusedError(reason Refusal, clock int64) *RefusedError {
	return &RefusedError{reason: reason, clock: clock}
}

// NewWorkerAddress returns the address of an incarnation of a worker; zero
// stands for any incarnation.
func NewWorkerAddress(address string, worker order.WorkerID, incarnation int64) WorkerAddress {
	return WorkerAddress{address: address, worker: worker, incarnation: incarnation}
}

// WithTo returns a copy for another worker.
func (o StopOrder) WithTo(to WorkerAddress) StopOrder {
	o.to = to
	return o
}

// WithTo returns a copy for another worker.
func (o PollOrder) WithTo(to WorkerAddress) PollOrder {
	o.to = to
	return o
}

// Job returns the ID of the job.
func (t TaskRef) Job() order.JobID { return t.job }

// Occurrence returns which repetition of the job the task belongs to, from
// zero.
func (t TaskRef) Occurrence() int { return t.occurrence }

// Step returns the number of the step within its job, from zero.
func (t TaskRef) Step() int { return t.step }

// Index returns the number of the task within its step, from zero.
func (t TaskRef) Index() int { return t.index }

// Address returns the host and port of the worker.
func (a WorkerAddress) Address() string { return a.address }

// Worker returns the ID of the worker.
func (a WorkerAddress) Worker() order.WorkerID { return a.worker }

// Incarnation returns the incarnation that the order is for; zero means any.
func (a WorkerAddress) Incarnation() int64 { return a.incarnation }

// To returns the worker that gets the order.
func (o StartOrder) To() WorkerAddress { return o.to }

// Task returns the task to start.
func (o StartOrder) Task() TaskRef { return o.task }

// Run returns the number of the run, which is higher than those of all earlier
// runs of the task.
func (o StartOrder) Run() int { return o.run }

// Payload returns the payload of the job.
func (o StartOrder) Payload() string { return o.payload }

// LeaseEnd returns the end of the lease in milliseconds of the worker's clock.
func (o StartOrder) LeaseEnd() int64 { return o.leaseEnd }

// Epoch returns the fencing token.
func (o StartOrder) Epoch() order.Epoch { return o.epoch }

// Checkpoint returns where the task resumes, or an empty string.
func (o StartOrder) Checkpoint() string { return o.checkpoint }

// Ticket returns the ticket of the advice service, or an empty string if the
// step needs none.
func (o StartOrder) Ticket() string { return o.ticket }

// To returns the worker that gets the order.
func (o StopOrder) To() WorkerAddress { return o.to }

// Task returns the task to stop.
func (o StopOrder) Task() TaskRef { return o.task }

// Run returns the number of the run.
func (o StopOrder) Run() int { return o.run }

// Epoch returns the fencing token.
func (o StopOrder) Epoch() order.Epoch { return o.epoch }

// To returns the worker that gets the order.
func (o PollOrder) To() WorkerAddress { return o.to }

// Epoch returns the fencing token.
func (o PollOrder) Epoch() order.Epoch { return o.epoch }

// Acked returns the number up to which ends are acknowledged.
func (o PollOrder) Acked() int64 { return o.acked }

// LeaseEnd returns the end of the lease in milliseconds of the worker's clock;
// zero leaves the lease unchanged.
func (o PollOrder) LeaseEnd() int64 { return o.leaseEnd }

// Wait returns how long the worker may wait for an end before it responds; zero
// means not at all.
func (o PollOrder) Wait() time.Duration { return o.wait }

// MoreEnds reports whether the worker may have more ended runs than those
// listed.
func (r Report) MoreEnds() bool { return r.moreEnds }

// Reason returns why the worker refused the order.
func (e *RefusedError) Reason() Refusal { return e.reason }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused the order: " + e.reason.String() }

// String implements fmt.Stringer.
func (r Refusal) String() string { return refusalNames[r] }

// String implements fmt.Stringer.
func (e Result) String() string { return resultNames[e] }
