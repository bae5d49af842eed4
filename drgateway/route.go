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
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// repeatableMethods apply to routes that declare none.
var repeatableMethods = []string{fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions}

// route serves a call to a plain service.
func (r *request) route(path, method string) error {
	rt, err := r.server.Directory.Route(path)
	idempotencyKey := string(r.http.Request.Header.Peek(headerIdempotencyKey))
	// On a public route a key is optional, but at-most-once records belong to
	// a client account.
	authErr := r.authenticate()
	if authErr != nil && (err != nil || !rt.Open) {
		return authErr
	}
	if err != nil {
		return notRun(err, drerror.UnknownRoute)
	}
	if !rt.Open && !r.server.Directory.MayUse(r.identity.Account, rt) {
		return drerror.New(drerror.NotRun, drerror.NotAllowed, "the key may not use the route %q", rt.Name)
	}
	if method == fasthttp.MethodConnect {
		return malformed("the method CONNECT is not supported")
	}
	methods := rt.RepeatableMethods
	if len(methods) == 0 {
		methods = repeatableMethods
	}
	c, err := r.call(slices.Contains(methods, method))
	if err != nil {
		return err
	}
	if err := r.begin(time.Duration(rt.Timeout)); err != nil {
		return err
	}
	if c.Repeatable {
		a, err := r.server.Services.Call(r.ctx, rt.Fleet, c)
		return r.result(a, err)
	}
	if idempotencyKey == "" {
		return r.dispatch(rt, c, nil)
	}
	if authErr != nil {
		return authErr
	}
	return r.keyed(rt, c, idempotencyKey)
}

// call builds the call that the backend server sees, without the key.
func (r *request) call(repeatable bool) (drrouter.Call, error) {
	uri := r.http.URI()
	var target fasthttp.URI
	target.SetPathBytes(uri.Path()) // normalized, as it was matched
	path := string(target.RequestURI())
	body := slices.Clone(r.http.PostBody())
	if holdsKey(path, r.key) || bodyHoldsKey(body, r.key) {
		return drrouter.Call{}, malformed("the path or body contains the caller's key")
	}
	if q := cleanQuery(string(uri.QueryString()), r.key); q != "" {
		path += "?" + q
	}
	header := cleanHeader(&r.http.Request.Header, r.key)
	header = append(header, drrouter.Field{Name: headerRequestID, Value: r.id})
	return drrouter.Call{
		ID: r.id, Account: r.identity.Account, Method: string(r.http.Method()), Target: path,
		Header: header, Body: body, Repeatable: repeatable,
	}, nil
}

// bodyHoldsKey looks for the key in a body as it is, in its percent-decoded
// form and in the strings of JSON. Compressed bodies are not looked into.
func bodyHoldsKey(body []byte, key string) bool {
	if key == "" || len(body) == 0 {
		return false
	}
	if len(key) >= minContained && bytes.Contains(body, []byte(key)) {
		return true
	}
	if bytes.IndexByte(body, '%') >= 0 && holdsKey(string(body), key) {
		return true
	}
	if bytes.IndexByte(body, '\\') < 0 {
		return false
	}
	d := json.NewDecoder(bytes.NewReader(body))
	for {
		t, err := d.Token()
		if err != nil {
			return false
		}
		if s, ok := t.(string); ok && holdsKey(s, key) {
			return true
		}
	}
}

// keyed runs a non-repeatable call at most once per Idempotency-Key.
func (r *request) keyed(rt drconfig.Route, c drrouter.Call, key string) error {
	if len(key) > maxIdempotencyKey {
		return malformed("Idempotency-Key has more than %d bytes", maxIdempotencyKey)
	}
	if holdsKey(key, r.key) {
		return malformed("Idempotency-Key contains the caller's key")
	}
	f := drrouter.NewFingerprint(r.identity.Account, c.Method+" "+c.Target, c.Body)
	attempt, rec, err := r.server.Once.Begin(r.ctx, KeyedCall{RequestID: r.id, Account: r.identity.Account, Key: key, Fingerprint: f})
	switch {
	case err != nil:
		// The verdict of Begin concerns the key, not only this request.
		v := drerror.NotRun
		if e, ok := errors.AsType[*drerror.Error](err); ok {
			v = e.Verdict
		}
		if ended := r.ended(v); ended != nil {
			return ended
		}
		if drerror.ReasonOf(err) == drerror.Internal {
			return drerror.Wrap(v, drerror.LogUnavailable, err, "reserve the call")
		}
		return err
	case rec != nil && rec.Truncated:
		return drerror.New(drerror.MayHaveRun, drerror.OutcomeUnknown,
			"the call was answered with status %d but the answer was too large to keep", rec.Answer.Status)
	case rec != nil:
		r.http.Response.Header.Set(headerReplayed, "true")
		return r.result(rec.Answer, nil)
	}
	return r.dispatch(rt, c, attempt)
}

// dispatch runs a non-repeatable call. Once dispatched it runs to its deadline
// even if the caller disconnects or its key is withdrawn, so that its outcome
// is known; the answer is then withheld. Attempt is nil without a key.
func (r *request) dispatch(rt drconfig.Route, c drrouter.Call, attempt Attempt) error {
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(r.ctx), r.server.Clock,
		r.deadline.Sub(r.server.Clock.Now()))
	defer cancel()
	c.Proceed = func() error { return r.ended(drerror.NotRun) }
	outcome, rec := drerror.MayHaveRun, (*Record)(nil)
	defer func() { r.conclude(attempt, outcome, rec) }()
	a, err := r.server.Services.Call(ctx, rt.Fleet, c)
	if outcome = drerror.Of(err); err == nil {
		rec = newRecord(a)
	}
	return r.result(a, err)
}

// result returns the answer or the error of a call.
func (r *request) result(a drrouter.Answer, err error) error {
	if err != nil {
		if ended := r.ended(drerror.Of(err)); ended != nil {
			return ended
		}
		return err
	}
	if err := r.withheld(); err != nil {
		return err
	}
	return r.answer(a)
}

// conclude tells the at-most-once records how a dispatched call ended. The
// response waits for that until the request's deadline at most; recording goes
// on afterwards.
func (r *request) conclude(attempt Attempt, v drerror.Verdict, rec *Record) {
	if attempt == nil {
		return
	}
	wait := min(recordTimeout, r.deadline.Sub(r.server.Clock.Now()))
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(r.ctx), r.server.Clock, wait)
	defer cancel()
	var err error
	if v == drerror.NotRun {
		err = attempt.Abandon(ctx)
	} else {
		err = attempt.Finish(ctx, v, rec)
	}
	if err != nil {
		r.record(drtimeline.OutcomeNotRecorded, fmt.Sprintf("error=%q", err))
	}
}

// newRecord is the part of a that is kept for replay.
func newRecord(a drrouter.Answer) *Record {
	rec := &Record{Answer: a}
	size := len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	if size > maxRecorded {
		rec.Answer.Body, rec.Answer.Header, rec.Truncated = nil, nil, true
	}
	return rec
}

// answer returns the response of a plain service.
func (r *request) answer(a drrouter.Answer) error {
	res := &r.http.Response
	copyHeader(res, a.Header)
	res.SetStatusCode(a.Status)
	if strings.EqualFold(string(r.http.Method()), fasthttp.MethodHead) {
		res.SkipBody = true
	}
	res.SetBody(a.Body)
	r.served(a.Status)
	return nil
}
