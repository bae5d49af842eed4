package drproxy

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// drainRetryAfter is the Retry-After of requests that a draining VM does not pass on. It
// is short because the client's next connection reaches another VM.
const drainRetryAfter = 50 * time.Millisecond

// errStopping means that the VM exits before the runner has answered.
var errStopping = errors.New("this VM stops")

// drainTimes says until when a draining server has time for requests.
type drainTimes struct {
	// late is when no new connections come any more, but requests still do on those
	// that clients have kept.
	late time.Time
	// end is when requests must have been answered.
	end time.Time
}

// StartDrain makes each further answer carry Connection: close, so that clients
// go to other VMs. Requests are still served.
func (s *Server) StartDrain() { s.draining.Store(true) }

// EndBy tells the server that requests must have been answered at end, shortly before it
// is closed. A request that has not been passed on to a runner yet, and whose timeout
// passes later, is refused: from late on, and at once if it must not be repeated, because
// its client could not send it again after an answer that was broken off.
func (s *Server) EndBy(late, end time.Time) { s.drainEnd.Store(&drainTimes{late: late, end: end}) }

// EndWaiting refuses all requests that wait for a model, now and later. It must
// be called at most once.
func (s *Server) EndWaiting() { close(s.stopWaiting) }

// EndUnanswered gives up the runs of all requests whose answer has not begun, now and
// later, and answers their clients with 504. It must be called at most once, shortly before
// the server is closed.
func (s *Server) EndUnanswered() { close(s.stopAnswering) }

// mustGiveUp reports whether the request must end because its answer has not begun and
// the server is about to be closed.
func (x *exchange) mustGiveUp() bool {
	select {
	case <-x.server.stopAnswering:
		return !x.answering.Load()
	default:
		return false
	}
}

// checkDrain returns false and a refusal if the request must not be passed on any more
// because it may outlast this VM. A request that may have run is not refused: the refusal
// would say that it has not.
func (x *exchange) checkDrain(possibleRuns int) (refusal, bool) {
	d := x.server.drainEnd.Load()
	if d == nil || possibleRuns > 0 || !x.timeoutAt.After(d.end) {
		return refusal{}, true
	}
	now := x.server.Clock.Now()
	if now.Before(d.late) && x.route.Kind != drfleet.Unsafe {
		return refusal{}, true
	}
	return refusal{
		status: fasthttp.StatusServiceUnavailable, reason: "draining", retryAfter: drainRetryAfter,
		detail: "may take " + x.timeoutAt.Sub(now).Round(time.Millisecond).String() + ", time left " + d.end.Sub(now).Round(time.Millisecond).String(),
	}, false
}
