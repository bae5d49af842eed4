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
	runnerFound waitResult = iota
	clientGone
	refused
)

// pickRunner returns a runner for the next attempt. While none holds the model, the
// request waits for it, as long as it may still be served in time.
func (x *exchange) pickRunner(tried map[string]bool) (*drbalancer.Candidate, refusal, waitResult) {
	s := x.server
	p := x.replica()
	request := x.balancerRequest(tried)
	changed := s.View.Changed()
	if c := drbalancer.Choose(request, s.View.Candidates(p), true); c != nil {
		return c, refusal{}, runnerFound
	}
	if x.service.Engine == nil {
		// Nobody starts runners of plain services, so there is nothing to wait for.
		return nil, x.noRunnerRefusal(dradmission.Decision{RetryAfter: plainRetryAfter, Why: "no runner is known"}), refused
	}
	if _, ok := x.service.Engine.Models[p.Model]; !ok {
		return nil, refusal{status: fasthttp.StatusNotFound, reason: "unknown-model"}, refused
	}
	began := s.Clock.Now()
	waiter := s.View.AddWaiter(p, x.start.Add(x.route.Objective), x.timeoutAt, x.urgency())
	defer waiter.Close()
	defer func() { x.waited += s.Clock.Since(began) }()
	for {
		waiting := dradmission.WaitingRequest{
			Now: s.Clock.Now(), Began: x.start, Objective: x.route.Objective, TimeoutAt: x.timeoutAt,
			Silence: s.View.ControllerSilence(),
		}
		waiting.Expected, waiting.Forecast = s.View.Forecast(p)
		decision := dradmission.Decide(waiting)
		if !decision.Wait {
			return nil, x.noRunnerRefusal(decision), refused
		}
		t := s.Clock.NewTimer(decision.RecheckAfter)
		select {
		case <-changed:
		case <-t.C():
		case <-s.stopWaiting:
			t.Stop()
			return nil, x.noRunnerRefusal(dradmission.Decision{Why: "the VM stops"}), refused
		case <-x.conn.done:
			t.Stop()
			return nil, refusal{}, clientGone
		}
		t.Stop()
		changed = s.View.Changed()
		if c := drbalancer.Choose(request, s.View.Candidates(p), true); c != nil {
			return c, refusal{}, runnerFound
		}
	}
}

// balancerRequest returns what the choice of a runner depends on.
func (x *exchange) balancerRequest(tried map[string]bool) drbalancer.Request {
	return drbalancer.Request{Zone: x.server.Zone, Engine: x.service.Engine != nil, Call: x.call, Tried: tried}
}

func (x *exchange) noRunnerRefusal(decision dradmission.Decision) refusal {
	reason := "no-runner"
	if x.service.Engine != nil {
		reason = "model-not-loaded"
	}
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: reason, retryAfter: max(decision.RetryAfter, minRetryAfter),
		detail: decision.Why}
}
