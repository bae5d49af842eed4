package drbalancer

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drprompt"
)

const (
	// runTime is how long a request typically occupies a slot of an engine. A
	// request beyond the slots waits for a slot to become free.
	runTime = 500 * time.Millisecond
	// maxAttractiveFailing is the share of failed requests above which no saving
	// attracts requests to an engine.
	maxAttractiveFailing = 0.05
	// longPromptDelay is what a short prompt is expected to lose at an engine that
	// reads long ones, beyond what the news of its load says: they often come and go
	// between two news.
	longPromptDelay = 60 * time.Millisecond
)

// Estimate is what a request is expected to gain and lose at a candidate, compared
// with an idle, healthy runner in the zone of this VM that holds nothing of its prompt.
type Estimate struct {
	Wait    time.Duration // behind the requests that the runner has
	Zone    time.Duration // on the way
	Failure time.Duration // expected cost of a failed attempt
	// Apart is the expected cost of mixing long prompts with short ones: the delay that
	// the request causes to others, or suffers.
	Apart time.Duration
	// KeptTokens is how much of the prompt the runner is expected to hold, and Saved
	// the time to read it. Saved is 0 if the saving must not attract the request.
	KeptTokens int
	Saved      time.Duration
}

// Delay returns how much later the candidate is expected to answer; it may be negative.
func (e Estimate) Delay() time.Duration { return e.Wait + e.Zone + e.Failure + e.Apart - e.Saved }

// estimate weighs a candidate for the request.
func (r Request) estimate(candidate *Candidate, places places) Estimate {
	e := Estimate{Wait: r.engineWait(candidate), Failure: time.Duration(candidate.Failing * float64(failureDelay))}
	if candidate.Runner.Zone != r.Zone {
		e.Zone = zoneDelay
	}
	if r.Tried[candidate.Runner.ID] {
		e.Failure += failureDelay
	}
	e.KeptTokens = candidate.KeptTokens
	if candidate.Runner.ID == places.preferred {
		e.KeptTokens = max(e.KeptTokens, r.Prompt.ExpectedAtAnchor())
	}
	attractive := r.hasRoom(candidate) && candidate.Failing <= maxAttractiveFailing && !r.Tried[candidate.Runner.ID]
	if attractive {
		e.Saved = time.Duration(e.KeptTokens) * prefillPerToken
	}
	switch long := drprompt.Long(r.promptTokens()); {
	case len(places.long) == 0:
	case long && !places.long[candidate.Runner.ID]:
		e.Apart = time.Duration(r.promptTokens()-e.KeptTokens) * prefillPerToken
	case !long && places.long[candidate.Runner.ID]:
		e.Apart = longPromptDelay
	}
	return e
}

// engineWait returns how long the request waits at an engine until its prompt is read:
// for the prompts before it, or for a slot or memory if that takes longer, and a little
// for each running request, because their tokens are made in between.
func (r Request) engineWait(candidate *Candidate) time.Duration {
	queued := max(candidate.Load+1-r.Slots, 0)
	wait := max(time.Duration(candidate.UnreadTokens)*prefillPerToken, time.Duration(queued)*runTime/time.Duration(r.Slots))
	if !r.hasMemory(candidate) {
		wait = max(wait, runTime)
	}
	return wait + time.Duration(min(candidate.Load, r.Slots))*engineDelay
}

// hasRoom reports whether an engine can take the request at once.
func (r Request) hasRoom(candidate *Candidate) bool {
	return candidate.Load < r.Slots && r.hasMemory(candidate)
}

// hasMemory reports whether an engine has memory for the request beside the running
// ones, if all reach the length that they may.
func (r Request) hasMemory(candidate *Candidate) bool {
	return r.PromptMemory == 0 || candidate.RunningTokens+r.promptTokens()+r.Call.OutputTokens <= r.PromptMemory
}

// promptTokens returns the number of tokens of the request's prompt.
func (r Request) promptTokens() int { return max(r.Call.PromptTokens, r.Prompt.Tokens()) }
