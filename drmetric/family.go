package drmetric

import (
	"slices"
	"strings"

	io_prometheus_client "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// Families returns all metrics in the data model of Prometheus: in the order
// of Descriptions, series sorted by label values.
func (m *Metrics) Families() []*io_prometheus_client.MetricFamily {
	series := map[string][]string{}
	values := map[string]any{}
	m.registry.Each(func(key string, value any) {
		name, _, _ := strings.Cut(key, separator)
		series[name] = append(series[name], key)
		values[key] = value
	})
	var families []*io_prometheus_client.MetricFamily
	for _, d := range Descriptions {
		keys := series[d.Name]
		if len(keys) == 0 {
			continue
		}
		slices.Sort(keys)
		f := &io_prometheus_client.MetricFamily{Name: &d.Name, Help: &d.Help, Type: d.Kind.prometheus().Enum()}
		for _, k := range keys {
			f.Metric = append(f.Metric, d.metric(k, values[k]))
		}
		families = append(families, f)
	}
	return families
}

func (k Kind) prometheus() io_prometheus_client.MetricType {
	switch k {
	case Counter:
		return io_prometheus_client.MetricType_COUNTER
	case Histogram:
		return io_prometheus_client.MetricType_HISTOGRAM
	}
	return io_prometheus_client.MetricType_GAUGE
}

// scale converts a recorded value to the unit of the page.
func (d Description) scale(v float64) float64 {
	if d.Unit == Seconds {
		return v / 1e9
	}
	return v
}

// metric converts one series.
func (d Description) metric(key string, value any) *io_prometheus_client.Metric {
	out := &io_prometheus_client.Metric{}
	for i, l := range strings.Split(key, separator)[1:] {
		out.Label = append(out.Label, &io_prometheus_client.LabelPair{Name: &d.Labels[i], Value: proto.String(strings.ToValidUTF8(l, "?"))})
	}
	var number float64
	switch v := value.(type) {
	case metrics.Counter:
		number = d.scale(float64(v.Count()))
	case metrics.Gauge:
		number = d.scale(float64(v.Value()))
	case *histogram:
		out.Histogram = v.prometheus()
		return out
	}
	if d.Kind == Counter {
		out.Counter = &io_prometheus_client.Counter{Value: &number}
	} else {
		out.Gauge = &io_prometheus_client.Gauge{Value: &number}
	}
	return out
}
