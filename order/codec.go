package order

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

type (
	// Msg is a message between two processes. Only the types generated from
	// schema.txt implement it.
	Msg interface {
		msgNumber() uint64
	}

	// UnknownMessageError reports a message number that this version doesn't
	// know. A newer process may send one during a rolling upgrade.
	UnknownMessageError struct {
		number uint64
	}

	// InvalidMessageError reports a message in a valid frame whose body can't be
	// decoded, such as one with a text that is not UTF-8.
	InvalidMessageError struct {
		number uint64
		cause  error
	}

	// frame is the encoded form of a message: an array of its number and its
	// encoded body.
	frame struct {
		_      struct{} `cbor:",toarray"`
		Number uint64
		Body   cbor.RawMessage
	}
)

// Limits of what Decode accepts.
const (
	maxArrayElements = 1 << 17
	maxNestedLevels  = 16
)

//go:generate go run chervilhollow/cmd/schemagen schema.txt schema_gen.go

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Encode returns the CBOR encoding of a message, for Decode.
func Encode(m Msg) ([]byte, error) {
	body, err := marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return marshal(frame{Number: m.msgNumber(), Body: body})
}

// Decode returns the message that Encode has encoded. The error wraps
// *UnknownMessageError if a newer version may know the message, and
// *InvalidMessageError if only the body of the message can't be decoded.
func Decode(data []byte) (Msg, error) {
	var f frame
	if err := unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	m, err := decodeBody(f.Number, f.Body)
	var unknown *UnknownMessageError
	switch {
	case errors.As(err, &unknown):
		return nil, fmt.Errorf("decode message %d: %w", f.Number, err)
	case err != nil:
		return nil, &InvalidMessageError{number: f.Number, cause: err}
	}
	return m, nil
}

// Error implements error.
func (e *UnknownMessageError) Error() string {
	return fmt.Sprintf("unknown message number %d", e.number)
}

// Error implements error.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("decode message %d: %v", e.number, e.cause)
}

// Unwrap returns why the body can't be decoded.
func (e *InvalidMessageError) Unwrap() error { return e.cause }

func marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

func unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
