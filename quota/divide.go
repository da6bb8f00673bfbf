package quota

import (
	"slices"
	"sort"

	"chervilhollow/order"
)

type (
	// demand is the use and the need of one team in one group.
	demand struct {
		group    order.GroupID
		recorded int
		running  int
		// waiting counts the waiting bids that free slots of the group
		// could serve. Bids above that are not counted, because the
		// same tasks bid in other groups too.
		waiting int
		// hasBids is set if bids wait, even if no slot is free for them.
		hasBids bool
		slots   int
		// eligible is set if the team may start tasks in the group.
		eligible bool
	}
)

// divide returns the new count of each group, in the order of the demands. It
// moves only what the unmet demand needs, so that most groups keep their count.
// The sum is at most the limit unless more is running.
func divide(limit int, demands []demand) []int {
	counts := make([]int, len(demands))
	sum := 0
	for i, d := range demands {
		counts[i] = d.recorded
		sum += d.recorded
	}
	need := total(unmetDemand(demands, counts)) + total(runningAboveCount(demands, counts))
	if excess := sum + need - limit; excess > 0 {
		sum -= reduceSurplus(demands, counts, excess)
	}
	if excess := sum - limit; excess > 0 {
		sum -= reduceProportionally(counts, excess)
	}
	free := limit - sum
	if free <= 0 {
		return counts
	}
	for _, wanted := range [][]int{runningAboveCount(demands, counts), nil} {
		if wanted == nil {
			wanted = unmetDemand(demands, counts)
		}
		granted := largestRemainder(wanted, min(free, total(wanted)))
		addCounts(counts, granted)
		free -= total(granted)
	}
	if free > 0 {
		addCounts(counts, distributeFree(demands, counts, free))
	}
	return counts
}

// runningAboveCount returns how many tasks run in each group above its count.
func runningAboveCount(demands []demand, counts []int) []int {
	above := make([]int, len(demands))
	for i, d := range demands {
		above[i] = max(0, d.running-counts[i])
	}
	return above
}

// unmetDemand returns how many tasks wait in each group beyond its count.
func unmetDemand(demands []demand, counts []int) []int {
	unmet := make([]int, len(demands))
	for i, d := range demands {
		if d.eligible {
			unmet[i] = max(0, d.running+d.waiting-max(counts[i], d.running))
		}
	}
	return unmet
}

// reduceSurplus lowers counts that exceed their group's need, the largest
// surplus first, by at most maxReduction in total. It returns the reduction.
func reduceSurplus(demands []demand, counts []int, maxReduction int) int {
	surplus := make([]int, len(demands))
	candidates := make([]int, 0, len(demands))
	for i, d := range demands {
		needed := d.running
		if d.eligible {
			needed += d.waiting
		}
		if d.eligible && d.hasBids && d.waiting == 0 {
			// The slot of the next task that ends goes to a waiting
			// one.
			needed++
		}
		if surplus[i] = counts[i] - needed; surplus[i] > 0 {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return surplus[b] - surplus[a] })
	taken := 0
	for _, i := range candidates {
		n := min(surplus[i], maxReduction-taken)
		counts[i] -= n
		taken += n
		if taken == maxReduction {
			break
		}
	}
	return taken
}

// reduceProportionally lowers all counts in proportion, even below the number
// of running tasks, and returns the reduction. It is needed when the limit is
// below the team's use.
func reduceProportionally(counts []int, needed int) int {
	cuts := largestRemainder(counts, min(needed, total(counts)))
	for i, cut := range cuts {
		counts[i] -= cut
	}
	return total(cuts)
}

// distributeFree divides what is left in proportion to the groups' unallotted
// slots, so that new tasks find an allotment in any group at once.
func distributeFree(demands []demand, counts []int, free int) []int {
	weights := make([]int, len(demands))
	for i, d := range demands {
		if d.eligible {
			weights[i] = max(0, d.slots-counts[i])
		}
	}
	return largestRemainder(weights, min(free, total(weights)))
}

// largestRemainder divides n in proportion to the weights by the largest
// remainder method. No part exceeds its weight if n does not exceed their sum.
func largestRemainder(weights []int, n int) []int {
	parts := make([]int, len(weights))
	sum := total(weights)
	if sum == 0 || n <= 0 {
		return parts
	}
	type remainder struct{ index, value int }
	var remainders []remainder
	left := n
	for i, w := range weights {
		parts[i] = w * n / sum
		left -= parts[i]
		if r := w * n % sum; r > 0 {
			remainders = append(remainders, remainder{index: i, value: r})
		}
	}
	sort.SliceStable(remainders, func(a, b int) bool { return remainders[a].value > remainders[b].value })
	for _, r := range remainders[:min(left, len(remainders))] {
		parts[r.index]++
	}
	return parts
}

func addCounts(counts, increments []int) {
	for i, n := range increments {
		counts[i] += n
	}
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
