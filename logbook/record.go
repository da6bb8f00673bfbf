// Package logbook is the journal of a request partition: a write-ahead log of
// segments in the platform's key-value store.
package logbook

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chervilhollow/order"
)

type (
	// Kind tells what a record says about its request.
	Kind uint8

	// Key identifies a request.
	Key struct {
		Team    order.TeamName
		Request order.RequestID
	}

	// Record is one journaled fact about one request.
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

// Kinds of records, in the order in which they follow each other for one
// request.
const (
	Accepted Kind = iota + 1
	Starting
	Ended
)

var encMode = mustEncMode()

// NewRecord returns a record of the kind for a request at a time. The checksum
// is that of the caller's body.
func NewRecord(kind Kind, request order.Request, checksum uint64, at time.Time) Record {
	return Record{w: recordWire{Kind: kind, Request: request, Checksum: checksum, At: at.UTC()}}
}

// WithOutcome returns a copy with the outcome set.
func (r Record) WithOutcome(outcome order.Outcome) Record {
	r.w.Outcome = outcome
	return r
}

// WithRound returns a copy for another submission under the same request ID,
// which is allowed after an outcome that says "not run".
func (r Record) WithRound(round uint32) Record {
	r.w.Round = round
	return r
}

// Round returns the number of the submission under the same request ID.
func (r Record) Round() uint32 { return r.w.Round }

// Kind returns what the record says.
func (r Record) Kind() Kind { return r.w.Kind }

// Request returns the request. Starting and Ended records hold it without its
// payload.
func (r Record) Request() order.Request { return r.w.Request }

// Checksum returns the checksum of the caller's body.
func (r Record) Checksum() uint64 { return r.w.Checksum }

// At returns when the record was made.
func (r Record) At() time.Time { return r.w.At }

// Outcome returns the outcome that an Ended record keeps.
func (r Record) Outcome() order.Outcome { return r.w.Outcome }

// Key returns the identity of the request.
func (r Record) Key() Key {
	return Key{Team: r.w.Request.Team(), Request: r.w.Request.ID()}
}

// follows reports whether the record replaces another one of its request.
func (r Record) follows(other Record) bool {
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
