// Package logbook implements the journal of a request partition: a write-ahead
// log whose records are batched into segments in the platform's key-value
// store. The owner of the partition opens it with Open, which replays it and
// fences earlier owners. Journal makes the store calls; Log is the state
// machine behind it.
package logbook

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chervilhollow/order"
)

type (
	// Kind is the stage of a request that a record states.
	Kind uint8

	// Key identifies a request. IDs are unique within a team.
	Key struct {
		Team    order.TeamName
		Request order.RequestID
	}

	// Record states that a request has reached a stage. It is immutable; the
	// With methods return copies.
	Record struct{ w recordWire }

	recordWire struct {
		Kind     Kind          `cbor:"1,keyasint"`
		Request  order.Request `cbor:"2,keyasint"`
		Checksum uint64        `cbor:"3,keyasint,omitempty"`
		At       time.Time     `cbor:"4,keyasint"`
		Outcome  order.Outcome `cbor:"5,keyasint"`
		Round    uint32        `cbor:"6,keyasint,omitempty"`
	}

	segmentWire struct {
		Epoch    order.Epoch       `cbor:"1,keyasint"`
		Sequence uint64            `cbor:"2,keyasint"`
		Writer   string            `cbor:"3,keyasint"`
		Records  []cbor.RawMessage `cbor:"4,keyasint"`
		Base     uint64            `cbor:"5,keyasint,omitempty"`
	}
)

// Kinds of records, in the order in which they are written for one request: it
// was accepted, an attempt is about to start, it has an outcome.
const (
	Accepted Kind = iota + 1
	Starting
	Ended
)

var encMode = mustEncMode()

// NewRecord returns a record of the kind for a request. The checksum is that of
// the body that the caller sent.
func NewRecord(kind Kind, request order.Request, checksum uint64, at time.Time) Record {
	return Record{w: recordWire{Kind: kind, Request: request, Checksum: checksum, At: at.UTC()}}
}

// WithOutcome returns a copy with the outcome set.
func (r Record) WithOutcome(outcome order.Outcome) Record {
	r.w.Outcome = outcome
	return r
}

// WithSubmission returns a copy with the number of the submission. The same
// request ID may be submitted again after an outcome that says "not run".
func (r Record) WithSubmission(round uint32) Record {
	r.w.Round = round
	return r
}

// Submission returns the number of the submission under the same request ID.
func (r Record) Submission() uint32 { return r.w.Round }

// Kind returns the stage that the request has reached.
func (r Record) Kind() Kind { return r.w.Kind }

// Request returns the request. Starting and Ended records hold it without its
// payload.
func (r Record) Request() order.Request { return r.w.Request }

// Checksum returns the checksum of the body that the caller sent.
func (r Record) Checksum() uint64 { return r.w.Checksum }

// At returns when the record was created, in UTC.
func (r Record) At() time.Time { return r.w.At }

// Outcome returns the outcome of an Ended record.
func (r Record) Outcome() order.Outcome { return r.w.Outcome }

// Key returns the team and ID of the request.
func (r Record) Key() Key {
	return Key{Team: r.w.Request.Team(), Request: r.w.Request.ID()}
}

// supersedes reports whether the record replaces another one of the same
// request.
func (r Record) supersedes(other Record) bool {
	if r.w.Round != other.w.Round {
		return r.w.Round > other.w.Round
	}
	return r.w.Kind >= other.w.Kind
}

func (r Record) encode() ([]byte, error) {
	data, err := encMode.Marshal(r.w)
	if err != nil {
		return nil, fmt.Errorf("encode journal record: %w", err)
	}
	return data, nil
}

func decodeSegment(data []byte) (segmentWire, []Record, error) {
	var segment segmentWire
	if err := cbor.Unmarshal(data, &segment); err != nil {
		return segment, nil, fmt.Errorf("decode journal segment: %w", err)
	}
	records := make([]Record, 0, len(segment.Records))
	for _, raw := range segment.Records {
		var r Record
		if err := cbor.Unmarshal(raw, &r.w); err != nil {
			return segment, nil, fmt.Errorf("decode journal record: %w", err)
		}
		records = append(records, r)
	}
	return segment, records, nil
}

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
