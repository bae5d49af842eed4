package drgateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Header names of the API that the HTTP library does not define.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerTimeout        = "Request-Timeout"
	headerPriority       = "Priority"
)

var (
	errCallerGone = drerror.New(drerror.MayHaveRun, drerror.CallerGone, "the caller disconnected")
	errWithdrawn  = drerror.New(drerror.NotRun, drerror.InvalidKey, "the key was withdrawn")
)

// request is one request of a caller.
type request struct {
	server *Server
	http   *fasthttp.RequestCtx
	// id is shown to the caller; unique differs also between resends.
	id       string
	unique   string
	key      string
	identity Identity
	model    string
	arrived  time.Time

	// ctx ends at the deadline, when the caller disconnects and when its key
	// is withdrawn.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	stop     context.CancelFunc
	deadline time.Time

	// streaming is set once the goroutine that writes the stream has taken
	// over the request.
	streaming bool
	bill      bill
}

func newID() string { return uuid.NewString() }

func newRequest(s *Server, ctx *fasthttp.RequestCtx) *request {
	r := &request{server: s, http: ctx, unique: newID(), arrived: s.Clock.Now()}
	r.id = string(ctx.Request.Header.Peek(headerRequestID))
	if !validID(r.id) {
		r.id = r.unique
	}
	return r
}

// validID accepts ids that are safe in logs and headers.
func validID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// serve dispatches on the path.
func (r *request) serve() error {
	s, path, method := r.server, string(r.http.Path()), string(r.http.Method())
	r.key = bearer(&r.http.Request.Header)
	if holdsKey(r.id, r.key) {
		r.id = r.unique
		r.http.Response.Header.Set(headerRequestID, r.id)
	}
	if s.Freshness.Isolated() {
		return drerror.New(drerror.NotRun, drerror.Isolated, "the VM cannot confirm that keys are still valid")
	}
	switch {
	case path == "/v1/models" && method == fasthttp.MethodGet:
		return r.models()
	case path == "/v1/chat/completions" && method == fasthttp.MethodPost:
		return r.complete(true)
	case path == "/v1/completions" && method == fasthttp.MethodPost:
		return r.complete(false)
	}
	return r.route(path, method)
}

// bearer returns the key of the Authorization header; empty if there is none
// or several.
func bearer(h *fasthttp.RequestHeader) string {
	vs := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(vs) != 1 {
		return ""
	}
	scheme, key, ok := strings.Cut(string(vs[0]), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (r *request) authenticate() error {
	if r.key == "" {
		return drerror.New(drerror.NotRun, drerror.InvalidKey, "the header Authorization: Bearer KEY is missing")
	}
	id, err := r.server.Directory.Authenticate(r.key)
	if err != nil {
		return notRun(err, drerror.InvalidKey)
	}
	r.identity = id
	return nil
}

// begin starts the context of the request. Standard is the deadline of
// requests that state none.
func (r *request) begin(standard time.Duration) error {
	r.record(drtimeline.RequestReceived, "")
	d := standard
	if d <= 0 {
		d = DefaultTimeout
	}
	if v := r.http.Request.Header.Peek(headerTimeout); len(v) > 0 {
		var err error
		if d, err = parseTimeout(string(v)); err != nil {
			return err
		}
	}
	c := r.server.Clock
	r.deadline = c.Now().Add(d)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.ctx, r.stop = drclock.WithTimeout(ctx, c, d)
	r.limitWrite(d)
	var gone <-chan struct{}
	if conn, ok := r.http.Conn().(interface{ Done() <-chan struct{} }); ok {
		gone = conn.Done()
	}
	go r.watch(gone)
	return nil
}

// limitWrite bounds the time for writing the response, so that a caller that
// does not read cannot hold a request for ever. It replaces the bound that the
// previous request set on the connection. Sockets use the system's clock.
func (r *request) limitWrite(d time.Duration) {
	r.http.Conn().SetWriteDeadline(time.Now().Add(d + writeGrace))
}

// watch ends the request when its caller disconnects or its key is withdrawn.
func (r *request) watch(gone <-chan struct{}) {
	select {
	case <-gone:
		r.cancel(errCallerGone)
	case <-r.identity.Withdrawn:
		r.cancel(errWithdrawn)
	case <-r.ctx.Done():
	}
}

// ended returns the error of a request whose context ended, nil otherwise. V
// is what may have happened so far.
func (r *request) ended(v drerror.Verdict) error {
	if r.ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(r.ctx)
	reason := drerror.ReasonOf(cause)
	if reason == drerror.InvalidKey && v != drerror.NotRun {
		// 401 says that nothing has run.
		reason = drerror.NotAllowed
	}
	return drerror.Wrap(v, reason, cause, "request ended")
}

// withheld returns the error of a complete call whose answer may not be
// returned because the key was withdrawn meanwhile.
func (r *request) withheld() error {
	if r.ctx.Err() == nil || !errors.Is(context.Cause(r.ctx), errWithdrawn) {
		return nil
	}
	return r.ended(drerror.MayHaveRun)
}

// admission returns the error of a step before dispatch.
func (r *request) admission(err error, reason drerror.Reason) error {
	if ended := r.ended(drerror.NotRun); ended != nil {
		return ended
	}
	return notRun(err, reason)
}

// notRun gives err the verdict NotRun, and reason if it has none of its own.
func notRun(err error, reason drerror.Reason) error {
	if e, ok := errors.AsType[*drerror.Error](err); ok {
		if e.Verdict == drerror.NotRun {
			return err
		}
		reason = e.Reason
	}
	return drerror.Wrap(drerror.NotRun, reason, err, "refused")
}

// refuse makes err the response.
func (r *request) refuse(err error) {
	p := newProblem(err, r.id)
	p.write(&r.http.Response)
	r.logRefusal(p)
}

func (r *request) logRefusal(p problem) {
	reason := strings.TrimPrefix(p.Type, problemType)
	r.server.Meter.Ended(p.Status, reason)
	r.note(drtimeline.Event{
		Name: drtimeline.RequestRefused, Status: p.Status, Reason: reason, Took: r.age(), Detail: "run=" + p.Run,
	})
}

// served counts and records a complete response.
func (r *request) served(status int) {
	r.server.Meter.Ended(status, "")
	r.note(drtimeline.Event{Name: drtimeline.RequestServed, Status: status, Took: r.age(), Tokens: int(r.bill.used)})
}

// age returns the time since the arrival.
func (r *request) age() time.Duration { return r.server.Clock.Since(r.arrived) }

func (r *request) record(name, detail string) {
	r.note(drtimeline.Event{Name: name, Detail: detail})
}

// note records e for the request.
func (r *request) note(e drtimeline.Event) {
	e.RequestID, e.Account, e.Model = r.id, r.identity.Account, r.model
	r.server.Recorder.Record(e)
}

// end settles the request and frees what it holds.
func (r *request) end() {
	defer r.server.over()
	if r.stop != nil {
		defer r.stop()
		defer r.cancel(nil)
	}
	if r.bill.used > 0 {
		r.server.Meter.Used(r.identity.Account, r.bill.used)
	}
	r.bill.settle()
}
