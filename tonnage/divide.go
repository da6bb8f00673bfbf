package tonnage

import (
	"slices"
	"sort"

	"chervilhollow/order"
)

type (
	// demand is what one team uses and waits for in one group.
	demand struct {
		group    order.GroupID
		recorded int
		running  int
		// waiting counts the bids that a free slot could serve. Bids at full
		// groups show no need: the same tasks bid elsewhere.
		waiting int
		// queued tells that bids wait, even if no slot is free for them.
		queued bool
		slots  int
		// eligible tells that the team may start work in the group.
		eligible bool
	}
)

// divide returns the new count of each group, in the order of the demands. It
// moves no more than the unmet demand needs, so that most groups keep their
// count. The sum is at most the limit unless more is running.
func divide(limit int, demands []demand) []int {
	counts := make([]int, len(demands))
	sum := 0
	for i, d := range demands {
		counts[i] = d.recorded
		sum += d.recorded
	}
	need := total(unmetOf(demands, counts)) + total(uncoveredOf(demands, counts))
	if excess := sum + need - limit; excess > 0 {
		sum -= takeSurplus(demands, counts, excess)
	}
	if excess := sum - limit; excess > 0 {
		sum -= takeRunning(counts, excess)
	}
	free := limit - sum
	if free <= 0 {
		return counts
	}
	for _, wanted := range [][]int{uncoveredOf(demands, counts), nil} {
		if wanted == nil {
			wanted = unmetOf(demands, counts)
		}
		granted := proportion(wanted, min(free, total(wanted)))
		add(counts, granted)
		free -= total(granted)
	}
	if free > 0 {
		add(counts, spread(demands, counts, free))
	}
	return counts
}

// uncoveredOf returns what runs in each group above its count.
func uncoveredOf(demands []demand, counts []int) []int {
	uncovered := make([]int, len(demands))
	for i, d := range demands {
		uncovered[i] = max(0, d.running-counts[i])
	}
	return uncovered
}

// unmetOf returns what waits in each group beyond its count.
func unmetOf(demands []demand, counts []int) []int {
	unmet := make([]int, len(demands))
	for i, d := range demands {
		if d.eligible {
			unmet[i] = max(0, d.running+d.waiting-max(counts[i], d.running))
		}
	}
	return unmet
}

// takeSurplus takes counts that nobody needs, from the largest surplus first,
// and returns how much it took.
func takeSurplus(demands []demand, counts []int, wanted int) int {
	surplus := make([]int, len(demands))
	order := make([]int, 0, len(demands))
	for i, d := range demands {
		needed := d.running
		if d.eligible {
			needed += d.waiting
		}
		if d.eligible && d.queued && d.waiting == 0 {
			// The next task that ends leaves its place to one that waits.
			needed++
		}
		if surplus[i] = counts[i] - needed; surplus[i] > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return surplus[b] - surplus[a] })
	taken := 0
	for _, i := range order {
		n := min(surplus[i], wanted-taken)
		counts[i] -= n
		taken += n
		if taken == wanted {
			break
		}
	}
	return taken
}

// takeRunning lowers all counts in proportion when the limit was lowered below
// what the team needs.
func takeRunning(counts []int, wanted int) int {
	cuts := proportion(counts, min(wanted, total(counts)))
	for i, cut := range cuts {
		counts[i] -= cut
	}
	return total(cuts)
}

// spread gives what is free to the groups by their slots, so that work that
// arrives finds an allotment at once.
func spread(demands []demand, counts []int, free int) []int {
	weights := make([]int, len(demands))
	for i, d := range demands {
		if d.eligible {
			weights[i] = max(0, d.slots-counts[i])
		}
	}
	return proportion(weights, min(free, total(weights)))
}

// proportion divides n by the weights with the largest remainders first. No
// part exceeds its weight if n does not exceed their sum.
func proportion(weights []int, n int) []int {
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

func add(counts, more []int) {
	for i, n := range more {
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
