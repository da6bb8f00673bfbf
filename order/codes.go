package order

import "fmt"

type (
	// Code is the result of a request. Its number is part of the API, and
	// docs/result-codes.md says what a caller may conclude from each.
	Code uint16

	// RunStatus states whether a request ran. The zero value is RunUnknown.
	RunStatus uint8

	codeInfo struct {
		code Code
		name string
		text string
	}
)

// Result codes. With codes from 100 to 299 the request did not run. With Done
// and codes from 300 to 399 it ran. With all others that is unknown. Text says
// what each code means for the caller.
const (
	Done    Code = 0
	Pending Code = 1

	Malformed      Code = 101
	BodyTooLarge   Code = 102
	UnknownKind    Code = 103
	KeyUnknown     Code = 104
	KeyWithdrawn   Code = 105
	TooLarge       Code = 106
	UnknownRequest Code = 107
	RateExceeded   Code = 108
	IDReused       Code = 109
	BadDeadline    Code = 110
	UnknownQueue   Code = 111
	NotServed      Code = 112

	QueueFull          Code = 201
	DeadlineBeforeRun  Code = 202
	NoOwner            Code = 203
	Stopping           Code = 204
	ConfigUncertain    Code = 205
	JournalUnavailable Code = 206
	CancelledBeforeRun Code = 207
	NoDomain           Code = 208

	TaskFailed           Code = 301
	CancelledRunning     Code = 302
	WorkerLost           Code = 303
	DeadlineWhileRunning Code = 304
	ResultTooLargeToKeep Code = 305

	OutcomeUnknown   Code = 401
	AnswerIncomplete Code = 402

	Internal Code = 501
)

// Values of Run.
const (
	RunUnknown RunStatus = iota
	RunNo
	RunYes
)

// codeTable holds the name and the text of each code, in ascending order.
var codeTable = []codeInfo{
	{Done, "done", "The request ran and this is its whole result."},
	{Pending, "pending", "The request has not ended; ask for its result by ID."},
	{Malformed, "malformed", "Correct the request as the text says and send it again."},
	{BodyTooLarge, "body_too_large", "Send a smaller body."},
	{UnknownKind, "unknown_kind", "Use the kind batch, preview, service or gang."},
	{KeyUnknown, "key_unknown", "Send a key that an operator gave to the team."},
	{KeyWithdrawn, "key_withdrawn", "The key was withdrawn; ask an operator for a new one."},
	{TooLarge, "too_large", "No worker can hold the task; declare a smaller size."},
	{UnknownRequest, "unknown_request", "The team has no request with this ID, or it is older than the retention period."},
	{RateExceeded, "rate_exceeded", "The team sends too fast; wait and send again."},
	{IDReused, "id_reused", "The ID belongs to a request with another body; choose a new ID."},
	{BadDeadline, "bad_deadline", "Use a deadline in the future and within the limit."},
	{UnknownQueue, "unknown_queue", "The configuration in force has no queue at this address."},
	{NotServed, "not_served", "The job asks for a feature that this version does not serve."},
	{QueueFull, "queue_full", "The queue is full; wait and send again."},
	{DeadlineBeforeRun, "deadline_before_run", "The deadline passed before the request could start."},
	{NoOwner, "no_owner", "No process owns this part of the queue now; send again."},
	{Stopping, "stopping", "This process is stopping; send again to another."},
	{ConfigUncertain, "config_uncertain", "The configuration may be out of date; send again later."},
	{JournalUnavailable, "journal_unavailable", "The request could not be recorded; send again later."},
	{CancelledBeforeRun, "cancelled_before_run", "The request was cancelled before it started."},
	{NoDomain, "no_domain", "No failure domain that the team may use is available."},
	{TaskFailed, "task_failed", "The task ran and failed."},
	{CancelledRunning, "cancelled_running", "The request was cancelled while it ran."},
	{WorkerLost, "worker_lost", "The worker was lost while the task ran."},
	{DeadlineWhileRunning, "deadline_while_running", "The deadline passed while the task ran."},
	{ResultTooLargeToKeep, "result_too_large_to_keep", "The task ran, but its result exceeds the size that is kept."},
	{OutcomeUnknown, "outcome_unknown", "The request may have run; check before sending it under a new ID."},
	{AnswerIncomplete, "answer_incomplete", "The result arrived incomplete; ask for it again by ID."},
	{Internal, "internal", "The scheduler found a fault in itself; report it."},
}

// Codes returns all result codes in ascending order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeTable))
	for _, info := range codeTable {
		codes = append(codes, info.code)
	}
	return codes
}

// RunStatus returns what a caller may conclude from the code about whether its
// request ran.
func (c Code) RunStatus() RunStatus {
	switch {
	case c == Done, c >= 300 && c < 400:
		return RunYes
	case c >= 100 && c < 300:
		return RunNo
	}
	return RunUnknown
}

// String returns the name of the code, or its number if it is unknown.
func (c Code) String() string {
	if info, ok := c.info(); ok {
		return info.name
	}
	return fmt.Sprintf("code_%d", uint16(c))
}

// Text returns a sentence that says what happened or what the caller can do.
// It is empty for an unknown code.
func (c Code) Text() string {
	info, _ := c.info()
	return info.text
}

func (c Code) info() (codeInfo, bool) {
	for _, info := range codeTable {
		if info.code == c {
			return info, true
		}
	}
	return codeInfo{}, false
}

// String implements fmt.Stringer.
func (r RunStatus) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	}
	return "unknown"
}
