// Package drproxy serves clients' connections: it forwards each request to a
// runner of its route's service and passes the answer on unchanged, or refuses
// the request.
package drproxy

import (
	"bufio"
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drtask"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// readBuffer, in bytes, bounds the header of a runner's answer: fasthttp
	// reads a header only if it fits the buffer.
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// Limits for clients' requests until a configuration is known: sizes in
	// bytes, and the times to read a header and to wait for the next request.
	defaultMaxHeader     = 16 << 10
	defaultMaxBody       = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the time to read the body of a client's request.
	bodyTimeout = 10 * time.Second
	// idleSlack is added to the configured idle timeout, so that a request that
	// a client sends just before the timeout does not meet a closed connection.
	idleSlack = time.Second
	// writeTimeout bounds each write to a client, in case the client has
	// stopped reading.
	writeTimeout = 10 * time.Second
)

// Config holds what a Server depends on. Zone is the availability zone of this
// VM.
type Config struct {
	Clock drfleetview.Clock
	Zone  string
	// Regions contains the region of each availability zone, by zone. Requests with
	// homes reach no runner in another zone.
	Regions    map[string]string
	Wire       Wire
	View       *drfleetview.View
	Allowances *drtokenpool.Allowances
	Claimer    drtokenpool.Claimer
	// Streams tells at which software versions streams began; nil if nobody does.
	Streams StreamAsker
	Crashes *drcrash.Ledger
	Budgets *Budgets
	Metrics *drmetric.Metrics
	Dialer  Dialer
	// MaxConnections bounds the open connections of clients, 0 for no bound.
	// Above it the connection that has been idle longest is closed, or the new
	// one if none is idle.
	MaxConnections int
	// Propagation is the time within which a change of the configuration is in force on
	// each VM. What an older configuration lacks is not refused as unknown. 0 sets no bound.
	Propagation time.Duration
	// LargeMessages bounds the memory in bytes that bodies and events beyond
	// 64 KiB take together, 24 MiB if it is 0.
	LargeMessages int
}

// Server serves the HTTP/1.1 connections of clients. It is safe for concurrent
// use. To stop it gracefully, call StartDrain and EndBy, then CloseIdle until
// Connections returns 0, EndWaiting and EndUnanswered while time to answer remains, and
// last Close.
type Server struct {
	Config
	pool    *pool
	prompts *keptPrompts
	// deadlines are those of resumable streams.
	deadlines *deadlines
	memory    memoryBudget
	turns     turns
	draining  atomic.Bool
	closed    atomic.Bool
	// drainEnd is nil until EndBy has been called.
	drainEnd atomic.Pointer[drainTimes]
	// freshness is the maximum age of the configuration at which requests with
	// a key are served: in an older one the key may have been revoked since.
	freshness atomic.Int64 // nanoseconds

	// stopWaiting is closed when requests must no longer wait for a model.
	stopWaiting chan struct{}
	// stopAnswering is closed when requests whose answer has not begun must end.
	stopAnswering chan struct{}

	mu             sync.Mutex
	conns          map[*clientConn]struct{}
	idle           *list.List // of *clientConn, the longest idle first
	activeRequests atomic.Int64
}

// New returns a Server whose freshness is 0: call SetFreshness before it serves
// requests with keys.
func New(config Config) *Server {
	s := &Server{
		Config: config, pool: newPool(config.Dialer, config.Clock), conns: make(map[*clientConn]struct{}), idle: list.New(),
		prompts: newKeptPrompts(config.Clock, config.View), deadlines: newDeadlines(), turns: newTurns(), stopWaiting: make(chan struct{}), stopAnswering: make(chan struct{}),
	}
	s.memory.give(cmp.Or(config.LargeMessages, defaultLargeMessages))
	return s
}

// SetFreshness sets the maximum age of the configuration at which requests with
// a key are served; beyond it they are refused.
func (s *Server) SetFreshness(maxAge time.Duration) { s.freshness.Store(int64(maxAge)) }

// Freshness returns the maximum age that SetFreshness set, 0 before that.
func (s *Server) Freshness() time.Duration { return time.Duration(s.freshness.Load()) }

// clientConn is one connection of a client. It has buffers only while a request
// is being served, so that an idle connection takes little memory.
type clientConn struct {
	drnet.Conn
	server *Server
	reader *bufio.Reader // nil without a request
	writer *bufio.Writer // nil without a request
	turn   *turn         // set while a body in chunks is read
	// arrivedAt is when the oldest data of the present request was received.
	arrivedAt time.Time
	// idle is the connection's element of Server.idle, nil while a request is
	// being read or answered. Server.mu guards it.
	idle *list.Element
}

// ServeConn serves the requests of one connection, one after another, until
// either side ends it. It closes conn before it returns.
func (s *Server) ServeConn(conn net.Conn) {
	c := &clientConn{Conn: conn.(drnet.Conn), server: s}
	defer conn.Close()
	if !s.add(c) {
		return
	}
	defer s.remove(c)
	for c.tryServeOne() {
	}
}

// Read implements io.Reader.
func (c *clientConn) Read(p []byte) (int, error) { return c.turn.readFrom(c.Conn, p) }

// tryServeOne is serveOne, except that a panic ends only this connection.
func (c *clientConn) tryServeOne() (reusable bool) {
	err := drtask.Try("serve-request", func() error {
		reusable = c.serveOne()
		return nil
	})
	return err == nil && reusable
}

// Busy returns the number of requests that are being read or answered.
func (s *Server) Busy() int { return int(s.activeRequests.Load()) }

// Close closes all connections, those of clients and the pooled ones to
// runners. Requests in progress fail.
func (s *Server) Close() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.pool.close()
}

// limits returns the limits of the current configuration, or the defaults
// before there is one: sizes in bytes, then timeouts.
func (s *Server) limits() (header, body int, headerTimeout, idle time.Duration) {
	d, _ := s.View.Deployment()
	if d == nil {
		return defaultMaxHeader, defaultMaxBody, defaultHeaderTimeout, defaultIdleTimeout
	}
	l := d.Limits
	return l.MaxHeader, l.MaxBody, l.HeaderTimeout, l.IdleTimeout
}

// serveOne reads one request and answers it. It reports whether the connection
// may carry another request.
func (c *clientConn) serveOne() bool {
	s := c.server
	maxHeader, maxBody, headerTimeout, idle := s.limits()
	if err := c.awaitRequest(idle + idleSlack); err != nil {
		return false
	}
	s.setIdle(c, false)
	s.activeRequests.Add(1)
	c.acquireBuffers(maxHeader)
	defer func() {
		c.releaseBuffers()
		s.setIdle(c, true)
		s.activeRequests.Add(-1)
	}()
	x := &exchange{server: s, conn: c, start: c.arrivedAt, unread: s.Clock.Since(c.arrivedAt)}
	defer x.close()
	s.Metrics.Observe(drmetric.UnreadTime, x.unread)
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

// awaitRequest waits until the next request begins to arrive. One that has
// arrived just as CloseIdle ends the wait is served: closing its connection
// would drop it.
func (c *clientConn) awaitRequest(idle time.Duration) error {
	if c.reader != nil {
		return nil // the client sent it together with the last one
	}
	_ = c.SetReadDeadline(time.Now().Add(idle))
	var err error
	c.arrivedAt, err = c.AwaitData()
	return err
}

// handleReadError refuses a request that cannot be read, unless its connection
// is broken. It always returns false: the connection takes no further request.
func (x *exchange) handleReadError(err error) bool {
	var ne net.Error
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead // hides its cause
	response := refusal{status: fasthttp.StatusBadRequest, reason: "unreadable", detail: err.Error()}
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
		return false
	case errors.As(err, &ne) && ne.Timeout(), errors.As(err, &nothing):
		response.status = fasthttp.StatusRequestTimeout
	case errors.As(err, &ne):
		return false
	case errors.Is(err, errOutOfMemory):
		response.status, response.retryAfter = fasthttp.StatusServiceUnavailable, overloadRetryAfter
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		response.status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		response.status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	x.keepAlive = false
	x.refuse(response)
	return false
}
