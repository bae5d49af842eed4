package drhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Values of fasthttp's ContentLength for bodies without that header.
const (
	ChunkedLength    = -1 // Transfer-Encoding: chunked
	UntilCloseLength = -2 // the body ends when its connection closes
)

const (
	// maxTrailer bounds the trailer of a chunked body, in bytes.
	maxTrailer = 8 << 10
	// maxStatedMemory is how many bytes of a body are made room for before any has come.
	maxStatedMemory = 64 << 10
)

// Body returns a reader of the body that follows the header of an answer, unless the request
// was a HEAD. The reader returns io.EOF only at the end that Content-Length or the chunked
// encoding states, and io.ErrUnexpectedEOF if the connection ends earlier. A body with neither
// ends when the server closes the connection in order; a reset gives an error.
func Body(header *fasthttp.ResponseHeader, reader *bufio.Reader) io.Reader {
	if code := header.StatusCode(); code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return bytes.NewReader(nil)
	}
	switch n := header.ContentLength(); {
	case n >= 0:
		return &exactReader{reader: reader, remaining: n}
	case n == ChunkedLength:
		return NewChunkedReader(reader)
	default:
		return reader
	}
}

// ReadBody reads a body to its end. It fails with fasthttp.ErrBodyTooLarge if there are more
// than limit bytes; 0 sets no limit. Memory is taken for what arrives, not for what is stated.
func ReadBody(body io.Reader, limit int) ([]byte, error) {
	if limit <= 0 {
		limit = math.MaxInt - 1
	}
	var content bytes.Buffer
	if exact, ok := body.(*exactReader); ok {
		if exact.remaining > limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		content.Grow(min(exact.remaining, maxStatedMemory) + bytes.MinRead)
	}
	_, err := content.ReadFrom(io.LimitReader(body, int64(limit)+1))
	if err == nil && content.Len() > limit {
		err = fasthttp.ErrBodyTooLarge
	}
	return content.Bytes(), err
}

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

// exactReader reads a body whose length is known from Content-Length.
type exactReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.reader.Read(p[:min(len(p), e.remaining)])
	e.remaining -= n
	if errors.Is(err, io.EOF) && e.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body, and the trailer after it, so that reader
// stands at the next message.
type chunkedReader struct {
	chunks io.Reader
	reader *bufio.Reader
	done   bool
}

// NewChunkedReader returns a reader of the chunked body at which reader stands. It returns
// io.EOF only after the trailer, whose fields are dropped, and ErrMalformed if that is none.
func NewChunkedReader(reader *bufio.Reader) io.Reader {
	return &chunkedReader{chunks: httputil.NewChunkedReader(reader), reader: reader}
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := c.skipTrailer(); err != nil {
		return n, err
	}
	c.done = true
	return n, io.EOF
}

// skipTrailer reads the trailer with the empty line that ends it.
func (c *chunkedReader) skipTrailer() error {
	var fields fieldSection
	for read := 0; ; {
		line, err := c.reader.ReadSlice('\n')
		read += len(line)
		if err != nil || read > maxTrailer {
			return io.ErrUnexpectedEOF
		}
		line = trimLineEnd(line)
		if len(line) == 0 {
			return nil
		}
		if err := fields.check(line); err != nil {
			return err
		}
	}
}
