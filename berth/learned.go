package berth

import "chervilhollow/order"

type (
	learnKey struct {
		team order.TeamName
		kind order.Kind
	}

	// learnedUse corrects declared sizes of one team and kind by the ratio of
	// measured to declared use.
	learnedUse struct {
		cores, memory ratio
	}

	// ratio follows high values at once and low values slowly.
	ratio struct {
		value   float64
		samples int
	}
)

const (
	ratioDecay    = 0.05
	ratioHeadroom = 1.1
	ratioLeast    = 0.1
	ratioMost     = 16.0

	// A few samples suffice to reserve more; many are needed to reserve less.
	samplesToRaise = 3
	samplesToLower = 20
)

func (r *ratio) observe(used, declared int64) {
	if declared <= 0 || used <= 0 {
		return
	}
	x := float64(used) / float64(declared)
	r.samples++
	if x >= r.value {
		r.value = x
		return
	}
	r.value += ratioDecay * (x - r.value)
}

func (r *ratio) apply(declared int64) int64 {
	factor := min(max(r.value*ratioHeadroom, ratioLeast), ratioMost)
	switch {
	case factor > 1 && r.samples >= samplesToRaise,
		factor < 1 && r.samples >= samplesToLower:
		return int64(float64(declared) * factor)
	}
	return declared
}

func (m *machine) observeUse(task order.Task, used amount) {
	key := learnKey{task.Team(), task.Kind()}
	l, ok := m.learned[key]
	if !ok {
		l = &learnedUse{}
		m.learned[key] = l
	}
	declared := newAmount(task.Size())
	l.cores.observe(used.cores, declared.cores)
	l.memory.observe(used.memory, declared.memory)
}

// Returns the size to reserve for a task: the declared one, corrected by
// learned use, but never so large that no worker could hold it.
func (m *machine) expected(task order.Task) amount {
	declared := newAmount(task.Size())
	l, ok := m.learned[learnKey{task.Team(), task.Kind()}]
	if !ok || m.deps.policy.declaredSizes {
		return declared
	}
	corrected := amount{l.cores.apply(declared.cores), l.memory.apply(declared.memory), declared.accelerators}
	return corrected.atMost(m.largestFor(declared).atLeast(declared))
}
