// Package drhttp calls services of the platform over HTTP. Its errors say
// whether the service may have received the request.
package drhttp

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// maxIdleConnTime is how long an unused connection is kept. A short time makes it
// less likely that a request goes out on a connection that has died.
const maxIdleConnTime = 5 * time.Second

// Config configures a Client. All fields but MaxBody and Stream are required.
type Config struct {
	Address string // host:port
	Clock   drclock.Clock
	// MaxConns bounds the connections to the service.
	MaxConns    int
	DialTimeout time.Duration
	// MaxBody bounds responses in bytes; it does not apply to streams.
	MaxBody int
	// Stream leaves the bodies of responses unread; see CloseBody.
	Stream bool
}

// Client calls one service.
type Client struct {
	clock   drclock.Clock
	address string
	http    *fasthttp.HostClient
}

// dialError marks a request that failed before a connection existed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// New returns a client. It connects on demand.
func New(config Config) *Client {
	return &Client{clock: config.Clock, address: config.Address, http: &fasthttp.HostClient{
		Addr:                     config.Address,
		MaxConns:                 config.MaxConns,
		MaxIdleConnDuration:      maxIdleConnTime,
		MaxResponseBodySize:      config.MaxBody,
		StreamResponseBody:       config.Stream,
		NoDefaultUserAgentHeader: true,
		// fasthttp would repeat GET and DELETE by itself; callers decide about
		// retries.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > config.DialTimeout {
				timeout = config.DialTimeout
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
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call is a request.
type Call struct {
	Method string
	// Target is the path and query.
	Target      string
	ContentType string
	Headers     map[string]string // besides Content-Type
	Body        []byte
	// Limit bounds the call if the context has no deadline.
	Limit time.Duration
}

type callResult struct {
	resp *fasthttp.Response
	err  error
}

// Do sends a call and returns the response, whatever its status. Errors are
// *drerror.Error: NotRun if the request certainly was not sent; the reason is
// Deadline or CallerGone if ctx or the limit ended the call, else Unavailable.
func (c *Client) Do(ctx context.Context, call Call) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, EndReason(ctx), err, "call "+c.address)
	}
	timeout := call.Limit
	if deadline, ok := ctx.Deadline(); ok {
		timeout = deadline.Sub(c.clock.Now())
	}
	if timeout <= 0 {
		return nil, drerror.New(drerror.NotRun, drerror.Deadline, "deadline passed before the call of %s", c.address)
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + c.address + call.Target)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(call.Body)
	req.SetTimeout(timeout)
	done := make(chan callResult, 1)
	// Do of fasthttp does not end with a context. The goroutine owns the
	// request until Do returns, at the latest when the limit has passed.
	go func() {
		resp := &fasthttp.Response{}
		err := c.http.Do(req, resp)
		done <- callResult{resp, err}
	}()
	select {
	case result := <-done:
		return result.resp, c.callError(ctx, result.err)
	case <-ctx.Done():
		go func() { CloseBody((<-done).resp) }()
		return nil, drerror.Wrap(drerror.MayHaveRun, EndReason(ctx), context.Cause(ctx), "call "+c.address)
	}
}

// callError gives the verdict of a failed request. Only a request without a
// connection certainly was not received.
func (c *Client) callError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if _, ok := errors.AsType[*dialError](err); ok || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "connect to "+c.address)
	}
	reason := drerror.Unavailable
	if ctx.Err() != nil {
		reason = EndReason(ctx)
	} else if IsTimeout(err) {
		reason = drerror.Deadline
	}
	return drerror.Wrap(drerror.MayHaveRun, reason, err, "call "+c.address)
}

// IsTimeout reports whether err says that a time limit passed.
func IsTimeout(err error) bool {
	netErr, ok := errors.AsType[net.Error](err)
	return errors.Is(err, fasthttp.ErrTimeout) || ok && netErr.Timeout()
}

// EndReason tells a passed deadline from a caller that went away.
func EndReason(ctx context.Context) drerror.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return drerror.Deadline
	}
	return drerror.CallerGone
}
