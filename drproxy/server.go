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
	// writeTimeout bounds the writing of an answer to a client that does not
	// read.
	writeTimeout = 10 * time.Second
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

	// stopWaiting is closed when requests must not wait any more.
	stopWaiting chan struct{}

	mu             sync.Mutex
	conns          map[*clientConn]struct{}
	activeRequests atomic.Int64
}

// New returns a Server.
func New(config Config) *Server {
	return &Server{Config: config, pool: newPool(config.Dialer, config.Clock), conns: make(map[*clientConn]struct{}), stopWaiting: make(chan struct{})}
}

// SetFreshness sets the age of the configuration beyond which no request with
// a key is served.
func (s *Server) SetFreshness(maxAge time.Duration) { s.freshness.Store(int64(maxAge)) }

// Freshness returns what SetFreshness set.
func (s *Server) Freshness() time.Duration { return time.Duration(s.freshness.Load()) }

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	server *Server
	done   <-chan struct{} // closed when the client is gone
	reader *bufio.Reader
	writer *bufio.Writer
	// serving is set while a request is being read or answered.
	serving atomic.Bool
}

// ServeConn serves the requests of one connection until it is closed.
func (s *Server) ServeConn(conn net.Conn) {
	maxHeader, _, _, _ := s.limits()
	c := &clientConn{
		// A header must fit the buffer to be read.
		Conn: conn, server: s, reader: bufio.NewReaderSize(conn, maxHeader), writer: bufio.NewWriterSize(conn, writeBuffer),
	}
	if d, ok := conn.(drnet.Conn); ok {
		c.done = d.Done()
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	for c.serveOne() {
	}
}

// StartDrain has each further answer close its connection.
func (s *Server) StartDrain() { s.draining.Store(true) }

// EndWaiting refuses the requests that wait for a model. Call it once.
func (s *Server) EndWaiting() { close(s.stopWaiting) }

// Busy returns the number of requests that are being served.
func (s *Server) Busy() int { return int(s.activeRequests.Load()) }

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
	if _, err := c.reader.Peek(1); err != nil && !c.hasBufferedData() {
		return false
	}
	c.serving.Store(true)
	s.activeRequests.Add(1)
	defer func() {
		c.serving.Store(false)
		s.activeRequests.Add(-1)
	}()
	x := &exchange{server: s, conn: c, start: s.Clock.Now()}
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	if err := x.readHeader(); err != nil {
		return x.handleReadError(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := x.readBody(maxBody); err != nil {
		return x.handleReadError(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	x.serve()
	return x.keepAlive
}

// hasBufferedData reports whether a request has arrived although the wait for it was
// ended: it must be answered, not closed.
func (c *clientConn) hasBufferedData() bool {
	b, ok := c.Conn.(interface{ Buffered() int })
	return ok && b.Buffered() > 0
}

// handleReadError answers a request that cannot be read, if the client can still
// hear it.
func (x *exchange) handleReadError(err error) bool {
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
	x.keepAlive = false
	x.refuse(refusal{status: status, reason: "unreadable", detail: err.Error()})
	return false
}
