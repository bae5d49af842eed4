package drhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// startServer starts a server whose connections serve handles, and returns its
// address.
func startServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startRepeatingServer starts a server that numbers its answers and sends each of
// them twice, the second copy later. It returns its address.
func startRepeatingServer(t *testing.T) string {
	t.Helper()
	var answers atomic.Int64
	return startServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", answers.Add(1))
			_, _ = fmt.Fprint(conn, answer)
			time.Sleep(5 * time.Millisecond)
			_, _ = fmt.Fprint(conn, answer)
		}
	})
}

// Guards against a second copy of an answer, sent late, that the next call on the
// connection takes for its own.
func TestSecondCopyMeetsNobody(t *testing.T) {
	is := is.New(t)
	client := drhttp.New(drhttp.Config{
		Address: startRepeatingServer(t), Clock: drclock.System{}, MaxConns: 2, DialTimeout: time.Second, MaxBody: 100, SingleUse: true,
	})
	defer client.Close()
	for i := 1; i <= 3; i++ {
		resp, err := client.Do(context.Background(), drhttp.Call{Method: fasthttp.MethodGet, Target: "/", Limit: time.Second})
		is.NoErr(err)
		is.Equal(string(resp.Body()), fmt.Sprint(i))
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against bytes after an answer that the next call on the connection takes for its own,
// and against a connection that is given up although nothing follows the answer.
func TestConnectionIsKeptAfterWholeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		conns  int64
	}{
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Foo: v\r\n\r\n", 1},
		"second copy":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", 3},
		"close":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", 3},
		"close at end": {"HTTP/1.1 200 OK\r\n\r\nok", 3},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/", stream), func(t *testing.T) {
				is := is.New(t)
				var conns atomic.Int64
				address := startServer(t, func(conn net.Conn) {
					conns.Add(1)
					reader := bufio.NewReader(conn)
					for {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = fmt.Fprint(conn, c.answer)
						if name == "close at end" {
							return
						}
					}
				})
				client := drhttp.New(drhttp.Config{Address: address, Clock: drclock.System{}, MaxConns: 1, DialTimeout: time.Second, MaxBody: 2, Stream: stream})
				defer client.Close()
				for range 3 {
					resp, err := client.Do(context.Background(), drhttp.Call{Method: fasthttp.MethodGet, Target: "/", Limit: time.Second})
					is.NoErr(err)
					is.Equal(readWhole(is, resp), "ok")
				}
				is.Equal(conns.Load(), c.conns)
			})
		}
	}
}

// readWhole returns the body of a response, streamed or not, and closes it.
func readWhole(is *is.I, resp *fasthttp.Response) string {
	stream := resp.BodyStream()
	if stream == nil {
		return string(resp.Body())
	}
	defer drhttp.CloseBody(resp)
	body, err := io.ReadAll(stream)
	is.NoErr(err)
	return string(body)
}
