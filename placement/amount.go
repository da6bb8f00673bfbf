package placement

import "chervilhollow/order"

// amount is a resource vector in milli-cores, bytes and accelerators. It holds
// the fields of order.Resources as plain numbers for arithmetic.
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

// maxWith returns the larger value of each resource.
func (a amount) maxWith(b amount) amount {
	return amount{max(a.cores, b.cores), max(a.memory, b.memory), max(a.accelerators, b.accelerators)}
}

// minWith returns the smaller value of each resource.
func (a amount) minWith(b amount) amount {
	return amount{min(a.cores, b.cores), min(a.memory, b.memory), min(a.accelerators, b.accelerators)}
}

func (a amount) fitsIn(b amount) bool {
	return a.cores <= b.cores && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// dominantShare returns the largest of the fractions that the amount takes of
// each resource in total.
func (a amount) dominantShare(total amount) float64 {
	return max(
		fraction(a.cores, total.cores),
		fraction(a.memory, total.memory),
		fraction(a.accelerators, total.accelerators),
	)
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
