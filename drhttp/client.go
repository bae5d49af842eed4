// Package drhttp reads the heads and bodies of HTTP/1.1 messages by the grammar of RFC 9110 and
// RFC 9112, and is an HTTP client for services of the platform. The client's errors tell whether
// the service may have received the request.
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

// maxIdleConnTime is how long an unused connection stays open. It is short, so that a
// request is less likely to be sent on a connection that has broken meanwhile.
const maxIdleConnTime = 5 * time.Second

// Config configures a Client. All fields but MaxBody, SingleUse and Stream are required.
type Config struct {
	Address string // host:port
	Clock   drclock.Clock
	// MaxConns bounds the connections to the service. A call beyond it fails at
	// once.
	MaxConns    int
	DialTimeout time.Duration
	// MaxBody bounds the response bodies in bytes, unless Stream is set.
	MaxBody int
	// SingleUse opens a connection for each call. A server may send a second copy
	// of a response late; where responses do not name their request, the next
	// call on that connection would take it for its own.
	SingleUse bool
	// Stream makes Do return before the body is read. The caller reads it from
	// BodyStream and must close it with CloseBody.
	Stream bool
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	clock     drclock.Clock
	address   string
	singleUse bool
	http      *fasthttp.HostClient
}

// dialError is the error of a connection that could not be opened, so that no request
// was sent on it.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// New returns a client of the service at config.Address. It connects with the first
// call.
func New(config Config) *Client {
	return &Client{clock: config.Clock, address: config.Address, singleUse: config.SingleUse, http: &fasthttp.HostClient{
		Addr:                     config.Address,
		MaxConns:                 config.MaxConns,
		MaxIdleConnDuration:      maxIdleConnTime,
		MaxResponseBodySize:      config.MaxBody,
		StreamResponseBody:       config.Stream,
		NoDefaultUserAgentHeader: true,
		Transport:                Transport{},
		// By default fasthttp repeats failed GET and DELETE requests. Here the
		// caller decides whether to repeat a request.
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

// Close closes the idle connections. Calls in progress go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call is a request to the service of a Client.
type Call struct {
	Method string
	// Target is the path and the query.
	Target      string
	ContentType string
	Headers     map[string]string // besides Content-Type
	Body        []byte
	// Limit is the timeout of the call if its context has no deadline. It is then
	// required.
	Limit time.Duration
}

// callResult is the result of a request that a goroutine sent.
type callResult struct {
	resp *fasthttp.Response
	err  error
}

// Do sends a request and returns the response, whatever its status. It may be called
// concurrently. All errors are *drerror.Error. The verdict is NotRun if the request was
// certainly not sent, else MayHaveRun. The reason is Deadline or CallerGone if ctx or
// the timeout ended the call, else Unavailable.
func (c *Client) Do(ctx context.Context, call Call) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, EndReason(ctx), err, "call "+c.address)
	}
	timeout := call.Limit
	if deadline, ok := ctx.Deadline(); ok {
		timeout = deadline.Sub(c.clock.Now())
	}
	if timeout <= 0 {
		return nil, drerror.New(drerror.NotRun, drerror.Deadline, "deadline passed before the request to %s was sent", c.address)
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
	if c.singleUse {
		req.SetConnectionClose()
	}
	req.SetBodyRaw(call.Body)
	req.SetTimeout(timeout)
	done := make(chan callResult, 1)
	// fasthttp's Do does not end with a context. If ctx ends first, this goroutine
	// goes on with the request until Do returns, at the latest after the timeout.
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

// callError returns the error of a request that fasthttp reported as failed, or nil if
// err is nil. Only if there was no connection is it certain that the service did not
// receive the request.
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

// IsTimeout reports whether err is a timeout of fasthttp or of the network.
func IsTimeout(err error) bool {
	netErr, ok := errors.AsType[net.Error](err)
	return errors.Is(err, fasthttp.ErrTimeout) || ok && netErr.Timeout()
}

// EndReason returns the reason why ctx ended: drerror.Deadline if its deadline passed,
// else drerror.CallerGone.
func EndReason(ctx context.Context) drerror.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return drerror.Deadline
	}
	return drerror.CallerGone
}
