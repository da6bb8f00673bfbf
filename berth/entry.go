package berth

import (
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

type (
	// entry is one attempt of a task that the group knows beyond a bid.
	entry struct {
		task     order.Task
		attempt  order.Attempt
		state    order.TaskState
		host     *host
		reserved amount
		seen     amount
		queued   time.Time
		offers   int
		load     float64

		heldUntil time.Time

		// leaseBase is when the clock reading arrived that the last lease,
		// which may have reached the worker, counts from.
		leaseBase  time.Time
		startStamp crane.Stamp
		inFlight   int
		uncertain  bool
		sends      int
		retryAt    time.Time
		confirmed  bool
		seenStamp  crane.Stamp
		startedAt  time.Time

		stopping   bool
		checkpoint bool
		stopAt     time.Time

		outcome    order.Outcome
		notStarted bool
		repostAt   time.Time
	}

	// settled remembers how an attempt ended after its entry is gone, so that
	// late duplicates of messages are answered truthfully. Only an attempt
	// whose offer expired may bid again.
	settled struct {
		until      time.Time
		notStarted bool
		expired    bool
		unknown    bool
		epoch      order.Epoch
	}
)

func (e *entry) ref() crane.Ref { return crane.NewRef(e.task.ID(), e.attempt) }

func (e *entry) live() bool {
	return e.state == order.TaskStarting || e.state == order.TaskRunning
}

func (e *entry) leaseEnd() time.Time { return e.leaseBase.Add(taskLease + leaseMargin) }

func requestPartitionOf(task order.Task) order.PartitionID {
	if task.Partition() != "" {
		return task.Partition()
	}
	return task.ID().Partition()
}
