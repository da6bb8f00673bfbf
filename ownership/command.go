package ownership

import (
	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// Event reports that the process acquired or lost a partition.
	Event interface{ isEvent() }

	// AcquiredEvent reports that the record names this process as the owner.
	// The process may act once the guard has time remaining. The event is sent
	// again for the same epoch when a move is aborted after the component was
	// drained.
	AcquiredEvent struct {
		partition order.PartitionID
		epoch     order.Epoch
		state     []byte
	}

	// LostEvent reports that the process no longer owns the partition at the
	// epoch.
	LostEvent struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// command is an action that the protocol requests from the Manager.
	command interface{ isCommand() }

	sendCommand struct {
		to  order.MemberID
		msg order.Msg
	}

	// swapCommand requests one compare-and-swap. The result goes to
	// handleSwapResult.
	swapCommand struct {
		partition order.PartitionID
		expected  storage.Version
		record    Record
	}

	// readCommand requests a read of the record. The result goes to
	// handleReadResult.
	readCommand struct{ partition order.PartitionID }

	// drainCommand requests that the component of a partition is stopped and
	// its in-memory state returned. The state goes to handleDrained.
	drainCommand struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// handoverDoneCommand reports the end of a handover. A nil err means that
	// the new owner confirmed it.
	handoverDoneCommand struct {
		partition order.PartitionID
		err       error
	}

	eventCommand struct{ event Event }
)

// Partition returns the ID of the acquired partition.
func (e AcquiredEvent) Partition() order.PartitionID { return e.partition }

// Epoch returns the epoch at which the process may act.
func (e AcquiredEvent) Epoch() order.Epoch { return e.epoch }

// State returns the in-memory state that the former owner handed over, or nil
// if there is none.
func (e AcquiredEvent) State() []byte { return e.state }

// Partition returns the ID of the lost partition.
func (e LostEvent) Partition() order.PartitionID { return e.partition }

// Epoch returns the epoch that ended.
func (e LostEvent) Epoch() order.Epoch { return e.epoch }

func (AcquiredEvent) isEvent() {}
func (LostEvent) isEvent()     {}

func (sendCommand) isCommand()         {}
func (swapCommand) isCommand()         {}
func (readCommand) isCommand()         {}
func (drainCommand) isCommand()        {}
func (handoverDoneCommand) isCommand() {}
func (eventCommand) isCommand()        {}
