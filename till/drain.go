package till

import (
	"encoding/json"
	"fmt"
	"time"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

type (
	// handoverState is what an owner gives to its successor at a planned move:
	// the requests whose start the journal holds, but that were certainly not
	// confirmed to any group. All else the successor finds in the journal and
	// in the groups' inventories.
	handoverState struct {
		Unconfirmed []handoverKey `json:"unconfirmed"`
	}

	// handoverKey names a request and carries its payload, which the journal
	// keeps for detached requests only.
	handoverKey struct {
		Team    order.TeamName  `json:"team"`
		Request order.RequestID `json:"request"`
		Payload []byte          `json:"payload,omitempty"`
	}
)

const (
	// drainTimeout bounds the wait for records that are on their way to the
	// store.
	drainTimeout = time.Second

	// maxHandoverBytes bounds the payloads in a state, which has to fit into
	// one frame. Requests beyond it end with an unknown outcome.
	maxHandoverBytes = 256 << 10
)

// WithState takes over the state of a planned move, as Drain returned it.
func WithState(state []byte) Option {
	return func(q *Queue) { q.state = state }
}

// Drain ends the work of the queue for good: nothing is confirmed or answered
// any more. It waits for the records that are on their way to the journal and
// returns the state for the successor.
func (q *Queue) Drain() []byte {
	reply := make(chan []byte, 1)
	select {
	case q.drain <- reply:
		return <-reply
	case <-q.done:
		return nil
	}
}

// drained runs in the goroutine of the queue.
func (q *Queue) drained() []byte {
	q.machine.draining = true
	deadline := q.deps.clock.After(drainTimeout)
	for q.machine.writing() {
		select {
		case <-q.kick:
			q.completeRecords()
		case <-deadline:
			q.deps.log.Warn().Str("partition", string(q.partition)).Msg("till: drained with open records")
			return q.machine.export()
		}
	}
	return q.machine.export()
}

// writing reports whether a start is on its way to the journal.
func (m *Machine) writing() bool {
	for _, r := range m.records {
		if r.kind == logbook.Starting {
			return true
		}
	}
	return false
}

func (m *Machine) export() []byte {
	var state handoverState
	bytes := 0
	for _, j := range m.sortedJobs() {
		payload := j.request.Payload()
		if !j.unconfirmed() || bytes+len(payload) > maxHandoverBytes {
			continue
		}
		bytes += len(payload)
		state.Unconfirmed = append(state.Unconfirmed, handoverKey{Team: j.key.Team, Request: j.key.Request, Payload: payload})
	}
	data, err := json.Marshal(state)
	m.registry.Invariant(err == nil, "till.handover_state", "state not encoded: %v", err)
	return data
}

// unconfirmed reports whether the journal holds the start of the job, but no
// confirmation can have started it. A job of which a former owner may know
// more does not count.
func (j *job) unconfirmed() bool {
	return !j.final() && j.phase == phaseOpen && j.starting == writeDone &&
		j.confirms == j.unstarted && !j.ran
}

// importState marks the jobs that the former owner certainly did not confirm.
func (m *Machine) importState(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var state handoverState
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("read the state of a planned move: %w", err)
	}
	for _, key := range state.Unconfirmed {
		if j := m.jobs[logbook.Key{Team: key.Team, Request: key.Request}]; j != nil {
			j.handedOver = true
			j.request = j.request.WithPayload(key.Payload)
		}
	}
	return nil
}
