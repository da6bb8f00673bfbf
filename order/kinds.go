package order

import "fmt"

type (
	// Kind is the kind of work of a request.
	Kind uint8

	// Role states what a process does in the system.
	Role uint8

	// TaskState is how far an attempt of a task has come in a worker group.
	TaskState uint8

	// RequestState is how far a request has come in its partition.
	RequestState uint8

	// JobState is how far a job has come. The zero value is JobPending.
	JobState uint8

	// JobVerb is the operation that a call of a client requests.
	JobVerb uint8
)

// Kinds of work.
const (
	// Batch is a single task.
	Batch Kind = iota + 1

	// Preview is a single task that precedes services, gangs and batch tasks.
	Preview

	// Service is one or more tasks that run until the request is cancelled.
	// They are restarted when they are lost.
	Service

	// Gang is several tasks that start only together.
	Gang
)

// Roles of a process.
const (
	// RoleGate accepts requests of callers.
	RoleGate Role = iota + 1

	// RolePlacer owns partitions and places tasks on workers.
	RolePlacer
)

// States of a task in a worker group.
const (
	// TaskHeld has capacity reserved and waits for the confirmation.
	TaskHeld TaskState = iota + 1

	// TaskStarting is confirmed, and its start is not known to have succeeded.
	TaskStarting

	// TaskRunning has been started on a worker.
	TaskRunning

	// TaskEnded has an outcome that the request partition has not acknowledged.
	TaskEnded
)

// States of a request. RequestUnknown means that the partition has no record
// of it.
const (
	RequestUnknown RequestState = iota
	RequestQueued
	RequestRunning
	RequestDone
)

// States of a job. A pending one has not started any task.
const (
	JobPending JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Verbs of calls. CountWaiting is about a queue, the others about a job.
const (
	SubmitJob JobVerb = iota + 1
	JobStatus
	CancelJob
	CountWaiting
)

var (
	kindNames         = [...]string{Batch: "batch", Preview: "preview", Service: "service", Gang: "gang"}
	roleNames         = [...]string{RoleGate: "gate", RolePlacer: "placer"}
	jobStateNames     = [...]string{JobPending: "pending", JobRunning: "running", JobCompleted: "completed", JobFailed: "failed", JobCancelled: "cancelled"}
	jobVerbNames      = [...]string{SubmitJob: "submit", JobStatus: "status", CancelJob: "cancel", CountWaiting: "count"}
	requestStateNames = [...]string{RequestUnknown: "unknown", RequestQueued: "queued", RequestRunning: "running", RequestDone: "done"}
)

// ParseKind returns the kind with the name that String returns for it.
func ParseKind(name string) (Kind, error) {
	for kind, candidate := range kindNames {
		if candidate != "" && candidate == name {
			return Kind(kind), nil
		}
	}
	return 0, fmt.Errorf("unknown kind %q: want batch, preview, service or gang", name)
}

// String implements fmt.Stringer.
func (k Kind) String() string { return nameAt(kindNames[:], int(k)) }

// String implements fmt.Stringer.
func (r Role) String() string { return nameAt(roleNames[:], int(r)) }

// String implements fmt.Stringer.
func (s RequestState) String() string { return nameAt(requestStateNames[:], int(s)) }

// String implements fmt.Stringer.
func (s JobState) String() string { return nameAt(jobStateNames[:], int(s)) }

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobCompleted }

// String implements fmt.Stringer.
func (v JobVerb) String() string { return nameAt(jobVerbNames[:], int(v)) }

// nameAt returns the name at the index, or the number itself if it has none.
func nameAt(names []string, index int) string {
	if index < len(names) && names[index] != "" {
		return names[index]
	}
	return fmt.Sprintf("number %d", index)
}
