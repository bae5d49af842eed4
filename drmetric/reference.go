package drmetric

import (
	"fmt"
	"strings"
)

// String returns the name of the kind in lower case, as the Prometheus page and
// docs/metrics.md show it.
func (k Kind) String() string { return strings.ToLower(k.prometheusType().String()) }

// Reference returns the Markdown text of docs/metrics.md, which is generated from
// Descriptions and the bounds of the histogram buckets.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Metrics

<!-- Generated from package drmetric by go generate ./drmetric. Do not edit. -->

The admin listener serves these metrics as a Prometheus text page. Series
appear with their first value. Rates are taken from counters by the reader.
Histograms have the buckets `)
	for i, d := range bucketBounds {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(d.String())
	}
	b.WriteString(`.

| metric | kind | unit | labels | meaning |
| --- | --- | --- | --- | --- |
`)
	for _, d := range Descriptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, strings.Join(d.Labels, ", "), d.Help)
	}
	return b.String()
}
