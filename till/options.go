package till

import "time"

// WithTeamLimit sets how many requests of one team may be open; without it one
// team may use half of the limit.
func WithTeamLimit(limit int) MachineOption { return func(m *Machine) { m.teamLimit = limit } }

// WithCandidates sets how many groups a task bids at. With one there is no late
// binding: the bid stays until the group refuses it or the attempt is given up.
func WithCandidates(groups int) MachineOption { return func(m *Machine) { m.candidates = groups } }

// WithRetryBudget sets the retries as a fraction of the requests.
func WithRetryBudget(share float64) MachineOption {
	return func(m *Machine) { m.budget.share = share }
}

// WithRetention sets how long outcomes of detached requests are kept.
func WithRetention(d time.Duration) MachineOption { return func(m *Machine) { m.retention = d } }

// teamBound returns how many requests of one team may be open.
func (m *Machine) teamBound() int {
	if m.teamLimit > 0 {
		return m.teamLimit
	}
	return max(m.limit/2, 1)
}

// moreBids returns how many bids to add at a renewal. Each renewal tries one
// more group, unless tasks bid at one group only.
func (m *Machine) moreBids(t *task) int {
	if m.candidates == 1 {
		return 1 - len(t.bids)
	}
	return max(m.candidates-len(t.bids), 1)
}
