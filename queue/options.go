package queue

import "time"

// WithTeamOpenLimit sets how many requests without an outcome one team may
// have. By default that is half of the limit of the partition.
func WithTeamOpenLimit(limit int) MachineOption { return func(m *Machine) { m.teamOpenLimit = limit } }

// WithCandidates sets how many groups a task bids in. With 1 there is no late
// binding: the bid stays until the group refuses it or a new attempt is made.
func WithCandidates(groups int) MachineOption { return func(m *Machine) { m.candidates = groups } }

// WithRetryBudget sets the number of retries per request, as a fraction.
func WithRetryBudget(fraction float64) MachineOption {
	return func(m *Machine) { m.budget.fraction = fraction }
}

// WithRetention sets how long the outcomes of journaled requests are kept.
func WithRetention(d time.Duration) MachineOption { return func(m *Machine) { m.retention = d } }

// teamLimit returns how many requests without an outcome one team may have.
func (m *Machine) teamLimit() int {
	if m.teamOpenLimit > 0 {
		return m.teamOpenLimit
	}
	return max(m.openLimit/2, 1)
}

// extraBids returns how many bids to add at a renewal: at least one, unless
// tasks bid in one group only.
func (m *Machine) extraBids(t *task) int {
	if m.candidates == 1 {
		return 1 - len(t.bids)
	}
	return max(m.candidates-len(t.bids), 1)
}
