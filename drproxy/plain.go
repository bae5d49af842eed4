package drproxy

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// maxNotRun is how many attempts of one request may end without the runner
	// having run it, because it took no connection or rejected the request.
	maxNotRun = 4
	// maxUnwanted is how often a request may come to a runner that has just become
	// unwanted, or for which another request has used up the permit.
	maxUnwanted = 16
	// attemptShare is the part of the remaining time that one attempt at an
	// idempotent request may take to the first byte of its answer, and then to
	// the last byte. Then it is given up, so that another runner can still
	// answer in time.
	attemptShare = 0.45
	// overloadRetryAfter is the Retry-After when no tried runner took the
	// request.
	overloadRetryAfter = 250 * time.Millisecond
)

// retryState records the attempts of one request.
type retryState struct {
	tried map[string]bool // by runner ID
	// possibleRuns counts the attempts whose runner may have run the request,
	// notRun those whose runner certainly has not.
	possibleRuns, notRun int
	// unwanted counts the runners that were connected to and then not wanted.
	unwanted int
	// lastErr is why the last attempt that may have run gave no complete answer, and
	// denied why no further attempt followed it.
	lastErr error
	denied  denial
	// mayGiveUp is the option of that name of all attempts.
	mayGiveUp func() bool
	// retryTaken is set if the next retry has been taken from the budget already.
	retryTaken bool
	// fallback is the last complete answer that reports a failure, nil if there is
	// none. The client gets it unless a further attempt succeeds.
	fallback *plainAnswer
}

func newRetryState() *retryState { return &retryState{tried: make(map[string]bool)} }

// mayRetry reports whether the route and the remaining time allow that one more
// runner runs the request. It does not look at the retry budget.
func (x *exchange) mayRetry(state *retryState) bool { return x.retryDenial(state) == notDenied }

// tryRetry reports whether a failed request may be sent once more, and if so
// takes a retry from the budget of its service.
func (x *exchange) tryRetry(state *retryState) bool {
	state.denied = x.retryDenial(state)
	if state.denied == notDenied && !x.takeRetry(state) {
		state.denied = overRetryBudget
	}
	state.retryTaken = false
	return state.denied == notDenied
}

// takeRetry takes the retry that the request has in hand, or one from the budget, and reports
// whether there was one.
func (x *exchange) takeRetry(state *retryState) bool {
	inHand := state.retryTaken
	state.retryTaken = false
	return inHand || x.takeRetryFromBudget()
}

// takeRetryFromBudget takes a retry from the service's budget and reports
// whether there was one. It counts both outcomes in the metrics.
func (x *exchange) takeRetryFromBudget() bool {
	ok := x.server.Budgets.Of(x.service.Name).Retry()
	result := "allowed"
	if !ok {
		result = "over-budget"
	}
	x.server.Metrics.Counter(drmetric.Retries, result).Inc(1)
	return ok
}

// nextAttempt picks a runner, sends the request and returns the attempt once
// the header of its answer is read. Failed attempts are repeated at further
// runners as far as the route, the retry budget and maxNotRun allow. It returns
// nil if the client is gone or no runner answers; in the latter case it calls
// onRefusal, with the zero refusal if an attempt that may have run has failed
// and no retry is allowed.
func (x *exchange) nextAttempt(state *retryState, lastEvent int, firstByteTimeout time.Duration, onRefusal func(refusal)) *attempt {
	for {
		c, ref, result := x.pickRunner(state)
		switch result {
		case clientGone:
			x.handleClientGone()
			return nil
		case refused:
			onRefusal(ref)
			return nil
		}
		if blocked, ok := x.mayAttempt(state); !ok {
			onRefusal(blocked)
			return nil
		}
		if late, ok := x.checkDrain(state.possibleRuns); !ok {
			onRefusal(late)
			return nil
		}
		if stale, ok := x.checkNews(); !ok {
			onRefusal(stale)
			return nil
		}
		if stale, ok := x.checkTable(); !ok {
			onRefusal(stale)
			return nil
		}
		tried := state.tried[c.Runner.ID]
		a, err := x.startChosen(state, c, attemptOptions{lastEvent: lastEvent, firstByteTimeout: firstByteTimeout})
		if err == nil && !a.handleNotExecuted() {
			state.possibleRuns++
			return a
		}
		switch {
		case errors.Is(err, errClientGone):
			x.handleClientGone()
			return nil
		case errors.Is(err, errUnwanted) && state.unwanted < maxUnwanted && x.remaining() > answerMargin:
			state.unwanted++
			state.tried[c.Runner.ID] = tried
			continue
		case err == nil, errors.Is(err, errNotSent):
			state.notRun++
			if x.hasBegun() && x.awaitLaterTry(err != nil) {
				continue
			}
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

// startChosen starts an attempt at the chosen runner, which counts as tried then.
func (x *exchange) startChosen(state *retryState, c *drbalancer.Candidate, options attemptOptions) (*attempt, error) {
	options.mayGiveUp, options.repeated = state.mayGiveUp, state.tried[c.Runner.ID]
	state.tried[c.Runner.ID] = true
	x.estimate = c.Estimate
	return x.startAttempt(c.Runner, options)
}

// failRequest ends a request that no runner answered with success: with the
// fallback if there is one, else with a refusal. If a runner may have run the
// request, the given refusal is replaced by 502 or 504, because it would promise
// that the request has not run.
func (x *exchange) failRequest(state *retryState, response refusal) {
	if state.fallback != nil {
		x.deliver(state.fallback)
		return
	}
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

// handleClientGone ends the exchange, without an answer, after the client has
// closed its connection.
func (x *exchange) handleClientGone() {
	x.keepAlive = false
	x.logGone(0, "")
}

// logGone logs a request whose client's connection ended before its answer did. status is
// that of the answer, 0 if none has begun.
func (x *exchange) logGone(status int, detail string) {
	event := "client-gone"
	if x.server.closed.Load() {
		event = "request-cut"
	}
	x.logEnd(event, status, log.Fields{"detail": detail})
}

// firstByteTimeout returns how long an attempt may take to the first byte of
// its answer. It returns 0, for no bound, if no attempt could follow.
func (x *exchange) firstByteTimeout(state *retryState) time.Duration {
	if !x.route.Idempotent() || state.possibleRuns+1 >= x.route.Attempts {
		return 0
	}
	return time.Duration(float64(x.remaining()) * attemptShare)
}

// servePlain forwards a request that is no stream and passes the answer on once
// it is read completely. After an answer with status 5xx or an incomplete one,
// another runner is tried; if none succeeds, the client gets the latest 5xx answer
// if there is one.
func (x *exchange) servePlain() {
	state := newRetryState()
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
			state.fallback = p
		case errors.Is(err, errClientGone):
			x.handleClientGone()
			return
		default:
			state.lastErr = err
		}
		if !x.tryRetry(state) {
			x.failRequest(state, refusal{})
			return
		}
	}
}

// plainAnswer is a completely read answer of a runner.
type plainAnswer struct {
	header *fasthttp.ResponseHeader
	body   []byte
	runner string
}

// readPlain reads the rest of the answer and ends the attempt. Answers with
// status 5xx count as failures of the runner. While the attempt that this one is to replace
// goes on, the answer is a failure that must not keep that one's events waiting.
func (a *attempt) readPlain() (*plainAnswer, error) {
	x := a.exchange
	limit := x.timeoutAt
	if a.firstByteTimeout > 0 {
		limit = earlier(limit, time.Now().Add(time.Duration(float64(x.remaining())*attemptShare)))
	}
	if a.replaces != nil && !a.replaces.ended {
		limit = earlier(limit, time.Now().Add(skipTimeout))
	}
	_ = a.upstream.SetReadDeadline(limit)
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
	if a.header.ContentLength() == drhttp.UntilCloseLength {
		a.end(result)
	} else {
		a.finish(result)
	}
	return p, nil
}

// deliver sends a complete answer to the client and logs the outcome.
func (x *exchange) deliver(answer *plainAnswer) {
	h := answer.header
	x.recordSuccess(h.StatusCode())
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
		x.logGone(h.StatusCode(), err.Error())
		return
	}
	x.recordServed(h.StatusCode(), log.Fields{"bytes": len(answer.body)})
}
