package simulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/order"
)

// The messages of the worker protocol, as JSON bodies. The stand-in declares
// them itself instead of sharing the client's types, so that a change on one
// side alone fails the tests.
type (
	// workerStamp is a reading of the worker's clock. Incarnation identifies
	// the run of the worker, so that readings from before a restart are
	// recognised.
	workerStamp struct {
		Incarnation string `json:"incarnation"`
		Clock       int64  `json:"clock_us"`
	}

	workerRef struct {
		Task    order.TaskID  `json:"task"`
		Attempt order.Attempt `json:"attempt"`
	}

	workerSize struct {
		Cores        order.MilliCores `json:"milli_cores"`
		Memory       order.Bytes      `json:"memory_bytes"`
		Accelerators int              `json:"accelerators"`
	}

	// workerStartRequest starts an attempt of a task. The lease runs from the
	// clock reading AsOf.
	workerStartRequest struct {
		workerRef
		Epoch   order.Epoch `json:"epoch"`
		Lease   int64       `json:"lease_ms"`
		AsOf    workerStamp `json:"as_of"`
		Size    workerSize  `json:"size"`
		Meta    []byte      `json:"meta"`
		Payload []byte      `json:"payload"`
	}

	// workerOutcome is the end of a task. The worker keeps it until it is
	// acknowledged.
	workerOutcome struct {
		workerRef
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

	workerRunningTask struct {
		workerRef
		Size    workerSize `json:"size"`
		Started time.Time  `json:"started"`
		Meta    []byte     `json:"meta"`
	}

	workerTasksResponse struct {
		Stamp    workerStamp         `json:"stamp"`
		Running  []workerRunningTask `json:"running"`
		Outcomes []*workerOutcome    `json:"outcomes"`
	}

	workerRenewRequest struct {
		Epoch order.Epoch `json:"epoch"`
		Lease int64       `json:"lease_ms"`
		AsOf  workerStamp `json:"as_of"`
		Tasks []workerRef `json:"tasks"`
	}

	workerRenewResponse struct {
		Stamp   workerStamp `json:"stamp"`
		Unknown []workerRef `json:"unknown"`
	}

	workerEventsResponse struct {
		Stamp    workerStamp      `json:"stamp"`
		Next     uint64           `json:"next"`
		Outcomes []*workerOutcome `json:"outcomes"`
	}

	workerAckRequest struct {
		Tasks []workerRef `json:"tasks"`
	}

	workerControlRequest struct {
		Attempt order.Attempt `json:"attempt"`
		Epoch   order.Epoch   `json:"epoch"`
		Percent int           `json:"percent"`
	}

	workerTaskUsage struct {
		workerRef
		Used workerSize `json:"used"`
	}

	workerUsageResponse struct {
		Tasks []workerTaskUsage `json:"tasks"`
	}

	workerStartResponse struct {
		Stamp workerStamp `json:"stamp"`
	}

	workerRefusal struct {
		Reason string `json:"reason"`
	}
)

func newWorkerOutcome(r *taskRun, sequence uint64, status string, now time.Time) *workerOutcome {
	o := &workerOutcome{
		workerRef: r.start.workerRef,
		Sequence:  sequence,
		Status:    status,
		Started:   r.started,
		Ended:     now,
		Meta:      r.start.Meta,
	}
	switch status {
	case statusDone:
		o.Body = r.plan.result(r.start.Payload)
	case statusFailed:
		o.Text = "the task failed"
	}
	o.Length = len(o.Body)
	o.Checksum = xxhash.Sum64(o.Body)
	return o
}
