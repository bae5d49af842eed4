package drproxy

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// This file holds the overlap of two runs of a stream: that of a silent runner, which may
// be merely slow, and that of the successor which is to go on in its place. The silent run
// ends only once the other one has begun. docs/design/stream-takeover.md has the steps.

// overlapTime is how long the run of a silent runner goes on after the request was sent to
// another one. A runner that refuses a request says so within that time.
const overlapTime = 200 * time.Millisecond

// tryTakeOver looks for a run that goes on with the stream in place of the silent attempt,
// and reports whether that one has ended. It ends only once another run has begun, or may
// have. The run that takes over is then st.next, nil if it has failed since.
func (st *stream) tryTakeOver(state *retryState, silent *attempt) (ended bool) {
	x := st.exchange
	c := st.successor(state)
	if c == nil || !x.takeRetryFromBudget() {
		return false
	}
	next, err := st.startSuccessor(state, silent, c)
	taken := err == nil && !next.handleNotExecuted() && st.adopt(state, next)
	if err != nil && !errors.Is(err, errNotSent) && !errors.Is(err, errClientGone) {
		state.possibleRuns++
		state.lastErr = err
	}
	if taken {
		silent.letGo(drfleetview.Failed)
	}
	log.WithFields(log.Fields{"event": "stream-takeover", "request-id": x.call.ID, "silent": silent.runner.ID, "runner": c.Runner.ID, "taken": taken,
		"gave-up": silent.ended, "last-event": st.lastEvent, "draining": x.server.draining.Load()}).WithError(err).Info("")
	if !silent.ended {
		x.current, x.runner = silent, silent.runner.ID
	}
	return silent.ended
}

// successor returns the runner that would begin a further run of the stream at once, nil if
// there is none or no further run is allowed. That may be the same runner, if only the
// connection to it is silent.
func (st *stream) successor(state *retryState) *drbalancer.Candidate {
	x := st.exchange
	if _, ok := x.mayAttempt(state); !ok || !x.mayRetry(state) {
		return nil
	}
	c := drbalancer.Choose(x.balancerRequest(state.tried), x.candidates(), true)
	if c == nil || !c.HasFreeSlot() {
		return nil
	}
	return c
}

// startSuccessor sends the request to the successor of a silent attempt and waits for the
// header of its answer. Meanwhile both run; settleOverlap decides for how long.
func (st *stream) startSuccessor(state *retryState, silent *attempt, c *drbalancer.Candidate) (*attempt, error) {
	x := st.exchange
	return x.startChosen(state, c, attemptOptions{lastEvent: st.lastEvent, firstByteTimeout: x.firstEventTimeout(state), replaces: silent})
}

// adopt makes an attempt that its runner has accepted the next one of the stream. It returns
// false, after it has read the answer, if that does not go on with the stream.
func (st *stream) adopt(state *retryState, next *attempt) bool {
	state.possibleRuns++
	if next.header.StatusCode() == fasthttp.StatusOK && st.continuedBy(next) {
		st.next = next
		return true
	}
	p, err := next.readPlain()
	if err == nil {
		state.fallback = p
	}
	state.lastErr = err
	return false
}

// setHeaderDeadline makes reads of the header fail at limit. If this attempt is to replace
// a silent one that still runs, settleOverlap decides between the two after overlapTime,
// unless the answer has come by then.
func (a *attempt) setHeaderDeadline(limit time.Time) {
	if a.replaces == nil || a.replaces.ended {
		a.setGiveUpDeadline(limit)
		return
	}
	a.upstream.extendDeadline = func() bool { return a.settleOverlap(limit) }
	_ = a.upstream.SetReadDeadline(earlier(limit, a.sentAt.Add(overlapTime)))
}

// settleOverlap is called when overlapTime has passed and the answer to this attempt has not
// begun. It decides whether this attempt or the silent one ends, and reports whether this one
// goes on, until limit. This one ends in two cases: the silent runner has sent something
// meanwhile; or there are two runners and the VM stops, because the run that it has may still
// end in time, and one that fails now is hardly replaced. Otherwise the silent one ends. Two
// runs on the same runner may overlap for longer, up to limit.
func (a *attempt) settleOverlap(limit time.Time) (goesOn bool) {
	silent, now := a.replaces, time.Now()
	sameRunner := silent.runner.ID == a.runner.ID
	switch {
	case silent.hasResumed(), a.exchange.server.draining.Load() && !sameRunner:
		a.letGo(drfleetview.Abandoned)
		return false
	case sameRunner && !now.Before(limit):
		return false
	case sameRunner:
		_ = a.upstream.SetReadDeadline(earlier(limit, now.Add(overlapTime)))
		return true
	}
	silent.letGo(drfleetview.Failed)
	a.setGiveUpDeadline(limit)
	return true
}

// hasResumed reports whether a silent runner has sent something again. What comes from one
// that sends only comments and repeated events does not count.
func (a *attempt) hasResumed() bool { return a.withoutProgress == 0 && a.upstream.Buffered() > 0 }
