package drcapacity

// model derives rows from a measurement. Missing series are noted.
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

// valueAt returns the value at a size: the measured one, or else that of the line.
// The line's error is that of its large sizes, which would hide a small value.
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

// slope returns the growth per unit.
func (m *model) slope(name string) float64 { return max(0, m.line(name).Slope) }

// standardErrorAt returns the standard error of the fit at a size.
func (m *model) standardErrorAt(name string, x float64) float64 { return m.line(name).Error(x) }

// fitFleets returns the line through a quantity of a group of fleets.
func (m *model) fitFleets(group string, x, y func(Fleet) float64) Line {
	var xs, ys []float64
	for _, f := range m.Fleets {
		if f.Group == group {
			xs, ys = append(xs, x(f)), append(ys, y(f))
		}
	}
	return fitLine(xs, ys)
}

// cpuOfRoles returns a quantity's accessor: the processor time of a role.
func cpuOfRoles(names ...string) func(Fleet) float64 {
	return func(f Fleet) float64 {
		sum := 0.0
		for _, n := range names {
			sum += f.CPU[n]
		}
		return sum
	}
}

func vmCount(f Fleet) float64 { return float64(f.VMs) }

// runnersPerVM is runners per VM.
func runnersPerVM(f Fleet) float64 { return float64(f.Runners) / float64(f.VMs) }

// percent turns microseconds per second into percent of a core.
func percent(micros float64) float64 { return micros / 1e4 }

// pollsHeld is the number of streams with a held poll of one second, and
// pausedReads the reads per second of the eight once-N streams at one in 10 s.
const (
	longPolledStreams = 4.0
	pausedOnceReads   = 0.8
	onceStreams       = 8.0
	tailRecords       = 4096.0
	tailBytes         = 4 << 20
)

// placementAppends is an intent and its confirmation for each load or unload
// of fleets that ignore fencing tokens, and 3 records for each runner of an
// entry VM that is replaced.
const placementAppends = 2*targetLoadChanges + 3*targetRunners/targetVMs*entryVMReplacements

// entryChanges is entry VMs that are replaced per second, shareAppends the
// moves of the shares that they held.
const (
	entryVMReplacements = (targetFailures + targetRestarts) * targetVMs / (targetVMs + targetRunners)
	listChanges         = (targetFailures + targetRestarts) * assumedListChanges
	shareAppends        = entryVMReplacements * 8 * assumedAccounts / targetVMs
	onceAppends         = 2 * assumedCalls
)
