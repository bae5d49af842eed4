package drbalancer

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// runTime is how long a request typically occupies a slot of an engine. A
	// request beyond the slots waits for a slot to become free.
	runTime = 500 * time.Millisecond
	// maxAttractiveFailing is the share of failed requests above which no saving
	// attracts requests to an engine.
	maxAttractiveFailing = 0.05
)

// Estimate is what a request is expected to gain and lose at a candidate, compared
// with an idle, healthy runner in the zone of this VM that holds nothing of its prompt.
type Estimate struct {
	Wait    time.Duration // behind the requests that the runner has
	Zone    time.Duration // on the way
	Failure time.Duration // expected cost of a failed attempt
	// KeptTokens is how much of the prompt the runner is expected to hold, and Saved
	// the time to read it.
	KeptTokens int
	Saved      time.Duration
}

// Delay returns how much later the candidate is expected to answer; it may be negative.
func (e Estimate) Delay() time.Duration { return e.Wait + e.Zone + e.Failure - e.Saved }

// chooseEngine returns an engine with a small expected delay, nil if there is none.
//
// All VMs learn of the load at about the same time. If each chose the least busy engine,
// requests would reach it together and queue there while others are idle. So the choice
// is random, and each extra delay of spread makes an engine less likely by the factor e.
func chooseEngine(request Request, candidates []Candidate, allowTried bool) *Candidate {
	preferred := promptRunner(request, candidates)
	for i := range candidates {
		c := &candidates[i]
		c.Estimate = request.estimate(c, c.Runner.ID == preferred)
	}
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

// loadUncertainty returns how far the waits at engines may be off. Load of this VM is
// known exactly. That of other VMs changes about as much as it amounts to, while the
// news of it is under way.
func loadUncertainty(candidates []Candidate) time.Duration {
	var wait time.Duration
	load, elsewhere := 0, 0
	for i := range candidates {
		c := &candidates[i]
		wait += c.Estimate.Wait
		load += c.Load
		elsewhere += c.Elsewhere
	}
	if load == 0 || elsewhere == 0 {
		return jitter
	}
	mean := float64(wait) / float64(len(candidates))
	return max(jitter, time.Duration((mean+float64(engineDelay))*float64(elsewhere)/float64(load)))
}

// estimate weighs a candidate for the request. preferred is set for the engine to which
// all VMs prefer to send the requests that share the beginning of their prompts.
func (r Request) estimate(candidate *Candidate, preferred bool) Estimate {
	e := Estimate{Wait: engineWait(candidate.Load, r.Slots), Failure: time.Duration(candidate.Failing * float64(failureDelay))}
	if candidate.Runner.Zone != r.Zone {
		e.Zone = zoneDelay
	}
	if r.Tried[candidate.Runner.ID] {
		e.Failure += failureDelay
	}
	e.KeptTokens = candidate.KeptTokens
	if preferred {
		e.KeptTokens = max(e.KeptTokens, r.Prompt.ExpectedAtAnchor())
	}
	if candidate.Load < r.Slots && candidate.Failing <= maxAttractiveFailing && !r.Tried[candidate.Runner.ID] {
		e.Saved = time.Duration(e.KeptTokens) * prefillPerToken
	}
	return e
}

// engineWait returns how long a request waits at an engine that has load others.
func engineWait(load, slots int) time.Duration {
	queued := max(load+1-slots, 0)
	return time.Duration(min(load, slots))*engineDelay + time.Duration(queued)*runTime/time.Duration(slots)
}

// promptRunner returns the ID of the engine that rendezvous hashing assigns to the
// prompt's anchor, "" if it has none. All VMs agree on it without messages, and few
// prompts move when an engine comes or goes.
func promptRunner(request Request, candidates []Candidate) string {
	anchor := request.Prompt.Anchor()
	if anchor.Tokens == 0 {
		return ""
	}
	return preferredRunner(strconv.FormatUint(anchor.Key, 16), candidates)
}
