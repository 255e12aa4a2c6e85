package jsonc

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration in the syntax of time.ParseDuration.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`expected a duration string such as "250ms"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration such as "250ms" or "4s"`, text)
	}
	*d = Duration(v)
	return nil
}
