package drmetric

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Guards against a page that the parser of Prometheus rejects, for example because
// label values are not escaped.
func TestWrite(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Counter(Requests, "429").Inc(2)
	m.Gauge(Peers, "a\"b\n").Update(3)
	m.Observe(TimeToFirstToken, 1200*time.Millisecond)
	var page bytes.Buffer
	is.NoErr(m.Write(&page))
	for _, line := range []string{
		`dotterelridge_requests_total{status="429"} 2`, `dotterelridge_peers{state="a\"b\n"} 3`,
		`dotterelridge_time_to_first_token_seconds_bucket{le="1.2"} 1`, `dotterelridge_time_to_first_token_seconds_bucket{le="+Inf"} 1`,
	} {
		is.True(strings.Contains(page.String(), line+"\n"))
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(&page)
	is.NoErr(err)
	is.Equal(len(families), 3)
}
