package drmetric

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	io_prometheus_client "github.com/prometheus/client_model/go"
)

var update = flag.Bool("update", false, "write the reference page")

// Guards against wrong units, labels, buckets and sums, and against updates that are
// lost when several goroutines use a series for the first time at once.
func TestFamilies(t *testing.T) {
	is := is.New(t)
	m := New()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 1000 {
				m.Observe(TimeToFirstToken, 1200*time.Millisecond)
				m.Counter(Requests, "200").Inc(1)
			}
		})
	}
	group.Wait()
	m.Observe(TimeToFirstToken, time.Hour)
	m.Counter(Requests, "429").Inc(2)
	m.Counter(IdleAccelerator).Inc(int64(1500 * time.Millisecond))
	m.GaugeFunc(ConfigOffset, func() int64 { return 1 })
	m.GaugeFunc(ConfigOffset, func() int64 { return 42 }) // replaces the first function
	m.RegisterProcess()
	var names []string
	metricsByName := map[string][]*io_prometheus_client.Metric{}
	for _, f := range m.Families() {
		names = append(names, f.GetName())
		metricsByName[f.GetName()] = f.Metric
	}
	is.Equal(names, []string{Requests, TimeToFirstToken, IdleAccelerator, ConfigOffset, ProcessCPU, ProcessMemory, ProcessGoroutines})
	requests := metricsByName[Requests]
	is.Equal(len(requests), 2)
	is.Equal(requests[0].Label[0].GetName()+requests[0].Label[0].GetValue(), "status200")
	is.Equal(requests[0].GetCounter().GetValue(), 4000.0)
	is.Equal(requests[1].GetCounter().GetValue(), 2.0)
	h := metricsByName[TimeToFirstToken][0].GetHistogram()
	is.Equal(h.GetSampleCount(), uint64(4001))
	is.Equal(h.GetSampleSum(), 4000*1.2+3600)
	for _, b := range h.Bucket {
		want := uint64(0)
		if b.GetUpperBound() >= 1.2 {
			want = 4000
		}
		is.Equal(b.GetCumulativeCount(), want)
	}
	is.Equal(metricsByName[IdleAccelerator][0].GetCounter().GetValue(), 1.5)
	is.Equal(metricsByName[ConfigOffset][0].GetGauge().GetValue(), 42.0)
	is.True(metricsByName[ProcessMemory][0].GetGauge().GetValue() > 1<<20)
	is.True(metricsByName[ProcessCPU][0].GetCounter().GetValue() > 0)
}

// Guards against programming errors that pass unnoticed: an unknown name, another kind
// or number of labels than described, and a label value that contains keySeparator.
func TestMistakesPanic(t *testing.T) {
	m := New()
	for name, misuse := range map[string]func(){
		"unknown": func() { m.Counter("x") },
		"kind":    func() { m.Gauge(Requests, "200") },
		"labels":  func() { m.Counter(Requests) },
		"zero":    func() { m.Counter(Requests, "\x00") },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() { is.New(t).True(recover() != nil) }()
			misuse()
		})
	}
}

// Guards against descriptions that break the conventions of Prometheus for metric
// names (suffix _total for counters, unit in the name), lack a help text, or describe
// a histogram in another unit than seconds.
func TestDescriptions(t *testing.T) {
	for _, d := range Descriptions {
		if (d.Kind == Counter) != strings.HasSuffix(d.Name, "_total") || d.Help == "" || d.Kind == Histogram && d.Unit != Seconds {
			t.Errorf("%s breaks a convention", d.Name)
		}
		if (d.Unit == Seconds) != strings.Contains(d.Name, "_seconds") {
			t.Errorf("%s does not name its unit", d.Name)
		}
	}
}

// Guards against a docs/metrics.md that was not generated again after a change of
// Descriptions.
func TestReference(t *testing.T) {
	is := is.New(t)
	const page = "../docs/metrics.md"
	if *update {
		is.NoErr(os.WriteFile(page, []byte(Reference()), 0o644))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), Reference()) // run go generate ./drmetric
}

func BenchmarkObserve(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Observe(QueueWait, time.Millisecond, "batch")
	}
}
