package dispatch

import (
	"fmt"
	"time"

	"chervilhollow/order"

	"github.com/cespare/xxhash/v2"
)

// Bodies of the worker protocol, which docs/worker-protocol.md describes.
type (
	stampWire struct {
		Incarnation string `json:"incarnation"`
		Clock       int64  `json:"clock_us"`
	}

	refWire struct {
		Task    order.TaskID  `json:"task"`
		Attempt order.Attempt `json:"attempt"`
	}

	sizeWire struct {
		Cores        order.MilliCores `json:"milli_cores"`
		Memory       order.Bytes      `json:"memory_bytes"`
		Accelerators int              `json:"accelerators"`
	}

	startWire struct {
		refWire
		Epoch   order.Epoch `json:"epoch"`
		Lease   int64       `json:"lease_ms"`
		AsOf    stampWire   `json:"as_of"`
		Size    sizeWire    `json:"size"`
		Meta    []byte      `json:"meta"`
		Payload []byte      `json:"payload"`
	}

	outcomeWire struct {
		refWire
		Sequence uint64    `json:"sequence"`
		Status   string    `json:"status"`
		Text     string    `json:"text,omitempty"`
		Body     []byte    `json:"body,omitempty"`
		Length   int       `json:"length"`
		Checksum uint64    `json:"checksum,string"`
		Started  time.Time `json:"started"`
		Ended    time.Time `json:"ended"`
		Meta     []byte    `json:"meta"`
	}

	runningWire struct {
		refWire
		Size    sizeWire  `json:"size"`
		Started time.Time `json:"started"`
		Meta    []byte    `json:"meta"`
	}

	listingWire struct {
		Stamp    stampWire     `json:"stamp"`
		Running  []runningWire `json:"running"`
		Outcomes []outcomeWire `json:"outcomes"`
	}

	renewWire struct {
		Epoch order.Epoch `json:"epoch"`
		Lease int64       `json:"lease_ms"`
		AsOf  stampWire   `json:"as_of"`
		Tasks []refWire   `json:"tasks"`
	}

	renewalWire struct {
		Stamp   stampWire `json:"stamp"`
		Unknown []refWire `json:"unknown"`
	}

	eventsWire struct {
		Stamp    stampWire     `json:"stamp"`
		Next     uint64        `json:"next"`
		Outcomes []outcomeWire `json:"outcomes"`
	}

	ackWire struct {
		Tasks []refWire `json:"tasks"`
	}

	controlWire struct {
		Attempt order.Attempt `json:"attempt"`
		Epoch   order.Epoch   `json:"epoch"`
		Percent int           `json:"percent,omitempty"`
	}

	usageWire struct {
		Tasks []struct {
			refWire
			Used sizeWire `json:"used"`
		} `json:"tasks"`
	}

	startedWire struct {
		Stamp stampWire `json:"stamp"`
	}

	refusalWire struct {
		Reason string `json:"reason"`
	}
)

// Statuses of an outcome on the wire.
const (
	statusDone         = "done"
	statusFailed       = "failed"
	statusStopped      = "stopped"
	statusCheckpointed = "checkpointed"
	statusLapsed       = "lapsed"
)

func (s Stamp) wire() stampWire { return stampWire{Incarnation: s.incarnation, Clock: s.clock} }

func (w stampWire) stamp() Stamp { return NewStamp(w.Incarnation, w.Clock) }

func (w refWire) ref() AttemptRef { return NewAttemptRef(w.Task, w.Attempt) }

func refsWire(refs []AttemptRef) []refWire {
	out := make([]refWire, 0, len(refs))
	for _, r := range refs {
		out = append(out, refWire{Task: r.task, Attempt: r.attempt})
	}
	return out
}

func refsFrom(wires []refWire) []AttemptRef {
	var refs []AttemptRef
	for _, w := range wires {
		refs = append(refs, w.ref())
	}
	return refs
}

func newSizeWire(r order.Resources) sizeWire {
	return sizeWire{Cores: r.Cores(), Memory: r.Memory(), Accelerators: r.Accelerators()}
}

func (w sizeWire) resources() order.Resources {
	return order.Resources{}.WithCores(w.Cores).WithMemory(w.Memory).WithAccelerators(w.Accelerators)
}

func (s StartRequest) wire() (startWire, error) {
	meta, err := s.task.WithPayload(nil).MarshalCBOR()
	if err != nil {
		return startWire{}, err
	}
	return startWire{
		refWire: refWire{Task: s.task.ID(), Attempt: s.attempt},
		Epoch:   s.epoch,
		Lease:   s.lease.Milliseconds(),
		AsOf:    s.stamp.wire(),
		Size:    newSizeWire(s.reserved),
		Meta:    meta,
		Payload: s.task.Payload(),
	}, nil
}

func (w runningWire) running() (RunningTask, error) {
	var task order.Task
	if err := task.UnmarshalCBOR(w.Meta); err != nil {
		return RunningTask{}, fmt.Errorf("task %s: %w", w.Task, err)
	}
	return NewRunningTask(task, w.Attempt, w.Size.resources(), w.Started), nil
}

func (w outcomeWire) ended(worker order.WorkerID) (EndedTask, error) {
	var task order.Task
	if err := task.UnmarshalCBOR(w.Meta); err != nil {
		return EndedTask{}, fmt.Errorf("task %s: %w", w.Task, err)
	}
	if len(w.Body) != w.Length || xxhash.Sum64(w.Body) != w.Checksum {
		return EndedTask{}, fmt.Errorf("task %s: body of %d bytes is incomplete", w.Task, len(w.Body))
	}
	outcome := order.Outcome{}.
		WithTask(w.Task).
		WithAttempt(w.Attempt).
		WithCode(w.code()).
		WithText(w.Text).
		WithBody(w.Body).
		WithLength(w.Length).
		WithChecksum(w.Checksum).
		WithWorker(worker).
		WithStarted(w.Started).
		WithEnded(w.Ended).
		WithCheckpointed(w.Status == statusCheckpointed)
	return NewEndedTask(task, outcome), nil
}

// code returns the result code of the status. A checkpointed task has the code
// of a lost worker, so that a process whose version lacks the status runs an
// idempotent task again.
func (w outcomeWire) code() order.Code {
	switch w.Status {
	case statusDone:
		return order.Done
	case statusStopped:
		return order.CancelledRunning
	case statusCheckpointed, statusLapsed:
		return order.WorkerLost
	}
	return order.TaskFailed
}

func outcomesFrom(wires []outcomeWire, worker order.WorkerID) ([]EndedTask, error) {
	var all []EndedTask
	for _, w := range wires {
		ended, err := w.ended(worker)
		if err != nil {
			return nil, err
		}
		all = append(all, ended)
	}
	return all, nil
}
