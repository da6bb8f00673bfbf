package berth

import "math/rand/v2"

// Policy switches parts of the placement policy off, so that a measurement
// compares each part with a baseline in the same binary. The zero value is the
// policy for use.
type Policy struct {
	randomWorker  bool
	declaredSizes bool
	noCooldown    bool
	arrivalOrder  bool
}

// WithRandomWorker returns a copy that takes any worker with room instead of
// the one that is left with the least.
func (p Policy) WithRandomWorker(on bool) Policy {
	p.randomWorker = on
	return p
}

// WithDeclaredSizes returns a copy that reserves the declared size instead of
// one corrected by learned use.
func (p Policy) WithDeclaredSizes(on bool) Policy {
	p.declaredSizes = on
	return p
}

// WithoutCooldown returns a copy that goes on using workers that fail tasks
// which run elsewhere.
func (p Policy) WithoutCooldown(on bool) Policy {
	p.noCooldown = on
	return p
}

// WithArrivalOrder returns a copy that serves the bids of a class first come
// first served instead of the team furthest below its share first.
func (p Policy) WithArrivalOrder(on bool) Policy {
	p.arrivalOrder = on
	return p
}

// WithPolicy returns a copy with another placement policy.
func (d Deps) WithPolicy(policy Policy) Deps {
	d.policy = policy
	return d
}

// WithBidLimit returns a copy with the number of bids that may wait.
func (d Deps) WithBidLimit(limit int) Deps {
	d.bidLimit = limit
	return d
}

// Returns the rank of a worker for a task; the lowest one is chosen.
func (m *machine) score(h *host, size amount) float64 {
	if m.deps.policy.randomWorker {
		return rand.Float64()
	}
	return m.leftover(h, size)
}
