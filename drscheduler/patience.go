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

// evictionLimit returns the eviction loss that the load of a model for a demand may not
// reach. Requests that might miss their objective otherwise may evict any idle model.
func (p *planner) evictionLimit(d Demand, expected time.Duration, reason Reason) float64 {
	switch {
	case reason == Relocated:
		return p.use(d).Rate
	case reason == Limited:
		return p.requests(d)
	case reason == AtVersion:
		return idleEvictionLoss
	case reason != Wanted:
		return p.replicaGain(d)
	case p.canWait(d, expected+patienceMargin):
		return patientEvictionLoss
	}
	return math.Inf(1)
}

// canWait reports whether all requests that wait for a load for a demand have more than a
// time left until they miss their objective. Those that may be served in further zones
// wait for it, too.
func (p *planner) canWait(d Demand, left time.Duration) bool {
	for _, w := range p.Backlogs {
		if w.Model == d.Model && d.Zones.Within(w.Zones) && w.ObjectiveLeft <= left {
			return false
		}
	}
	return true
}

// canWaitForLoad reports whether all requests that wait for a load for a demand can wait
// longer than it takes.
func (p *planner) canWaitForLoad(d Demand) bool {
	model := p.Engine.Models[d.Model]
	duration := model.FromDisk
	if !p.Stored.In(d.Model, d.Zones) {
		duration = model.FromStore
	}
	return p.canWait(d, duration+orderOverhead+patienceMargin)
}
