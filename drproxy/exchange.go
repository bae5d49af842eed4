package drproxy

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// answerMargin is left of the client's time to pass an answer on.
	answerMargin = 30 * time.Millisecond
	// defaultDeadline bounds requests on routes without a timeout from clients
	// that state no deadline.
	defaultDeadline = 30 * time.Second
	// levelsPerAccount is the number of urgencies that the route's priority
	// makes within one of the client account's.
	levelsPerAccount = 3
	// retryAfterUnready is the Retry-After while this VM cannot serve at all;
	// the client's next connection reaches another VM.
	retryAfterUnready = 100 * time.Millisecond
)

// exchange is one request of a client and its answer.
type exchange struct {
	server *Server
	conn   *clientConn
	start  time.Time
	// keepAlive says that the connection takes another request.
	keepAlive bool
	header    fasthttp.RequestHeader
	body      []byte

	call          *drfleet.Call
	configVersion int64 // of the configuration
	route         *drfleet.Route
	service       *drfleet.Service
	account       *drfleet.Account
	// timeoutAt is when the route's timeout or the client's deadline passes.
	timeoutAt time.Time

	// For the log.
	attempts int
	runner   string
	waited   time.Duration
}

func (x *exchange) readHeader() error {
	x.header.SetNoDefaultContentType(true)
	if err := x.header.Read(x.conn.reader); err != nil {
		return err
	}
	x.keepAlive = !x.header.ConnectionClose()
	return nil
}

func (x *exchange) readBody(limit int) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.header.CopyTo(&req.Header)
	if req.MayContinue() {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if err := req.ContinueReadBody(x.conn.reader, limit, false); err != nil {
		return err
	}
	x.body = bytes.Clone(req.Body())
	return nil
}

// serve answers a request that has been read.
func (x *exchange) serve() {
	s := x.server
	call, err := s.Wire.Call(&x.header)
	x.call = call
	if err != nil {
		x.refuse(refusal{status: fasthttp.StatusBadRequest, reason: "malformed", detail: err.Error()})
		return
	}
	if r, ok := x.resolve(); !ok {
		x.refuse(r)
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

// resolve finds the route, the service and the client account.
func (x *exchange) resolve() (refusal, bool) {
	s := x.server
	d, age := s.View.Deployment()
	if d == nil {
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no-configuration", retryAfter: retryAfterUnready}, false
	}
	x.configVersion = d.Version
	if x.route = d.Route(x.call.Host, x.call.Path); x.route == nil {
		return refusal{status: fasthttp.StatusNotFound, reason: "unknown-route", detail: x.call.Host + x.call.Path}, false
	}
	x.service = d.Service(x.route.Target(rand.Float64()))
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
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "configuration-stale",
			detail: "confirmed " + age.Round(time.Millisecond).String() + " ago", retryAfter: retryAfterUnready}, false
	}
	if x.account = d.Account(x.call.Key); x.account == nil {
		return refusal{status: fasthttp.StatusUnauthorized, reason: "unknown-key"}, false
	}
	return refusal{}, true
}

// admit charges the request to its client account.
func (x *exchange) admit() (refusal, bool) {
	if x.account == nil || x.account.Rate <= 0 {
		return refusal{}, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.timeoutAt)
	defer cancel()
	cost := x.account.Cost(x.call)
	a := x.server.Allowances.Admit(ctx, x.server.Reserver, x.account.Name, cost)
	if a.Admitted {
		return refusal{}, true
	}
	return refusal{
		status: fasthttp.StatusTooManyRequests, reason: "over-rate", retryAfter: a.RetryAfter,
		detail: fmt.Sprintf("%.0f tokens, by %s", cost, a.Basis),
	}, false
}

// urgency ranks the request at runners: the client account's priority goes
// before the route's.
func (x *exchange) urgency() int {
	u := min(x.route.Priority, levelsPerAccount-1)
	if x.account != nil {
		u += x.account.Priority * levelsPerAccount
	}
	return u
}

func (x *exchange) replica() drfleetview.Replica {
	p := drfleetview.Replica{Service: x.service.Name}
	if x.service.Engine != nil {
		p.Model, p.Adapter = x.call.Model, x.call.Adapter
	}
	return p
}

// remaining returns the time until the request's timeout.
func (x *exchange) remaining() time.Duration { return x.timeoutAt.Sub(x.server.Clock.Now()) }

// recordServed logs an answer that was passed on.
func (x *exchange) recordServed(status int, extra log.Fields) {
	took := x.server.Clock.Since(x.start)
	x.server.Metrics.Observe(drmetric.RequestTime, took, x.route.Kind.String())
	x.logEnd("request-served", status, extra)
}
