package drstandin

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// idleMeter integrates how long model replicas were loaded, and how long they
// were loaded without a generation. Adapters use their base model.
type idleMeter struct {
	at           time.Time
	loaded, idle time.Duration
	active       map[string]int // generations by model
}

// meter books the time since the last call. It is called with e.mu held before
// each change of the replicas or of the generations.
func (e *Engine) meter() {
	now := time.Now()
	d := now.Sub(e.usage.at)
	e.usage.at = now
	for _, r := range e.replicas {
		if r.Adapter != "" || r.State != drengine.Loaded {
			continue
		}
		e.usage.loaded += d
		if e.usage.active[r.Model] == 0 {
			e.usage.idle += d
		}
	}
}
