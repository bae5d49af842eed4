package drproxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drprompt"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// answerMargin is the time that must remain before the request's timeout
	// for a further attempt: the answer still has to reach the client.
	answerMargin = 30 * time.Millisecond
	// defaultDeadline stands in for the timeout of routes that have none. A
	// shorter deadline from the client still applies.
	defaultDeadline = 30 * time.Second
	// levelsPerAccount is the number of urgency levels within one priority of a
	// client account; the route's priority selects among them.
	levelsPerAccount = 3
	// retryAfterUnready is the Retry-After while this VM has no usable
	// configuration. It is short because the client's next connection reaches
	// another VM.
	retryAfterUnready = 100 * time.Millisecond
)

// exchange is one request of a client together with its answer. One goroutine
// uses it, that of the client's connection.
type exchange struct {
	server *Server
	conn   *clientConn
	// start is when the first data of the request was received, and unread how
	// long it then lay unread.
	start  time.Time
	unread time.Duration
	// keepAlive is set while the connection may carry another request.
	keepAlive bool
	header    fasthttp.RequestHeader
	body      []byte

	call          *drfleet.Call
	configVersion int64
	route         *drfleet.Route
	service       *drfleet.Service
	account       *drfleet.Account
	// prompt has no prefixes if the choice of a runner need not regard it.
	prompt drprompt.Prompt
	// timeoutAt is when the route's timeout or the client's deadline passes,
	// whichever comes first.
	timeoutAt time.Time

	// buffered is the number of bytes that reserve has been asked for.
	buffered int

	// answering is set once the header of a runner's stream is sent to the client.
	answering atomic.Bool

	// current is the attempt that was started last, nil before the first.
	current *attempt

	// triesBlocked is set if the request is blocked but may run once.
	triesBlocked bool
	// knownIdentity is what identity has returned, zero before.
	knownIdentity drcrash.Identity

	// bound is the software version of runners that a stream is bound to.
	bound versionBound

	// estimate is what the last choice of a runner weighed.
	estimate drbalancer.Estimate

	// attempts, runner (the last one tried) and waited (the time spent waiting
	// for a model) appear only in the log.
	attempts int
	runner   string
	waited   time.Duration
}

// close gives back what the exchange holds. An attempt is still open only after an
// unexpected error.
func (x *exchange) close() {
	if x.current != nil {
		x.current.end(drfleetview.Failed)
	}
	x.releaseMemory()
}

// readHeader reads the header of the client's request.
func (x *exchange) readHeader() error {
	x.header.SetNoDefaultContentType(true)
	if err := drhttp.ReadRequestHeader(&x.header, x.conn.reader); err != nil {
		return err
	}
	x.keepAlive = !x.header.ConnectionClose()
	return nil
}

// readBody reads the body of the client's request, at most limit bytes. It
// invites the body first if the client sent Expect: 100-continue. The memory for it is
// reserved before the bytes are read, in steps if their number is not stated.
func (x *exchange) readBody(limit int) error {
	if string(x.header.Peek(fasthttp.HeaderExpect)) == "100-continue" {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	length := x.header.ContentLength()
	switch {
	case length == drhttp.ChunkedLength:
		var err error
		x.body, err = x.readAll(drhttp.NewChunkedReader(x.conn.reader), &x.conn.turn, limit, fasthttp.ErrBodyTooLarge)
		return err
	case length <= 0:
		return nil
	case length > limit:
		return fasthttp.ErrBodyTooLarge
	}
	if err := x.reserve(length); err != nil {
		return err
	}
	x.body = make([]byte, length)
	_, err := io.ReadFull(x.conn.reader, x.body)
	return err
}

// serve answers a request whose header and body have been read.
func (x *exchange) serve() {
	s := x.server
	call, err := s.Wire.Call(&x.header)
	x.call = call
	if err != nil {
		x.refuse(refusal{status: fasthttp.StatusBadRequest, reason: "malformed", detail: err.Error()})
		return
	}
	if !x.awaitNews() {
		return // the client has left
	}
	if r, ok := x.resolve(); !ok {
		x.refuse(r)
		return
	}
	if r, ok := x.checkBlock(); !ok {
		x.refuse(r)
		return
	}
	if r, ok := x.checkDrain(0); !ok {
		x.refuse(r)
		return
	}
	if r, ok := x.bindResumed(); !ok {
		x.refuse(r)
		return
	}
	if x.remaining() <= 0 {
		x.refuse(refusal{status: fasthttp.StatusServiceUnavailable, reason: "expired", detail: "unread for " + x.unread.Round(time.Millisecond).String()})
		return
	}
	if r, ok := x.admit(); !ok {
		x.refuse(r)
		return
	}
	s.Budgets.Of(x.service.Name).Request()
	if x.route.Kind == drfleet.Stream {
		x.serveStream()
		return
	}
	x.servePlain()
}

// resolve sets the route, the service, the timeout and the client account. It
// returns false and a refusal if one of them cannot be found, or if the
// configuration is too old for its keys to be trusted.
func (x *exchange) resolve() (refusal, bool) {
	s := x.server
	d, age := s.View.Deployment()
	if d == nil {
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no-configuration", retryAfter: retryAfterUnready}, false
	}
	x.configVersion = d.Version
	if x.route = d.Route(x.call.Host, x.call.Path); x.route == nil {
		return x.unknownRefusal(refusal{status: fasthttp.StatusNotFound, reason: "unknown-route", detail: x.call.Host + x.call.Path}), false
	}
	x.service = d.Service(x.route.Target(rand.Float64()))
	x.setPrompt()
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultDeadline
	}
	if x.call.Deadline > 0 {
		limit = min(limit, x.call.Deadline)
	}
	x.timeoutAt = x.start.Add(limit)
	if x.route.Public || !d.RequiresKeys() {
		return refusal{}, true
	}
	if age > s.Freshness() {
		return staleRefusal(age), false
	}
	if x.account = d.Account(x.call.Key); x.account == nil {
		return x.unknownRefusal(refusal{status: fasthttp.StatusUnauthorized, reason: "unknown-key"}), false
	}
	return refusal{}, true
}

// checkNews returns false and a refusal if operators may have taken any availability zone
// out of service longer ago than the bound and this VM has not heard of it, because the
// store has confirmed nothing since the request was accepted. A stream that the client has
// begun to get goes on nevertheless.
func (x *exchange) checkNews() (refusal, bool) {
	zoneDrain := x.server.View.ZoneDrain()
	if zoneDrain <= 0 || x.account == nil || x.answering.Load() {
		return refusal{}, true
	}
	if _, age := x.server.View.Deployment(); age > zoneDrain {
		return staleRefusal(age), false
	}
	return refusal{}, true
}

// unknownRefusal returns the refusal of a request for something that the configuration does
// not have. If the configuration may have got it since the store last confirmed it, the
// client is to ask another VM instead of giving up.
func (x *exchange) unknownRefusal(unknown refusal) refusal {
	_, age := x.server.View.Deployment()
	unknown.basis = fmt.Sprintf("version %d as of %v ago", x.configVersion, age.Round(time.Millisecond))
	if bound := x.server.Propagation; bound > 0 && age > bound {
		stale := staleRefusal(age)
		stale.detail, stale.basis = strings.TrimSpace(unknown.reason+" "+unknown.detail), unknown.basis
		return stale
	}
	return unknown
}

func staleRefusal(age time.Duration) refusal {
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: "configuration-stale",
		detail: "configuration last confirmed " + age.Round(time.Millisecond).String() + " ago", retryAfter: retryAfterUnready}
}

// admit charges the request against the rate limit of its client account. It
// returns false and a refusal if the account is over its limit.
func (x *exchange) admit() (refusal, bool) {
	if x.account == nil || x.account.Rate <= 0 {
		return refusal{}, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.timeoutAt)
	defer cancel()
	cost := x.account.Cost(x.call)
	a := x.server.Allowances.Admit(ctx, claimant{x}, x.account.Name, cost)
	x.countClaim(a)
	if a.Admitted {
		return refusal{}, true
	}
	if a.Basis == drtokenpool.ByExpiredShare {
		return refusal{
			status: fasthttp.StatusServiceUnavailable, reason: "controller-unreachable", retryAfter: a.RetryAfter,
			detail: fmt.Sprintf("the controller leads and has not replied for %v", a.Unheard.Round(time.Millisecond)),
		}, false
	}
	return refusal{
		status: fasthttp.StatusTooManyRequests, reason: "over-rate", retryAfter: a.RetryAfter,
		detail: fmt.Sprintf("%.0f tokens, by %s, limit %.0f/s, burst %.0f", cost, a.Basis, x.account.Rate, x.account.Burst),
	}, false
}

// urgency returns the request's rank at runners, 0 for the most urgent. The
// client account's priority decides first, then the route's.
func (x *exchange) urgency() int {
	u := min(x.route.Priority, levelsPerAccount-1)
	if x.account != nil {
		u += x.account.Priority * levelsPerAccount
	}
	return u
}

// replica returns what the request needs from a runner. For plain services no model is
// set.
func (x *exchange) replica() drfleetview.Replica {
	p := drfleetview.Replica{Service: x.service.Name, Zones: x.homes().Zones(x.server.Regions)}
	if x.service.Engine != nil {
		p.Model, p.Adapter = x.call.Model, x.call.Adapter
	}
	return p
}

// maxIdle returns how many idle connections this VM may keep to a runner of the service.
func (x *exchange) maxIdle() int {
	if x.service.ConnectionLimit <= 0 {
		return maxIdlePerRunner
	}
	return maxIdle(x.service.ConnectionLimit, x.server.Allowances.VMs())
}

// remaining returns the time until the request's timeout; it is negative after
// the timeout.
func (x *exchange) remaining() time.Duration { return x.timeoutAt.Sub(x.server.Clock.Now()) }

// recordServed logs a request whose answer was passed on and adds its duration
// to the metrics.
func (x *exchange) recordServed(status int, extra log.Fields) {
	took := x.server.Clock.Since(x.start)
	x.server.Metrics.Observe(drmetric.RequestTime, took, x.route.Kind.String())
	x.logEnd("request-served", status, extra)
}
