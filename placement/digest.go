package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilhollow/order"
)

func (m *machine) digest(now time.Time) order.GroupDigest {
	var free, largest, capacity amount
	slots, freeSlots, workers := 0, 0, 0
	for _, h := range m.hosts {
		if !h.listed {
			continue
		}
		if h.size.dominantShare(m.capacity) > largest.dominantShare(m.capacity) {
			largest = h.size
		}
		if !m.usable(now, h, "") {
			continue
		}
		workers++
		slots += h.slots()
		freeSlots += max(0, h.freeSlots())
		capacity = capacity.plus(h.size)
		free = free.plus(h.free().maxWith(amount{}))
	}
	allotted := make(map[order.TeamName]int)
	for team := range m.allotments {
		allotted[team] = m.allowed(team)
	}
	return order.GroupDigest{}.
		WithGroup(m.group).
		WithDomain(m.group.Domain()).
		WithEpoch(m.epoch).
		WithFree(free.resources()).
		WithFreeSlots(freeSlots).
		WithLargest(largest.resources()).
		WithRunning(maps.Clone(m.active)).
		WithWaiting(m.bids.waiting()).
		WithAllotted(allotted).
		WithWorkers(workers).
		WithCapacity(capacity.resources()).
		WithSlots(slots)
}

func (m *machine) inventory(partition order.PartitionID) []order.InventoryEntry {
	var list []order.InventoryEntry
	for _, e := range m.entries {
		if requestPartitionOf(e.task) != partition {
			continue
		}
		list = append(list, order.InventoryEntry{}.
			WithTask(e.task).
			WithAttempt(e.attempt).
			WithGroup(m.group).
			WithState(e.state).
			WithOutcome(e.outcome))
	}
	slices.SortFunc(list, func(a, b order.InventoryEntry) int {
		return cmp.Compare(a.Task().ID(), b.Task().ID())
	})
	return list
}
