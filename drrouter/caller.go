package drrouter

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

const (
	// maxResponseBytes bounds the body of a response. The body is held in
	// memory as a whole.
	maxResponseBytes = 8 << 20
	// dialTimeout bounds the TCP connect to a backend server.
	dialTimeout = 2 * time.Second
	// callBufferSize is the size of the read and of the write buffer of a
	// connection in bytes.
	callBufferSize = 8 << 10
)

// Caller sends a call to the plain service at address. Errors are
// *drerror.Error; their verdict is NotRun only if no byte was sent.
type Caller interface {
	Call(ctx context.Context, address string, call Call) (Answer, error)
}

// HTTPCaller is a Caller over HTTP/1.1. It opens a new connection for each
// call. If a server closed a kept-alive connection at the moment of a call, it
// would be unknown whether the call has run.
type HTTPCaller struct{}

// Call implements Caller. When ctx ends, the deadline of the connection is set
// to the past, so that reads and writes fail at once.
func (HTTPCaller) Call(ctx context.Context, address string, call Call) (Answer, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return Answer{}, drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "connect to backend server")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	a, err := exchange(conn, address, call)
	if err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return Answer{}, drerror.Wrap(drerror.Ran, drerror.BackendFailed, err, "response body of the backend server is too large")
		}
		reason := drerror.BackendFailed
		if ctx.Err() != nil {
			reason = drerror.ReasonOf(context.Cause(ctx))
		}
		return Answer{}, drerror.Wrap(drerror.MayHaveRun, reason, err, "call backend server")
	}
	return a, nil
}

// exchange writes the call to conn and reads the final response, skipping
// informational (1xx) responses.
func exchange(conn net.Conn, address string, call Call) (Answer, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Target)
	req.SetHost(address)
	for _, f := range call.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.SetBodyRaw(call.Body)
	req.SetConnectionClose()
	w := bufio.NewWriterSize(conn, callBufferSize)
	if err := req.Write(w); err != nil {
		return Answer{}, err
	}
	if err := w.Flush(); err != nil {
		return Answer{}, err
	}
	rd := bufio.NewReaderSize(conn, callBufferSize)
	if err := drhttp.ReadFinalHeader(&res.Header, rd); err != nil {
		return Answer{}, err
	}
	a := Answer{Status: res.StatusCode()}
	if call.Method != fasthttp.MethodHead {
		var err error
		if a.Body, err = drhttp.ReadBody(drhttp.Body(&res.Header, rd), maxResponseBytes); err != nil {
			return Answer{}, err
		}
	}
	for k, v := range res.Header.All() {
		a.Header = append(a.Header, Field{string(k), string(v)})
	}
	return a, nil
}
