// Package drbalancer decides which runner takes a request and whether a request
// may be sent a second time. It does no input or output.
package drbalancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// engineDelay is what one running request adds to the first token of
	// another: prompts are prefilled in turns.
	engineDelay = 3 * time.Millisecond
	// slotDelay is the work of one request of a plain service, and so what a
	// queued one waits per slot.
	slotDelay = 60 * time.Millisecond
	// zoneDelay is a round trip between availability zones.
	zoneDelay = 2 * time.Millisecond
	// prefillPerToken is the time that a kept prompt token saves.
	prefillPerToken = 26 * time.Microsecond
	// failureDelay is the cost of a failed attempt: the time until it is
	// noticed, and a second attempt.
	failureDelay = 400 * time.Millisecond
	// jitter spreads equal choices of many VMs.
	jitter = time.Millisecond
)

// Candidate is a runner that can take a request.
type Candidate struct {
	Runner *drfleet.Runner
	// Load is the number of requests that run there, as far as is known.
	Load int
	// Failing is the share of recent requests that failed there, 0 to 1.
	Failing float64
}

// Request is what the choice depends on besides the candidates.
type Request struct {
	Zone   string // of this VM
	Engine bool   // the service has model engines
	Call   *drfleet.Call
	// Tried names runners that have had this request.
	Tried map[string]bool
}

// Choose returns the candidate with the least expected delay, nil if there is
// none. Runners that have had the request are chosen only if no other is left
// and again is set. Sessions prefer one runner, which keeps their prompts.
func Choose(request Request, candidates []Candidate, allowTried bool) *Candidate {
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

// savedPrefill returns the prefill time of the parts that other requests share.
func savedPrefill(call *drfleet.Call) time.Duration {
	tokens := 0
	for _, p := range call.Prompt {
		tokens += p.Tokens
	}
	return time.Duration(tokens) * prefillPerToken
}

// preferredRunner returns the runner that a session prefers, by rendezvous hashing.
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
