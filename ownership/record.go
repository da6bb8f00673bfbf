// Package ownership implements the ownership protocol: it decides which process
// may act for a partition. An owner may act only while it holds an unexpired
// promise, given by the standby of the partition, that the standby will not
// claim it. Manager runs the protocol; the state machine is in protocol.go.
//
// A process that sees no other placer owns its partitions without a standby. It
// then acts only while the lease of its member record is confirmed. This is
// sufficient for development with a single placer: such a partition stops when
// the store is unavailable, and after its owner crashes no process claims it
// until the owner has certainly terminated.
//
// The deadlines require a clock that keeps running while the process is paused.
// Suspending a virtual machine together with its monotonic clock violates this.
// Then only the epoch, which workers check as a fencing token, prevents a
// second start.
package ownership

import (
	"encoding/json"
	"fmt"
	"strings"

	"chervilhollow/order"
)

type (
	// Record names the owner and the standby of a partition. It is stored under
	// the key of the partition and changed only by compare-and-swap.
	Record struct {
		owner    order.MemberID
		standby  order.MemberID
		epoch    order.Epoch
		handover string
	}

	recordDocument struct {
		Owner    order.MemberID `json:"owner"`
		Standby  order.MemberID `json:"standby"`
		Epoch    order.Epoch    `json:"epoch"`
		Handover string         `json:"handover,omitempty"`
	}
)

const recordPrefix = "partition/"

// NewRecord returns a record without a handover ID.
func NewRecord(owner, standby order.MemberID, epoch order.Epoch) Record {
	return Record{owner: owner, standby: standby, epoch: epoch}
}

// Owner returns the process that may act while it holds a promise.
func (r Record) Owner() order.MemberID { return r.owner }

// Standby returns the process that gives the promise, or an empty ID if there
// is none.
func (r Record) Standby() order.MemberID { return r.standby }

// Epoch returns the fencing token, which rises with each change of the owner.
func (r Record) Epoch() order.Epoch { return r.epoch }

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordDocument{
		Owner:    r.owner,
		Standby:  r.standby,
		Epoch:    r.epoch,
		Handover: r.handover,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(data []byte) error {
	var d recordDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("decode partition record: %w", err)
	}
	*r = Record{owner: d.Owner, standby: d.Standby, epoch: d.Epoch, handover: d.Handover}
	return nil
}

// withStandby returns a copy with another standby. It keeps the ID of the
// handover that created the record.
func (r Record) withStandby(standby order.MemberID) Record {
	r.standby = standby
	return r
}

func recordKey(id order.PartitionID) string { return recordPrefix + string(id) }

func partitionOf(key string) order.PartitionID {
	return order.PartitionID(strings.TrimPrefix(key, recordPrefix))
}
