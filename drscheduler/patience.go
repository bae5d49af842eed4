package drscheduler

import (
	"math"
	"time"
)

const (
	// patientEvictionLoss is the eviction loss that requests which can wait may
	// cause, in requests per second. Models with more use are left alone: their
	// requests would queue until they are loaded again.
	patientEvictionLoss = 1
	// patienceMargin is the time by which a load must be able to end before the
	// objective of the requests that wait for it, so that busy models go first and
	// they can wait for a runner that holds less used models.
	patienceMargin = 750 * time.Millisecond
)

// evictionLimit returns the eviction loss that the load of a model may not reach.
// Requests that might miss their objective otherwise may evict any idle model.
func (p *planner) evictionLimit(model string, expected time.Duration, reason Reason) float64 {
	switch {
	case reason == Relocated:
		return p.Rate[model]
	case reason != Wanted:
		return p.replicaGain(model)
	case p.canWait(model, expected+patienceMargin):
		return patientEvictionLoss
	}
	return math.Inf(1)
}

// canWait reports whether all requests that wait for a model have more than a time
// left until they miss their objective.
func (p *planner) canWait(model string, left time.Duration) bool {
	for _, w := range p.Backlogs {
		if w.Model == model && w.ObjectiveLeft <= left {
			return false
		}
	}
	return true
}

// canWaitForLoad reports whether all requests that wait for a model can wait longer
// than its load takes.
func (p *planner) canWaitForLoad(name string) bool {
	model := p.Engine.Models[name]
	duration := model.FromDisk
	if !p.Stored[name] {
		duration = model.FromStore
	}
	return p.canWait(name, duration+orderOverhead+patienceMargin)
}
