package berth

import (
	"encoding/json"
	"fmt"
	"time"

	"chervilhollow/crane"
	"chervilhollow/order"
)

type (
	// handoverState is what an owner gives to its successor at a planned stop:
	// the attempts that it knows and that certainly did not start. Everything
	// else the successor reads from the workers.
	handoverState struct {
		Epoch    order.Epoch     `json:"epoch"`
		Attempts []handoverEntry `json:"attempts"`
	}

	handoverEntry struct {
		Task    order.TaskID  `json:"task"`
		Attempt order.Attempt `json:"attempt"`

		// Reported attempts were answered as not started and may not bid
		// again.
		Reported bool `json:"reported,omitempty"`
	}
)

const (
	drainTimeout = 1200 * time.Millisecond
	drainPeriod  = 5 * time.Millisecond
)

// WithState takes over the state of a planned stop, as Drain returned it.
func WithState(state []byte) Option {
	return func(g *Group) { g.state = state }
}

// Drain ends offers and starts for good, waits until no start is on its way
// to a worker, and returns the state for the successor. Outcomes and renewals
// go on until Close.
func (g *Group) Drain() []byte {
	g.draining.Store(true)
	deadline := g.deps.clock.After(drainTimeout)
	for g.starting.Load() > 0 {
		select {
		case <-deadline:
			g.deps.log.Warn().Msg("berth: drained with open starts")
			return g.export()
		case <-g.ctx.Done():
			return g.export()
		case <-g.deps.clock.After(drainPeriod):
		}
	}
	return g.export()
}

func (g *Group) export() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := json.Marshal(g.machine.exportState())
	if err != nil {
		g.deps.log.Error().Err(err).Msg("berth: state not encoded")
		return nil
	}
	return data
}

func (m *machine) exportState() handoverState {
	state := handoverState{Epoch: m.epoch}
	add := func(ref crane.Ref, reported bool) {
		state.Attempts = append(state.Attempts, handoverEntry{Task: ref.Task(), Attempt: ref.Attempt(), Reported: reported})
	}
	for _, e := range m.inOrder(m.entries) {
		if e.state == order.TaskHeld || e.notStarted {
			add(e.ref(), e.notStarted)
		}
	}
	for _, b := range m.bids.inOrder() {
		add(crane.NewRef(b.task.ID(), b.attempt), false)
	}
	for ref, s := range m.settled {
		if s.notStarted && s.epoch == m.epoch {
			add(ref, !s.expired)
		}
	}
	return state
}

func (m *machine) importState(now time.Time, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var state handoverState
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("handover state: %w", err)
	}
	for _, a := range state.Attempts {
		m.settled[crane.NewRef(a.Task, a.Attempt)] = settled{
			until:      now.Add(settledPeriod),
			notStarted: true,
			expired:    !a.Reported,
			epoch:      state.Epoch,
		}
	}
	return nil
}
