package drcapacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
)

// Options says what Measure does.
type Options struct {
	// Repeats is the number of repetitions of each unit measurement.
	Repeats int
	// Groups selects groups of fleet scenarios; all if empty.
	Groups []string
	// Units tells whether to measure the units of work.
	Units bool
	// Revision is the source revision that is measured.
	Revision string
	// Progress receives one line per measurement.
	Progress io.Writer
}

// Measure runs the measurements. Series and fleets that the options leave out
// are taken from previous.
func Measure(ctx context.Context, o Options, previous Measurement) (Measurement, error) {
	m := previous
	m.Revision, m.GoVersion, m.Cores, m.Load, m.Repeats = o.Revision, runtime.Version(), runtime.NumCPU(), loadAverage(), o.Repeats
	if o.Units {
		b := &bench{repeats: o.Repeats}
		for _, f := range []func() error{b.config, b.log, b.members, b.peers, b.folds, b.localParts} {
			if err := f(); err != nil {
				return m, err
			}
		}
		m.Series = b.series
		fmt.Fprintf(o.Progress, "event=units-measured series=%d\n", len(m.Series))
	}
	for _, group := range o.Groups {
		var kept []Fleet
		for _, f := range m.Fleets {
			if f.Group != group {
				kept = append(kept, f)
			}
		}
		m.Fleets = kept
		for _, s := range scenarios() {
			if s.Group != group {
				continue
			}
			f, err := measureFleet(ctx, s)
			if err != nil {
				return m, fmt.Errorf("fleet %+v: %w", s, err)
			}
			fmt.Fprintf(o.Progress, "event=fleet-measured group=%s vms=%d runners=%d control-percent=%.3f low=%.3f high=%.3f memory=%.0f peers=%.0f log=%.0f reads=%.2f\n",
				s.Group, s.VMs, s.Runners, f.Control, f.Low, f.High, f.Memory, f.Bytes["peers"], f.Bytes["log"], f.Reads)
			m.Fleets = append(m.Fleets, f)
		}
	}
	return m, nil
}

// Groups returns the groups of fleet scenarios.
func Groups() []string {
	var gs []string
	for _, s := range scenarios() {
		if len(gs) == 0 || gs[len(gs)-1] != s.Group {
			gs = append(gs, s.Group)
		}
	}
	return gs
}

// loadAverage returns the machine's load over the last minute, since other
// work on it adds noise.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	oneMinute, _, _ := strings.Cut(string(data), " ")
	return oneMinute
}
