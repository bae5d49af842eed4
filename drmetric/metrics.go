// Package drmetric names the metrics of the system, keeps them in a go-metrics
// registry and gives them to Prometheus.
package drmetric

//go:generate go test -run TestReference -update .

import (
	"fmt"
	"runtime"
	rtmetrics "runtime/metrics"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// keySeparator cannot occur in names and is refused in label values.
const keySeparator = "\x00"

// descriptionByName are Descriptions by name.
var descriptionByName = func() map[string]Description {
	m := make(map[string]Description, len(Descriptions))
	for _, d := range Descriptions {
		m[d.Name] = d
	}
	return m
}()

// Metrics are the metrics of one process. Methods panic if the name has no
// description, has another kind, or gets another number of label values than
// described, which are mistakes in the program. Label values must come from
// the configuration or from fixed sets, never from callers, because each
// series stays in memory.
type Metrics struct {
	registry metrics.Registry
}

// New returns an empty set of metrics.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Counter returns the counter with the label values. A counter in seconds
// counts nanoseconds.
func (m *Metrics) Counter(name string, labels ...string) metrics.Counter {
	return m.registry.GetOrRegister(seriesKey(name, Counter, labels), metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge with the label values. A gauge in seconds takes
// nanoseconds.
func (m *Metrics) Gauge(name string, labels ...string) metrics.Gauge {
	return m.registry.GetOrRegister(seriesKey(name, Gauge, labels), metrics.NewGauge).(metrics.Gauge)
}

// GaugeFunc registers a gauge whose value f returns when the page is written.
func (m *Metrics) GaugeFunc(name string, value func() int64, labels ...string) {
	m.registerFunc(seriesKey(name, Gauge, labels), value)
}

// CounterFunc registers a counter whose value f returns when the page is
// written.
func (m *Metrics) CounterFunc(name string, value func() int64, labels ...string) {
	m.registerFunc(seriesKey(name, Counter, labels), value)
}

// registerFunc replaces a series, so that a restarted part can register again.
func (m *Metrics) registerFunc(key string, value func() int64) {
	m.registry.Unregister(key)
	_ = m.registry.Register(key, metrics.NewFunctionalGauge(value)) // fails only for duplicates
}

// Histogram returns the histogram with the label values. It takes nanoseconds.
func (m *Metrics) Histogram(name string, labels ...string) metrics.Histogram {
	return m.registry.GetOrRegister(seriesKey(name, Histogram, labels), newHistogram).(metrics.Histogram)
}

// Observe adds a duration to a histogram.
func (m *Metrics) Observe(name string, duration time.Duration, labels ...string) {
	m.Histogram(name, labels...).Update(int64(duration))
}

// RegisterProcess registers the cost of this process.
func (m *Metrics) RegisterProcess() {
	m.CounterFunc(ProcessCPU, cpuTime)
	m.GaugeFunc(ProcessMemory, mappedMemory)
	m.GaugeFunc(ProcessGoroutines, func() int64 { return int64(runtime.NumGoroutine()) })
}

// cpuTime returns the user and system time of the process in nanoseconds.
func cpuTime() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// mappedMemory returns what the runtime has mapped and not given back, without
// stopping the program as runtime.ReadMemStats does.
func mappedMemory() int64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}

// seriesKey returns the name of a series in the registry.
func seriesKey(name string, kind Kind, labels []string) string {
	d, ok := descriptionByName[name]
	if !ok || d.Kind != kind || len(d.Labels) != len(labels) {
		panic(fmt.Sprintf("metric %q with %d labels is not described as such", name, len(labels)))
	}
	if len(labels) == 0 {
		return name
	}
	for i, l := range labels {
		if strings.Contains(l, keySeparator) {
			panic(fmt.Sprintf("metric %q: label %s contains a zero byte", name, d.Labels[i]))
		}
	}
	return name + keySeparator + strings.Join(labels, keySeparator)
}
