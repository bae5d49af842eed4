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
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Client calls the admin server of one entry VM. It is safe for concurrent use. A call
// whose context has no deadline ends after requestTimeout.
type Client struct {
	baseURL string
	token   string
	http    fasthttp.Client
}

// NewClient returns a client for the admin server at baseURL, such as
// "http://127.0.0.1:9090". The token is that of the operator.
func NewClient(baseURL, token string) *Client {
	return NewTLSClient(baseURL, token, nil)
}

// NewTLSClient returns a client for the admin server at a baseURL that starts with
// "https://". The config holds the certificate authorities that may sign the server's
// certificate, and the operator's own certificate.
func NewTLSClient(baseURL, token string, config *tls.Config) *Client {
	return &Client{baseURL: baseURL, token: token, http: fasthttp.Client{
		NoDefaultUserAgentHeader: true, TLSConfig: config, Transport: drhttp.Transport{},
	}}
}

// Submit sends a configuration change and waits until it is accepted or rejected; a
// rejection is a result, not an error. After an error, the change may have been
// accepted unless the verdict of the error is drerror.NotRun. Resending the change
// with the same ID is safe.
func (c *Client) Submit(ctx context.Context, change Change) (ChangeResult, error) {
	var result ChangeResult
	body, err := json.Marshal(change)
	if err != nil {
		return result, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "encode the configuration change as JSON")
	}
	return result, c.do(ctx, fasthttp.MethodPost, "/v1/changes", body, &result)
}

// Objects returns the configuration that the VM uses.
func (c *Client) Objects(ctx context.Context) (Objects, error) {
	var objects Objects
	return objects, c.do(ctx, fasthttp.MethodGet, "/v1/objects", nil, &objects)
}

// InForce returns the offset of the configuration that each live VM uses.
func (c *Client) InForce(ctx context.Context) (InForce, error) {
	var inForce InForce
	return inForce, c.do(ctx, fasthttp.MethodGet, "/v1/in-force", nil, &inForce)
}

// Status returns the status of the VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.do(ctx, fasthttp.MethodGet, "/v1/status", nil, &status)
}

// Timeline returns the events of all live VMs that the filter selects.
func (c *Client) Timeline(ctx context.Context, filter drtimeline.Filter) (TimelineDocument, error) {
	query := url.Values{}
	for name, v := range map[string]string{"request-id": filter.RequestID, "account": filter.Account, "model": filter.Model} {
		if v != "" {
			query.Set(name, v)
		}
	}
	for name, t := range map[string]time.Time{"from": filter.From, "to": filter.To} {
		if !t.IsZero() {
			query.Set(name, t.Format(time.RFC3339Nano))
		}
	}
	var document TimelineDocument
	return document, c.do(ctx, fasthttp.MethodGet, "/v1/timeline?"+query.Encode(), nil, &document)
}

// do sends a request and decodes the JSON body of the response into result. Status 409
// means that a change was rejected; its body is decoded like that of status 200.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBody(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return drerror.Wrap(drerror.MayHaveRun, drerror.Unavailable, err, "admin server "+c.baseURL)
	}
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		var problem Problem
		if err := json.Unmarshal(resp.Body(), &problem); err != nil {
			problem.Detail = string(bytes.TrimSpace(resp.Body()))
		}
		return drerror.New(drerror.ParseVerdict(problem.Run), drerror.Unavailable, "%s %s: status %d: %s", method, path, status, problem.Detail)
	}
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return drerror.Wrap(drerror.MayHaveRun, drerror.Internal, err, "decode the admin server's response to "+path)
	}
	return nil
}
