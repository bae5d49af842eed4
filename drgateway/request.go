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

// Headers of the API that the HTTP library has no constants for.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerTimeout        = "Request-Timeout"
	headerPriority       = "Priority"
)

var (
	errCallerGone   = drerror.New(drerror.MayHaveRun, drerror.CallerGone, "the caller disconnected")
	errKeyWithdrawn = drerror.New(drerror.NotRun, drerror.InvalidKey, "the key was withdrawn")
)

// request is one request of a caller, from its arrival until it is settled.
type request struct {
	server *Server
	http   *fasthttp.RequestCtx
	// id is the caller's X-Request-Id, which a resend may repeat. uniqueID is
	// different for every request; it is also the id if the caller sent none,
	// an invalid one or one that contains the key.
	id        string
	uniqueID  string
	key       string
	identity  Identity
	model     string
	arrivedAt time.Time

	// ctx ends at the deadline, when the caller disconnects, or when its key is
	// withdrawn. It is nil before startContext.
	ctx           context.Context
	cancel        context.CancelCauseFunc
	cancelTimeout context.CancelFunc
	deadline      time.Time

	// streaming is set when the goroutine that writes the stream takes over
	// the request. That goroutine then calls end.
	streaming bool
	admission admission
}

func newID() string { return uuid.NewString() }

func newRequest(server *Server, ctx *fasthttp.RequestCtx) *request {
	r := &request{server: server, http: ctx, uniqueID: newID(), arrivedAt: server.Clock.Now()}
	r.id = string(ctx.Request.Header.Peek(headerRequestID))
	if !validID(r.id) {
		r.id = r.uniqueID
	}
	return r
}

// validID reports whether a request id of a caller is safe in logs and headers: 1 to
// maxRequestIDBytes bytes of printable ASCII without spaces.
func validID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// serve handles the request according to its path and method. A request id that
// contains the key is replaced, so that the key gets into no log or header.
func (r *request) serve() error {
	s, path, method := r.server, string(r.http.Path()), string(r.http.Method())
	r.key = bearerToken(&r.http.Request.Header)
	if containsKey(r.id, r.key) {
		r.id = r.uniqueID
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
	return r.serveRoute(path, method)
}

// bearerToken returns the key in the Authorization header, or "" if there is no such
// header or more than one.
func bearerToken(header *fasthttp.RequestHeader) string {
	values := header.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return ""
	}
	scheme, key, ok := strings.Cut(string(values[0]), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate sets identity to the client account of the key.
func (r *request) authenticate() error {
	if r.key == "" {
		return drerror.New(drerror.NotRun, drerror.InvalidKey, "the header Authorization: Bearer KEY is missing")
	}
	id, err := r.server.Directory.Authenticate(r.key)
	if err != nil {
		return wrapNotRun(err, drerror.InvalidKey)
	}
	r.identity = id
	return nil
}

// startContext starts ctx with the timeout of the Request-Timeout header, or with
// defaultTimeout if there is no such header. If that is zero too, DefaultTimeout
// applies. It refuses a request that may outlast the server's drain.
func (r *request) startContext(defaultTimeout time.Duration) error {
	r.recordDetail(drtimeline.RequestReceived, "")
	timeout := defaultTimeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if v := r.http.Request.Header.Peek(headerTimeout); len(v) > 0 {
		var err error
		if timeout, err = parseTimeout(string(v)); err != nil {
			return err
		}
	}
	clock := r.server.Clock
	r.deadline = clock.Now().Add(timeout)
	if end := r.server.drainEnd.Load(); end != nil && r.deadline.After(*end) {
		return drerror.New(drerror.NotRun, drerror.Draining, "the server stops before the request's timeout passes")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.ctx, r.cancelTimeout = drclock.WithTimeout(ctx, clock, timeout)
	r.setWriteDeadline(timeout)
	var disconnected <-chan struct{}
	if conn, ok := r.http.Conn().(interface{ Done() <-chan struct{} }); ok {
		disconnected = conn.Done()
	}
	go r.watchCancellation(disconnected)
	return nil
}

// setWriteDeadline limits the time for writing the response, so that a caller that
// does not read cannot hold a request forever. It replaces the deadline that the
// previous request set on the connection. It uses time.Now, because sockets follow
// the system's clock and not the configured one.
func (r *request) setWriteDeadline(timeout time.Duration) {
	r.http.Conn().SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// watchCancellation cancels the request when its caller disconnects or its key is
// withdrawn. It returns when ctx ends.
func (r *request) watchCancellation(disconnected <-chan struct{}) {
	select {
	case <-disconnected:
		r.cancel(errCallerGone)
	case <-r.identity.Withdrawn:
		r.cancel(errKeyWithdrawn)
	case <-r.ctx.Done():
	}
}

// contextError returns nil while ctx lasts, else an error with the cause of its end.
// Verdict says what may have run so far.
func (r *request) contextError(verdict drerror.Verdict) error {
	if r.ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(r.ctx)
	reason := drerror.ReasonOf(cause)
	if reason == drerror.InvalidKey && verdict != drerror.NotRun {
		// Status 401 tells callers that nothing has run, so it must not be
		// used here.
		reason = drerror.NotAllowed
	}
	return drerror.Wrap(verdict, reason, cause, "the request was ended early")
}

// withdrawalError returns an error if the key was withdrawn while the call ran. The
// answer of the call must then not be sent.
func (r *request) withdrawalError() error {
	if r.ctx.Err() == nil || !errors.Is(context.Cause(r.ctx), errKeyWithdrawn) {
		return nil
	}
	return r.contextError(drerror.MayHaveRun)
}

// admissionError returns the error of the limiter or the queue, or the cause if the
// request's context has ended. Its verdict is NotRun.
func (r *request) admissionError(err error, reason drerror.Reason) error {
	if ended := r.contextError(drerror.NotRun); ended != nil {
		return ended
	}
	return wrapNotRun(err, reason)
}

// wrapNotRun returns err with the verdict NotRun. Reason applies only to errors that
// are not of type *drerror.Error.
func wrapNotRun(err error, reason drerror.Reason) error {
	if e, ok := errors.AsType[*drerror.Error](err); ok {
		if e.Verdict == drerror.NotRun {
			return err
		}
		reason = e.Reason
	}
	return drerror.Wrap(drerror.NotRun, reason, err, "refused")
}

// refuse replaces the response by err as a problem and records the refusal.
func (r *request) refuse(err error) {
	p := newProblem(err, r.id)
	p.write(&r.http.Response)
	r.recordRefusal(p)
}

// recordRefusal counts and records a request that ended with a problem.
func (r *request) recordRefusal(p problem) {
	reason := strings.TrimPrefix(p.Type, problemTypePrefix)
	r.server.Meter.Ended(p.Status, reason)
	r.recordEvent(drtimeline.Event{
		Name: drtimeline.RequestRefused, Status: p.Status, Reason: reason, Took: r.elapsed(), Detail: "run=" + p.Run,
	})
}

// recordServed counts and records a request that got a complete response.
func (r *request) recordServed(status int) {
	r.server.Meter.Ended(status, "")
	r.recordEvent(drtimeline.Event{Name: drtimeline.RequestServed, Status: status, Took: r.elapsed(), Tokens: int(r.admission.usedTokens)})
}

// elapsed returns the time since the request arrived.
func (r *request) elapsed() time.Duration { return r.server.Clock.Since(r.arrivedAt) }

// recordDetail records an event that has only a name and a detail.
func (r *request) recordDetail(name, detail string) {
	r.recordEvent(drtimeline.Event{Name: name, Detail: detail})
}

// recordEvent records e with the request's id, client account and model.
func (r *request) recordEvent(event drtimeline.Event) {
	event.RequestID, event.Account, event.Model = r.id, r.identity.Account, r.model
	r.server.Recorder.Record(event)
}

// end cancels the request's context, charges the used tokens and settles the
// admission. It is called exactly once for each request that startRequest counted.
func (r *request) end() {
	defer r.server.endRequest()
	if r.cancelTimeout != nil {
		defer r.cancelTimeout()
		defer r.cancel(nil)
	}
	if r.admission.usedTokens > 0 {
		r.server.Meter.Used(r.identity.Account, r.admission.usedTokens)
	}
	r.admission.settle()
}
