package drmetric

import (
	"slices"
	"strings"

	io_prometheus_client "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// Families returns all metrics that have a series, converted to the data model of
// Prometheus. They are in the order of Descriptions, and the series of each are
// sorted by label values.
func (m *Metrics) Families() []*io_prometheus_client.MetricFamily {
	keysByName := map[string][]string{}
	valueByKey := map[string]any{}
	m.registry.Each(func(key string, value any) {
		name, _, _ := strings.Cut(key, keySeparator)
		keysByName[name] = append(keysByName[name], key)
		valueByKey[key] = value
	})
	var families []*io_prometheus_client.MetricFamily
	for _, d := range Descriptions {
		keys := keysByName[d.Name]
		if len(keys) == 0 {
			continue
		}
		slices.Sort(keys)
		f := &io_prometheus_client.MetricFamily{Name: &d.Name, Help: &d.Help, Type: d.Kind.prometheusType().Enum()}
		for _, k := range keys {
			f.Metric = append(f.Metric, d.prometheusMetric(k, valueByKey[k]))
		}
		families = append(families, f)
	}
	return families
}

func (k Kind) prometheusType() io_prometheus_client.MetricType {
	switch k {
	case Counter:
		return io_prometheus_client.MetricType_COUNTER
	case Histogram:
		return io_prometheus_client.MetricType_HISTOGRAM
	}
	return io_prometheus_client.MetricType_GAUGE
}

// inPageUnit converts a recorded value to the unit of the page: nanoseconds to
// seconds for a metric in seconds. Values in other units are returned as they are.
func (d Description) inPageUnit(recorded float64) float64 {
	if d.Unit == Seconds {
		return recorded / 1e9
	}
	return recorded
}

// prometheusMetric converts one series to the data model of Prometheus. The
// parameter seriesKey is a result of the function seriesKey. Invalid UTF-8 in label
// values is replaced by "?".
func (d Description) prometheusMetric(seriesKey string, value any) *io_prometheus_client.Metric {
	metric := &io_prometheus_client.Metric{}
	for i, l := range strings.Split(seriesKey, keySeparator)[1:] {
		metric.Label = append(metric.Label, &io_prometheus_client.LabelPair{Name: &d.Labels[i], Value: proto.String(strings.ToValidUTF8(l, "?"))})
	}
	var inUnit float64
	switch v := value.(type) {
	case metrics.Counter:
		inUnit = d.inPageUnit(float64(v.Count()))
	case metrics.Gauge:
		inUnit = d.inPageUnit(float64(v.Value()))
	case *histogram:
		metric.Histogram = v.toPrometheus()
		return metric
	}
	if d.Kind == Counter {
		metric.Counter = &io_prometheus_client.Counter{Value: &inUnit}
	} else {
		metric.Gauge = &io_prometheus_client.Gauge{Value: &inUnit}
	}
	return metric
}
