// Package drmetric defines the metrics of the system, keeps their values in a
// go-metrics registry and exports them to Prometheus.
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

// keySeparator separates the name and the label values in the registry key of a
// series. Names do not contain it, and label values that do are rejected.
const keySeparator = "\x00"

// descriptionByName maps the name of each metric to its description.
var descriptionByName = func() map[string]Description {
	m := make(map[string]Description, len(Descriptions))
	for _, d := range Descriptions {
		m[d.Name] = d
	}
	return m
}()

// Metrics holds the metrics of one process. It is safe for concurrent use.
//
// Methods that take the name of a metric panic if Descriptions does not list the name
// or lists it with another kind or number of labels, because these are programming
// errors. Label values must come from the configuration or from fixed sets, never
// from callers, because each series stays in memory.
type Metrics struct {
	registry metrics.Registry
}

// New returns metrics without any series. A series is created when it is first used.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Counter returns the counter with the given label values and creates it if needed.
// A counter in seconds must be increased in nanoseconds.
func (m *Metrics) Counter(name string, labels ...string) metrics.Counter {
	return m.registry.GetOrRegister(seriesKey(name, Counter, labels), metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge with the given label values and creates it if needed. A
// gauge in seconds must be set in nanoseconds.
func (m *Metrics) Gauge(name string, labels ...string) metrics.Gauge {
	return m.registry.GetOrRegister(seriesKey(name, Gauge, labels), metrics.NewGauge).(metrics.Gauge)
}

// GaugeFunc registers a gauge whose value is computed by calling a function each time
// the page is written. It replaces a function registered before for the same series.
func (m *Metrics) GaugeFunc(name string, value func() int64, labels ...string) {
	m.registerFunc(seriesKey(name, Gauge, labels), value)
}

// CounterFunc registers a counter whose value is computed by calling a function each
// time the page is written. It replaces a function registered before for the same
// series.
func (m *Metrics) CounterFunc(name string, value func() int64, labels ...string) {
	m.registerFunc(seriesKey(name, Counter, labels), value)
}

// registerFunc registers a function as the value of a series. It replaces an existing
// series, so that a component that is restarted can register again.
func (m *Metrics) registerFunc(key string, value func() int64) {
	m.registry.Unregister(key)
	_ = m.registry.Register(key, metrics.NewFunctionalGauge(value)) // fails only for duplicates
}

// Histogram returns the histogram with the given label values and creates it if
// needed. It must be updated in nanoseconds.
func (m *Metrics) Histogram(name string, labels ...string) metrics.Histogram {
	return m.registry.GetOrRegister(seriesKey(name, Histogram, labels), newHistogram).(metrics.Histogram)
}

// Observe adds a duration to the histogram with the given label values.
func (m *Metrics) Observe(name string, duration time.Duration, labels ...string) {
	m.Histogram(name, labels...).Update(int64(duration))
}

// RegisterProcess registers the metrics of the process itself: CPU time, memory and
// goroutines.
func (m *Metrics) RegisterProcess() {
	m.CounterFunc(ProcessCPU, cpuTime)
	m.GaugeFunc(ProcessMemory, mappedMemory)
	m.GaugeFunc(ProcessGoroutines, func() int64 { return int64(runtime.NumGoroutine()) })
}

// cpuTime returns the user and system CPU time of the process in nanoseconds, or 0 if
// it cannot be read.
func cpuTime() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// mappedMemory returns the number of bytes that the Go runtime has mapped and not
// released to the operating system. Unlike runtime.ReadMemStats, it does not stop the
// program.
func mappedMemory() int64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}

// seriesKey returns the registry key of a series: the name of the metric, followed by
// keySeparator and the value of each label. It panics if name, kind and the number of
// labels do not fit the description.
func seriesKey(name string, kind Kind, labels []string) string {
	d, ok := descriptionByName[name]
	if !ok || d.Kind != kind || len(d.Labels) != len(labels) {
		panic(fmt.Sprintf("metric %q used with %d labels: no description has this name, kind and number of labels", name, len(labels)))
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
