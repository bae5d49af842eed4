package drproxy

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

// stubWire is a Wire that reads and adds no headers.
type stubWire struct{}

func (stubWire) IsReadiness(*fasthttp.RequestHeader) bool { return false }
func (stubWire) Call(*fasthttp.RequestHeader) (*drfleet.Call, error) {
	return &drfleet.Call{ID: "r1"}, nil
}
func (stubWire) Dispatch(*fasthttp.RequestHeader, Dispatch)             {}
func (stubWire) Answer(*fasthttp.ResponseHeader) Answer                 { return Answer{} }
func (stubWire) Deliver(*fasthttp.ResponseHeader)                       {}
func (stubWire) Refuse(*fasthttp.ResponseHeader, string, time.Duration) {}

// lateRequestConn fails its first Read with a timeout, although a request is
// already buffered, and returns the request from the second Read on.
type lateRequestConn struct {
	net.Conn
	mu       sync.Mutex
	timedOut bool
	input    io.Reader
	written  bytes.Buffer
}

func (c *lateRequestConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timedOut {
		c.timedOut = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.input.Read(p)
}

func (c *lateRequestConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Write(p)
}

func (c *lateRequestConn) Buffered() int                    { return 1 }
func (c *lateRequestConn) SetReadDeadline(time.Time) error  { return nil }
func (c *lateRequestConn) SetWriteDeadline(time.Time) error { return nil }
func (c *lateRequestConn) Close() error                     { return nil }

func newTestServer() *Server {
	log.SetHandler(discard.Default)
	clock := drclock.System{}
	return New(Config{Clock: clock, Wire: stubWire{}, View: drfleetview.New(clock), Metrics: drmetric.New()})
}

// Guards against a draining VM that closes an idle connection on which a request
// has just arrived, so that the client gets no answer. It happens when the
// deadline that ends the idle wait passes as the request comes in.
func TestArrivedRequestIsAnsweredWhenIdleEnds(t *testing.T) {
	is := is.New(t)
	c := &lateRequestConn{input: strings.NewReader("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")}
	s := newTestServer()
	s.StartDrain()
	s.ServeConn(c)
	is.True(strings.HasPrefix(c.written.String(), "HTTP/1.1 503 "))
	is.True(strings.Contains(c.written.String(), "Connection: close"))
}

// Guards against requests with two Content-Length headers, by which a client can
// smuggle one request inside another, and against headers beyond the size limit.
func TestRefusesUnreadableRequests(t *testing.T) {
	is := is.New(t)
	big := "GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", defaultMaxHeader) + "\r\n\r\n"
	for request, status := range map[string]string{
		"nonsense\r\n\r\n": "400",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde": "400",
		big: "431",
	} {
		c := &lateRequestConn{timedOut: true, input: strings.NewReader(request)}
		newTestServer().ServeConn(c)
		is.True(strings.HasPrefix(c.written.String(), "HTTP/1.1 "+status)) // want this status
	}
}
