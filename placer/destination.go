package placer

import "chervilhollow/order"

// destination identifies the component of the placer that a message is for:
// the queue or the divider (toDivider) of a request partition, or a worker
// group. The request and the task are returned to the sender in a NotOwnerMsg
// if this process does not own the partition.
type destination struct {
	partition order.PartitionID
	request   order.RequestID
	task      order.TaskID
	toDivider bool
}

// destinationOf returns the destination of a message to a partition, and false
// for messages that are not addressed to one.
func destinationOf(m order.Msg) (destination, bool) {
	if a, ok := queueDestination(m); ok {
		return a, true
	}
	return groupDestination(m)
}

// queueDestination covers the messages to a request partition.
func queueDestination(m order.Msg) (destination, bool) {
	switch m := m.(type) {
	case order.SubmitMsg:
		return destination{partition: m.Partition(), request: m.Request().ID()}, true
	case order.StatusMsg:
		return destination{partition: m.Partition(), request: m.Request()}, true
	case order.CancelMsg:
		return destination{partition: m.Partition(), request: m.Request()}, true
	case order.OfferMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.BidRefusedMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.StartedMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.EndedMsg:
		return destination{partition: m.Partition(), task: m.Outcome().Task()}, true
	case order.HoldReplyMsg:
		return destination{partition: m.Partition(), request: m.Request()}, true
	case order.InventoryReplyMsg:
		return destination{partition: m.Partition()}, true
	case order.AllotAckMsg:
		return destination{partition: m.Partition(), toDivider: true}, true
	}
	return destination{}, false
}

// groupDestination covers the messages to a worker group's partition.
func groupDestination(m order.Msg) (destination, bool) {
	switch m := m.(type) {
	case order.BidMsg:
		return destination{partition: m.Partition(), task: m.Task().ID()}, true
	case order.WithdrawMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.ConfirmMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.DeclineMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.EndedAckMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.StopMsg:
		return destination{partition: m.Partition(), task: m.Task()}, true
	case order.HoldMsg:
		return destination{partition: m.Partition(), request: m.Request(), task: firstTask(m)}, true
	case order.AllotMsg:
		return destination{partition: m.Partition()}, true
	}
	return destination{}, false
}

// firstTask returns the first task of a gang's hold, which identifies the hold
// in a NotOwnerMsg.
func firstTask(m order.HoldMsg) order.TaskID {
	if len(m.Tasks()) == 0 {
		return ""
	}
	return m.Tasks()[0].ID()
}
