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

// bareWire knows no headers.
type bareWire struct{}

func (bareWire) IsReadiness(*fasthttp.RequestHeader) bool { return false }
func (bareWire) Call(*fasthttp.RequestHeader) (*drfleet.Call, error) {
	return &drfleet.Call{ID: "r1"}, nil
}
func (bareWire) Dispatch(*fasthttp.RequestHeader, Dispatch)             {}
func (bareWire) Answer(*fasthttp.ResponseHeader) Answer                 { return Answer{} }
func (bareWire) Deliver(*fasthttp.ResponseHeader)                       {}
func (bareWire) Refuse(*fasthttp.ResponseHeader, string, time.Duration) {}

// lateConn is a connection whose wait for a request is ended just as the
// request has arrived.
type lateConn struct {
	net.Conn
	mu      sync.Mutex
	ended   bool
	in      io.Reader
	written bytes.Buffer
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.in.Read(p)
}

func (c *lateConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Write(p)
}

func (c *lateConn) Buffered() int                    { return 1 }
func (c *lateConn) SetReadDeadline(time.Time) error  { return nil }
func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }
func (c *lateConn) Close() error                     { return nil }

func testServer() *Server {
	log.SetHandler(discard.Default)
	clock := drclock.System{}
	return New(Config{Clock: clock, Wire: bareWire{}, View: drfleetview.New(clock), Metrics: drmetric.New()})
}

// Guards against a stopping VM that closes a connection on which a request has
// already arrived.
func TestArrivedRequestIsAnsweredWhenIdleEnds(t *testing.T) {
	is := is.New(t)
	c := &lateConn{in: strings.NewReader("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")}
	s := testServer()
	s.StartDrain()
	s.ServeConn(c)
	is.True(strings.HasPrefix(c.written.String(), "HTTP/1.1 503 "))
	is.True(strings.Contains(c.written.String(), "Connection: close"))
}

// Guards against requests that claim two lengths, with which one request can
// be smuggled inside another, and against headers that do not fit the memory.
func TestRefusesUnreadableRequests(t *testing.T) {
	is := is.New(t)
	big := "GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", defaultMaxHeader) + "\r\n\r\n"
	for request, status := range map[string]string{
		"nonsense\r\n\r\n": "400",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde": "400",
		big: "431",
	} {
		c := &lateConn{ended: true, in: strings.NewReader(request)}
		testServer().ServeConn(c)
		is.True(strings.HasPrefix(c.written.String(), "HTTP/1.1 "+status)) // want this status
	}
}
