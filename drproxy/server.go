// Package drproxy serves clients' connections: it forwards each request to a
// runner of its route's service and passes the answer on unchanged, or refuses
// the request.
package drproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// readBuffer holds the header of a runner's answer.
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// Limits that hold before a configuration is known.
	defaultMaxHeader     = 16 << 10
	defaultMaxBody       = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// idleSlack is added to the idle timeout, so that a request that a client
	// sends just before it does not meet a closed connection.
	idleSlack = time.Second
	// writeLimit bounds the writing of an answer to a client that does not
	// read.
	writeLimit = 10 * time.Second
)

// Config configures a Server.
type Config struct {
	Clock      drfleetview.Clock
	Zone       string
	Wire       Wire
	View       *drfleetview.View
	Allowances *drtokenpool.Allowances
	Reserver   drtokenpool.Reserver
	Budgets    *Budgets
	Metrics    *drmetric.Metrics
	Dialer     *drnet.Dialer
}

// Server serves clients' connections. It is safe for concurrent use.
type Server struct {
	Config
	pool     *pool
	draining atomic.Bool
	// freshness is the age of the configuration beyond which no request with a
	// key is served, because the key may have been withdrawn.
	freshness atomic.Int64 // nanoseconds

	// ending is closed when requests must not wait any more.
	ending chan struct{}

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	busy  atomic.Int64
}

// New returns a Server.
func New(c Config) *Server {
	return &Server{Config: c, pool: newPool(c.Dialer, c.Clock), conns: make(map[*clientConn]struct{}), ending: make(chan struct{})}
}

// SetFreshness sets the age of the configuration beyond which no request with
// a key is served.
func (s *Server) SetFreshness(d time.Duration) { s.freshness.Store(int64(d)) }

// Freshness returns what SetFreshness set.
func (s *Server) Freshness() time.Duration { return time.Duration(s.freshness.Load()) }

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	server *Server
	done   <-chan struct{} // closed when the client is gone
	r      *bufio.Reader
	w      *bufio.Writer
	// serving is set while a request is being read or answered.
	serving atomic.Bool
}

// ServeConn serves the requests of one connection until it is closed.
func (s *Server) ServeConn(nc net.Conn) {
	maxHeader, _, _, _ := s.limits()
	c := &clientConn{
		// A header must fit the buffer to be read.
		Conn: nc, server: s, r: bufio.NewReaderSize(nc, maxHeader), w: bufio.NewWriterSize(nc, writeBuffer),
	}
	if d, ok := nc.(drnet.Conn); ok {
		c.done = d.Done()
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = nc.Close()
	}()
	for c.serveOne() {
	}
}

// StartDrain has each further answer close its connection.
func (s *Server) StartDrain() { s.draining.Store(true) }

// EndWaiting refuses the requests that wait for a model. Call it once.
func (s *Server) EndWaiting() { close(s.ending) }

// Busy returns the number of requests that are being served.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections that carry no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.serving.Load() {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.pool.close()
}

func (s *Server) limits() (header, body int, headerTimeout, idle time.Duration) {
	d, _ := s.View.Deployment()
	if d == nil {
		return defaultMaxHeader, defaultMaxBody, defaultHeaderTimeout, defaultIdleTimeout
	}
	l := d.Limits
	return l.MaxHeader, l.MaxBody, l.HeaderTimeout, l.IdleTimeout
}

// serveOne reads one request and answers it. It reports whether the connection
// takes another one.
func (c *clientConn) serveOne() bool {
	s := c.server
	_, maxBody, headerTimeout, idle := s.limits()
	_ = c.SetReadDeadline(time.Now().Add(idle + idleSlack))
	if _, err := c.r.Peek(1); err != nil && !c.arrived() {
		return false
	}
	c.serving.Store(true)
	s.busy.Add(1)
	defer func() {
		c.serving.Store(false)
		s.busy.Add(-1)
	}()
	x := &exchange{server: s, conn: c, start: s.Clock.Now()}
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	if err := x.readHeader(); err != nil {
		return x.unreadable(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := x.readBody(maxBody); err != nil {
		return x.unreadable(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	x.serve()
	return x.keep
}

// arrived reports whether a request has arrived although the wait for it was
// ended: it must be answered, not closed.
func (c *clientConn) arrived() bool {
	b, ok := c.Conn.(interface{ Buffered() int })
	return ok && b.Buffered() > 0
}

// unreadable answers a request that cannot be read, if the client can still
// hear it.
func (x *exchange) unreadable(err error) bool {
	var ne net.Error
	var small *fasthttp.ErrSmallBuffer
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
		return false
	case errors.As(err, &ne) && ne.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &ne):
		return false
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	x.keep = false
	x.refuse(refusal{status: status, reason: "unreadable", detail: err.Error()})
	return false
}
