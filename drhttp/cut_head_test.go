package drhttp_test

import (
	"bufio"
	"context"
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

// Guards against a service that stops in the middle of a response's head and closes: the
// part that came must not count as a response, with an empty body or a shorter one.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 123\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n",
		"no length": "HTTP/1.1 202 Accepted\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Int64
			address := startServer(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head[:cut.Load()])
				}
			})
			client := drhttp.New(drhttp.Config{Address: address, Clock: drclock.System{}, MaxConns: 2, DialTimeout: time.Second, MaxBody: 10_000})
			defer client.Close()
			for n := range len(head) {
				cut.Store(int64(n))
				_, err := client.Do(context.Background(), drhttp.Call{Method: fasthttp.MethodGet, Target: "/", Limit: time.Second})
				if err == nil {
					t.Errorf("a response after %q", head[:n])
				}
			}
			is.True(cut.Load() > 0)
		})
	}
}
