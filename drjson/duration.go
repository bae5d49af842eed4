package drjson

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as "5s" or "1h30m" in JSON. It is never
// negative.
type Duration time.Duration

// String returns the form used in JSON.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
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
