package drproxy

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/dradmission"
	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

const (
	// minRetryAfter is the least Retry-After for requests without a runner, so
	// that refused clients do not retry at once.
	minRetryAfter = 50 * time.Millisecond
	// pauseSpread is the time after a pause over which the clients and requests that
	// wait for its end come back.
	pauseSpread = 500 * time.Millisecond
)

// waitResult says how pickRunner ended.
type waitResult int

const (
	runnerFound waitResult = iota
	clientGone
	refused
)

// pickRunner returns a runner for the next attempt. If none holds the model, the
// request waits for one until dradmission refuses it, the server stops waiting or the
// client leaves, and if no runner has run it yet, until it may outlast the draining
// server. The refusal is set only with the result refused.
func (x *exchange) pickRunner(state *retryState) (*drbalancer.Candidate, refusal, waitResult) {
	s := x.server
	p := x.replica()
	request := x.balancerRequest(state.tried)
	changed := s.View.Changed()
	if c := drbalancer.Choose(request, x.candidates(), true); c != nil {
		return c, refusal{}, runnerFound
	}
	if homeless, ok := x.refuseWithoutHome(p.Zones); !ok {
		return nil, homeless, refused
	}
	giveUpAt := x.giveUpAt()
	if x.service.Engine != nil {
		if _, ok := x.service.Engine.Models[p.Model]; !ok {
			return nil, x.unknownRefusal(refusal{status: fasthttp.StatusNotFound, reason: "unknown-model", detail: p.Model}), refused
		}
	}
	p = x.awaitedReplica()
	if x.runnerMayCome(p) {
		waiter := s.View.AddWaiter(p, x.start.Add(x.route.Objective), giveUpAt, x.urgency())
		defer waiter.Close()
	}
	began := s.Clock.Now()
	defer func() { x.waited += s.Clock.Since(began) }()
	afterPause := rand.N(pauseSpread)
	for {
		if late, ok := x.checkDrain(state.possibleRuns); !ok {
			return nil, late, refused
		}
		decision := dradmission.Decide(x.waitingRequest(p, giveUpAt, afterPause))
		if !decision.Wait {
			return nil, x.noRunnerRefusal(decision), refused
		}
		t := s.Clock.NewTimer(decision.RecheckAfter)
		select {
		case <-changed:
		case <-t.C():
		case <-s.stopWaiting:
			t.Stop()
			return nil, x.noRunnerRefusal(dradmission.Decision{Why: "this VM is shutting down"}), refused
		case <-x.conn.Done():
			t.Stop()
			return nil, refusal{}, clientGone
		}
		t.Stop()
		changed = s.View.Changed()
		if c := drbalancer.Choose(request, x.candidates(), true); c != nil {
			return c, refusal{}, runnerFound
		}
	}
}

// waitingRequest returns what dradmission needs to decide about the request. afterPause
// is how long after the end of a pause it comes back.
func (x *exchange) waitingRequest(replica drfleetview.Replica, giveUpAt time.Time, afterPause time.Duration) dradmission.WaitingRequest {
	s := x.server
	now := s.Clock.Now()
	waiting := dradmission.WaitingRequest{
		Now: now, Began: x.start, Objective: x.route.Objective, TimeoutAt: giveUpAt, Silence: s.View.ControllerSilence(),
		Loadable: x.runnerMayCome(replica), OutOfService: s.View.AllOutOfService(replica.Service),
	}
	waiting.Expected, waiting.Forecast = s.View.Forecast(replica)
	var left time.Duration
	left, waiting.Paused = s.View.PauseLeft(replica)
	waiting.PauseEnd = now.Add(left + afterPause)
	return waiting
}

// runnerMayCome reports whether the controller can help a request that finds no runner. It
// starts none of plain services, but gives permits for those that are bounded, and names
// runners to a VM that has not heard of all yet.
func (x *exchange) runnerMayCome(replica drfleetview.Replica) bool {
	v := x.server.View
	return x.service.Engine != nil || v.HasBoundedRunner(replica) || !v.RunnersKnown()
}

// giveUpAt returns when the client stops waiting for the beginning of its answer, and the
// timeout of the request once a stream has begun.
func (x *exchange) giveUpAt() time.Time {
	if x.route.Patience <= 0 || x.answering.Load() {
		return x.timeoutAt
	}
	return earlier(x.timeoutAt, x.start.Add(x.route.Patience))
}

// balancerRequest returns what drbalancer needs to choose a runner for the
// request. tried holds the IDs of the runners that have already had it.
func (x *exchange) balancerRequest(tried map[string]bool) drbalancer.Request {
	request := drbalancer.Request{Zone: x.server.Zone, Engine: x.service.Engine != nil, Call: x.call, Tried: tried}
	if request.Engine {
		request.Slots, request.PromptMemory = x.service.Engine.Slots, x.service.Engine.PromptMemory
		request.Prompt, request.LongShare = x.prompt, x.server.prompts.mix.LongShare()
	}
	return request
}

// noRunnerRefusal returns the refusal for a request that found no runner, with
// the reason and Retry-After of the decision.
func (x *exchange) noRunnerRefusal(decision dradmission.Decision) refusal {
	reason := "no-runner"
	if x.service.Engine != nil {
		reason = "model-not-loaded"
	}
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: reason, retryAfter: max(decision.RetryAfter, minRetryAfter),
		detail: decision.Why}
}
