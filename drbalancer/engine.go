package drbalancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// newsAge is how old the news of other VMs' load is at most, usually. A wait changes by no
// more than that in the meantime.
const newsAge = 500 * time.Millisecond

// chooseEngine returns an engine with a small expected delay, nil if there is none.
//
// All VMs learn of the load at about the same time. If each chose the least busy engine,
// requests would reach it together and queue there while others are idle. So the choice
// is random, and each extra delay of spread makes an engine less likely by the factor e.
func chooseEngine(request Request, candidates []Candidate, allowTried bool) *Candidate {
	request.weigh(candidates)
	spread := float64(loadUncertainty(candidates))
	var best *Candidate
	least := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if request.Tried[c.Runner.ID] && !allowTried {
			continue
		}
		// The least of delay/spread + ln(x), with x exponentially distributed, falls
		// on each candidate with a probability proportional to exp(-delay/spread).
		if v := float64(c.Estimate.Delay())/spread + math.Log(rand.ExpFloat64()); best == nil || v < least {
			best, least = c, v
		}
	}
	return best
}

// weigh sets the estimates of the candidates.
func (r Request) weigh(candidates []Candidate) {
	places := r.placesFor(candidates)
	for i := range candidates {
		candidates[i].Estimate = r.estimate(&candidates[i], places)
	}
}

// loadUncertainty returns how far the waits at engines may be off. Load of this VM is
// known exactly. That of other VMs changes about as much as it amounts to, while the
// news of it is under way.
func loadUncertainty(candidates []Candidate) time.Duration {
	var wait time.Duration
	load, elsewhere := 0, 0
	for i := range candidates {
		c := &candidates[i]
		wait += min(c.Estimate.Wait, newsAge)
		load += c.Load
		elsewhere += c.Elsewhere
	}
	if load == 0 || elsewhere == 0 {
		return jitter
	}
	mean := float64(wait) / float64(len(candidates))
	return max(jitter, time.Duration((mean+float64(engineDelay))*float64(elsewhere)/float64(load)))
}
