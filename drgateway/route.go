package drgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// defaultRepeatableMethods are the methods whose calls may be executed more than
// once, for routes that declare no repeatable methods.
var defaultRepeatableMethods = []string{fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions}

// serveRoute forwards a call to the plain service that the path belongs to.
func (r *request) serveRoute(path, method string) error {
	route, err := r.server.Directory.Route(path)
	idempotencyKey := string(r.http.Request.Header.Peek(headerIdempotencyKey))
	// A public route needs no key, but a call with an Idempotency-Key does:
	// its at-most-once record belongs to a client account.
	authErr := r.authenticate()
	if authErr != nil && (err != nil || !route.Open) {
		return authErr
	}
	if err != nil {
		return wrapNotRun(err, drerror.UnknownRoute)
	}
	if !route.Open && !r.server.Directory.MayUse(r.identity.Account, route) {
		return drerror.New(drerror.NotRun, drerror.NotAllowed, "the key may not use the route %q", route.Name)
	}
	if method == fasthttp.MethodConnect {
		return malformed("the method CONNECT is not supported")
	}
	methods := route.RepeatableMethods
	if len(methods) == 0 {
		methods = defaultRepeatableMethods
	}
	call, err := r.newCall(slices.Contains(methods, method))
	if err != nil {
		return err
	}
	if err := r.startContext(time.Duration(route.Timeout)); err != nil {
		return err
	}
	if call.Repeatable {
		answer, err := r.server.Services.Call(r.ctx, route.Fleet, call)
		return r.respondCall(answer, err)
	}
	if idempotencyKey == "" {
		return r.dispatch(route, call, nil)
	}
	if authErr != nil {
		return authErr
	}
	return r.dispatchKeyed(route, call, idempotencyKey)
}

// newCall returns the call to send to the backend server, without the caller's
// key. It fails if the key is in the path or body, which cannot be changed.
func (r *request) newCall(repeatable bool) (drrouter.Call, error) {
	uri := r.http.URI()
	var target fasthttp.URI
	target.SetPathBytes(uri.Path()) // normalized, the form that was matched with the routes
	path := string(target.RequestURI())
	body := slices.Clone(r.http.PostBody())
	if containsKey(path, r.key) || bodyContainsKey(body, r.key) {
		return drrouter.Call{}, malformed("the path or body contains the caller's key")
	}
	if q := removeKeyFromQuery(string(uri.QueryString()), r.key); q != "" {
		path += "?" + q
	}
	header := forwardableHeader(&r.http.Request.Header, r.key)
	header = append(header, drrouter.Field{Name: headerRequestID, Value: r.id})
	return drrouter.Call{
		ID: r.id, Account: r.identity.Account, Method: string(r.http.Method()), Target: path,
		Header: header, Body: body, Repeatable: repeatable,
	}, nil
}

// bodyContainsKey reports whether a body contains the key literally,
// percent-encoded or with escapes in a JSON string. Compressed bodies are not
// decompressed.
func bodyContainsKey(body []byte, key string) bool {
	if key == "" || len(body) == 0 {
		return false
	}
	if len(key) >= minSubstringKeyBytes && bytes.Contains(body, []byte(key)) {
		return true
	}
	if bytes.IndexByte(body, '%') >= 0 && containsKey(string(body), key) {
		return true
	}
	if bytes.IndexByte(body, '\\') < 0 {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	for {
		t, err := decoder.Token()
		if err != nil {
			return false
		}
		if s, ok := t.(string); ok && containsKey(s, key) {
			return true
		}
	}
}

// dispatchKeyed runs a non-repeatable call at most once for the given
// Idempotency-Key. A resend gets the recorded answer.
func (r *request) dispatchKeyed(route drconfig.Route, call drrouter.Call, key string) error {
	if len(key) > maxIdempotencyKeyBytes {
		return malformed("Idempotency-Key has more than %d bytes", maxIdempotencyKeyBytes)
	}
	if containsKey(key, r.key) {
		return malformed("Idempotency-Key contains the caller's key")
	}
	fingerprint := drrequest.NewFingerprint(r.identity.Account, call.Method+" "+call.Target, call.Body)
	attempt, record, err := r.server.Once.Begin(r.ctx, KeyedCall{RequestID: r.id, Account: r.identity.Account, Key: key, Fingerprint: fingerprint})
	switch {
	case err != nil:
		// The verdict of Begin also covers earlier calls with the same
		// Idempotency-Key, so it is kept.
		verdict := drerror.NotRun
		if e, ok := errors.AsType[*drerror.Error](err); ok {
			verdict = e.Verdict
		}
		if ended := r.contextError(verdict); ended != nil {
			return ended
		}
		if drerror.ReasonOf(err) == drerror.Internal {
			return drerror.Wrap(verdict, drerror.LogUnavailable, err, "reserve the Idempotency-Key")
		}
		return err
	case record != nil && record.Truncated:
		return drerror.New(drerror.MayHaveRun, drerror.OutcomeUnknown,
			"an earlier call with this Idempotency-Key was answered with status %d, but its answer was too large to keep for a replay", record.Answer.Status)
	case record != nil:
		r.http.Response.Header.Set(headerReplayed, "true")
		return r.respondCall(record.Answer, nil)
	}
	return r.dispatch(route, call, attempt)
}

// dispatch runs a non-repeatable call. Once it is dispatched, the call continues
// until its deadline even if the caller disconnects or its key is withdrawn, so
// that its outcome is known. After a withdrawal the answer is not sent. Attempt is
// nil if the call has no Idempotency-Key.
func (r *request) dispatch(route drconfig.Route, call drrouter.Call, attempt Attempt) error {
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(r.ctx), r.server.Clock,
		r.deadline.Sub(r.server.Clock.Now()))
	defer cancel()
	call.Proceed = func() error { return r.contextError(drerror.NotRun) }
	outcome, record := drerror.MayHaveRun, (*Record)(nil)
	defer func() { r.recordOutcome(attempt, outcome, record) }()
	answer, err := r.server.Services.Call(ctx, route.Fleet, call)
	if outcome = drerror.VerdictOf(err); err == nil {
		record = newRecord(answer)
	}
	return r.respondCall(answer, err)
}

// respondCall sends the answer of a call, or returns the error to report.
func (r *request) respondCall(answer drrouter.Answer, err error) error {
	if err != nil {
		if ended := r.contextError(drerror.VerdictOf(err)); ended != nil {
			return ended
		}
		return err
	}
	if err := r.withdrawalError(); err != nil {
		return err
	}
	return r.writeAnswer(answer)
}

// recordOutcome records how a dispatched call with an Idempotency-Key ended. The
// response waits for the record for at most recordTimeout and not beyond the
// request's deadline; recording then continues in the background. Attempt is nil
// if the call has no Idempotency-Key.
func (r *request) recordOutcome(attempt Attempt, verdict drerror.Verdict, record *Record) {
	if attempt == nil {
		return
	}
	wait := min(recordTimeout, r.deadline.Sub(r.server.Clock.Now()))
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(r.ctx), r.server.Clock, wait)
	defer cancel()
	var err error
	if verdict == drerror.NotRun {
		err = attempt.Abandon(ctx)
	} else {
		err = attempt.Finish(ctx, verdict, record)
	}
	if err != nil {
		r.recordDetail(drtimeline.OutcomeNotRecorded, fmt.Sprintf("error=%q", err))
	}
}

// newRecord returns the record of an answer, with only the status if the answer is
// larger than maxRecordedBytes.
func newRecord(answer drrouter.Answer) *Record {
	record := &Record{Answer: answer}
	size := len(answer.Body)
	for _, f := range answer.Header {
		size += len(f.Name) + len(f.Value)
	}
	if size > maxRecordedBytes {
		record.Answer.Body, record.Answer.Header, record.Truncated = nil, nil, true
	}
	return record
}

// writeAnswer sends the answer of a plain service to the caller.
func (r *request) writeAnswer(answer drrouter.Answer) error {
	res := &r.http.Response
	copyResponseHeader(res, answer.Header)
	res.SetStatusCode(answer.Status)
	if strings.EqualFold(string(r.http.Method()), fasthttp.MethodHead) {
		res.SkipBody = true
	}
	res.SetBody(answer.Body)
	r.recordServed(answer.Status)
	return nil
}
