package drlog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// HTTP is the platform's log reached over HTTP.
type HTTP struct {
	client *drhttp.Client
}

var _ Log = (*HTTP)(nil)

// NewHTTP returns a client of the log at c.Address. It connects on demand.
func NewHTTP(c HTTPConfig) *HTTP {
	c = c.withDefaults()
	return &HTTP{client: drhttp.New(drhttp.Config{
		Address: c.Address, Clock: c.Clock, MaxConns: c.MaxConns, DialTimeout: c.DialTimeout, MaxBody: maxPage,
	})}
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.Close() }

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
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "append: malformed answer")
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
		return Page{}, drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, err, "read: malformed answer")
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
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "log answered %d", status).WithRetryAfter(appendRetry)
	}
	return drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "log answered %d", status)
}

func (h *HTTP) send(ctx context.Context, method, target string, body []byte, limit time.Duration) (*fasthttp.Response, error) {
	resp, err := h.client.Do(ctx, drhttp.Call{Method: method, Target: target, Body: body, Limit: limit})
	if err != nil && drerror.ReasonOf(err) == drerror.Unavailable {
		err = drerror.Wrap(drerror.Of(err), drerror.LogUnavailable, err, "log")
	}
	return resp, err
}
