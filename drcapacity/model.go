package drcapacity

// model derives the rows of the page from a measurement. err names the first
// series that was needed and is missing.
type model struct {
	Measurement
	err error
}

func (m *model) line(name string) Line {
	s, err := m.series(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s.Fit()
}

// valueAt returns the value of a series at a size: the measured value if there is
// one, or else that of the fitted line. The absolute error of the line is that of
// the large sizes, which may exceed a small value.
func (m *model) valueAt(name string, x float64) float64 {
	l := m.line(name)
	s, _ := m.series(name)
	for _, p := range s.Samples {
		if p.Size == x {
			return p.Value
		}
	}
	return max(0, l.At(x))
}

// slope returns the growth of a series per unit of its variable, at least 0.
func (m *model) slope(name string) float64 { return max(0, m.line(name).Slope) }

// standardErrorAt returns the standard error of a series' fit at a size.
func (m *model) standardErrorAt(name string, x float64) float64 { return m.line(name).Error(x) }

// fitFleets fits a line through the quantity y over the quantity x of the fleets
// of a group.
func (m *model) fitFleets(group string, x, y func(Fleet) float64) Line {
	var xs, ys []float64
	for _, f := range m.Fleets {
		if f.Group == group {
			xs, ys = append(xs, x(f)), append(ys, y(f))
		}
	}
	return fitLine(xs, ys)
}

// cpuOfRoles returns a function that adds up the processor time of the named
// roles in a fleet, in percent of a core.
func cpuOfRoles(names ...string) func(Fleet) float64 {
	return func(fleet Fleet) float64 {
		sum := 0.0
		for _, n := range names {
			sum += fleet.CPU[n]
		}
		return sum
	}
}

func vmCount(fleet Fleet) float64 { return float64(fleet.VMs) }

func runnersPerVM(fleet Fleet) float64 { return float64(fleet.Runners) / float64(fleet.VMs) }

// percent converts microseconds per second to percent of a core.
func percent(micros float64) float64 { return micros / 1e4 }

// longPolledStreams is the number of streams with a held poll of one second, and
// pausedOnceReads the reads per second of the eight once-N streams, each read
// once in 10 s. A follower keeps up to tailRecords records or tailBytes bytes of
// a stream.
const (
	longPolledStreams = 4.0
	pausedOnceReads   = 0.8
	onceStreams       = 8.0
	tailRecords       = 4096.0
	tailBytes         = 4 << 20
)

// placementAppends is placement records per second: an intent and its
// confirmation for each load or unload of fleets that ignore fencing tokens, and
// 3 records for each runner of an entry VM that is replaced.
const placementAppends = 2*targetLoadChanges + 3*targetRunners/targetVMs*entryVMReplacements

// entryVMReplacements is entry VMs that are replaced per second, listChanges the
// changes of the VM list per second, shareAppends the moves of the shares that
// replaced VMs held, and onceAppends the intents and outcomes of keyed calls.
const (
	entryVMReplacements = (targetFailures + targetRestarts) * targetVMs / (targetVMs + targetRunners)
	listChanges         = (targetFailures + targetRestarts) * assumedListChanges
	shareAppends        = entryVMReplacements * 8 * assumedAccounts / targetVMs
	onceAppends         = 2 * assumedCalls
)
