package drproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// blockedRetryAfter is the Retry-After of a request that has crashed several
// runners. It stays refused for a minute or longer.
const blockedRetryAfter = 30 * time.Second

// checkBlock returns false and a refusal if the request, which has just arrived, has
// crashed so many runners that no further one may have it.
func (x *exchange) checkBlock() (refusal, bool) {
	c := x.server.Crashes
	if c.Empty() {
		return refusal{}, true
	}
	cause, blocked := c.Blocked(x.identity())
	if !blocked {
		return refusal{}, true
	}
	if c.Refuses(x.identity()) {
		return blockedRefusal(cause), false
	}
	x.triesBlocked = true
	return refusal{}, true
}

// mayAttempt returns false and a refusal if the request must not be sent to a runner
// because it has been blocked since it arrived, or has had its only try.
func (x *exchange) mayAttempt(state *retryState) (refusal, bool) {
	c := x.server.Crashes
	if x.triesBlocked && state.possibleRuns == 0 || c.Empty() {
		return refusal{}, true
	}
	if cause, blocked := c.Blocked(x.identity()); blocked {
		return blockedRefusal(cause), false
	}
	return refusal{}, true
}

func blockedRefusal(cause drrequest.Fingerprint) refusal {
	return refusal{
		status: fasthttp.StatusServiceUnavailable, reason: "crashes-runners", detail: "fingerprint " + cause.String(),
		retryAfter: blockedRetryAfter,
	}
}

// identity returns what this request has in common with the same one sent again, and
// with others whose prompts share a part.
func (x *exchange) identity() drcrash.Identity {
	if x.knownIdentity.Request != (drrequest.Fingerprint{}) {
		return x.knownIdentity
	}
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.knownIdentity = drcrash.Identity{
		Request: drrequest.NewFingerprint(account, string(x.header.Method())+" "+string(x.header.RequestURI()), x.body), Parts: sharedParts(x.call),
	}
	return x.knownIdentity
}

// sharedParts returns the fingerprints of the call's prompt parts that other sessions
// may share, in order.
func sharedParts(call *drfleet.Call) []drrequest.Fingerprint {
	var parts []drrequest.Fingerprint
	for _, p := range call.Prompt[:max(len(call.Prompt)-1, 0)] {
		parts = append(parts, drrequest.NewPartFingerprint(p.ID))
	}
	return parts
}

// recordCrash records that the runner has ended the attempt's connection, if it did so
// before this VM closed it. err is why the attempt fails.
func (a *attempt) recordCrash(err error) {
	switch {
	case a.ended:
		return // this VM has closed the connection
	case a.closedHere.Load():
		if !a.endedFirst.Load() || !connectionBroke(err) && !errors.Is(err, net.ErrClosed) {
			return
		}
	case connectionBroke(err), timedOut(err) && a.hasBrokenOff():
	default:
		return
	}
	a.countCrash(err)
}

// letGo ends an attempt whose answer is not awaited any longer. A runner that has broken it
// off has crashed all the same.
func (a *attempt) letGo(result drfleetview.Result) {
	if !a.ended && a.hasBrokenOff() {
		a.countCrash(errLetGo)
	}
	a.end(result)
}

// errLetGo stands for the error that nobody has read from a connection.
var errLetGo = errors.New("the runner had ended the connection before it was given up")

// hasBrokenOff reports whether the runner has ended the connection although more of its
// answer is awaited. An answer that ends with its connection may be whole.
func (a *attempt) hasBrokenOff() bool {
	return a.upstream.endedByPeer() && a.header.ContentLength() != drhttp.UntilCloseLength
}

// countCrash records a crash of the runner, unless its exit was announced: it ends what still
// runs there, and the request is no cause of that.
func (a *attempt) countCrash(err error) {
	x := a.exchange
	announced := x.server.View.EndAnnounced(drfleetview.IncarnationOf(a.runner))
	log.WithFields(log.Fields{"event": "runner-broke-off", "request-id": x.call.ID, "runner": a.runner.ID, "started": a.runner.Started,
		"fingerprint": x.identity().Request, "model": x.call.Model, "prompt": promptIDs(x.call), "last-event": a.lastEvent,
		"answering": a.begun, "exit-announced": announced}).WithError(err).Warn("")
	if announced {
		return
	}
	x.server.Crashes.RecordCrash(drcrash.Crash{Identity: x.identity(), Runner: fmt.Sprintf("%s@%d", a.runner.ID, a.runner.Started)})
}

// recordSuccess records that a runner has answered the request completely, whether or not
// its client still listens. A runner may send an error without running the request, so
// only a 2xx status counts.
func (x *exchange) recordSuccess(status int) {
	if status < fasthttp.StatusMultipleChoices {
		x.server.Crashes.RecordServed(x.identity())
	}
}

// promptIDs returns the ids of the call's prompt parts, in order.
func promptIDs(call *drfleet.Call) string {
	ids := make([]string, len(call.Prompt))
	for i, p := range call.Prompt {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

// timedOut reports whether a read has waited in vain until its deadline.
func timedOut(err error) bool {
	timeout, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok && timeout.Timeout()
}

// connectionBroke reports whether an error shows that the runner has ended the
// connection, as one that crashes does.
func connectionBroke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
