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

// HTTP is a client of the platform's log over HTTP. It is safe for concurrent use.
type HTTP struct {
	client *drhttp.Client
}

var _ Log = (*HTTP)(nil)

// NewHTTP returns a client of the log at config.Address. Each call opens a
// connection.
func NewHTTP(config HTTPConfig) *HTTP {
	config = config.withDefaults()
	return &HTTP{client: drhttp.New(drhttp.Config{
		Address: config.Address, Clock: config.Clock, MaxConns: config.MaxConns, DialTimeout: config.DialTimeout, MaxBody: maxPageBytes,
		SingleUse: true, // responses do not name their request
	})}
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.Close() }

// Append implements Appender. Without a deadline in ctx it takes at most
// defaultCallTimeout.
func (h *HTTP) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	resp, err := h.send(ctx, fasthttp.MethodPost, recordsPath(stream), data, defaultCallTimeout)
	if err != nil {
		return 0, err
	}
	if err := checkStatus(resp); err != nil {
		return 0, err
	}
	var out struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil || out.Offset == 0 {
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "append to the log: malformed response")
	}
	return out.Offset, nil
}

// Read implements Reader. Without a deadline in ctx it takes at most
// defaultCallTimeout plus wait.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	target := fmt.Sprintf("%s?from=%d&max=%d&wait=%s", recordsPath(stream), from, limit, wait)
	resp, err := h.send(ctx, fasthttp.MethodGet, target, nil, defaultCallTimeout+wait)
	if err != nil {
		return Page{}, err
	}
	belowRetained := resp.StatusCode() == fasthttp.StatusGone
	if err := checkStatus(resp); err != nil && !belowRetained {
		return Page{}, err
	}
	var page Page
	if err := json.Unmarshal(resp.Body(), &page); err != nil {
		return Page{}, drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, err, "read the log: malformed response")
	}
	if belowRetained {
		return Page{}, &GapError{Stream: stream, From: from, First: page.First, Next: page.Next}
	}
	return page, nil
}

// recordsPath returns the URL path of a stream's records.
func recordsPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// checkStatus returns an error unless the status is 2xx. The log sends its
// refusals, with status 4xx except 408 or with 503, before an append takes effect, so
// their verdict is drerror.NotRun; all others get drerror.MayHaveRun.
func checkStatus(resp *fasthttp.Response) error {
	status := resp.StatusCode()
	switch {
	case status/100 == 2:
		return nil
	case status == fasthttp.StatusRequestTimeout:
	case status/100 == 4, status == fasthttp.StatusServiceUnavailable:
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "log answered %d", status).WithRetryAfter(appendRetryDelay)
	}
	return drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "log answered %d", status)
}

// send makes one call. timeout applies if ctx has no deadline. If the server cannot
// be reached, the error has reason drerror.LogUnavailable.
func (h *HTTP) send(ctx context.Context, method, target string, body []byte, timeout time.Duration) (*fasthttp.Response, error) {
	resp, err := h.client.Do(ctx, drhttp.Call{Method: method, Target: target, Body: body, Limit: timeout})
	if err != nil && drerror.ReasonOf(err) == drerror.Unavailable {
		err = drerror.Wrap(drerror.VerdictOf(err), drerror.LogUnavailable, err, "log")
	}
	return resp, err
}
