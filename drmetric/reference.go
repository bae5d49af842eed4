package drmetric

import (
	"fmt"
	"strings"
)

// String returns the name that the page and the reference use.
func (k Kind) String() string { return strings.ToLower(k.prometheusType().String()) }

// Reference returns docs/metrics.md, made from Descriptions.
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
