package wharf

import "chervilhollow/order"

// address names the part of a placer that a message is for.
type address struct {
	partition order.PartitionID
	request   order.RequestID
	task      order.TaskID
	divider   bool
}

// addressOf returns the address of a message to a partition.
func addressOf(m order.Msg) (address, bool) {
	if a, ok := queueAddress(m); ok {
		return a, true
	}
	return groupAddress(m)
}

func queueAddress(m order.Msg) (address, bool) {
	switch m := m.(type) {
	case order.SubmitMsg:
		return address{partition: m.Partition(), request: m.Request().ID()}, true
	case order.StatusMsg:
		return address{partition: m.Partition(), request: m.Request()}, true
	case order.CancelMsg:
		return address{partition: m.Partition(), request: m.Request()}, true
	case order.OfferMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.BidRefusedMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.StartedMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.EndedMsg:
		return address{partition: m.Partition(), task: m.Outcome().Task()}, true
	case order.HeldMsg:
		return address{partition: m.Partition(), request: m.Request()}, true
	case order.InventoryReplyMsg:
		return address{partition: m.Partition()}, true
	case order.AllotAckMsg:
		return address{partition: m.Partition(), divider: true}, true
	}
	return address{}, false
}

func groupAddress(m order.Msg) (address, bool) {
	switch m := m.(type) {
	case order.BidMsg:
		return address{partition: m.Partition(), task: m.Task().ID()}, true
	case order.WithdrawMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.ConfirmMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.DeclineMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.EndedAckMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.StopMsg:
		return address{partition: m.Partition(), task: m.Task()}, true
	case order.HoldMsg:
		return address{partition: m.Partition(), request: m.Request(), task: firstTask(m)}, true
	case order.AllotMsg:
		return address{partition: m.Partition()}, true
	}
	return address{}, false
}

func firstTask(m order.HoldMsg) order.TaskID {
	if len(m.Tasks()) == 0 {
		return ""
	}
	return m.Tasks()[0].ID()
}
