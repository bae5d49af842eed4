package drproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drnet"
)

// hangingUpConn is a client's connection whose end the test decides.
type hangingUpConn struct {
	drnet.Conn
	done chan struct{}
}

func (c *hangingUpConn) Done() <-chan struct{} { return c.done }

// finishedAttempt returns an attempt whose answer has just been read and whose
// client is watched. Closing done hangs the client up.
func finishedAttempt(s *Server, done chan struct{}) *attempt {
	conn, _ := newMemoryPipe()
	u := &upstream{Conn: conn, address: "r"}
	u.acquireReader()
	runner := &drfleet.Runner{ID: "r", Address: "r"}
	a := &attempt{
		exchange:      &exchange{server: s, conn: &clientConn{Conn: &hangingUpConn{done: done}}, route: &drfleet.Route{Kind: drfleet.Safe}, service: &drfleet.Service{}},
		runner:        runner,
		activeRequest: s.View.Begin(runner, drfleetview.Replica{}),
		upstream:      u,
	}
	a.header.SetStatusCode(fasthttp.StatusOK)
	a.watch()
	return a
}

// Guards against a client that hangs up just as its answer ends: what watches
// the client must not close the connection after it has gone back to the pool,
// where the next request may have taken it.
func TestHangUpAsAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		taken := 0
		for range 5000 {
			done := make(chan struct{})
			a := finishedAttempt(s, done)
			go close(done)
			a.finish(drfleetview.Succeeded)
			u := s.pool.takeIdle("r")
			if u == nil {
				continue // closed in time to be noticed
			}
			taken++
			synctest.Wait()
			is.True(u.alive()) // closed while in use
			_ = u.Close()
		}
		is.True(taken > 0)
	})
}

// Guards against deadlines, an extension of them and unread bytes that one
// attempt leaves on a connection for the next.
func TestPoolKeepsNothingOfAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		a := finishedAttempt(s, make(chan struct{}))
		extended := false
		a.upstream.extendDeadline = func() bool { extended = true; return false }
		_ = a.upstream.SetReadDeadline(time.Now())
		a.finish(drfleetview.Succeeded)
		u := s.pool.takeIdle("r")
		is.True(u != nil)
		is.NoErr(u.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := u.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(!extended)

		conn, runner := newMemoryPipe()
		u.Conn = conn
		writeAll(runner, "HTTP/1.1 200 a second copy")
		s.pool.put(u, Answer{}, &a.header, maxIdlePerRunner)
		is.True(s.pool.takeIdle("r") == nil)
	})
}

// Guards against idle connections of a large fleet that take all that a runner accepts, so
// that it resets the connections of requests that may run only once.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{0, 1, 16, 100, 300, 410, 1000} {
		for _, limit := range []int{1, 100, 712, 100_000} {
			idle := maxIdle(limit, vms)
			is.True(idle <= maxIdlePerRunner)
			is.True(2*vms*idle <= limit) // half of them remain for requests
		}
	}
	is.Equal(maxIdle(712, 16), maxIdlePerRunner)

	s := newTestServer()
	s.Allowances.AssumeVMs(100)
	for range 3 {
		a := finishedAttempt(s, make(chan struct{}))
		a.exchange.service = &drfleet.Service{ConnectionLimit: 400}
		a.finish(drfleetview.Succeeded)
	}
	is.True(s.pool.takeIdle("r") != nil)
	is.True(s.pool.takeIdle("r") != nil)
	is.True(s.pool.takeIdle("r") == nil)
}
