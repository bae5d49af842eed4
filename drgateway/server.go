// Package drgateway is the callers' HTTP API: authentication, admission, streamed
// completions, plain service routes, and refusals as RFC 9457 problems.
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
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Server serves callers' connections. It is safe for concurrent use.
type Server struct {
	Config
	http     *fasthttp.Server
	draining atomic.Bool

	mu     sync.Mutex
	closed bool
	// conns holds the open connections; true while one carries a request.
	conns           map[net.Conn]bool
	busyConns       int
	runningRequests int           // requests, a stream until its last byte is written
	idle            chan struct{} // closed when busy and running become zero
}

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c.withDefaults(), conns: make(map[net.Conn]bool), idle: make(chan struct{})}
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

// discardLogger drops the HTTP library's log: it quotes what callers send.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// ServeConn serves the requests of one connection until it is closed. If c has
// a method Done() <-chan struct{}, requests end when that channel is closed.
func (s *Server) ServeConn(c net.Conn) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errors.Join(net.ErrClosed, c.Close())
	}
	s.conns[c] = false
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setBusy(c, false)
		delete(s.conns, c)
	}()
	return s.http.ServeConn(c)
}

func (s *Server) connState(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setBusy(c, state == fasthttp.StateActive)
}

func (s *Server) setBusy(c net.Conn, busy bool) {
	was, ok := s.conns[c]
	if !ok || was == busy {
		return
	}
	s.conns[c] = busy
	if busy {
		s.busyConns++
		return
	}
	s.busyConns--
	s.notifyIfIdle()
}

func (s *Server) notifyIfIdle() {
	if s.busyConns == 0 && s.runningRequests == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// startRequest counts a request and reports whether it may be served.
func (s *Server) startRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
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

// StartDrain has each further response close its connection. Requests are
// still served.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Drain calls StartDrain and waits until no request is running and no response
// is being written, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.StartDrain()
	for {
		s.mu.Lock()
		idle, done := s.idle, s.busyConns == 0 && s.runningRequests == 0
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("drain: %w", context.Cause(ctx))
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

// refuseUnparsed answers a request that the HTTP library could not read.
func (s *Server) refuseUnparsed(ctx *fasthttp.RequestCtx, err error) {
	var bufferErr *fasthttp.ErrSmallBuffer
	requestErr := malformed("the request cannot be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &bufferErr) {
		requestErr = drerror.New(drerror.NotRun, drerror.TooLarge,
			"the header may have %d bytes and the body %d", s.MaxHeader, s.MaxBody)
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

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := newRequest(s, ctx)
	r.setWriteDeadline(DefaultTimeout)
	ctx.Response.Header.Set(headerRequestID, r.id)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if !s.startRequest() {
		ctx.SetConnectionClose()
		r.refuse(drerror.New(drerror.NotRun, drerror.Draining, "the server is closed"))
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
	if err := r.serve(); err != nil {
		r.refuse(err)
	}
}

// parseTimeout parses Request-Timeout, in seconds with an optional fraction.
func parseTimeout(v string) (time.Duration, error) {
	var whole, frac time.Duration
	scale, digits, dots := time.Second, 0, 0
	for _, c := range []byte(v) {
		switch {
		case c == '.' && dots == 0:
			dots++
		case c < '0' || c > '9' || len(v) > 16:
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
