package drproxy

import "time"

// This file holds the later tries of a stream that the client has begun to get, when no
// earlier run of it goes on: a runner whose answer is late is kept until another one can
// follow, and after a refusal the stream is sent again until its time passes.

const (
	// giveUpRecheck is how long a runner whose answer has not begun in time is left at work
	// until the next check whether another one can take over.
	giveUpRecheck = 200 * time.Millisecond
	// laterTryPause is the pause before a begun stream is sent to a runner again after one
	// has refused it.
	laterTryPause = 150 * time.Millisecond
)

// setGiveUpDeadline makes reads of the header fail at limit, or later if the attempt may not
// be given up then.
func (a *attempt) setGiveUpDeadline(limit time.Time) {
	a.upstream.extendDeadline = func() bool {
		if a.givesUp() {
			return false
		}
		a.readOn(giveUpRecheck)
		return true
	}
	_ = a.upstream.SetReadDeadline(limit)
}

// givesUp reports whether an attempt whose answer has not begun in time ends: it may be given up,
// or the time of the request has passed.
func (a *attempt) givesUp() bool {
	return a.mayGiveUp == nil || a.exchange.remaining() <= 0 || a.mayGiveUp()
}

// readOn lets reads go on for a time, within that of the request.
func (a *attempt) readOn(pause time.Duration) {
	_ = a.upstream.SetReadDeadline(earlier(a.exchange.timeoutAt, time.Now().Add(pause)))
}

// mayGiveUp reports whether an attempt whose answer has not begun in time may end. If the
// client has the header of the stream, nothing but a further attempt can follow, so mayGiveUp
// takes the retry for that one first.
func (st *stream) mayGiveUp(state *retryState) bool {
	x := st.exchange
	if st.first == nil || state.retryTaken {
		return true
	}
	if state.possibleRuns+1 >= x.route.Attempts || st.successor(state) == nil {
		return false
	}
	state.retryTaken = x.takeRetryFromBudget()
	return state.retryTaken
}

// hasBegun reports whether the client has a part of the stream: from this VM, or from another one
// or an earlier answer, which it takes up.
func (x *exchange) hasBegun() bool {
	return x.answering.Load() || x.mayContinue() && x.call.LastEvent > 0
}

// awaitLaterTry waits until a stream that the client has begun to get may be sent to a runner
// again, after one has not run it: after laterTryPause, and once the retry budget has a
// retry, unless the request was not sent at all. It returns false if the client leaves, or
// the time of the stream passes, or that in which a client that takes it up waits for an event.
func (x *exchange) awaitLaterTry(notSent bool) bool {
	for x.giveUpAt().Sub(x.server.Clock.Now()) > laterTryPause+answerMargin {
		t := x.server.Clock.NewTimer(laterTryPause)
		select {
		case <-t.C():
		case <-x.conn.Done():
			t.Stop()
			return false
		}
		if notSent || x.takeRetryFromBudget() {
			return true
		}
	}
	return false
}
