package drhttp

import (
	"io"

	"github.com/valyala/fasthttp"
)

// CloseBody closes the unread body of a response.
func CloseBody(resp *fasthttp.Response) { CloseStream(resp.BodyStream()) }

// CloseStream closes a body, also while another goroutine reads it. fasthttp's
// body streams have CloseWithError instead of Close.
func CloseStream(body io.Reader) {
	if closer, ok := body.(interface{ CloseWithError(error) error }); ok {
		_ = closer.CloseWithError(nil)
	}
}
