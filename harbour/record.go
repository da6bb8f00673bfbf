// Package harbour is the ownership protocol: it decides which process may act
// for a partition. An owner acts only while it holds an unexpired promise of
// the partition's standby not to claim it.
//
// A process that sees no other placer owns its partitions without a standby.
// It then acts only while the lease of its member record is confirmed, which
// is enough for development with a single placer: such a partition stops with
// the store, and after the death of its owner it waits until the owner is
// certain to be gone.
//
// The deadlines rely on a clock that does not stand still while the process
// does. A virtual machine that is suspended with its monotonic clock breaks
// this; there only the epoch, which workers check, prevents a second start.
package harbour

import (
	"encoding/json"
	"fmt"
	"strings"

	"chervilhollow/order"
)

type (
	// Record says who owns a partition. It is kept in the store and changed
	// by compare-and-swap only.
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

// NewRecord returns a record.
func NewRecord(owner, standby order.MemberID, epoch order.Epoch) Record {
	return Record{owner: owner, standby: standby, epoch: epoch}
}

// Owner returns the process that may act while it holds a promise.
func (r Record) Owner() order.MemberID { return r.owner }

// Standby returns the process that gives the promise, empty if there is none.
func (r Record) Standby() order.MemberID { return r.standby }

// Epoch returns the fencing token.
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
		return fmt.Errorf("read partition record: %w", err)
	}
	*r = Record{owner: d.Owner, standby: d.Standby, epoch: d.Epoch, handover: d.Handover}
	return nil
}

// withStandby returns a copy with another standby. The identifier of the
// handover that made the record is kept.
func (r Record) withStandby(standby order.MemberID) Record {
	r.standby = standby
	return r
}

func recordKey(id order.PartitionID) string { return recordPrefix + string(id) }

func partitionOf(key string) order.PartitionID {
	return order.PartitionID(strings.TrimPrefix(key, recordPrefix))
}
