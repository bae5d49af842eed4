package drjson

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON holds as a string such as "5s" or
// "1h30m". Decoding rejects negative durations.
type Duration time.Duration

// String returns the duration as time.Duration prints it, for instance "1h30m0s".
// JSON uses the same form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler. It accepts only a string with a
// unit that time.ParseDuration knows, and no plain number.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) != nil {
		return fmt.Errorf("want a duration with a unit such as \"5s\", got %s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("want a duration with a unit such as \"5s\", got %q", s)
	}
	if v < 0 {
		return fmt.Errorf("duration %q is negative", s)
	}
	*d = Duration(v)
	return nil
}
