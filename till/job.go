package till

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	phase     uint8
	taskState uint8
	write     uint8

	// waiter is one call of a gate that waits for the final answer.
	waiter struct {
		gate     order.MemberID
		sequence uint64
	}

	// job is one request with its tasks.
	job struct {
		key      logbook.Key
		request  order.Request
		checksum uint64
		// verified tells that the checksum is that of the caller's body. A job
		// that was adopted from an inventory takes that of its first duplicate.
		verified bool
		round    uint32
		phase    phase
		class    class
		received time.Time
		waiters  []waiter
		// acceptors wait for the journal to hold a detached request.
		acceptors []waiter
		tasks     []*task

		accepted write
		starting write
		ended    write
		token    logbook.Token

		// adopted tells that the request is known only from a group's copy of
		// its tasks.
		adopted bool
		// doubtful tells that a former owner may have run the request.
		doubtful  bool
		cancelled bool
		expired   bool
		finished  time.Time
		outcome   order.Outcome
		acks      []ack

		// confirms counts attempts whose confirmation was sent; unstarted
		// counts those that the group reported as not started, and resumed
		// those that ended with a checkpoint.
		confirms  int
		unstarted int
		resumed   int
		// ran tells that an attempt certainly started.
		ran bool

		gang   gang
		wakeAt time.Time
		// kept tells that the outcome counts in the bound of kept bodies.
		kept bool
	}

	// task is one unit of placement of a job.
	task struct {
		job      *job
		id       order.TaskID
		index    int
		state    taskState
		bids     []bid
		renewals int
		// over is the last attempt that ended.
		over    order.Attempt
		attempt order.Attempt
		group   order.GroupID
		epoch   order.Epoch
		worker  order.WorkerID
		// until ends the hold of an offer.
		until    time.Time
		resendAt time.Time
		checkAt  time.Time
		retryAt  time.Time
		retries  int
		// unpaid tells that the next attempt still needs the retry budget.
		unpaid bool
		broken int
		// sent counts the confirmations of the attempt.
		sent     int
		stopping bool
		// unstarted tells that the group reported the last attempt as not
		// started.
		unstarted bool
		// silentAt is when an attempt that was asked to stop at its deadline
		// counts as unknown.
		silentAt time.Time
		outcome  order.Outcome
	}

	bid struct {
		group order.GroupID
		epoch order.Epoch
	}

	// ack is an acknowledgement that waits for the journal.
	ack struct {
		group   order.GroupID
		task    order.TaskID
		attempt order.Attempt
	}
)

const (
	// phaseAccepting waits for the journal to hold the request.
	phaseAccepting phase = iota + 1
	// phaseRecovering waits for the inventory after a change of owner.
	phaseRecovering
	// phaseOpen waits for room or runs.
	phaseOpen
	// phaseEnding has an outcome that is answered once it is journaled.
	phaseEnding
	// phaseDone has an outcome that was answered.
	phaseDone
)

const (
	taskWaiting taskState = iota + 1
	taskBidding
	taskHeld
	taskConfirmed
	taskRunning
	taskEnded
)

const (
	writeNone write = iota
	writePending
	writeDone
)

// repeatable reports whether the job may run again after it may have started.
// A service is replaced when its worker is lost, whatever else it declares.
func (j *job) repeatable() bool { return repeatable(j.request) }

func repeatable(r order.Request) bool {
	return r.Idempotent() || r.Kind() == order.Service
}

func (j *job) isGang() bool { return j.request.Kind() == order.Gang }

func (j *job) final() bool { return j.phase == phaseEnding || j.phase == phaseDone }

// journaled reports whether the journal has, or may have, records of the job.
func (j *job) journaled() bool {
	return j.accepted != writeNone || j.starting != writeNone
}

// mayHaveRun reports whether an attempt was confirmed and not reported as not
// started.
func (j *job) mayHaveRun() bool { return j.confirms > j.unstarted }

func (j *job) addWaiter(w waiter) {
	for _, known := range j.waiters {
		if known == w {
			return
		}
	}
	j.waiters = append(j.waiters, w)
}

// open reports whether the task has an attempt that may be running.
func (t *task) open() bool { return t.state == taskConfirmed || t.state == taskRunning }

func (t *task) bidAt(group order.GroupID) int {
	for i, b := range t.bids {
		if b.group == group {
			return i
		}
	}
	return -1
}

// message returns the task as groups see it.
func (t *task) message(partition order.PartitionID) order.Task {
	r := t.job.request
	return order.Task{}.
		WithID(t.id).
		WithRequest(r.ID()).
		WithPartition(partition).
		WithTeam(r.Team()).
		WithKind(r.Kind()).
		WithIndex(t.index).
		WithSize(r.Size()).
		WithIdempotent(r.Idempotent()).
		WithCheckpoint(r.Checkpoint()).
		WithUrgent(r.Urgent()).
		WithDeadline(r.Deadline()).
		WithQueued(t.job.received).
		WithPayload(r.Payload())
}
