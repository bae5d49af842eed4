package drrouter

import (
	"bufio"
	"context"
	"errors"
	"io"
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
	// maxInterim bounds the informational (1xx) responses before the final one.
	maxInterim = 16
	// chunkedLength is fasthttp's content length of a body in chunks.
	chunkedLength = -1
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

// readFinalHeader reads the header of the final response.
func readFinalHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	for range maxInterim + 1 {
		if err := drhttp.ReadHeader(header, reader); err != nil {
			return err
		}
		switch code := header.StatusCode(); {
		case code >= fasthttp.StatusOK:
			return nil
		case code == fasthttp.StatusSwitchingProtocols:
			return errors.New("backend server switched protocols")
		}
	}
	return errors.New("backend server sent too many interim responses")
}

// readBody reads the body that follows a response's header, and its trailer.
func readBody(res *fasthttp.Response, reader *bufio.Reader) error {
	if code := res.StatusCode(); code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return nil
	}
	if err := res.ReadBody(reader, maxResponseBytes); err != nil {
		return err
	}
	if res.Header.ContentLength() != chunkedLength {
		return nil
	}
	err := res.Header.ReadTrailer(reader)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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
	if err := readFinalHeader(&res.Header, rd); err != nil {
		return Answer{}, err
	}
	if call.Method != fasthttp.MethodHead {
		if err := readBody(res, rd); err != nil {
			return Answer{}, err
		}
	}
	a := Answer{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}
	for k, v := range res.Header.All() {
		a.Header = append(a.Header, Field{string(k), string(v)})
	}
	return a, nil
}
