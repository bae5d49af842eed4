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

// textTimeFormat shows milliseconds, the resolution of a stamp.
const textTimeFormat = "15:04:05.000"

// WriteText writes one line for each event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintf(w, "%s %-10s %-21s%s\n", e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, formatAttributes(e)); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the events as a JSON array.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if events == nil {
		events = []Event{}
	}
	return encoder.Encode(events)
}

// Attribute is an optional field of an event.
type Attribute struct{ Key, Value string }

// Attributes returns the optional fields that apply, in a fixed order.
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

// formatNonZero returns the decimal form of n, empty for 0.
func formatNonZero(value int) string {
	if value == 0 {
		return ""
	}
	return strconv.Itoa(value)
}

// formatAttributes returns the optional fields as " key=value" pairs. Detail holds
// such pairs already.
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
