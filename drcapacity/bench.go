package drcapacity

import (
	"slices"
	"time"
)

// minRepetitionCPU is the least processor time of one repetition; 20 ms is far above the
// resolution of the kernel's accounting.
const minRepetitionCPU = 20 * time.Millisecond

// bench collects series.
type bench struct {
	repeats int
	series  []Series
}

// addSample records the repetitions of one size.
func (b *bench) addSample(name, unit, variable string, size float64, values ...float64) {
	slices.Sort(values)
	s := Sample{Size: size, Value: values[len(values)/2], Low: values[0], High: values[len(values)-1]}
	i := slices.IndexFunc(b.series, func(s Series) bool { return s.Name == name })
	if i < 0 {
		i = len(b.series)
		b.series = append(b.series, Series{Name: name, Unit: unit, Variable: variable})
	}
	b.series[i].Samples = append(b.series[i].Samples, s)
}

// cpu measures the processor time of op in microseconds, and the bytes that it
// writes if bytes is not empty.
func (b *bench) cpu(name, bytes, variable string, size float64, op func() error) error {
	if err := op(); err != nil { // warms caches and connections
		return err
	}
	n := 1
	var times, sizes []float64
	for len(times) < b.repeats {
		start, written := cpuTime(), writtenBytes()
		for range n {
			if err := op(); err != nil {
				return err
			}
		}
		spent := cpuTime() - start
		if spent < minRepetitionCPU {
			n *= 2
			continue
		}
		times = append(times, float64(spent.Nanoseconds())/1e3/float64(n))
		sizes = append(sizes, (writtenBytes()-written)/float64(n))
	}
	b.addSample(name, "µs", variable, size, times...)
	if bytes != "" {
		b.addSample(bytes, "B", variable, size, sizes...)
	}
	return nil
}

// memory measures the bytes that the value made by build keeps alive.
func (b *bench) memory(name, variable string, size float64, build func() any) {
	var values []float64
	for range b.repeats {
		before := heldMemory()
		kept := build()
		values = append(values, heldMemory()-before)
		keepAlive(kept)
	}
	b.addSample(name, "B", variable, size, values...)
}

// keepAlive keeps a value alive until here.
//
//go:noinline
func keepAlive(any) {}
