package drnet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is dropped because its idle wait ends while the event loop,
// short of processor time, has not yet taken it from the socket.
func TestAwaitDataRegardsSocket(t *testing.T) {
	is := is.New(t)
	accepted, release := make(chan *conn), make(chan struct{})
	s, err := Listen(Config{Address: "127.0.0.1:0", Loops: 1, Handler: func(c net.Conn) {
		accepted <- c.(*conn)
		<-release
	}})
	is.NoErr(err)
	defer func() {
		close(release)
		is.NoErr(s.Close(context.Background()))
	}()
	connect := func() (server *conn, client net.Conn) {
		client, err := net.Dial("tcp", s.Addr().String())
		is.NoErr(err)
		return <-accepted, client
	}
	waiting, client := connect()
	defer client.Close()
	busy, busyClient := connect()
	defer busyClient.Close()

	busy.mu.Lock() // keeps the event loop in handleData
	_, err = busyClient.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, err = client.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	is.Equal(waiting.Buffered(), 0)
	is.NoErr(waiting.SetReadDeadline(time.Unix(1, 0)))
	time.AfterFunc(50*time.Millisecond, busy.mu.Unlock)
	_, err = waiting.AwaitData()
	is.NoErr(err)
	is.Equal(waiting.Buffered(), 1)
}
