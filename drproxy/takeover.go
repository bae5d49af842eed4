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

// overlapCheck is the time between two checks whether a silent runner goes on by itself while
// the request waits at another one.
const overlapCheck = 50 * time.Millisecond

// tryTakeOver looks for a run that goes on with the stream in place of the silent attempt,
// and reports whether that one has ended. It ends only once another run has begun. The run
// that takes over is then st.next, nil if it has failed since.
func (st *stream) tryTakeOver(state *retryState, silent *attempt) (ended bool) {
	for {
		c := st.successor(state)
		if c == nil || !st.exchange.takeRetry(state) {
			return false
		}
		st.tryRunner(state, silent, c)
		if silent.ended || !state.retryTaken {
			return silent.ended
		}
	}
}

// tryRunner sends the stream to a runner that may take it over from the silent attempt, which
// it ends once that has succeeded. With state.retryTaken that run was given up for another one.
func (st *stream) tryRunner(state *retryState, silent *attempt, c *drbalancer.Candidate) {
	x := st.exchange
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
		"again": state.retryTaken, "last-event": st.lastEvent, "draining": x.server.draining.Load()}).WithError(err).Info("")
	if !silent.ended {
		x.current, x.runner = silent, silent.runner.ID
	}
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
// header of its answer. Meanwhile both run; settleOverlap decides when one of them ends.
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
// a silent one that still runs, settleOverlap decides between the two each overlapCheck until
// the answer has come.
func (a *attempt) setHeaderDeadline(limit time.Time) {
	if a.replaces == nil || a.replaces.ended {
		a.setGiveUpDeadline(limit)
		return
	}
	a.upstream.extendDeadline = func() bool { return a.settleOverlap(limit) }
	_ = a.upstream.SetReadDeadline(earlier(limit, a.sentAt.Add(overlapCheck)))
}

// settleOverlap is called while the answer to this attempt has not begun, and reports whether
// it goes on. It ends if the silent runner has sent something meanwhile, and at limit if it is
// at the same runner or may be given up for another one. Otherwise both go on until one of them
// does, or the time of the request has passed: either may be the one that is lost.
func (a *attempt) settleOverlap(limit time.Time) (goesOn bool) {
	silent, late := a.replaces, !time.Now().Before(limit)
	switch {
	case silent.hasResumed():
		a.letGo(drfleetview.Abandoned)
		return false
	case late && (silent.runner.ID == a.runner.ID || a.givesUp()):
		return false
	}
	a.readOn(overlapCheck)
	return true
}

// hasResumed reports whether a silent runner has sent something again. What comes from one
// that sends only comments and repeated events does not count.
func (a *attempt) hasResumed() bool { return a.withoutProgress == 0 && a.upstream.Buffered() > 0 }
