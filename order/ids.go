// Package order holds the core types of the scheduler: identifiers, requests,
// tasks, outcomes, result codes, and the messages between processes.
//
// The data types and messages are generated from schema.txt, which describes
// every field. They are immutable values: each field has an accessor, and a
// method WithField that returns a changed copy. Encode and Decode convert
// messages to and from bytes.
package order

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

type (
	// RequestID identifies a request within its team.
	RequestID string

	// TaskID identifies a task. It has the form "team/request/index".
	TaskID string

	// MemberID identifies one run of one process, so it changes with every
	// restart. It has the form "address/ulid".
	MemberID string

	// PartitionID names a unit of ownership: a request partition ("r/07") or
	// a worker group ("g/domain/rack"). Each has one owner at a time.
	PartitionID string

	// GroupID names a worker group, which is the workers of one rack. It has
	// the form "domain/rack".
	GroupID string

	// WorkerID names a worker, as the platform's worker list does.
	WorkerID string

	// TeamName names a team of the operators' configuration.
	TeamName string

	// JobID identifies a job. The client chooses it.
	JobID string

	// QueueName names a queue of the operators' configuration.
	QueueName string

	// DomainName names a failure domain, which spans several racks.
	DomainName string

	// Epoch is the fencing token of a partition or cell. It rises with each
	// change of owner. Zero means that there is none.
	Epoch uint64

	// Attempt identifies one attempt to run a task. Later attempts have higher
	// numbers, even if the owner of the request partition changes.
	Attempt uint32

	// Revision numbers the accepted configurations in ascending order. Zero
	// means that there is none.
	Revision uint64

	// MilliCores is an amount of processor in thousandths of a core.
	MilliCores int64

	// Bytes is an amount of memory or data.
	Bytes int64
)

const (
	// RequestPartitions is the number of partitions that requests are hashed
	// to. All processes must use the same.
	RequestPartitions = 16

	requestPrefix = "r/"
	groupPrefix   = "g/"
)

// NewTaskID returns the ID of the task with the index, counted from zero.
func NewTaskID(team TeamName, request RequestID, index int) TaskID {
	return TaskID(fmt.Sprintf("%s/%s/%d", team, request, index))
}

// RequestPartition returns the partition that owns a request.
func RequestPartition(team TeamName, id RequestID) PartitionID {
	return requestPartition(xxhash.Sum64String(string(team) + "/" + string(id)))
}

// QuotaPartition returns the request partition whose owner divides the team's
// limit among the worker groups.
func QuotaPartition(team TeamName) PartitionID {
	return requestPartition(xxhash.Sum64String(string(team)))
}

func requestPartition(hash uint64) PartitionID {
	return RequestPartitionAt(int(hash % RequestPartitions))
}

// RequestPartitionAt returns the request partition with the number, which
// ranges from 0 to RequestPartitions-1.
func RequestPartitionAt(number int) PartitionID {
	return PartitionID(fmt.Sprintf("%s%02d", requestPrefix, number))
}

// GroupPartition returns the partition of a worker group.
func GroupPartition(group GroupID) PartitionID {
	return PartitionID(groupPrefix + string(group))
}

// NewGroupID returns the group of the workers in one rack.
func NewGroupID(domain DomainName, rack string) GroupID {
	return GroupID(string(domain) + "/" + rack)
}

// Domain returns the failure domain of the group.
func (g GroupID) Domain() DomainName {
	domain, _, _ := strings.Cut(string(g), "/")
	return DomainName(domain)
}

// Group returns the worker group of the partition. It reports false for a
// request partition.
func (p PartitionID) Group() (GroupID, bool) {
	group, ok := strings.CutPrefix(string(p), groupPrefix)
	return GroupID(group), ok
}

// IsRequest reports whether the partition holds requests.
func (p PartitionID) IsRequest() bool {
	return strings.HasPrefix(string(p), requestPrefix)
}

// NewMemberID returns a new ID for a process that listens on the address.
func NewMemberID(address string) MemberID {
	return MemberID(address + "/" + ulid.Make().String())
}

// Address returns the address that the process listens on.
func (m MemberID) Address() string {
	address, _, _ := strings.Cut(string(m), "/")
	return address
}

// Partition returns the request partition that owns the task. The request ID
// may contain slashes.
func (t TaskID) Partition() PartitionID {
	team, rest, _ := strings.Cut(string(t), "/")
	end := strings.LastIndex(rest, "/")
	if end < 0 {
		end = len(rest)
	}
	return RequestPartition(TeamName(team), RequestID(rest[:end]))
}

// Team returns the team whose request the task belongs to.
func (t TaskID) Team() TeamName {
	team, _, _ := strings.Cut(string(t), "/")
	return TeamName(team)
}
