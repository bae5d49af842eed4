package drmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the figures of a run, in the order in which they were measured.
type Report struct {
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a table with one row per figure, which shows whether its
// target is met.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d\n", r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tPOLICY\tFIGURE\tVALUE\tUNIT\tAT MOST\tMET")
	for _, f := range r.Figures {
		limit := "-"
		if f.Limit != nil {
			limit = fmt.Sprintf("%.4g", *f.Limit)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%s\t%s\t%s\n", f.Scenario, f.Policy, f.Name, f.Value, f.Unit, limit, f.targetMet())
	}
	return t.Flush()
}
