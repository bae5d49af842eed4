package drstandin

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// idleMeter sums how long model replicas were loaded, and how long they were loaded
// without a generation of their model. A generation of an adapter counts for its
// base model.
type idleMeter struct {
	updatedAt         time.Time
	loaded, idle      time.Duration
	activeGenerations map[string]int // generations that wait or run, by model
}

// updateUsage adds the time since the last call. It must be called before each
// change of the replicas or the generations, with e.mu held.
func (e *Engine) updateUsage() {
	now := time.Now()
	elapsed := now.Sub(e.usage.updatedAt)
	e.usage.updatedAt = now
	for _, r := range e.replicas {
		if r.Adapter != "" || r.State != drengine.Loaded {
			continue
		}
		e.usage.loaded += elapsed
		if e.usage.activeGenerations[r.Model] == 0 {
			e.usage.idle += elapsed
		}
	}
}
