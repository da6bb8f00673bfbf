package queue

import (
	"encoding/json"
	"fmt"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// handoverState is the state that an owner passes to its successor in a
	// planned move: the requests whose start is in the journal but was not
	// confirmed to any group. The successor gets everything else from the
	// journal and the groups' inventories.
	handoverState struct {
		Unconfirmed []handoverRequest `json:"unconfirmed"`
	}

	// handoverRequest identifies a request. It carries the payload, which the
	// journal keeps for detached requests only.
	handoverRequest struct {
		Team    order.TeamName  `json:"team"`
		Request order.RequestID `json:"request"`
		Payload []byte          `json:"payload,omitempty"`
	}
)

const (
	// drainTimeout bounds the wait for starts that are being written to the
	// journal.
	drainTimeout = time.Second

	// maxHandoverBytes bounds the payloads in a state, which has to fit into
	// one frame. Requests beyond it end with an unknown outcome.
	maxHandoverBytes = 256 << 10
)

// WithHandoverState sets the state that the former owner's Drain returned.
func WithHandoverState(state []byte) Option {
	return func(q *Queue) { q.importedState = state }
}

// Drain stops the queue for a planned move: afterwards it confirms and answers
// nothing. It waits for starts that are being written to the journal, and
// returns the state for the successor. It returns nil if the queue has stopped
// already.
func (q *Queue) Drain() []byte {
	reply := make(chan []byte, 1)
	select {
	case q.drainRequests <- reply:
		return <-reply
	case <-q.done:
		return nil
	}
}

// runDrain is the part of Drain that runs in the goroutine of Run.
func (q *Queue) runDrain() []byte {
	q.machine.draining = true
	deadline := q.deps.clock.After(drainTimeout)
	for q.machine.startPending() {
		select {
		case <-q.recordsDone:
			q.handleCompletions()
		case <-deadline:
			q.deps.log.Warn().Str("partition", string(q.partition)).Msg("till: drain timed out before all starts were journaled")
			return q.machine.exportState()
		}
	}
	return q.machine.exportState()
}

// startPending reports whether a start is being written to the journal.
func (m *Machine) startPending() bool {
	for _, r := range m.pendingRecords {
		if r.kind == logbook.Starting {
			return true
		}
	}
	return false
}

// exportState encodes the handover state.
func (m *Machine) exportState() []byte {
	var state handoverState
	bytes := 0
	for _, j := range m.sortedJobs() {
		payload := j.request.Payload()
		if !j.startUnconfirmed() || bytes+len(payload) > maxHandoverBytes {
			continue
		}
		bytes += len(payload)
		state.Unconfirmed = append(state.Unconfirmed, handoverRequest{Team: j.key.Team, Request: j.key.Request, Payload: payload})
	}
	data, err := json.Marshal(state)
	m.registry.Invariant(err == nil, "till.handover_state", "handover state not encoded: %v", err)
	return data
}

// startUnconfirmed reports whether the journal holds the start of the job while
// no attempt can have run. It is false if a former owner may have confirmed
// one.
func (j *job) startUnconfirmed() bool {
	return !j.final() && j.phase == phaseOpen && j.startRecord == writeDone &&
		j.confirmCount == j.notStartedCount && !j.hasRun
}

// importState marks the jobs that the former owner did not confirm.
func (m *Machine) importState(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var state handoverState
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("decode handover state: %w", err)
	}
	for _, r := range state.Unconfirmed {
		if j := m.jobs[logbook.Key{Team: r.Team, Request: r.Request}]; j != nil {
			j.handedOver = true
			j.request = j.request.WithPayload(r.Payload)
		}
	}
	return nil
}
