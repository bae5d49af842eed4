// Package drgateway serves the HTTP API for callers. It authenticates requests,
// admits them through the limiter and the queue, streams completions, forwards
// calls to plain services, and reports errors as RFC 9457 problems.
package drgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	Config
	http     *fasthttp.Server
	draining atomic.Bool
	// drainEnd is when Drain stops waiting for requests, nil if that is not known.
	drainEnd atomic.Pointer[time.Time]

	mu     sync.Mutex
	closed bool
	// drained is set once Drain has found no request running. Further ones are refused.
	drained bool
	// conns holds the open connections. The value is true while a request is
	// read, served or answered on the connection; busyConns counts those.
	conns           map[net.Conn]bool
	busyConns       int
	runningRequests int           // a stream counts until its last byte is written
	idle            chan struct{} // closed and replaced when busyConns and runningRequests become zero
}

// New returns a Server that serves no connection until ServeConn is called.
func New(config Config) *Server {
	s := &Server{Config: config.withDefaults(), conns: make(map[net.Conn]bool), idle: make(chan struct{})}
	s.http = &fasthttp.Server{
		Name:                  "dotterelridge",
		Handler:               s.handle,
		ErrorHandler:          s.refuseUnparsed,
		ReadBufferSize:        s.MaxHeader,
		MaxRequestBodySize:    s.MaxBody,
		ReadTimeout:           s.ReadTimeout,
		IdleTimeout:           s.IdleTimeout,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
		ConnState:             s.connState,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops the log of the HTTP library, because it quotes what callers
// send.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// ServeConn serves the requests of one connection until the connection is closed. If
// conn has a method Done() <-chan struct{}, running requests are canceled when that
// channel is closed.
func (s *Server) ServeConn(conn net.Conn) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errors.Join(net.ErrClosed, conn.Close())
	}
	s.conns[conn] = false
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setBusy(conn, false)
		delete(s.conns, conn)
	}()
	return s.http.ServeConn(conn)
}

func (s *Server) connState(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setBusy(conn, state == fasthttp.StateActive)
}

// setBusy notes whether conn carries a request. The caller holds s.mu.
func (s *Server) setBusy(conn net.Conn, busy bool) {
	was, ok := s.conns[conn]
	if !ok || was == busy {
		return
	}
	s.conns[conn] = busy
	if busy {
		s.busyConns++
		return
	}
	s.busyConns--
	s.notifyIfIdle()
}

// notifyIfIdle wakes Drain if no connection is busy and no request is running. The
// caller holds s.mu.
func (s *Server) notifyIfIdle() {
	if s.busyConns == 0 && s.runningRequests == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// startRequest counts a request as running. It returns false, without counting,
// after a successful Drain and after Close.
func (s *Server) startRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.drained {
		return false
	}
	s.runningRequests++
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningRequests--
	s.notifyIfIdle()
}

// StartDrain makes each further response close its connection, so that callers
// reconnect to another VM. Requests are still served.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Drain calls StartDrain and waits until no request is running and no response is
// being written. It returns an error if ctx ends first. Requests that arrive on open
// connections are still served, unless their timeout passes after the deadline of ctx;
// those that arrive after Drain has returned without an error are refused.
func (s *Server) Drain(ctx context.Context) error {
	s.StartDrain()
	if deadline, ok := ctx.Deadline(); ok {
		end := s.Clock.Now().Add(time.Until(deadline))
		s.drainEnd.Store(&end)
	}
	for {
		s.mu.Lock()
		idle, done := s.idle, s.busyConns == 0 && s.runningRequests == 0
		s.drained = s.drained || done
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("drain: requests are still running: %w", context.Cause(ctx))
		}
	}
}

// Close refuses further requests and closes the open connections. Call Drain
// first to let requests finish.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var errs []error
	for c := range s.conns {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}

// refuseUnparsed responds to a request that the HTTP library could not parse or
// that exceeds the size limits.
func (s *Server) refuseUnparsed(ctx *fasthttp.RequestCtx, err error) {
	var bufferErr *fasthttp.ErrSmallBuffer
	requestErr := malformed("the HTTP request cannot be parsed")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &bufferErr) {
		requestErr = drerror.New(drerror.NotRun, drerror.TooLarge,
			"the header may have at most %d bytes and the body at most %d", s.MaxHeader, s.MaxBody)
	}
	id := newID()
	ctx.Conn().SetWriteDeadline(time.Now().Add(writeGrace))
	p := newProblem(requestErr, id)
	p.write(&ctx.Response)
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetConnectionClose()
	reason := drerror.ReasonOf(requestErr).String()
	s.Meter.Ended(p.Status, reason)
	s.Recorder.Record(drtimeline.Event{
		Name: drtimeline.RequestRefused, RequestID: id, Status: p.Status, Reason: reason, Detail: "run=" + p.Run,
	})
}

// handle serves one request. A panic is recorded and reported as an internal error.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := newRequest(s, ctx)
	r.setWriteDeadline(DefaultTimeout)
	ctx.Response.Header.Set(headerRequestID, r.id)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if !s.startRequest() {
		ctx.SetConnectionClose()
		r.refuse(drerror.New(drerror.NotRun, drerror.Draining, "the server is shut down"))
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.recordDetail(drtimeline.RequestPanicked, fmt.Sprintf("error=%q", fmt.Sprint(p)))
			r.refuse(drerror.New(drerror.MayHaveRun, drerror.Internal, "internal error"))
			ctx.SetConnectionClose()
		}
		if !r.streaming {
			r.end()
		}
	}()
	if err := drhttp.CheckFields(ctx.Request.Header.RawHeaders()); err != nil {
		ctx.SetConnectionClose() // where the body ends is unknown
		r.refuse(malformed("%v", err))
		return
	}
	if err := r.serve(); err != nil {
		r.refuse(err)
	}
}

// parseTimeout parses the value of Request-Timeout, which is in seconds with an
// optional fraction. It must be positive and at most MaxTimeout.
func parseTimeout(value string) (time.Duration, error) {
	var whole, frac time.Duration
	scale, digits, dots := time.Second, 0, 0
	for _, c := range []byte(value) {
		switch {
		case c == '.' && dots == 0:
			dots++
		case c < '0' || c > '9' || len(value) > 16:
			return 0, malformed("Request-Timeout is not a number of seconds")
		case dots == 0:
			digits++
			whole = min(whole*10+time.Duration(c-'0'), MaxTimeout)
		default:
			digits++
			scale /= 10
			frac += time.Duration(c-'0') * scale
		}
	}
	d := whole*time.Second + frac
	if digits == 0 || d <= 0 || whole > MaxTimeout/time.Second || d > MaxTimeout {
		return 0, malformed("Request-Timeout must be above 0 and at most %d seconds", MaxTimeout/time.Second)
	}
	return d, nil
}
