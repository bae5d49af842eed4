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
	conns   map[net.Conn]bool
	busy    int
	running int           // requests, a stream until its last byte is written
	quiet   chan struct{} // closed when busy and running become zero
}

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c.withDefaults(), conns: make(map[net.Conn]bool), quiet: make(chan struct{})}
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
		Logger:                silent{},
	}
	return s
}

// silent drops the HTTP library's log: it quotes what callers send.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

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
		s.busy++
		return
	}
	s.busy--
	s.checkQuiet()
}

func (s *Server) checkQuiet() {
	if s.busy == 0 && s.running == 0 {
		close(s.quiet)
		s.quiet = make(chan struct{})
	}
}

// began counts a request and reports whether it may be served.
func (s *Server) began() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running++
	return true
}

func (s *Server) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.checkQuiet()
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
		quiet, done := s.quiet, s.busy == 0 && s.running == 0
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-quiet:
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
	var small *fasthttp.ErrSmallBuffer
	e := malformed("the request cannot be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		e = drerror.New(drerror.NotRun, drerror.TooLarge,
			"the header may have %d bytes and the body %d", s.MaxHeader, s.MaxBody)
	}
	id := newID()
	ctx.Conn().SetWriteDeadline(time.Now().Add(writeGrace))
	p := newProblem(e, id)
	p.write(&ctx.Response)
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetConnectionClose()
	reason := drerror.ReasonOf(e).String()
	s.Meter.Ended(p.Status, reason)
	s.Recorder.Record(drtimeline.Event{
		Name: drtimeline.RequestRefused, RequestID: id, Status: p.Status, Reason: reason, Detail: "run=" + p.Run,
	})
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := newRequest(s, ctx)
	r.limitWrite(DefaultTimeout)
	ctx.Response.Header.Set(headerRequestID, r.id)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if !s.began() {
		ctx.SetConnectionClose()
		r.refuse(drerror.New(drerror.NotRun, drerror.Draining, "the server is closed"))
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.record(drtimeline.RequestPanicked, fmt.Sprintf("error=%q", fmt.Sprint(p)))
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
