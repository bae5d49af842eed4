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
func (h *HTTP) send(ctx context.Context, method, target string, body []byte, timeout time.Duration) (*fasthttp.Response, error) {
	call := drhttp.Call{Method: method, Target: target, Body: body, Limit: timeout}
	if body != nil {
		call.ContentType = "application/json"
	}
	resp, err := h.client.Do(ctx, call)
	if err == nil {
		return resp, h.checkStatus(ctx, resp)
	}
	if drerror.Of(err) != drerror.NotRun && drerror.ReasonOf(err) == drerror.Unavailable {
		return nil, drerror.Wrap(drerror.Of(err), drerror.BackendFailed, err, "engine")
	}
	return nil, err
}

// checkStatus returns the error of an answer, whose body it then closes.
func (h *HTTP) checkStatus(ctx context.Context, resp *fasthttp.Response) error {
	status := resp.StatusCode()
	if status/100 == 2 {
		return nil
	}
	defer drhttp.CloseBody(resp)
	verdict, reason := drerror.NotRun, drerror.Unavailable
	switch status {
	case fasthttp.StatusConflict:
		reason = drerror.Conflict
	case fasthttp.StatusInsufficientStorage:
		reason = drerror.NoCapacity
	case fasthttp.StatusNotFound:
		reason = drerror.UnknownModel
	case fasthttp.StatusBadRequest:
		reason = drerror.MalformedRequest
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
	default:
		verdict, reason = drerror.MayHaveRun, drerror.BackendFailed
	}
	text, _ := readBody(ctx, resp)
	return drerror.New(verdict, reason, "engine answered %d: %.200s", status, text)
}

// readError is the error of a connection that broke after the request.
func readError(ctx context.Context, err error) error {
	reason := drerror.BackendFailed
	if ctx.Err() != nil {
		reason = drhttp.EndReason(ctx)
	} else if drhttp.IsTimeout(err) {
		reason = drerror.Deadline
	}
	return drerror.Wrap(drerror.MayHaveRun, reason, err, "read from the engine")
}
