package drmetric

import (
	"slices"
	"sync/atomic"
	"time"

	io_prometheus_client "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
)

const (
	// reservoir and decay make percentiles weigh the last five minutes most;
	// the values are those that the go-metrics documentation recommends.
	reservoir = 1028
	decay     = 0.015
)

// buckets are upper bounds. They include the targets for inter-token latency
// (72 ms) and time to first token (1.2 s), so that the share of requests
// within the target is exact.
var buckets = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	36 * time.Millisecond, 72 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 1200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
	30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute,
}

// histogram adds fixed buckets and a complete sum to a go-metrics histogram,
// whose own sum covers its reservoir only and whose percentiles cannot be
// merged over VMs.
type histogram struct {
	metrics.Histogram
	counts []atomic.Uint64 // by bucket; the last one has no bound
	sum    atomic.Int64
}

func newHistogram() metrics.Histogram {
	return &histogram{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay)),
		counts:    make([]atomic.Uint64, len(buckets)+1),
	}
}

// Update implements metrics.Histogram.
func (h *histogram) Update(v int64) {
	h.Histogram.Update(v)
	i, _ := slices.BinarySearch(buckets, time.Duration(v))
	h.counts[i].Add(1)
	h.sum.Add(v)
}

// Sum implements metrics.Histogram.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// prometheus returns the cumulative buckets in seconds.
func (h *histogram) prometheus() *io_prometheus_client.Histogram {
	sum := time.Duration(h.Sum()).Seconds()
	out := &io_prometheus_client.Histogram{SampleSum: &sum}
	var count uint64
	for i, b := range buckets {
		count += h.counts[i].Load()
		cumulative, bound := count, b.Seconds()
		out.Bucket = append(out.Bucket, &io_prometheus_client.Bucket{CumulativeCount: &cumulative, UpperBound: &bound})
	}
	count += h.counts[len(buckets)].Load()
	out.SampleCount = &count
	return out
}
