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
func WriteText(w io.Writer, es []Event) error {
	for _, e := range es {
		if _, err := fmt.Fprintf(w, "%s %-10s %-21s%s\n", e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, attributes(e)); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the events as a JSON array.
func WriteJSON(w io.Writer, es []Event) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if es == nil {
		es = []Event{}
	}
	return enc.Encode(es)
}

// Attribute is an optional field of an event.
type Attribute struct{ Key, Value string }

// Attributes returns the optional fields that apply, in a fixed order.
func (e Event) Attributes() []Attribute {
	all := []Attribute{
		{"request-id", e.RequestID}, {"account", e.Account}, {"model", e.Model}, {"backend", e.Backend},
		{"status", number(e.Status)}, {"reason", e.Reason}, {"took", ""}, {"tokens", number(e.Tokens)},
		{"detail", e.Detail},
	}
	if e.Took != 0 {
		all[6].Value = e.Took.Round(10 * time.Microsecond).String()
	}
	return slices.DeleteFunc(all, func(a Attribute) bool { return a.Value == "" })
}

// number returns the decimal form of n, empty for 0.
func number(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// attributes returns the optional fields as " key=value" pairs. Detail holds
// such pairs already.
func attributes(e Event) string {
	var b strings.Builder
	for _, a := range e.Attributes() {
		if a.Key == "detail" {
			b.WriteString(" " + a.Value)
		} else {
			fmt.Fprintf(&b, " %s=%s", a.Key, a.Value)
		}
	}
	return b.String()
}
