package drengine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drverdict"
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
	if drverdict.Of(err) != drverdict.NotRun && drverdict.ReasonOf(err) == drverdict.Unavailable {
		return nil, drverdict.Wrap(drverdict.Of(err), drverdict.BackendFailed, err, "engine")
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
	v, r := drverdict.NotRun, drverdict.Unavailable
	switch status {
	case fasthttp.StatusConflict:
		r = drverdict.Conflict
	case fasthttp.StatusInsufficientStorage:
		r = drverdict.NoCapacity
	case fasthttp.StatusNotFound:
		r = drverdict.UnknownModel
	case fasthttp.StatusBadRequest:
		r = drverdict.MalformedRequest
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
	default:
		v, r = drverdict.MayHaveRun, drverdict.BackendFailed
	}
	text, _ := readBody(ctx, resp)
	return drverdict.New(v, r, "engine answered %d: %.200s", status, text)
}

// brokenError is the error of a connection that broke after the request.
func brokenError(ctx context.Context, err error) error {
	r := drverdict.BackendFailed
	if ctx.Err() != nil {
		r = drhttp.EndReason(ctx)
	} else if drhttp.IsTimeout(err) {
		r = drverdict.Deadline
	}
	return drverdict.Wrap(drverdict.MayHaveRun, r, err, "read from the engine")
}
