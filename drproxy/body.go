package drproxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// maxAnswerBody bounds the body of an answer that is not a stream.
const maxAnswerBody = 8 << 20

// Lengths that fasthttp reports for bodies without a stated length.
const (
	chunkedLength    = -1
	untilCloseLength = -2
)

var errAnswerTooLarge = errors.New("the answer is too large")

// body returns a reader of the answer's body. It returns io.EOF only at the
// end that the framing states; a body without framing ends with the
// connection, unless that is reset.
func (a *attempt) body() io.Reader {
	code := a.header.StatusCode()
	if a.exchange.header.IsHead() || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return bytes.NewReader(nil)
	}
	switch n := a.header.ContentLength(); {
	case n >= 0:
		return &exactReader{reader: a.upstream.reader, remaining: n}
	case n == chunkedLength:
		return &chunkedReader{chunks: httputil.NewChunkedReader(a.upstream.reader), reader: a.upstream.reader}
	default:
		return a.upstream.reader
	}
}

// readBody reads the whole body of an answer.
func (a *attempt) readBody() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.body(), maxAnswerBody+1))
	if err == nil && len(b) > maxAnswerBody {
		err = errAnswerTooLarge
	}
	return b, err
}

// skipBody reads a body that is of no use, so that the connection can carry
// the next answer.
func (a *attempt) skipBody() error {
	if a.header.ContentLength() == untilCloseLength {
		return errors.New("the answer ends with its connection")
	}
	_, err := a.readBody()
	return err
}

// exactReader reads a body of known length.
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

// chunkedReader reads a chunked body with its trailer.
type chunkedReader struct {
	chunks io.Reader
	reader *bufio.Reader
	done   bool
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
	for {
		line, trailerErr := c.reader.ReadSlice('\n')
		if trailerErr != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			c.done = true
			return n, io.EOF
		}
	}
}
