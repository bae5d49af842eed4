package drproxy

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// blockedRetryAfter is the Retry-After of a request that has crashed several
// runners. It stays refused for a minute or longer.
const blockedRetryAfter = 30 * time.Second

// checkBlock returns false and a refusal if the request, which has just arrived, has
// crashed so many runners that no further one may have it.
func (x *exchange) checkBlock() (refusal, bool) {
	c := x.server.Crashes
	if c.Empty() || !c.Blocked(x.fingerprint()) {
		return refusal{}, true
	}
	if c.Refuses(x.fingerprint()) {
		return x.blockedRefusal(), false
	}
	x.triesBlocked = true
	return refusal{}, true
}

// mayAttempt returns false and a refusal if the request must not be sent to a runner
// because it has been blocked since it arrived, or has had its only try.
func (x *exchange) mayAttempt(state *retryState) (refusal, bool) {
	c := x.server.Crashes
	if x.triesBlocked && state.possibleRuns == 0 || c.Empty() || !c.Blocked(x.fingerprint()) {
		return refusal{}, true
	}
	return x.blockedRefusal(), false
}

func (x *exchange) blockedRefusal() refusal {
	return refusal{
		status: fasthttp.StatusServiceUnavailable, reason: "crashes-runners", detail: "fingerprint " + x.fingerprint().String(),
		retryAfter: blockedRetryAfter,
	}
}

// fingerprint returns what this request has in common with the same one sent again.
func (x *exchange) fingerprint() drrequest.Fingerprint {
	if x.knownFingerprint != (drrequest.Fingerprint{}) {
		return x.knownFingerprint
	}
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.knownFingerprint = drrequest.NewFingerprint(account, string(x.header.Method())+" "+string(x.header.RequestURI()), x.body)
	return x.knownFingerprint
}

// recordCrash records that the runner has ended the attempt's connection, if the
// error says so.
func (a *attempt) recordCrash(err error) {
	if !connectionBroke(err) {
		return
	}
	x := a.exchange
	log.WithFields(log.Fields{"event": "runner-broke-off", "request-id": x.call.ID, "runner": a.runner.ID, "started": a.runner.Started,
		"fingerprint": x.fingerprint(), "model": x.call.Model, "prompt": promptIDs(x.call), "last-event": a.lastEvent,
		"answering": a.begun}).WithError(err).Warn("")
	x.server.Crashes.Record(drcrash.Crash{Request: x.fingerprint(), Runner: fmt.Sprintf("%s@%d", a.runner.ID, a.runner.Started)})
}

// promptIDs returns the ids of the call's prompt parts, in order.
func promptIDs(call *drfleet.Call) string {
	ids := make([]string, len(call.Prompt))
	for i, p := range call.Prompt {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

// connectionBroke reports whether an error shows that the runner has ended the
// connection, as one that crashes does.
func connectionBroke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// clearCrashes clears the request, which has been served, of the crashes of its
// runners.
func (x *exchange) clearCrashes() {
	if !x.server.Crashes.Empty() {
		x.server.Crashes.Clear(x.fingerprint())
	}
}
