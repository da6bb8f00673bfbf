package placement

import "chervilhollow/order"

type (
	// workloadKey identifies tasks that are expected to have similar use.
	workloadKey struct {
		team order.TeamName
		kind order.Kind
	}

	// usageEstimate holds the ratios of reported to declared use for the
	// tasks of one team and kind. Reservations are corrected by them.
	usageEstimate struct {
		cores, memory usageRatio
	}

	// usageRatio is a moving ratio that rises to a higher sample at once
	// and decays slowly towards lower ones.
	usageRatio struct {
		value   float64
		samples int
	}
)

const (
	usageRatioDecay = 0.05

	// usageRatioHeadroom is the factor by which reservations exceed the
	// estimate.
	usageRatioHeadroom = 1.1
	minUsageRatio      = 0.1
	maxUsageRatio      = 16.0

	// A few samples are enough to reserve more than declared; many are
	// needed to reserve less.
	samplesToRaise = 3
	samplesToLower = 20
)

func (r *usageRatio) observe(used, declared int64) {
	if declared <= 0 || used <= 0 {
		return
	}
	x := float64(used) / float64(declared)
	r.samples++
	if x >= r.value {
		r.value = x
		return
	}
	r.value += usageRatioDecay * (x - r.value)
}

func (r *usageRatio) apply(declared int64) int64 {
	factor := min(max(r.value*usageRatioHeadroom, minUsageRatio), maxUsageRatio)
	switch {
	case factor > 1 && r.samples >= samplesToRaise,
		factor < 1 && r.samples >= samplesToLower:
		return int64(float64(declared) * factor)
	}
	return declared
}

func (m *machine) recordUsage(task order.Task, used amount) {
	key := workloadKey{task.Team(), task.Kind()}
	l, ok := m.estimates[key]
	if !ok {
		l = &usageEstimate{}
		m.estimates[key] = l
	}
	declared := newAmount(task.Size())
	l.cores.observe(used.cores, declared.cores)
	l.memory.observe(used.memory, declared.memory)
}

// estimatedSize returns the size to reserve for a task: the declared size
// corrected by the usage estimate, but never more than fits on the largest
// suitable worker.
func (m *machine) estimatedSize(task order.Task) amount {
	declared := newAmount(task.Size())
	l, ok := m.estimates[workloadKey{task.Team(), task.Kind()}]
	if !ok || m.deps.policy.declaredSizes {
		return declared
	}
	corrected := amount{l.cores.apply(declared.cores), l.memory.apply(declared.memory), declared.accelerators}
	return corrected.minWith(m.largestHostFor(declared).maxWith(declared))
}
