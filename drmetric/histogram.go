package drmetric

import (
	"slices"
	"sync/atomic"
	"time"

	io_prometheus_client "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize (in samples) and decayFactor configure the exponentially
	// decaying sample of go-metrics so that percentiles mostly reflect the last five
	// minutes. The go-metrics documentation recommends these values.
	reservoirSize = 1028
	decayFactor   = 0.015
)

// bucketBounds are the inclusive upper bounds of the buckets of all histograms, in
// ascending order. They include the targets for inter-token latency (72 ms) and time
// to first token (1.2 s), so that the share of values within a target is exact.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	36 * time.Millisecond, 72 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 1200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
	30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute,
}

// histogram adds fixed buckets and the sum of all values to a go-metrics histogram.
// The histogram of go-metrics alone is not enough: its sum covers only the samples in
// its reservoir, and its percentiles cannot be merged over VMs.
type histogram struct {
	metrics.Histogram
	bucketCounts []atomic.Uint64 // as in bucketBounds, then one without upper bound
	sum          atomic.Int64    // nanoseconds
}

func newHistogram() metrics.Histogram {
	return &histogram{
		Histogram:    metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor)),
		bucketCounts: make([]atomic.Uint64, len(bucketBounds)+1),
	}
}

// Update implements metrics.Histogram. It adds a duration.
func (h *histogram) Update(nanoseconds int64) {
	h.Histogram.Update(nanoseconds)
	i, _ := slices.BinarySearch(bucketBounds, time.Duration(nanoseconds))
	h.bucketCounts[i].Add(1)
	h.sum.Add(nanoseconds)
}

// Sum implements metrics.Histogram. It returns the sum of all values in nanoseconds.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// toPrometheus returns the histogram with cumulative bucket counts, and with bounds
// and sum in seconds.
func (h *histogram) toPrometheus() *io_prometheus_client.Histogram {
	sum := time.Duration(h.Sum()).Seconds()
	out := &io_prometheus_client.Histogram{SampleSum: &sum}
	var count uint64
	for i, b := range bucketBounds {
		count += h.bucketCounts[i].Load()
		cumulative, bound := count, b.Seconds()
		out.Bucket = append(out.Bucket, &io_prometheus_client.Bucket{CumulativeCount: &cumulative, UpperBound: &bound})
	}
	count += h.bucketCounts[len(bucketBounds)].Load()
	out.SampleCount = &count
	return out
}
