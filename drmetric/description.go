package drmetric

// Kind says how a metric's values behave.
type Kind int

// Kinds of metrics.
const (
	Counter   Kind = iota // only grows
	Gauge                 // goes up and down
	Histogram             // counts of observed values by bucket
)

// Unit is the unit of a metric's values on the page.
type Unit string

// Units. Values in seconds are recorded in nanoseconds and divided when the
// page is written.
const (
	Seconds Unit = "seconds"
	Bytes   Unit = "bytes"
	Tokens  Unit = "tokens"
	Count   Unit = "count"
)

// Description says what a metric means.
type Description struct {
	Name   string
	Kind   Kind
	Unit   Unit
	Labels []string
	Help   string
}
