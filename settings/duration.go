package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Duration is a duration that is written as a string such as "1.5s" in settings
// files.
type Duration time.Duration

var errDuration = errors.New(`want a duration as a string such as "1.5s"`)

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%w, got %s", errDuration, data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w, got %q", errDuration, text)
	}
	*d = Duration(value)
	return nil
}

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }
