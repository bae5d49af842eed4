package drlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drverdict"
)

// HTTP is the platform's log reached over HTTP.
type HTTP struct {
	config HTTPConfig
	client *fasthttp.HostClient
}

var _ Log = (*HTTP)(nil)

// dialError marks a request that failed before a connection existed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NewHTTP returns a client of the log at c.Address. It connects on demand.
func NewHTTP(c HTTPConfig) *HTTP {
	c = c.withDefaults()
	return &HTTP{config: c, client: &fasthttp.HostClient{
		Addr:                     c.Address,
		MaxConns:                 c.MaxConns,
		MaxIdleConnDuration:      idleConn,
		MaxResponseBodySize:      maxPage,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
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
	}}
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Append implements Appender.
func (h *HTTP) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	resp, err := h.send(ctx, fasthttp.MethodPost, path(stream), data, defaultCallTimeout)
	if err != nil {
		return 0, err
	}
	if err := check(resp); err != nil {
		return 0, err
	}
	var out struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil || out.Offset == 0 {
		return 0, drverdict.New(drverdict.MayHaveRun, drverdict.LogUnavailable, "append: malformed answer")
	}
	return out.Offset, nil
}

// Read implements Reader.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	target := fmt.Sprintf("%s?from=%d&max=%d&wait=%s", path(stream), from, limit, wait)
	resp, err := h.send(ctx, fasthttp.MethodGet, target, nil, defaultCallTimeout+wait)
	if err != nil {
		return Page{}, err
	}
	gone := resp.StatusCode() == fasthttp.StatusGone
	if err := check(resp); err != nil && !gone {
		return Page{}, err
	}
	var p Page
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		return Page{}, drverdict.Wrap(drverdict.MayHaveRun, drverdict.LogUnavailable, err, "read: malformed answer")
	}
	if gone {
		return Page{}, &GapError{Stream: stream, From: from, First: p.First, Next: p.Next}
	}
	return p, nil
}

func path(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// check gives the verdict of an answer. The protocol's refusals, with a status
// of 4xx or 503, are made before an append takes effect.
func check(resp *fasthttp.Response) error {
	status := resp.StatusCode()
	switch {
	case status/100 == 2:
		return nil
	case status == fasthttp.StatusRequestTimeout:
	case status/100 == 4, status == fasthttp.StatusServiceUnavailable:
		return drverdict.New(drverdict.NotRun, drverdict.LogUnavailable, "log answered %d", status).WithRetryAfter(appendRetry)
	}
	return drverdict.New(drverdict.MayHaveRun, drverdict.LogUnavailable, "log answered %d", status)
}

type sent struct {
	resp *fasthttp.Response
	err  error
}

func (h *HTTP) send(ctx context.Context, method, target string, body []byte, limit time.Duration) (*fasthttp.Response, error) {
	if end, ok := ctx.Deadline(); ok {
		limit = end.Sub(h.config.Clock.Now())
	}
	if ctx.Err() != nil || limit <= 0 {
		return nil, drverdict.New(drverdict.NotRun, drverdict.Deadline, "deadline passed before the call of the log")
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + h.config.Address + target)
	req.SetBodyRaw(body)
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
		return s.resp, sendError(s.err)
	case <-ctx.Done():
		return nil, drverdict.Wrap(drverdict.MayHaveRun, drverdict.Deadline, context.Cause(ctx), "call the log")
	}
}

func sendError(err error) error {
	v := drverdict.MayHaveRun
	if _, ok := errors.AsType[*dialError](err); ok || errors.Is(err, fasthttp.ErrNoFreeConns) {
		v = drverdict.NotRun
	}
	return drverdict.Wrap(v, drverdict.LogUnavailable, err, "call the log")
}
