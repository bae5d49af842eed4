package drmetric

import (
	"fmt"
	"io"

	"github.com/prometheus/common/expfmt"
)

// ContentType is the media type of the page that Metrics.Write writes.
var ContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) error {
	for _, f := range m.Families() {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return fmt.Errorf("write metric %s: %w", f.GetName(), err)
		}
	}
	return nil
}
