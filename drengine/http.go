package drengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// HTTP is an Engine that sends its calls over HTTP. It is safe for concurrent use.
type HTTP struct {
	config HTTPConfig
	client *drhttp.Client
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns a client of the engine at c.Address. It connects with the first
// call.
func NewHTTP(c HTTPConfig) *HTTP {
	c = c.withDefaults()
	return &HTTP{config: c, client: drhttp.New(drhttp.Config{
		Address: c.Address, Clock: c.Clock, MaxConns: c.MaxConns, DialTimeout: c.DialTimeout, SingleUse: true, Stream: true,
	})}
}

// Close closes the idle connections. Calls and streams in progress go on.
func (h *HTTP) Close() { h.client.Close() }

// State implements Engine.
func (h *HTTP) State(ctx context.Context, fencingToken, afterVersion uint64, wait time.Duration) (State, error) {
	query := url.Values{}
	if fencingToken > 0 {
		query.Set("fence", strconv.FormatUint(fencingToken, 10))
	}
	if afterVersion > 0 {
		query.Set("after", strconv.FormatUint(afterVersion, 10))
		query.Set("wait", wait.String())
	}
	var s State
	err := h.call(ctx, fasthttp.MethodGet, "/v1/state?"+query.Encode(), nil, wait, &s)
	return s, err
}

// Order implements Engine.
func (h *HTTP) Order(ctx context.Context, order Order) error {
	return h.call(ctx, fasthttp.MethodPost, "/v1/orders", order, 0, nil)
}

// Generate implements Engine. If the engine already has a generation with this id,
// the error is drerror.Conflict with the verdict MayHaveRun, because that generation
// may be an earlier attempt of the same call.
func (h *HTTP) Generate(ctx context.Context, generation Generation) (TokenStream, error) {
	stream, err := h.openStream(ctx, fasthttp.MethodPost, "/v1/generate", generation, len(generation.Prefix))
	if err != nil && drerror.ReasonOf(err) == drerror.Conflict {
		return nil, drerror.Wrap(drerror.MayHaveRun, drerror.Conflict, err, "the engine already has a generation with this id")
	}
	return stream, err
}

// Resume implements Engine. If the engine does not know the generation, the error is
// drerror.Unavailable with the verdict NotRun. That verdict is about the Resume call:
// the generation itself may have run.
func (h *HTTP) Resume(ctx context.Context, id string, fromIndex int) (TokenStream, error) {
	target := fmt.Sprintf("/v1/generations/%s?from=%d", url.PathEscape(id), fromIndex)
	stream, err := h.openStream(ctx, fasthttp.MethodGet, target, nil, fromIndex)
	if err != nil && drerror.ReasonOf(err) == drerror.UnknownModel {
		return nil, drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "resume")
	}
	return stream, err
}

// Cancel implements Engine. It returns no error for a generation that does not exist.
func (h *HTTP) Cancel(ctx context.Context, id string) error {
	err := h.call(ctx, fasthttp.MethodDelete, "/v1/generations/"+url.PathEscape(id), nil, 0, nil)
	if err != nil && drerror.ReasonOf(err) == drerror.UnknownModel {
		return nil
	}
	return err
}

// CacheEvents implements Engine.
func (h *HTTP) CacheEvents(ctx context.Context, afterSeq uint64, wait time.Duration) ([]CacheEvent, error) {
	var page struct {
		Events []CacheEvent `json:"events"`
	}
	target := fmt.Sprintf("/v1/cache-events?after=%d&wait=%s", afterSeq, wait)
	err := h.call(ctx, fasthttp.MethodGet, target, nil, wait, &page)
	return page.Events, err
}

// call sends a request and decodes the response into result, unless that is nil. It
// takes at most wait longer than defaultCallTimeout if ctx has no deadline.
func (h *HTTP) call(ctx context.Context, method, target string, request any, wait time.Duration, result any) error {
	body, err := encodeJSON(request)
	if err != nil {
		return err
	}
	resp, err := h.send(ctx, method, target, body, defaultCallTimeout+wait)
	if err != nil {
		return err
	}
	defer drhttp.CloseBody(resp)
	responseBody, err := readBody(ctx, resp)
	if err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(responseBody, result); err != nil {
		return drerror.Wrap(drerror.MayHaveRun, drerror.BackendFailed, err, "decode the engine's response")
	}
	return nil
}

// openStream sends a request and returns the tokens of the response, of which the
// first must have index fromIndex.
func (h *HTTP) openStream(ctx context.Context, method, target string, request any, fromIndex int) (TokenStream, error) {
	body, err := encodeJSON(request)
	if err != nil {
		return nil, err
	}
	resp, err := h.send(ctx, method, target, body, defaultStreamTimeout)
	if err != nil {
		return nil, err
	}
	return newHTTPStream(ctx, resp.BodyStream(), h.config.MaxLine, fromIndex), nil
}

// encodeJSON returns no body for a nil request.
func encodeJSON(request any) ([]byte, error) {
	if request == nil {
		return nil, nil
	}
	body, err := json.Marshal(request)
	return body, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "encode the request to the engine")
}

// readBody reads a body that is not a token stream. It ends with ctx.
func readBody(ctx context.Context, resp *fasthttp.Response) ([]byte, error) {
	body := resp.BodyStream()
	if body == nil {
		return resp.Body(), nil
	}
	stop := context.AfterFunc(ctx, func() { drhttp.CloseStream(body) })
	defer stop()
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err == nil && len(data) > maxBodyBytes {
		err = fmt.Errorf("engine response exceeds %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, readError(ctx, err)
	}
	return data, nil
}
