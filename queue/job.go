package queue

import (
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	phase      uint8
	taskState  uint8
	writeState uint8

	// waiter is a call of a gate that gets the final answer of a request.
	waiter struct {
		gate     order.MemberID
		sequence uint64
	}

	// job is a request with its tasks, from its admission to the end of its
	// retention.
	job struct {
		key      logbook.Key
		request  order.Request
		checksum uint64
		// hasChecksum reports whether checksum is that of the caller's payload.
		// A job that was adopted from an inventory gets the checksum of its
		// first duplicate submission.
		hasChecksum bool
		// round counts the resubmissions of the request ID after an outcome
		// that said "not run".
		round    uint32
		phase    phase
		class    class
		received time.Time
		waiters  []waiter
		// acceptWaiters are the calls that are answered once the record of the
		// detached request is in the journal.
		acceptWaiters []waiter
		tasks         []*task

		// The states of the job's journal records. recordToken is the token of
		// the last one.
		acceptedRecord writeState
		startRecord    writeState
		endRecord      writeState
		recordToken    logbook.Token

		// adopted is set while the request is known only from a group's copy of
		// its tasks.
		adopted bool
		// handedOver is set if the former owner journaled the start but did not
		// send a confirmation.
		handedOver bool
		// mayHaveRunBefore is set if a former owner may have run the request.
		mayHaveRunBefore bool
		cancelled        bool
		expired          bool
		finished         time.Time
		outcome          order.Outcome
		// acks are sent to the groups once endRecord is done.
		acks []ack

		// confirmCount is the number of attempts that were confirmed. Of these,
		// notStartedCount were reported as not started and resumedCount ended
		// with a checkpoint.
		confirmCount    int
		notStartedCount int
		resumedCount    int
		// hasRun is set once an attempt is known to have started.
		hasRun bool

		gang gang
		// timerAt is when the job's next timer runs, or the zero time.
		timerAt time.Time
		// cached is set while the outcome is in the outcome cache.
		cached bool
	}

	// task is one unit of placement of a job. It runs in one attempt at a time.
	task struct {
		job         *job
		id          order.TaskID
		index       int
		state       taskState
		bids        []bid
		bidRenewals int
		lastEnded   order.Attempt
		attempt     order.Attempt
		group       order.GroupID
		// groupEpoch is the epoch of the group's owner that made the offer or
		// last reported the start.
		groupEpoch order.Epoch
		worker     order.WorkerID
		// holdUntil is when the offer is no longer confirmed.
		holdUntil time.Time
		// resendAt is when the confirmation or the stop is sent again, renewAt
		// when the bids are renewed, and retryAt when the task is placed again.
		resendAt time.Time
		renewAt  time.Time
		retryAt  time.Time
		retries  int
		// needsBudget is set if the next attempt has to wait for the retry
		// budget.
		needsBudget       bool
		incompleteResults int
		// confirmsSent counts the confirmations sent for the attempt.
		confirmsSent int
		stopping     bool
		// notStarted is set if the group reported the last attempt as not
		// started.
		notStarted bool
		// startUnknownAt is when the outcome of the request becomes unknown, if
		// the group has still not reported whether the attempt started. It is
		// set when the attempt is stopped at its deadline.
		startUnknownAt time.Time
		outcome        order.Outcome
	}

	bid struct {
		group order.GroupID
		epoch order.Epoch
	}

	// ack is an acknowledgement of an outcome. It is sent once the outcome is
	// in the journal.
	ack struct {
		group   order.GroupID
		task    order.TaskID
		attempt order.Attempt
	}
)

const (
	// phaseAccepting is the phase of a detached request whose record is not in
	// the journal yet.
	phaseAccepting phase = iota + 1
	// phaseRecovering waits for the inventory after a change of owner.
	phaseRecovering
	// phaseOpen is the phase of a request that is queued, bids or runs.
	phaseOpen
	// phaseEnding has an outcome that is answered once it is in the journal.
	phaseEnding
	// phaseDone has an outcome that was answered.
	phaseDone
)

const (
	// taskWaiting is queued, or waits for retryAt.
	taskWaiting taskState = iota + 1
	taskBidding
	// taskHeld has an offer that is not confirmed yet.
	taskHeld
	// taskConfirmed may be running; the group has not reported the start.
	taskConfirmed
	taskRunning
	taskEnded
)

const (
	writeNone writeState = iota
	writePending
	writeDone
)

// restartable reports whether the job may start again after it may have run. A
// service is always restarted when its worker is lost.
func (j *job) restartable() bool { return restartable(j.request) }

func restartable(r order.Request) bool {
	return r.Idempotent() || r.Kind() == order.Service
}

func (j *job) isGang() bool { return j.request.Kind() == order.Gang }

func (j *job) final() bool { return j.phase == phaseEnding || j.phase == phaseDone }

// journaled reports whether the journal has, or may have, a record of the job's
// submission or start.
func (j *job) journaled() bool {
	return j.acceptedRecord != writeNone || j.startRecord != writeNone
}

// mayHaveRun reports whether an attempt was confirmed and not reported as not
// started.
func (j *job) mayHaveRun() bool { return j.confirmCount > j.notStartedCount }

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

func (t *task) bidIndex(group order.GroupID) int {
	for i, b := range t.bids {
		if b.group == group {
			return i
		}
	}
	return -1
}

// groupMessage returns the task as it is sent to groups.
func (t *task) groupMessage(partition order.PartitionID) order.Task {
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
