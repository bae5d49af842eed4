package drengine

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drverdict"
)

// dialError marks a request that failed before a connection existed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func newClient(c HTTPConfig) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     c.Address,
		MaxConns:                 c.MaxConns,
		MaxIdleConnDuration:      idleConn,
		StreamResponseBody:       true,
		NoDefaultUserAgentHeader: true,
		// fasthttp would repeat GET and DELETE by itself; the router decides
		// about retries.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > c.DialTimeout {
				timeout = c.DialTimeout
			}
			conn, err := net.DialTimeout("tcp", address, timeout)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
}

type sent struct {
	resp *fasthttp.Response
	err  error
}

// send sends a request and returns an answer with status 2xx, whose body the
// caller closes. The request ends with ctx; limit applies if ctx has no
// deadline.
func (h *HTTP) send(ctx context.Context, method, target string, body []byte, limit time.Duration) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, drverdict.Wrap(drverdict.NotRun, endReason(ctx), err, "call the engine")
	}
	if end, ok := ctx.Deadline(); ok {
		limit = end.Sub(h.config.Clock.Now())
	}
	if limit <= 0 {
		return nil, drverdict.New(drverdict.NotRun, drverdict.Deadline, "deadline passed before the call")
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + h.config.Address + target)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	req.SetTimeout(limit)
	done := make(chan sent, 1)
	// Do does not end with a context. The goroutine owns the request until
	// Do returns, at the latest when the limit has passed.
	go func() {
		resp := &fasthttp.Response{}
		err := h.client.Do(req, resp)
		done <- sent{resp, err}
	}()
	select {
	case s := <-done:
		if s.err != nil {
			return nil, sendError(ctx, s.err)
		}
		return s.resp, h.check(ctx, s.resp)
	case <-ctx.Done():
		go func() { closeBody((<-done).resp) }()
		return nil, drverdict.Wrap(drverdict.MayHaveRun, endReason(ctx), ctx.Err(), "call the engine")
	}
}

// check returns the error of an answer, whose body it then closes.
func (h *HTTP) check(ctx context.Context, resp *fasthttp.Response) error {
	status := resp.StatusCode()
	if status/100 == 2 {
		return nil
	}
	defer closeBody(resp)
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

// sendError gives the verdict of a failed request. Only a request without a
// connection certainly did not run.
func sendError(ctx context.Context, err error) error {
	if _, ok := errors.AsType[*dialError](err); ok || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return drverdict.Wrap(drverdict.NotRun, drverdict.Unavailable, err, "connect to the engine")
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return drverdict.Wrap(drverdict.MayHaveRun, drverdict.Deadline, err, "call the engine")
	}
	return brokenError(ctx, err)
}

// brokenError is the error of a connection that broke after the request.
func brokenError(ctx context.Context, err error) error {
	r := drverdict.BackendFailed
	if ctx.Err() != nil {
		r = endReason(ctx)
	} else if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
		r = drverdict.Deadline
	}
	return drverdict.Wrap(drverdict.MayHaveRun, r, err, "read from the engine")
}

// endReason tells a passed deadline from a caller that went away.
func endReason(ctx context.Context) drverdict.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return drverdict.Deadline
	}
	return drverdict.CallerGone
}

func closeBody(resp *fasthttp.Response) { closeStream(resp.BodyStream()) }

// closeStream closes a body, also while another goroutine reads it. fasthttp's
// body streams have CloseWithError instead of Close.
func closeStream(body io.Reader) {
	if c, ok := body.(interface{ CloseWithError(error) error }); ok {
		_ = c.CloseWithError(nil)
	}
}
