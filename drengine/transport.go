package drengine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// send sends a request and returns an answer with status 2xx, whose body the
// caller closes. The request ends with ctx; limit applies if ctx has no
// deadline.
func (h *HTTP) send(ctx context.Context, method, target string, body []byte, limit time.Duration) (*fasthttp.Response, error) {
	call := drhttp.Call{Method: method, Target: target, Body: body, Limit: limit}
	if body != nil {
		call.ContentType = "application/json"
	}
	resp, err := h.client.Do(ctx, call)
	if err == nil {
		return resp, h.check(ctx, resp)
	}
	if drerror.Of(err) != drerror.NotRun && drerror.ReasonOf(err) == drerror.Unavailable {
		return nil, drerror.Wrap(drerror.Of(err), drerror.BackendFailed, err, "engine")
	}
	return nil, err
}

// check returns the error of an answer, whose body it then closes.
func (h *HTTP) check(ctx context.Context, resp *fasthttp.Response) error {
	status := resp.StatusCode()
	if status/100 == 2 {
		return nil
	}
	defer drhttp.CloseBody(resp)
	v, r := drerror.NotRun, drerror.Unavailable
	switch status {
	case fasthttp.StatusConflict:
		r = drerror.Conflict
	case fasthttp.StatusInsufficientStorage:
		r = drerror.NoCapacity
	case fasthttp.StatusNotFound:
		r = drerror.UnknownModel
	case fasthttp.StatusBadRequest:
		r = drerror.MalformedRequest
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
	default:
		v, r = drerror.MayHaveRun, drerror.BackendFailed
	}
	text, _ := readBody(ctx, resp)
	return drerror.New(v, r, "engine answered %d: %.200s", status, text)
}

// brokenError is the error of a connection that broke after the request.
func brokenError(ctx context.Context, err error) error {
	r := drerror.BackendFailed
	if ctx.Err() != nil {
		r = drhttp.EndReason(ctx)
	} else if drhttp.IsTimeout(err) {
		r = drerror.Deadline
	}
	return drerror.Wrap(drerror.MayHaveRun, r, err, "read from the engine")
}
