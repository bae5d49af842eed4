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

// HTTP is an Engine reached over HTTP.
type HTTP struct {
	config HTTPConfig
	client *drhttp.Client
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns a client of the engine at c.Address. It connects on demand.
func NewHTTP(c HTTPConfig) *HTTP {
	c = c.withDefaults()
	return &HTTP{config: c, client: drhttp.New(drhttp.Config{
		Address: c.Address, Clock: c.Clock, MaxConns: c.MaxConns, DialTimeout: c.DialTimeout, Stream: true,
	})}
}

// Close closes the idle connections.
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

// Generate implements Engine. An engine that already knows the id of g answers
// drerror.Conflict with MayHaveRun.
func (h *HTTP) Generate(ctx context.Context, generation Generation) (TokenStream, error) {
	stream, err := h.openStream(ctx, fasthttp.MethodPost, "/v1/generate", generation, len(generation.Prefix))
	if err != nil && drerror.ReasonOf(err) == drerror.Conflict {
		return nil, drerror.Wrap(drerror.MayHaveRun, drerror.Conflict, err, "generation id is in use")
	}
	return stream, err
}

// Resume implements Engine. A generation that the engine does not know gives
// drerror.Unavailable with NotRun, where the verdict is about the resumption.
func (h *HTTP) Resume(ctx context.Context, id string, fromIndex int) (TokenStream, error) {
	target := fmt.Sprintf("/v1/generations/%s?from=%d", url.PathEscape(id), fromIndex)
	stream, err := h.openStream(ctx, fasthttp.MethodGet, target, nil, fromIndex)
	if err != nil && drerror.ReasonOf(err) == drerror.UnknownModel {
		return nil, drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "resume")
	}
	return stream, err
}

// Cancel implements Engine. A generation that no longer exists is no error.
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

// call sends a request and decodes the answer into out, unless that is nil.
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
		return drerror.Wrap(drerror.MayHaveRun, drerror.BackendFailed, err, "decode the engine's answer")
	}
	return nil
}

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

func encodeJSON(request any) ([]byte, error) {
	if request == nil {
		return nil, nil
	}
	body, err := json.Marshal(request)
	return body, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "encode the request")
}

func readBody(ctx context.Context, resp *fasthttp.Response) ([]byte, error) {
	body := resp.BodyStream()
	if body == nil {
		return resp.Body(), nil
	}
	stop := context.AfterFunc(ctx, func() { drhttp.CloseStream(body) })
	defer stop()
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err == nil && len(data) > maxBodyBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, readError(ctx, err)
	}
	return data, nil
}
