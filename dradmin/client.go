package dradmin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Client calls the admin server of one entry VM.
type Client struct {
	base  string
	token string
	http  fasthttp.Client
}

// NewClient returns a client for the admin server at base, such as
// "http://127.0.0.1:9090".
func NewClient(base, token string) *Client {
	return NewTLSClient(base, token, nil)
}

// NewTLSClient is NewClient for a base that starts with "https://"; c holds
// the authorities of the server and the operator's certificate.
func NewTLSClient(base, token string, c *tls.Config) *Client {
	return &Client{base: base, token: token, http: fasthttp.Client{NoDefaultUserAgentHeader: true, TLSConfig: c}}
}

// Submit sends a change. The result is valid also when the change was
// rejected; an error means that it is unknown.
func (c *Client) Submit(ctx context.Context, change Change) (ChangeResult, error) {
	var res ChangeResult
	body, err := json.Marshal(change)
	if err != nil {
		return res, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "encode change")
	}
	return res, c.do(ctx, fasthttp.MethodPost, "/v1/changes", body, &res)
}

// Objects returns the configuration in force on the VM.
func (c *Client) Objects(ctx context.Context) (Objects, error) {
	var o Objects
	return o, c.do(ctx, fasthttp.MethodGet, "/v1/objects", nil, &o)
}

// InForce returns the configuration offset of each live VM.
func (c *Client) InForce(ctx context.Context) (InForce, error) {
	var f InForce
	return f, c.do(ctx, fasthttp.MethodGet, "/v1/in-force", nil, &f)
}

// Status returns the status of the VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, fasthttp.MethodGet, "/v1/status", nil, &s)
}

// Timeline returns the selected events of all live VMs.
func (c *Client) Timeline(ctx context.Context, f drtimeline.Filter) (TimelineDocument, error) {
	q := url.Values{}
	for name, v := range map[string]string{"request-id": f.RequestID, "account": f.Account, "model": f.Model} {
		if v != "" {
			q.Set(name, v)
		}
	}
	for name, t := range map[string]time.Time{"from": f.From, "to": f.To} {
		if !t.IsZero() {
			q.Set(name, t.Format(time.RFC3339Nano))
		}
	}
	var d TimelineDocument
	return d, c.do(ctx, fasthttp.MethodGet, "/v1/timeline?"+q.Encode(), nil, &d)
}

// do sends a request and decodes the answer. A rejected change (409) is
// decoded like a success.
func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBody(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return drerror.Wrap(drerror.MayHaveRun, drerror.Unavailable, err, "admin server "+c.base)
	}
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		var p Problem
		if err := json.Unmarshal(resp.Body(), &p); err != nil {
			p.Detail = string(bytes.TrimSpace(resp.Body()))
		}
		return drerror.New(drerror.ParseVerdict(p.Run), drerror.Unavailable, "%s %s: status %d: %s", method, path, status, p.Detail)
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return drerror.Wrap(drerror.MayHaveRun, drerror.Internal, err, "decode answer of "+path)
	}
	return nil
}
