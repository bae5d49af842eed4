package drproxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// maxAnswer bounds the body of an answer that is not a stream.
const maxAnswer = 8 << 20

// Lengths that fasthttp reports for bodies without a stated length.
const (
	chunkedLength  = -1
	untilEndLength = -2
)

var errAnswerTooLarge = errors.New("the answer is too large")

// body returns a reader of the answer's body. It returns io.EOF only at the
// end that the framing states; a body without framing ends with the
// connection, unless that is reset.
func (a *attempt) body() io.Reader {
	code := a.header.StatusCode()
	if a.x.header.IsHead() || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return bytes.NewReader(nil)
	}
	switch n := a.header.ContentLength(); {
	case n >= 0:
		return &exactReader{r: a.up.r, left: n}
	case n == chunkedLength:
		return &chunkedReader{r: httputil.NewChunkedReader(a.up.r), raw: a.up.r}
	default:
		return a.up.r
	}
}

// readBody reads the whole body of an answer.
func (a *attempt) readBody() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.body(), maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errAnswerTooLarge
	}
	return b, err
}

// skipBody reads a body that is of no use, so that the connection can carry
// the next answer.
func (a *attempt) skipBody() error {
	if a.header.ContentLength() == untilEndLength {
		return errors.New("the answer ends with its connection")
	}
	_, err := a.readBody()
	return err
}

// exactReader reads a body of known length.
type exactReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(len(p), e.left)])
	e.left -= n
	if errors.Is(err, io.EOF) && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body with its trailer.
type chunkedReader struct {
	r   io.Reader
	raw *bufio.Reader
	end bool
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.end {
		return 0, io.EOF
	}
	n, err := c.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for {
		line, trailerErr := c.raw.ReadSlice('\n')
		if trailerErr != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			c.end = true
			return n, io.EOF
		}
	}
}
