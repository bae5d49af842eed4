package drtimeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// textTimeFormat shows milliseconds, the resolution of a stamp.
const textTimeFormat = "15:04:05.000"

// WriteText writes one line for each event.
func WriteText(w io.Writer, es []Event) error {
	for _, e := range es {
		if _, err := fmt.Fprintf(w, "%s %-10s %-20s%s\n", e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, attributes(e)); err != nil {
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

// attributes returns the optional fields as " key=value" pairs.
func attributes(e Event) string {
	var b strings.Builder
	for _, kv := range []struct{ k, v string }{
		{"request-id", e.RequestID},
		{"account", e.Account},
		{"model", e.Model},
		{"backend", e.Backend},
	} {
		if kv.v != "" {
			fmt.Fprintf(&b, " %s=%s", kv.k, kv.v)
		}
	}
	if e.Detail != "" {
		b.WriteString(" " + e.Detail)
	}
	return b.String()
}
