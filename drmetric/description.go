package drmetric

// Kind is the type of a metric, as in Prometheus.
type Kind int

// Kinds of metrics.
const (
	Counter   Kind = iota // a total that never decreases
	Gauge                 // a current value
	Histogram             // counts of observed durations by bucket
)

// Unit is the unit of a metric's values on the Prometheus text page.
type Unit string

// Units of metrics. A metric in seconds is recorded in nanoseconds and converted
// when the page is written.
const (
	Seconds Unit = "seconds"
	Bytes   Unit = "bytes"
	Tokens  Unit = "tokens"
	Count   Unit = "count"
)

// Description documents one metric.
type Description struct {
	Name string
	Kind Kind
	Unit Unit
	// Labels are the names of the labels, in the order in which the methods of
	// Metrics take their values. Nil means that the metric has a single series.
	Labels []string
	// Help is the text that Prometheus and docs/metrics.md show.
	Help string
}
