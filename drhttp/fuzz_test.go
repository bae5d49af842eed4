package drhttp_test

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drhttp"
)

// FuzzReadHeader guards against a head that is taken although it has a name or a value that none
// may have, or of which something is left for the body.
func FuzzReadHeader(f *testing.F) {
	for _, line := range append(malformedFields, soundFields...) {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"))
	}
	f.Add([]byte("\r\n\r\nHTTP/1.0 404 \r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var header fasthttp.ResponseHeader
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		if drhttp.ReadHeader(&header, reader) != nil {
			return
		}
		for name, value := range header.All() {
			if bytes.ContainsAny(name, " \t\r\n\x00\x7f:") || bytes.ContainsAny(value, "\r\n\x00\x7f") {
				t.Errorf("%q: %q", name, value)
			}
		}
		_, body, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\r\n\r\n"))
		if left := reader.Buffered() + source.Len(); left != len(body) {
			t.Errorf("%d bytes are left of %q, not %d", left, data, len(body))
		}
	})
}
