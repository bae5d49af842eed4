package drnet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop that resets connections which clients have
// established and the server, for lack of processor time, has not accepted.
func TestStopAcceptingServesQueuedConnections(t *testing.T) {
	is := is.New(t)
	const clients = 20
	served := make(chan struct{}, clients)
	s, err := Listen(Config{Address: "127.0.0.1:0", Loops: 1, Handler: func(c net.Conn) {
		_, _ = c.Write([]byte("x"))
		served <- struct{}{}
	}})
	is.NoErr(err)
	s.loops.mu.Lock() // the accept loop hangs after its next connection
	var conns []net.Conn
	for range clients {
		c, err := net.Dial("tcp", s.Addr().String())
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, c)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.StopAccepting()
	}()
	time.Sleep(50 * time.Millisecond)
	s.loops.mu.Unlock()
	<-stopped
	for _, c := range conns {
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err := c.Read(make([]byte, 1))
		is.NoErr(err) // reset, or not served
	}
	for range clients {
		select {
		case <-served: // the client may read the answer before its handler goes on
		case <-time.After(testTimeout):
			t.Fatal("a connection was not served")
		}
	}
	is.Equal(len(served), 0) // none twice
	is.NoErr(s.Close(context.Background()))
}
