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
	// maxUnsent bounds the runners that are tried because they took no
	// connection or had no room; none of them has run the request.
	maxUnsent = 4
	// silenceShare is the part of the remaining time after which the answer to
	// an idempotent request is given up, so that another runner can answer.
	silenceShare = 0.45
	// overloadRetryAfter is the Retry-After when all runners are full.
	overloadRetryAfter = 250 * time.Millisecond
)

// journey is what has been tried for a request.
type journey struct {
	tried map[string]bool
	// runs counts the attempts that may have run, unsent the others.
	runs, unsent int
	// lastErr is why the last attempt that may have run gave no answer.
	lastErr error
}

func newJourney() *journey { return &journey{tried: make(map[string]bool)} }

// mayRepeat reports whether a request may run at one more runner.
func (x *exchange) mayRepeat(j *journey) bool {
	return x.route.Idempotent() && j.runs < x.route.Attempts && x.left() >= answerMargin
}

// again reports whether a request that has failed is sent once more.
func (x *exchange) again(j *journey) bool { return x.mayRepeat(j) && x.retry() }

// retry takes a retry from the service's budget.
func (x *exchange) retry() bool {
	ok := x.server.Budgets.Of(x.service.Name).Retry()
	result := "allowed"
	if !ok {
		result = "over-budget"
	}
	x.server.Metrics.Counter(drmetric.Retries, result).Inc(1)
	return ok
}

// next picks a runner and sends the request, again where the runner has
// certainly not run it. It returns nil after it has answered the client, by end
// if no runner answers.
func (x *exchange) next(j *journey, lastEvent int, silence time.Duration, end func(refusal)) *attempt {
	for {
		c, ref, result := x.pick(j.tried)
		switch result {
		case clientGone:
			x.gone()
			return nil
		case refused:
			end(ref)
			return nil
		}
		j.tried[c.Runner.ID] = true
		a, err := x.begin(c.Runner, lastEvent, silence)
		if err == nil && !a.notRun() {
			j.runs++
			return a
		}
		switch {
		case errors.Is(err, errClientGone):
			x.gone()
			return nil
		case err == nil, errors.Is(err, errNotSent):
			j.unsent++
			if j.unsent < maxUnsent && x.left() > answerMargin && (err != nil || x.retry()) {
				continue
			}
			end(refusal{status: fasthttp.StatusServiceUnavailable, reason: "runners-full", retryAfter: overloadRetryAfter})
			return nil
		}
		j.runs++
		j.lastErr = err
		if !x.again(j) {
			end(refusal{})
			return nil
		}
	}
}

// giveUp refuses a request that no runner answers. Unless no runner can have
// run it, the answer must not promise that it has not run.
func (x *exchange) giveUp(j *journey, r refusal) {
	if j.runs > 0 {
		r = refusal{status: fasthttp.StatusBadGateway, reason: "runner-failed"}
		if errors.Is(j.lastErr, errTimeout) || x.left() <= 0 {
			r = refusal{status: fasthttp.StatusGatewayTimeout, reason: "timeout"}
		}
		if j.lastErr != nil {
			r.detail = j.lastErr.Error()
		}
	}
	x.refuse(r)
}

// gone ends the exchange after the client has left.
func (x *exchange) gone() {
	x.keep = false
	x.logEnd("client-gone", 0, nil)
}

// silenceLimit returns how long an attempt may stay silent.
func (x *exchange) silenceLimit(j *journey) time.Duration {
	if !x.route.Idempotent() || j.runs+1 >= x.route.Attempts {
		return 0
	}
	return time.Duration(float64(x.left()) * silenceShare)
}

// servePlain forwards a request whose answer is passed on as a whole.
func (x *exchange) servePlain() {
	j := newJourney()
	var fallback *plainAnswer
	for {
		a := x.next(j, 0, x.silenceLimit(j), func(r refusal) { x.giveUp(j, r) })
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
			x.gone()
			return
		default:
			j.lastErr = err
		}
		if x.again(j) {
			continue
		}
		if fallback != nil {
			x.deliver(fallback)
			return
		}
		x.giveUp(j, refusal{})
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
	_ = a.up.SetReadDeadline(a.x.timeoutAt)
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
	if a.header.ContentLength() == untilEndLength {
		a.end(result)
	} else {
		a.finish(result)
	}
	return p, nil
}

// deliver passes an answer on to the client.
func (x *exchange) deliver(p *plainAnswer) {
	h := p.header
	x.server.Wire.Deliver(h)
	h.SetNoDefaultContentType(true)
	if !x.header.IsHead() {
		h.SetContentLength(len(p.body))
	}
	h.ResetConnectionClose()
	x.closing(h)
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := h.WriteTo(x.conn.w)
	if err == nil && !x.header.IsHead() {
		_, err = x.conn.w.Write(p.body)
	}
	if err == nil {
		err = x.conn.w.Flush()
	}
	x.runner = p.runner
	if err != nil {
		x.keep = false
		x.logEnd("client-gone", h.StatusCode(), log.Fields{"detail": err.Error()})
		return
	}
	x.served(h.StatusCode(), log.Fields{"bytes": len(p.body)})
}
