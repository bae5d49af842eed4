package drengine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// send sends a request and returns a response with status 2xx, whose body the caller
// must close. Any other status gives an error. The request ends with ctx, or after
// timeout if ctx has no deadline.
func (h *HTTP) send(ctx context.Context, method, target string, body []byte, timeout time.Duration) (*fasthttp.Response, error) {
	call := drhttp.Call{Method: method, Target: target, Body: body, Limit: timeout}
	if body != nil {
		call.ContentType = "application/json"
	}
	resp, err := h.client.Do(ctx, call)
	if err == nil {
		return resp, h.checkStatus(ctx, resp)
	}
	if drerror.VerdictOf(err) != drerror.NotRun && drerror.ReasonOf(err) == drerror.Unavailable {
		return nil, drerror.Wrap(drerror.VerdictOf(err), drerror.BackendFailed, err, "engine")
	}
	return nil, err
}

// checkStatus returns the error that the status of a response stands for, or nil for
// 2xx. With an error it closes the body. The verdict is NotRun only for the statuses
// with which engines reject a request.
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
	return drerror.New(verdict, reason, "engine responded with status %d: %.200s", status, text)
}

// readError returns the error of a response body that could not be read to its end:
// the engine may have run the request.
func readError(ctx context.Context, err error) error {
	reason := drerror.BackendFailed
	if ctx.Err() != nil {
		reason = drhttp.EndReason(ctx)
	} else if drhttp.IsTimeout(err) {
		reason = drerror.Deadline
	}
	return drerror.Wrap(drerror.MayHaveRun, reason, err, "read from the engine")
}
