package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"chervilhollow/order"
)

type (
	// requestDocument is the JSON body of a submission. Pointers show whether
	// an optional field is present.
	requestDocument struct {
		ID           string  `json:"id"`
		Kind         string  `json:"kind"`
		Tasks        *int    `json:"tasks"`
		Idempotent   bool    `json:"idempotent"`
		Detached     bool    `json:"detached"`
		Urgent       bool    `json:"urgent"`
		Checkpoint   bool    `json:"checkpoint"`
		DeadlineMS   *int64  `json:"deadline_ms"`
		Cores        float64 `json:"cores"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int     `json:"accelerators"`
		Payload      []byte  `json:"payload"`
		PayloadText  string  `json:"payload_text"`
	}

	// submission is a valid request of a caller.
	submission struct {
		request order.Request

		// generatedID is true if the body had no ID and one was made here.
		generatedID bool

		// hash covers the fields that must be equal when the ID is sent again.
		hash uint64
	}
)

const (
	maxIDLength     = 128
	maxCores        = 1 << 20
	maxMemoryMB     = 1 << 30
	maxAccelerators = 1 << 16
	milliCores      = 1000
	bytesPerMB      = 1 << 20
)

var errTrailingData = errors.New("the body must hold one JSON object only")

// parse reads and checks the body of a submission. It returns the submission,
// or the refusal and false.
func (h *Handler) parse(k *call) (submission, reply, bool) {
	d, refusal, ok := h.readDocument(k)
	if !ok {
		return submission{}, refusal, false
	}
	kind, err := order.ParseKind(d.Kind)
	if err != nil {
		return submission{}, newReply(order.UnknownKind), false
	}
	if reason := h.checkFields(d, kind); reason != "" {
		return submission{}, malformedReply(reason), false
	}
	deadline, ok := h.deadline(d, k.received)
	if !ok {
		return submission{}, newReply(order.BadDeadline).withText(fmt.Sprintf(
			"deadline_ms must be between 1 and %d.", h.limits.maxDeadline.Milliseconds())), false
	}
	return newSubmission(d, kind, k, deadline), reply{}, true
}

// readDocument decodes the body within its size limit. It returns a refusal and
// false if the body is not one JSON object with known fields.
func (h *Handler) readDocument(k *call) (requestDocument, reply, bool) {
	var d requestDocument
	decoder := json.NewDecoder(k.r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&d)
	if err == nil {
		err = requireEOF(decoder)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		clearReadDeadline(k.w)
		return d, reply{}, true
	case errors.As(err, &tooLarge):
		return d, newReply(order.BodyTooLarge).withText(fmt.Sprintf(
			"Send a body of at most %d bytes.", h.limits.body)), false
	case errors.Is(err, io.EOF):
		return d, malformedReply(`the body must be a JSON object with the field "kind"`), false
	}
	return d, malformedReply(strings.TrimPrefix(err.Error(), "json: ")), false
}

// requireEOF returns an error if anything but white space follows.
func requireEOF(decoder *json.Decoder) error {
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errTrailingData
	}
	return err
}

// malformedReply returns the refusal of an invalid call. The reason has neither
// a capital nor a full stop.
func malformedReply(reason string) reply {
	return newReply(order.Malformed).withText("Correct the request: " + reason + ".")
}

// checkFields returns the reason why a field is invalid, or an empty string.
func (h *Handler) checkFields(d requestDocument, kind order.Kind) string {
	switch {
	case d.ID != "" && !validID(d.ID):
		return fmt.Sprintf("id must have 1 to %d letters, digits or the characters . _ : -", maxIDLength)
	case d.Tasks != nil && (*d.Tasks < 1 || *d.Tasks > h.limits.tasks):
		return fmt.Sprintf("tasks must be between 1 and %d", h.limits.tasks)
	case d.Tasks != nil && *d.Tasks > 1 && kind != order.Gang && kind != order.Service:
		return "tasks must be 1 for a batch or a preview"
	case kind == order.Service && !d.Detached:
		return "a service has no end, so it must be detached"
	case len(d.Payload) > 0 && d.PayloadText != "":
		return "give payload (base64) or payload_text, not both"
	}
	return checkSize(d)
}

// checkSize is checkFields for the resources of a task. The upper bounds keep
// the conversions to milli-cores and bytes from overflowing.
func checkSize(d requestDocument) string {
	switch {
	case d.Cores*milliCores < 1 || d.Cores > maxCores:
		return fmt.Sprintf("cores must be between 0.001 and %d", maxCores)
	case d.MemoryMB < 1 || d.MemoryMB > maxMemoryMB:
		return fmt.Sprintf("memory_mb must be between 1 and %d", maxMemoryMB)
	case d.Accelerators < 0 || d.Accelerators > maxAccelerators:
		return fmt.Sprintf("accelerators must be between 0 and %d", maxAccelerators)
	}
	return ""
}

// validID reports whether the ID can be used in a URL path and in a task ID.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case strings.ContainsRune("._:-", r):
		default:
			return false
		}
	}
	return id != "." && id != ".."
}

// deadline returns the deadline of the request, which is zero for a detached
// request without one. It reports false if deadline_ms is out of range.
func (h *Handler) deadline(d requestDocument, received time.Time) (time.Time, bool) {
	if d.DeadlineMS == nil {
		if d.Detached {
			return time.Time{}, true
		}
		return received.Add(h.limits.defaultDeadline), true
	}
	ms := *d.DeadlineMS
	if ms < 1 || ms > h.limits.maxDeadline.Milliseconds() {
		return time.Time{}, false
	}
	return received.Add(time.Duration(ms) * time.Millisecond), true
}

// newSubmission builds the request from a valid body and makes an ID if the
// body has none.
func newSubmission(d requestDocument, kind order.Kind, k *call, deadline time.Time) submission {
	s := submission{generatedID: d.ID == ""}
	if s.generatedID {
		d.ID = ulid.Make().String()
	}
	tasks := 1
	if d.Tasks != nil {
		tasks = *d.Tasks
	}
	size := order.Resources{}.
		WithCores(order.MilliCores(d.Cores * milliCores)).
		WithMemory(order.Bytes(d.MemoryMB * bytesPerMB)).
		WithAccelerators(d.Accelerators)
	s.request = order.Request{}.
		WithID(order.RequestID(d.ID)).
		WithTeam(k.team).
		WithKind(kind).
		WithTasks(tasks).
		WithIdempotent(d.Idempotent).
		WithDetached(d.Detached).
		WithUrgent(d.Urgent).
		WithCheckpoint(d.Checkpoint).
		WithDeadline(deadline).
		WithSize(size).
		WithPayload(d.payload()).
		WithReceived(k.received)
	s.hash = bodyHash(s.request)
	return s
}

// payload returns the payload, whichever of the two fields holds it.
func (d requestDocument) payload() []byte {
	if d.PayloadText != "" {
		return []byte(d.PayloadText)
	}
	return d.Payload
}

// bodyHash leaves out the team and the ID, which identify the request, and the
// deadline and receipt time, which differ when the request is sent again.
func bodyHash(r order.Request) uint64 {
	size := r.Size()
	h := xxhash.New()
	fmt.Fprintln(h, r.Kind(), r.Tasks(), r.Idempotent(), r.Detached(), r.Urgent(), r.Checkpoint(),
		size.Cores(), size.Memory(), size.Accelerators())
	_, _ = h.Write(r.Payload())
	return h.Sum64()
}
