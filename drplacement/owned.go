package drplacement

import (
	"slices"
	"strings"
)

// OwnedRunner is the status of a runner that this VM owns.
type OwnedRunner struct {
	Runner string
	Fence  uint64
	// MemoryBytes is the memory of the runner. ReservedBytes is the part of it
	// that is loaded, loading, or may get loaded by an order on its way.
	MemoryBytes, ReservedBytes int64
	// Running is the number of running generations that the engine reports.
	Running int
	// Loaded holds the names of the loaded models, and MODEL+ADAPTER for each
	// loaded adapter, sorted.
	Loaded []string
}

// Owned returns the runners that this VM owns and has a status of, sorted by
// name.
func (p *Placement) Owned() []OwnedRunner {
	p.owner.mu.Lock()
	controllers := make([]*runnerController, 0, len(p.owner.controllers))
	for _, rc := range p.owner.controllers {
		controllers = append(controllers, rc)
	}
	p.owner.mu.Unlock()
	var out []OwnedRunner
	for _, rc := range controllers {
		s := rc.publishedStatus()
		if s == nil {
			continue
		}
		r := OwnedRunner{
			Runner: s.Runner, Fence: s.Fence, MemoryBytes: s.MemoryBytes, ReservedBytes: s.ReservedBytes, Running: int(s.Running),
		}
		for _, replica := range s.Loaded {
			name := replica.Model
			if replica.Adapter != "" {
				name += "+" + replica.Adapter
			}
			r.Loaded = append(r.Loaded, name)
		}
		slices.Sort(r.Loaded)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b OwnedRunner) int { return strings.Compare(a.Runner, b.Runner) })
	return out
}
