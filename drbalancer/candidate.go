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

// Ask is what the choice depends on besides the candidates.
type Ask struct {
	Zone   string // of this VM
	Engine bool   // the service has model engines
	Call   *drfleet.Call
	// Tried names runners that have had this request.
	Tried map[string]bool
}

// Choose returns the candidate with the least expected delay, nil if there is
// none. Runners that have had the request are chosen only if no other is left
// and again is set. Sessions prefer one runner, which keeps their prompts.
func Choose(ask Ask, candidates []Candidate, again bool) *Candidate {
	var best *Candidate
	var bestDelay time.Duration
	home := homeOf(ask.Call.Session(), candidates)
	for i := range candidates {
		c := &candidates[i]
		if ask.Tried[c.Runner.ID] && !again {
			continue
		}
		d := delay(ask, c)
		if c.Runner.ID == home {
			d -= keptPrompt(ask.Call)
		}
		if best == nil || d < bestDelay {
			best, bestDelay = c, d
		}
	}
	return best
}

func delay(ask Ask, c *Candidate) time.Duration {
	d := rand.N(jitter)
	if ask.Engine {
		d += time.Duration(c.Load) * engineDelay
	} else {
		slots := max(c.Runner.Slots, 1)
		d += slotDelay * time.Duration(max(c.Load+1-slots, 0)) / time.Duration(slots)
		d += time.Duration(c.Load) * jitter
	}
	if c.Runner.Zone != ask.Zone {
		d += zoneDelay
	}
	if ask.Tried[c.Runner.ID] {
		d += failureDelay
	}
	return d + time.Duration(c.Failing*float64(failureDelay))
}

// keptPrompt returns the prefill time of the parts that other requests share.
func keptPrompt(c *drfleet.Call) time.Duration {
	tokens := 0
	for _, p := range c.Prompt {
		tokens += p.Tokens
	}
	return time.Duration(tokens) * prefillPerToken
}

// homeOf returns the runner that a session prefers, by rendezvous hashing.
func homeOf(session string, candidates []Candidate) string {
	if session == "" {
		return ""
	}
	home, most := "", uint64(0)
	for i := range candidates {
		id := candidates[i].Runner.ID
		if h := xxhash.Sum64String(session + " " + id); home == "" || h > most {
			home, most = id, h
		}
	}
	return home
}
