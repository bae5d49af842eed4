package drhttp

import (
	"io"

	"github.com/valyala/fasthttp"
)

// CloseBody closes the body of a response of a Client with Config.Stream, whether or not
// it was read, and so releases its connection.
func CloseBody(resp *fasthttp.Response) { CloseStream(resp.BodyStream()) }

// CloseStream closes a response body; another goroutine may be reading it. The body
// streams of fasthttp have a CloseWithError method instead of Close. Other readers,
// and nil, are left as they are.
func CloseStream(body io.Reader) {
	if closer, ok := body.(interface{ CloseWithError(error) error }); ok {
		_ = closer.CloseWithError(nil)
	}
}
