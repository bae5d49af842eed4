package drmember_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/dotterelridge/dotterelridge/drmember"
)

// Guards against a VM list that counts although its answer is malformed, so that VMs are taken
// for gone, and against one that does not although the grammar of HTTP allows it.
func TestMalformedListIsNone(t *testing.T) {
	const list = `{"version":1,"vms":[]}`
	for answer, taken := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 22\r\n\r\n" + list:                                 false,
		"HTTP/1.1 200 OK\r\nContent Length: 22\r\n\r\n" + list:                                             false,
		"HTTP/1.1 103 Hints\r\nX\tFoo: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + list:      false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n" + list + "\r\n0\r\nX Foo: v\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n" + list + "\r\n0\r\nX-Foo: v\r\n\r\n": true,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
		}()
		_, _, err = drmember.NewHTTPLister("http://"+listener.Addr().String(), nil).VMs(t.Context(), 0)
		if (err == nil) != taken {
			t.Errorf("%q: %v", answer, err)
		}
		_ = listener.Close()
	}
}
