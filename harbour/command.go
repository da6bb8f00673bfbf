package harbour

import (
	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// Event tells that the process acquired or lost a partition.
	Event interface{ isEvent() }

	// AcquiredEvent tells that the record names this process as the owner. It
	// may act as soon as the guard says so. It comes a second time for an epoch
	// when a move was broken off after the part had been stopped.
	AcquiredEvent struct {
		partition order.PartitionID
		epoch     order.Epoch
		state     []byte
	}

	// LostEvent tells that the process is no longer the owner at the epoch.
	LostEvent struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// command is what the protocol asks its surroundings to do.
	command interface{ isCommand() }

	sendCommand struct {
		to  order.MemberID
		msg order.Msg
	}

	// swapCommand asks for one compare-and-swap, which is answered by
	// swapped.
	swapCommand struct {
		partition order.PartitionID
		expected  depot.Version
		record    Record
	}

	// readCommand asks to read a record, which is answered by wasRead.
	readCommand struct{ partition order.PartitionID }

	// collectCommand asks for the in-memory state of a partition, which is
	// answered by collected.
	collectCommand struct {
		partition order.PartitionID
		epoch     order.Epoch
	}

	// releasedCommand tells that a handover is over.
	releasedCommand struct {
		partition order.PartitionID
		err       error
	}

	eventCommand struct{ event Event }
)

// Partition returns the partition.
func (e AcquiredEvent) Partition() order.PartitionID { return e.partition }

// Epoch returns the epoch at which the process may act.
func (e AcquiredEvent) Epoch() order.Epoch { return e.epoch }

// State returns the in-memory state that the previous owner handed over, nil
// if there is none.
func (e AcquiredEvent) State() []byte { return e.state }

// Partition returns the partition.
func (e LostEvent) Partition() order.PartitionID { return e.partition }

// Epoch returns the epoch that is over.
func (e LostEvent) Epoch() order.Epoch { return e.epoch }

func (AcquiredEvent) isEvent() {}
func (LostEvent) isEvent()     {}

func (sendCommand) isCommand()     {}
func (swapCommand) isCommand()     {}
func (readCommand) isCommand()     {}
func (collectCommand) isCommand()  {}
func (releasedCommand) isCommand() {}
func (eventCommand) isCommand()    {}
