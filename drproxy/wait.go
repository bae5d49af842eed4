package drproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/dradmission"
	"github.com/dotterelridge/dotterelridge/drbalancer"
)

const (
	// plainRetryAfter is the Retry-After while a plain service has no runner:
	// about the time in which a restarted one is listed again.
	plainRetryAfter = time.Second
	// minRetryAfter keeps refused clients from coming back at once.
	minRetryAfter = 50 * time.Millisecond
)

// waitResult says how the search for a runner ended.
type waitResult int

const (
	found waitResult = iota
	clientGone
	refused
)

// pick returns a runner for the next attempt. While none holds the model, the
// request waits for it, as long as it may still be served in time.
func (x *exchange) pick(tried map[string]bool) (*drbalancer.Candidate, refusal, waitResult) {
	s := x.server
	p := x.replica()
	ask := x.ask(tried)
	changed := s.View.Changed()
	if c := drbalancer.Choose(ask, s.View.Candidates(p), true); c != nil {
		return c, refusal{}, found
	}
	if x.service.Engine == nil {
		// Nobody starts runners of plain services, so there is nothing to wait for.
		return nil, x.noRunner(dradmission.Decision{RetryAfter: plainRetryAfter, Why: "no runner is known"}), refused
	}
	if _, ok := x.service.Engine.Models[p.Model]; !ok {
		return nil, refusal{status: fasthttp.StatusNotFound, reason: "unknown-model"}, refused
	}
	began := s.Clock.Now()
	w := s.View.Want(p, x.start.Add(x.route.Objective), x.timeoutAt, x.urgency())
	defer w.Close()
	defer func() { x.waited += s.Clock.Since(began) }()
	for {
		situation := dradmission.Situation{
			Now: s.Clock.Now(), Began: x.start, Objective: x.route.Objective, TimeoutAt: x.timeoutAt,
			Silence: s.View.ControllerSilence(),
		}
		situation.Expected, situation.Forecast = s.View.Forecast(p)
		decision := dradmission.Decide(situation)
		if !decision.Wait {
			return nil, x.noRunner(decision), refused
		}
		t := s.Clock.NewTimer(decision.Again)
		select {
		case <-changed:
		case <-t.C():
		case <-s.ending:
			t.Stop()
			return nil, x.noRunner(dradmission.Decision{Why: "the VM stops"}), refused
		case <-x.conn.done:
			t.Stop()
			return nil, refusal{}, clientGone
		}
		t.Stop()
		changed = s.View.Changed()
		if c := drbalancer.Choose(ask, s.View.Candidates(p), true); c != nil {
			return c, refusal{}, found
		}
	}
}

// ask returns what the choice of a runner depends on.
func (x *exchange) ask(tried map[string]bool) drbalancer.Ask {
	return drbalancer.Ask{Zone: x.server.Zone, Engine: x.service.Engine != nil, Call: x.call, Tried: tried}
}

func (x *exchange) noRunner(d dradmission.Decision) refusal {
	reason := "no-runner"
	if x.service.Engine != nil {
		reason = "model-not-loaded"
	}
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: reason, retryAfter: max(d.RetryAfter, minRetryAfter),
		detail: d.Why}
}
