package drcapacity

import (
	"slices"
	"time"
)

// minRepetitionCPU is the least processor time of one repetition. 20 ms is far
// above the resolution of the kernel's accounting.
const minRepetitionCPU = 20 * time.Millisecond

// bench runs the unit measurements and collects their results as series.
type bench struct {
	repeats int
	series  []Series
}

// addSample adds the median, lowest and highest of the repetitions at one size
// to the named series, and creates the series if needed. It sorts values in
// place.
func (b *bench) addSample(name, unit, variable string, size float64, values ...float64) {
	slices.Sort(values)
	s := Sample{Size: size, Value: values[len(values)/2], Low: values[0], High: values[len(values)-1]}
	i := slices.IndexFunc(b.series, func(series Series) bool { return series.Name == name })
	if i < 0 {
		i = len(b.series)
		b.series = append(b.series, Series{Name: name, Unit: unit, Variable: variable})
	}
	b.series[i].Samples = append(b.series[i].Samples, s)
}

// cpu adds the processor time of one call of op, in microseconds, to the series
// name. If bytes is not empty, the bytes that op writes go to the series of that
// name. The calls per repetition double until one takes minRepetitionCPU.
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

// memory adds the bytes of heap and stacks that the value made by build keeps
// alive to the series name.
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

// keepAlive keeps a value reachable until it is called, so that the garbage
// collector does not free the value before its memory is measured.
//
//go:noinline
func keepAlive(any) {}
