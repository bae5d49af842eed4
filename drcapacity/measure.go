package drcapacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
)

// Options selects the measurements that Measure runs.
type Options struct {
	// Repeats is the number of repetitions of each unit measurement.
	Repeats int
	// Groups names the groups of fleet scenarios to measure; none if empty. The
	// function Groups returns all names.
	Groups []string
	// Units tells whether to measure the units of work, such as one call or
	// one append.
	Units bool
	// Revision is the source revision that is measured. The page shows it.
	Revision string
	// Progress receives a line for all units of work and a line for each fleet.
	// It must not be nil.
	Progress io.Writer
}

// Measure runs the selected measurements, which take at least 18 s for each fleet
// scenario. Series and fleets that the options leave out are taken from previous.
// Measurements must not run concurrently in one process, because they use the
// processor time and the memory of the whole process.
func Measure(ctx context.Context, options Options, previous Measurement) (Measurement, error) {
	m := previous
	m.Revision, m.GoVersion, m.Cores, m.Load, m.Repeats = options.Revision, runtime.Version(), runtime.NumCPU(), loadAverage(), options.Repeats
	if options.Units {
		b := &bench{repeats: options.Repeats}
		for _, f := range []func() error{b.config, b.log, b.members, b.peers, b.folds, b.localParts} {
			if err := f(); err != nil {
				return m, err
			}
		}
		m.Series = b.series
		fmt.Fprintf(options.Progress, "event=units-measured series=%d\n", len(m.Series))
	}
	for _, group := range options.Groups {
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
				return m, fmt.Errorf("measure fleet %+v: %w", s, err)
			}
			fmt.Fprintf(options.Progress, "event=fleet-measured group=%s vms=%d runners=%d control-percent=%.3f low=%.3f high=%.3f memory=%.0f peers=%.0f log=%.0f reads=%.2f\n",
				s.Group, s.VMs, s.Runners, f.Control, f.Low, f.High, f.Memory, f.Bytes["peers"], f.Bytes["log"], f.Reads)
			m.Fleets = append(m.Fleets, f)
		}
	}
	return m, nil
}

// Groups returns the names of all groups of fleet scenarios, in their order.
func Groups() []string {
	var gs []string
	for _, s := range scenarios() {
		if len(gs) == 0 || gs[len(gs)-1] != s.Group {
			gs = append(gs, s.Group)
		}
	}
	return gs
}

// loadAverage returns the machine's load over the last minute. The page shows it,
// because other work on the machine adds noise to the figures.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	oneMinute, _, _ := strings.Cut(string(data), " ")
	return oneMinute
}
