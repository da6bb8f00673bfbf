package berth

import "chervilhollow/order"

// amount is a size in plain numbers, for sums and comparisons.
type amount struct {
	cores, memory, accelerators int64
}

func newAmount(r order.Resources) amount {
	return amount{int64(r.Cores()), int64(r.Memory()), int64(r.Accelerators())}
}

func (a amount) resources() order.Resources {
	return order.Resources{}.
		WithCores(order.MilliCores(a.cores)).
		WithMemory(order.Bytes(a.memory)).
		WithAccelerators(int(a.accelerators))
}

func (a amount) plus(b amount) amount {
	return amount{a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a amount) minus(b amount) amount {
	return amount{a.cores - b.cores, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a amount) atLeast(b amount) amount {
	return amount{max(a.cores, b.cores), max(a.memory, b.memory), max(a.accelerators, b.accelerators)}
}

func (a amount) atMost(b amount) amount {
	return amount{min(a.cores, b.cores), min(a.memory, b.memory), min(a.accelerators, b.accelerators)}
}

func (a amount) fitsIn(b amount) bool {
	return a.cores <= b.cores && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// Returns the largest share of the whole that any resource takes.
func (a amount) dominant(whole amount) float64 {
	return max(
		fraction(a.cores, whole.cores),
		fraction(a.memory, whole.memory),
		fraction(a.accelerators, whole.accelerators),
	)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
