package drproxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// check compares what the clients saw with what the runners did.
func (w *orderWorld) check() {
	counted := make(map[drrequest.Fingerprint]int)
	for _, c := range w.server.Crashes.TakeReport(true).Crashes {
		counted[c.Request]++
	}
	for _, o := range w.outcomes {
		runs := w.runs[o.id]
		w.checkRuns(o, runs)
		w.checkCrashes(o, runs, counted[drrequest.NewFingerprint("", "POST "+o.path, []byte("body"))])
		w.checkAnswer(o)
		if !o.hungUp {
			w.checkAnswered(o, runs)
		}
	}
}

// checkRuns checks how often a request ran.
func (w *orderWorld) checkRuns(o *orderOutcome, runs []*worldRun) {
	if !o.mayRepeat() && len(runs) > 1 {
		w.report("%s ran %d times", o, len(runs))
	}
	if len(runs) > 3 {
		w.report("%s ran %d times, more than any route allows", o, len(runs))
	}
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			w.report("%s says not run, and ran at %s", o, runs[0].runner)
		}
	}
}

// checkCrashes checks that each crash of a runner was counted once, unless this VM had
// closed its connection before or the runner was not listed any longer, and that nothing else was.
func (w *orderWorld) checkCrashes(o *orderOutcome, runs []*worldRun, counted int) {
	seen, all := 0, 0
	for _, r := range runs {
		if r.whole {
			return // a success clears the request
		}
		if !r.crashed || r.unlisted {
			continue
		}
		all++
		if r.conn.closedFirst() {
			seen++
		}
	}
	if counted < seen || counted > all {
		w.report("%s: %d crashes counted; %d seen of %d", o, counted, seen, all)
	}
}

// checkAnswer checks that what a client got is its own answer.
func (w *orderWorld) checkAnswer(o *orderOutcome) {
	if o.status != 0 && o.answerID != o.id {
		w.report("%s got the answer of %q", o, o.answerID)
	}
	if o.status != http.StatusOK {
		return
	}
	want := wholeBody(o.id, o.path)
	if o.complete && o.body != want || !strings.HasPrefix(want, o.body) {
		w.report("%s got a wrong body", o)
	}
}

// checkAnswered checks that a client that stayed got an answer in time, and the
// whole answer if a runner gave one.
func (w *orderWorld) checkAnswered(o *orderOutcome, runs []*worldRun) {
	if o.ended.Sub(o.sent) > o.deadline+answerSlack {
		w.report("%s was held too long", o)
	}
	if o.dropped && o.closedAt.Equal(o.sent) {
		return // the request crossed the close of its connection
	}
	last := len(runs) - 1
	switch {
	case o.status == 0:
		w.report("%s got no answer, runs: %d", o, len(runs))
	case o.status == http.StatusOK && !o.complete:
		if !strings.HasPrefix(o.path, "/stream/") {
			w.report("%s is no stream and got half an answer", o)
		}
		if !runs[last].faulty && o.ended.Sub(o.began) < o.deadline-lateMargin && !w.timeoutMayHavePassed(o) {
			w.report("%s was cut though its runner was sound", o)
		}
	case o.status != http.StatusOK:
		for _, r := range runs {
			if r.whole && !r.faulty && !r.ended && r.wholeAt.Before(o.ended) && !r.gaveUpWhenWhole() {
				w.report("%s was refused though %s had answered it", o, r.runner)
			}
		}
	}
}

// gaveUpWhenWhole reports whether the VM closed the connection at the very instant of
// virtual time at which the answer was whole: the time for the attempt was over, and which
// of the two came first is not defined.
func (r *worldRun) gaveUpWhenWhole() bool {
	closedAt, _ := r.conn.peer.closeState()
	return closedAt.Equal(r.wholeAt)
}

// minRouteTimeout is the least timeout of a route in any configuration.
const minRouteTimeout = 600 * time.Millisecond

// timeoutMayHavePassed reports whether the route's timeout may have ended the
// request.
func (w *orderWorld) timeoutMayHavePassed(o *orderOutcome) bool {
	return o.ended.Sub(o.began) >= minRouteTimeout-lateMargin
}
