package frontend

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"chervilhollow/order"
)

type (
	// reply is the answer to a call before it is encoded. A status of zero
	// stands for the usual HTTP status of the code; disconnected means that
	// the caller closed the connection, so that nothing is written.
	reply struct {
		code         order.Code
		text         string
		state        order.RequestState
		result       []byte
		status       int
		started      time.Time
		id           order.RequestID
		disconnected bool
	}

	// answerDocument is the JSON body of every answer.
	answerDocument struct {
		ID     order.RequestID `json:"id,omitempty"`
		Code   order.Code      `json:"code"`
		Name   string          `json:"name"`
		Text   string          `json:"text"`
		Run    string          `json:"run"`
		State  string          `json:"state,omitempty"`
		Result []byte          `json:"result,omitempty"`

		// ResultText repeats a result that is valid UTF-8 text.
		ResultText string `json:"result_text,omitempty"`

		WaitedMS float64 `json:"waited_ms"`
	}
)

const retryAfterSeconds = "1"

// httpStatus maps result codes to HTTP status codes. A task that failed is not
// answered with a 5xx status, because a load balancer would count it as a
// failure of the gate.
var httpStatus = map[order.Code]int{
	order.Done:                 http.StatusOK,
	order.Pending:              http.StatusAccepted,
	order.Malformed:            http.StatusBadRequest,
	order.BodyTooLarge:         http.StatusRequestEntityTooLarge,
	order.UnknownKind:          http.StatusBadRequest,
	order.KeyUnknown:           http.StatusUnauthorized,
	order.KeyWithdrawn:         http.StatusForbidden,
	order.TooLarge:             http.StatusUnprocessableEntity,
	order.UnknownRequest:       http.StatusNotFound,
	order.RateExceeded:         http.StatusTooManyRequests,
	order.IDReused:             http.StatusConflict,
	order.BadDeadline:          http.StatusBadRequest,
	order.UnknownQueue:         http.StatusNotFound,
	order.NotServed:            http.StatusBadRequest,
	order.QueueFull:            http.StatusServiceUnavailable,
	order.DeadlineBeforeRun:    http.StatusRequestTimeout,
	order.NoOwner:              http.StatusServiceUnavailable,
	order.Stopping:             http.StatusServiceUnavailable,
	order.ConfigUncertain:      http.StatusServiceUnavailable,
	order.JournalUnavailable:   http.StatusServiceUnavailable,
	order.CancelledBeforeRun:   http.StatusGone,
	order.NoDomain:             http.StatusServiceUnavailable,
	order.TaskFailed:           http.StatusUnprocessableEntity,
	order.CancelledRunning:     http.StatusGone,
	order.WorkerLost:           http.StatusBadGateway,
	order.DeadlineWhileRunning: http.StatusGatewayTimeout,
	order.ResultTooLargeToKeep: http.StatusInsufficientStorage,
	order.OutcomeUnknown:       http.StatusGatewayTimeout,
	order.AnswerIncomplete:     http.StatusBadGateway,
	order.Internal:             http.StatusInternalServerError,
}

// newReply returns a reply with the standard text of the code.
func newReply(code order.Code) reply { return reply{code: code, text: code.Text()} }

// withText replaces the text, unless the new one is empty.
func (r reply) withText(text string) reply {
	if text != "" {
		r.text = text
	}
	return r
}

func (r reply) withStatus(status int) reply {
	r.status = status
	return r
}

func (r reply) withState(state order.RequestState) reply {
	r.state = state
	return r
}

func (r reply) withID(id order.RequestID) reply {
	r.id = id
	return r
}

// replyFrom converts the answer of a partition's owner.
func replyFrom(m order.AnswerMsg) reply {
	r := newReply(m.Code()).withText(m.Text()).withState(m.State())
	r.result = m.Body()
	r.started = m.Started()
	return r
}

// httpStatus returns 500 for a code without an HTTP status.
func (r reply) httpStatus() int {
	if r.status != 0 {
		return r.status
	}
	if status, ok := httpStatus[r.code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ran returns whether the request ran, as far as the caller may conclude it. In
// the answer to a status, result or cancel call, a code for "not run" refers to
// that call and not to the request, whose run is then unknown.
func (r reply) ran(isSubmission bool) order.RunStatus {
	if r.code == order.Pending && r.state == order.RequestRunning {
		return order.RunYes
	}
	if isSubmission || r.state == order.RequestDone {
		return r.code.RunStatus()
	}
	if r.code.RunStatus() == order.RunNo {
		return order.RunUnknown
	}
	return r.code.RunStatus()
}

// write counts the answer and sends it to the caller. While the process stops,
// it also closes the connection, so that the caller's next call goes elsewhere.
func (h *Handler) write(k *call, r reply) {
	h.deps.registry.Count("counter.answered." + r.code.String())
	if r.disconnected {
		return
	}
	if id := order.RequestID(k.r.PathValue("id")); id != "" {
		r.id = id
	}
	header := k.w.Header()
	header.Set("Content-Type", "application/json")
	if h.Stopping() {
		header.Set("Connection", "close")
	}
	switch r.httpStatus() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		header.Set("Retry-After", retryAfterSeconds)
	case http.StatusUnauthorized:
		header.Set("WWW-Authenticate", "Bearer")
	}
	_ = http.NewResponseController(k.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	k.w.WriteHeader(r.httpStatus())
	if err := json.NewEncoder(k.w).Encode(h.document(k, r)); err != nil {
		h.deps.registry.Count("counter.answer_not_written")
	}
}

// document sets the waited time only in answers to submissions.
func (h *Handler) document(k *call, r reply) answerDocument {
	d := answerDocument{
		ID: r.id, Code: r.code, Name: r.code.String(), Text: r.text,
		Run: r.ran(k.isSubmission).String(), Result: r.result,
	}
	if utf8.Valid(r.result) {
		d.ResultText = string(r.result)
	}
	if r.state != order.RequestUnknown {
		d.State = r.state.String()
	}
	if k.isSubmission {
		d.WaitedMS = waitedMillis(k.received, r.started, h.deps.clock.Now())
	}
	return d
}

// waitedMillis returns the time from the receipt to the start, or to now if the
// request did not start.
func waitedMillis(received, started, now time.Time) float64 {
	if started.IsZero() {
		started = now
	}
	return max(0, float64(started.Sub(received))/float64(time.Millisecond))
}
