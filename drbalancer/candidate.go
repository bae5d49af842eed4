// Package drbalancer chooses the runner for a request and keeps the retry budget
// that decides whether a request may be sent a second time. It does no input or
// output.
package drbalancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drprompt"
)

const (
	// engineDelay is how much each running request on a model engine delays the
	// first token of the next one: prompts are prefilled one after another.
	engineDelay = 3 * time.Millisecond
	// slotDelay is how long a request of a plain service occupies a slot, and so
	// how long a queued request waits for one.
	slotDelay = 60 * time.Millisecond
	// zoneDelay is the round-trip time between availability zones.
	zoneDelay = 2 * time.Millisecond
	// prefillPerToken is the prefill time that a runner saves per prompt token
	// that it still holds in its cache.
	prefillPerToken = 26 * time.Microsecond
	// failureDelay is the time that a failed attempt costs: until the failure is
	// noticed, plus a second attempt.
	failureDelay = 400 * time.Millisecond
	// jitter bounds the random delay by which many VMs choose differently among
	// equal runners. Requests running on a plain runner add it once each, which
	// prefers the less busy of two with free slots.
	jitter = time.Millisecond
)

// Candidate is a runner that can take a request, with its load.
type Candidate struct {
	Runner *drfleet.Runner
	// Load is the number of requests running on the runner: those of this VM,
	// and those of other VMs as last reported.
	Load int
	// Failing is the share of recent requests that failed on the runner, 0 to 1.
	Failing float64
	// Elsewhere is the part of Load that other VMs run.
	Elsewhere int
	// RunningTokens is how much of the runner's memory the requests of all VMs may
	// come to need, and UnreadTokens how much of their prompts it has still to read.
	RunningTokens, UnreadTokens int
	// KeptTokens is how much of the request's prompt this VM believes that the runner
	// holds.
	KeptTokens int
	// Estimate is set by Choose if Request.Slots is.
	Estimate Estimate
}

// HasFreeSlot reports whether the runner would begin a request at once.
func (c *Candidate) HasFreeSlot() bool { return c.Load < max(c.Runner.Slots, 1) }

// Request holds what the choice depends on besides the candidates.
type Request struct {
	Zone   string // of this VM
	Engine bool   // the service runs model engines; otherwise it is a plain one
	Call   *drfleet.Call
	// Tried holds the IDs of runners that have already had this request. It may
	// be nil.
	Tried map[string]bool
	// Slots is how many requests an engine runs at once. If it is 0, the choice
	// regards neither the slots nor what engines hold of the prompt.
	Slots int
	// PromptMemory is the number of tokens that an engine has memory for, 0 if that is
	// not known.
	PromptMemory int
	// LongShare is the share of long prompts in the tokens that engines read.
	LongShare float64
	// Prompt is the call's prompt, without prefixes if the engines hold none or the
	// route asks for no affinity.
	Prompt drprompt.Prompt
}

// Choose returns the candidate with the least expected delay, nil if there is
// none. Runners that have already had the request are considered only if
// allowTried is set, and then at the cost of a failed attempt. The requests of a
// session prefer one runner, because it has their shared prompt in its cache.
func Choose(request Request, candidates []Candidate, allowTried bool) *Candidate {
	if request.Engine && request.Slots > 0 {
		return chooseEngine(request, candidates, allowTried)
	}
	var best *Candidate
	var bestDelay time.Duration
	preferred := preferredRunner(request.Call.Session(), candidates)
	for i := range candidates {
		c := &candidates[i]
		if request.Tried[c.Runner.ID] && !allowTried {
			continue
		}
		d := delay(request, c)
		if c.Runner.ID == preferred {
			d -= savedPrefill(request.Call)
		}
		if best == nil || d < bestDelay {
			best, bestDelay = c, d
		}
	}
	return best
}

// delay estimates how much later the candidate answers than an idle, healthy
// runner in the zone of this VM.
func delay(request Request, candidate *Candidate) time.Duration {
	d := rand.N(jitter)
	if request.Engine {
		d += time.Duration(candidate.Load) * engineDelay
	} else {
		slots := max(candidate.Runner.Slots, 1)
		d += slotDelay * time.Duration(max(candidate.Load+1-slots, 0)) / time.Duration(slots)
		d += time.Duration(candidate.Load) * jitter
	}
	if candidate.Runner.Zone != request.Zone {
		d += zoneDelay
	}
	if request.Tried[candidate.Runner.ID] {
		d += failureDelay
	}
	return d + time.Duration(candidate.Failing*float64(failureDelay))
}

// savedPrefill returns the prefill time of the call's whole prompt, which is the
// most that the preferred runner of its session can save.
func savedPrefill(call *drfleet.Call) time.Duration {
	tokens := 0
	for _, p := range call.Prompt {
		tokens += p.Tokens
	}
	return time.Duration(tokens) * prefillPerToken
}

// preferredRunner returns the ID of the runner that a session prefers, chosen by
// rendezvous hashing, so that few sessions move when a runner comes or goes. It
// returns "" without a session.
func preferredRunner(session string, candidates []Candidate) string {
	if session == "" {
		return ""
	}
	preferred, highest := "", uint64(0)
	for i := range candidates {
		id := candidates[i].Runner.ID
		if h := xxhash.Sum64String(session + " " + id); preferred == "" || h > highest {
			preferred, highest = id, h
		}
	}
	return preferred
}
