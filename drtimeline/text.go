package drtimeline

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// textTimeFormat is a time of day with milliseconds, the resolution of the wall clock
// part of a stamp.
const textTimeFormat = "15:04:05.000"

// WriteText writes one line for each event: UTC time of day, VM, name and the
// optional fields as key=value pairs.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintf(w, "%s %-10s %-21s%s\n", e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, formatAttributes(e)); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the events as an indented JSON array, which is empty if events is
// nil.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if events == nil {
		events = []Event{}
	}
	return encoder.Encode(events)
}

// Attribute is the key and the formatted value of an optional field of an event.
type Attribute struct{ Key, Value string }

// Attributes returns the optional fields of the event that are not zero, in a fixed
// order. Took is rounded to 10 µs.
func (e Event) Attributes() []Attribute {
	attributes := []Attribute{
		{"request-id", e.RequestID}, {"account", e.Account}, {"model", e.Model}, {"backend", e.Backend},
		{"status", formatNonZero(e.Status)}, {"reason", e.Reason}, {"took", ""}, {"tokens", formatNonZero(e.Tokens)},
		{"detail", e.Detail},
	}
	if e.Took != 0 {
		attributes[6].Value = e.Took.Round(10 * time.Microsecond).String()
	}
	return slices.DeleteFunc(attributes, func(a Attribute) bool { return a.Value == "" })
}

// formatNonZero returns the decimal form of value, or an empty string for 0.
func formatNonZero(value int) string {
	if value == 0 {
		return ""
	}
	return strconv.Itoa(value)
}

// formatAttributes returns the optional fields of the event as key=value pairs, each
// with a leading space. The value of detail already consists of such pairs and is
// written without its key.
func formatAttributes(event Event) string {
	var b strings.Builder
	for _, a := range event.Attributes() {
		if a.Key == "detail" {
			b.WriteString(" " + a.Value)
		} else {
			fmt.Fprintf(&b, " %s=%s", a.Key, a.Value)
		}
	}
	return b.String()
}
