package placement

import (
	"encoding/json"
	"fmt"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

type (
	// handoverState is what an owner passes to its successor in a planned
	// handover: the attempts of its entries that certainly did not start. The
	// successor reads everything else from the workers.
	handoverState struct {
		Epoch    order.Epoch     `json:"epoch"`
		Attempts []handoverEntry `json:"attempts"`
	}

	handoverEntry struct {
		Task    order.TaskID  `json:"task"`
		Attempt order.Attempt `json:"attempt"`

		// Reported attempts were already reported as not started, so
		// they may not bid again.
		Reported bool `json:"reported,omitempty"`
	}
)

const (
	drainTimeout = 1200 * time.Millisecond
	drainPeriod  = 5 * time.Millisecond
)

// WithHandoverState imports the state that Drain of the former owner returned.
func WithHandoverState(state []byte) Option {
	return func(g *Group) { g.handoverState = state }
}

// Drain permanently stops offers and starts, waits up to drainTimeout for the
// starts in flight, and returns the state for the successor. Renewals and
// outcomes continue until Close.
func (g *Group) Drain() []byte {
	g.draining.Store(true)
	deadline := g.deps.clock.After(drainTimeout)
	for g.startsInFlight.Load() > 0 {
		select {
		case <-deadline:
			g.deps.log.Warn().Msg("berth: drain timed out with starts in flight")
			return g.exportState()
		case <-g.ctx.Done():
			return g.exportState()
		case <-g.deps.clock.After(drainPeriod):
		}
	}
	return g.exportState()
}

func (g *Group) exportState() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := json.Marshal(g.machine.exportState())
	if err != nil {
		g.deps.log.Error().Err(err).Msg("berth: failed to encode handover state")
		return nil
	}
	return data
}

func (m *machine) exportState() handoverState {
	state := handoverState{Epoch: m.epoch}
	add := func(ref dispatch.AttemptRef, reported bool) {
		state.Attempts = append(state.Attempts, handoverEntry{Task: ref.Task(), Attempt: ref.Attempt(), Reported: reported})
	}
	for _, e := range m.sortedEntries(m.entries) {
		if e.state == order.TaskHeld || e.notStarted {
			add(e.ref(), e.notStarted)
		}
	}
	for _, b := range m.bids.sorted() {
		add(dispatch.NewAttemptRef(b.task.ID(), b.attempt), false)
	}
	for ref, t := range m.tombstones {
		if t.notStarted && t.epoch == m.epoch {
			add(ref, !t.offerExpired)
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
		return fmt.Errorf("parse handover state: %w", err)
	}
	for _, a := range state.Attempts {
		m.tombstones[dispatch.NewAttemptRef(a.Task, a.Attempt)] = tombstone{
			expiresAt:    now.Add(tombstoneTTL),
			notStarted:   true,
			offerExpired: !a.Reported,
			epoch:        state.Epoch,
		}
	}
	return nil
}
