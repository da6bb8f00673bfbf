package placement

import "math/rand/v2"

// Policy turns off parts of the placement policy, so that benchmarks can
// compare each part with a baseline in the same binary. The zero value has
// every part on and is the one for production.
type Policy struct {
	randomWorker  bool
	declaredSizes bool
	noCooldown    bool
	arrivalOrder  bool
}

// WithRandomWorker returns a copy that picks a random worker with enough free
// capacity instead of the best fit.
func (p Policy) WithRandomWorker(on bool) Policy {
	p.randomWorker = on
	return p
}

// WithDeclaredSizes returns a copy that reserves the declared size of a task
// instead of the size estimated from usage reports.
func (p Policy) WithDeclaredSizes(on bool) Policy {
	p.declaredSizes = on
	return p
}

// WithoutCooldown returns a copy that keeps placing tasks on workers that
// quickly fail tasks which succeed on other workers.
func (p Policy) WithoutCooldown(on bool) Policy {
	p.noCooldown = on
	return p
}

// WithArrivalOrder returns a copy that serves the bids of a class in order of
// arrival instead of by the teams' fair shares.
func (p Policy) WithArrivalOrder(on bool) Policy {
	p.arrivalOrder = on
	return p
}

// WithPolicy returns a copy with another placement policy.
func (d Deps) WithPolicy(policy Policy) Deps {
	d.policy = policy
	return d
}

// WithBidLimit returns a copy with the maximum number of waiting bids. Bids
// above it are refused with order.QueueFull.
func (d Deps) WithBidLimit(limit int) Deps {
	d.bidLimit = limit
	return d
}

// score ranks a worker for a task of the given size. The lowest score is
// chosen.
func (m *machine) score(h *host, size amount) float64 {
	if m.deps.policy.randomWorker {
		return rand.Float64()
	}
	return m.remainingFraction(h, size)
}
