package drproxy

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// maxNotRun bounds the runners that are tried because they took no
	// connection or had no room; none of them has run the request.
	maxNotRun = 4
	// firstByteTimeoutShare is the part of the remaining time after which the answer to
	// an idempotent request is given up, so that another runner can answer.
	firstByteTimeoutShare = 0.45
	// overloadRetryAfter is the Retry-After when all runners are full.
	overloadRetryAfter = 250 * time.Millisecond
)

// retryState is what has been tried for a request.
type retryState struct {
	tried map[string]bool
	// possibleRuns counts the attempts that may have run, unsent the others.
	possibleRuns, notRun int
	// lastErr is why the last attempt that may have run gave no answer.
	lastErr error
}

func newRetryState() *retryState { return &retryState{tried: make(map[string]bool)} }

// mayRetry reports whether a request may run at one more runner.
func (x *exchange) mayRetry(state *retryState) bool {
	return x.route.Idempotent() && state.possibleRuns < x.route.Attempts && x.remaining() >= answerMargin
}

// tryRetry reports whether a request that has failed is sent once more.
func (x *exchange) tryRetry(state *retryState) bool {
	return x.mayRetry(state) && x.takeRetryFromBudget()
}

// takeRetryFromBudget takes a retry from the service's budget.
func (x *exchange) takeRetryFromBudget() bool {
	ok := x.server.Budgets.Of(x.service.Name).Retry()
	result := "allowed"
	if !ok {
		result = "over-budget"
	}
	x.server.Metrics.Counter(drmetric.Retries, result).Inc(1)
	return ok
}

// nextAttempt picks a runner and sends the request, again where the runner has
// certainly not run it. It returns nil after it has answered the client, by end
// if no runner answers.
func (x *exchange) nextAttempt(state *retryState, lastEvent int, firstByteTimeout time.Duration, onRefusal func(refusal)) *attempt {
	for {
		c, ref, result := x.pickRunner(state.tried)
		switch result {
		case clientGone:
			x.handleClientGone()
			return nil
		case refused:
			onRefusal(ref)
			return nil
		}
		state.tried[c.Runner.ID] = true
		a, err := x.startAttempt(c.Runner, lastEvent, firstByteTimeout)
		if err == nil && !a.handleNotExecuted() {
			state.possibleRuns++
			return a
		}
		switch {
		case errors.Is(err, errClientGone):
			x.handleClientGone()
			return nil
		case err == nil, errors.Is(err, errNotSent):
			state.notRun++
			if state.notRun < maxNotRun && x.remaining() > answerMargin && (err != nil || x.takeRetryFromBudget()) {
				continue
			}
			onRefusal(refusal{status: fasthttp.StatusServiceUnavailable, reason: "runners-full", retryAfter: overloadRetryAfter})
			return nil
		}
		state.possibleRuns++
		state.lastErr = err
		if !x.tryRetry(state) {
			onRefusal(refusal{})
			return nil
		}
	}
}

// failRequest refuses a request that no runner answers. Unless no runner can have
// run it, the answer must not promise that it has not run.
func (x *exchange) failRequest(state *retryState, response refusal) {
	if state.possibleRuns > 0 {
		response = refusal{status: fasthttp.StatusBadGateway, reason: "runner-failed"}
		if errors.Is(state.lastErr, errTimeout) || x.remaining() <= 0 {
			response = refusal{status: fasthttp.StatusGatewayTimeout, reason: "timeout"}
		}
		if state.lastErr != nil {
			response.detail = state.lastErr.Error()
		}
	}
	x.refuse(response)
}

// handleClientGone ends the exchange after the client has left.
func (x *exchange) handleClientGone() {
	x.keepAlive = false
	x.logEnd("client-gone", 0, nil)
}

// firstByteTimeout returns how long an attempt may stay silent.
func (x *exchange) firstByteTimeout(state *retryState) time.Duration {
	if !x.route.Idempotent() || state.possibleRuns+1 >= x.route.Attempts {
		return 0
	}
	return time.Duration(float64(x.remaining()) * firstByteTimeoutShare)
}

// servePlain forwards a request whose answer is passed on as a whole.
func (x *exchange) servePlain() {
	state := newRetryState()
	var fallback *plainAnswer
	for {
		a := x.nextAttempt(state, 0, x.firstByteTimeout(state), func(response refusal) { x.failRequest(state, response) })
		if a == nil {
			return
		}
		p, err := a.readPlain()
		switch {
		case err == nil && p.header.StatusCode() < fasthttp.StatusInternalServerError:
			x.deliver(p)
			return
		case err == nil:
			fallback = p
		case errors.Is(err, errClientGone):
			x.handleClientGone()
			return
		default:
			state.lastErr = err
		}
		if x.tryRetry(state) {
			continue
		}
		if fallback != nil {
			x.deliver(fallback)
			return
		}
		x.failRequest(state, refusal{})
		return
	}
}

// plainAnswer is a complete answer of a runner.
type plainAnswer struct {
	header *fasthttp.ResponseHeader
	body   []byte
	runner string
}

func (a *attempt) readPlain() (*plainAnswer, error) {
	_ = a.upstream.SetReadDeadline(a.exchange.timeoutAt)
	b, err := a.readBody()
	if err != nil {
		return nil, a.fail(err)
	}
	p := &plainAnswer{header: &fasthttp.ResponseHeader{}, body: b, runner: a.runner.ID}
	a.header.CopyTo(p.header)
	result := drfleetview.Succeeded
	if a.header.StatusCode() >= fasthttp.StatusInternalServerError {
		result = drfleetview.Failed
	}
	if a.header.ContentLength() == untilCloseLength {
		a.end(result)
	} else {
		a.finish(result)
	}
	return p, nil
}

// deliver passes an answer on to the client.
func (x *exchange) deliver(answer *plainAnswer) {
	h := answer.header
	x.server.Wire.Deliver(h)
	h.SetNoDefaultContentType(true)
	if !x.header.IsHead() {
		h.SetContentLength(len(answer.body))
	}
	h.ResetConnectionClose()
	x.setConnectionHeader(h)
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := h.WriteTo(x.conn.writer)
	if err == nil && !x.header.IsHead() {
		_, err = x.conn.writer.Write(answer.body)
	}
	if err == nil {
		err = x.conn.writer.Flush()
	}
	x.runner = answer.runner
	if err != nil {
		x.keepAlive = false
		x.logEnd("client-gone", h.StatusCode(), log.Fields{"detail": err.Error()})
		return
	}
	x.recordServed(h.StatusCode(), log.Fields{"bytes": len(answer.body)})
}
