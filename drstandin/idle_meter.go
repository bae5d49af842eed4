package drstandin

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// idleMeter integrates how long model replicas were loaded, and how long they
// were loaded without a generation. Adapters use their base model.
type idleMeter struct {
	updatedAt         time.Time
	loaded, idle      time.Duration
	activeGenerations map[string]int // generations by model
}

// updateUsage books the time since the last call. It is called with e.mu held before
// each change of the replicas or of the generations.
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
