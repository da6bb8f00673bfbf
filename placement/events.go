package placement

import (
	"chervilhollow/dispatch"
	"chervilhollow/order"
)

type (
	// event is an input of the state machine: a message, a tick, or the
	// result of a command.
	event interface{ isEvent() }

	messageEvent struct{ message order.Msg }

	tickEvent struct{}

	startResult struct {
		worker order.WorkerID
		ref    dispatch.AttemptRef
		stamp  dispatch.Stamp
		err    error
	}

	listResult struct {
		worker  order.WorkerID
		listing dispatch.Listing
		err     error
	}

	renewResult struct {
		worker  order.WorkerID
		renewal dispatch.Renewal
		err     error
	}

	pollResult struct {
		worker order.WorkerID
		events dispatch.Events
		err    error
	}

	ackResult struct {
		worker order.WorkerID
		refs   []dispatch.AttemptRef
		err    error
	}

	usageResult struct {
		worker order.WorkerID
		uses   []dispatch.TaskUsage
		err    error
	}

	allotmentsResult struct {
		records map[order.TeamName]allotment
		err     error
	}

	// command is an output of the state machine. Group executes it.
	command interface{ isCommand() }

	postCommand struct {
		partition order.PartitionID
		message   order.Msg
	}

	startCommand struct {
		worker order.WorkerID
		start  dispatch.StartRequest
	}

	listCommand struct{ worker order.WorkerID }

	renewCommand struct {
		worker order.WorkerID
		stamp  dispatch.Stamp
		refs   []dispatch.AttemptRef
	}

	// pollCommand waits for outcomes on the worker after the given event
	// number.
	pollCommand struct {
		worker order.WorkerID
		after  uint64
	}

	ackCommand struct {
		worker order.WorkerID
		refs   []dispatch.AttemptRef
	}

	stopCommand struct {
		worker     order.WorkerID
		ref        dispatch.AttemptRef
		checkpoint bool
	}

	usageCommand struct{ worker order.WorkerID }

	// readAllotmentsCommand reads the allotment records of all teams.
	readAllotmentsCommand struct{}

	// closeClientCommand closes the client of a worker that left the group.
	closeClientCommand struct{ worker order.WorkerID }
)

func (messageEvent) isEvent()     {}
func (tickEvent) isEvent()        {}
func (startResult) isEvent()      {}
func (listResult) isEvent()       {}
func (renewResult) isEvent()      {}
func (pollResult) isEvent()       {}
func (ackResult) isEvent()        {}
func (usageResult) isEvent()      {}
func (allotmentsResult) isEvent() {}

func (postCommand) isCommand()           {}
func (startCommand) isCommand()          {}
func (listCommand) isCommand()           {}
func (renewCommand) isCommand()          {}
func (pollCommand) isCommand()           {}
func (ackCommand) isCommand()            {}
func (stopCommand) isCommand()           {}
func (usageCommand) isCommand()          {}
func (readAllotmentsCommand) isCommand() {}
func (closeClientCommand) isCommand()    {}
