package placement

import (
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

type (
	// entry is one attempt of a task, from its offer or adoption until its
	// outcome is acknowledged. reserved is the size it reserves,
	// reportedUse the use in the worker's last report, and load the share
	// of the group that it takes.
	entry struct {
		task        order.Task
		attempt     order.Attempt
		state       order.TaskState
		host        *host
		reserved    amount
		reportedUse amount
		queued      time.Time
		offers      int
		load        float64

		// heldUntil is when an offer without an answer expires.
		heldUntil time.Time

		// leaseBase is the local time at which the clock reading of the
		// last granted lease arrived. That lease may or may not have
		// reached the worker.
		leaseBase time.Time
		// startStamp is the clock reading that the last start carried. inFlight
		// counts the starts without an answer yet. uncertain is set if the
		// answer to a start was lost or unclear, so the task may run.
		startStamp dispatch.Stamp
		inFlight   int
		uncertain  bool
		sends      int
		retryAt    time.Time
		// confirmed is set once the worker has had the task. latestStamp is
		// the latest clock reading at which it had it.
		confirmed   bool
		latestStamp dispatch.Stamp
		startedAt   time.Time

		stopping   bool
		checkpoint bool
		nextStop   time.Time

		outcome    order.Outcome
		notStarted bool
		repostAt   time.Time
	}

	// tombstone records how an attempt ended after its entry was removed, so
	// that late duplicates of messages get a correct answer. Only an attempt
	// whose offer expired may bid again. epoch is that of the owner that made
	// the offer.
	tombstone struct {
		expiresAt      time.Time
		notStarted     bool
		offerExpired   bool
		outcomeUnknown bool
		epoch          order.Epoch
	}
)

func (e *entry) ref() dispatch.AttemptRef { return dispatch.NewAttemptRef(e.task.ID(), e.attempt) }

// active reports whether the task may be running.
func (e *entry) active() bool {
	return e.state == order.TaskStarting || e.state == order.TaskRunning
}

// leaseEnd returns when the task has certainly stopped unless its lease was
// renewed.
func (e *entry) leaseEnd() time.Time { return e.leaseBase.Add(taskLease + leaseMargin) }

func requestPartitionOf(task order.Task) order.PartitionID {
	if task.Partition() != "" {
		return task.Partition()
	}
	return task.ID().Partition()
}
