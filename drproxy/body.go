package drproxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxAnswerBody bounds the body of an answer that is not a stream, in bytes.
	maxAnswerBody = 8 << 20
	// maxSkippedBody, in bytes, and skipTimeout bound a body that is read only to
	// use its connection again.
	maxSkippedBody = 64 << 10
	skipTimeout    = 50 * time.Millisecond
	// maxTrailer bounds the trailer of a chunked body, in bytes.
	maxTrailer = 8 << 10
)

// Values of fasthttp's ContentLength for bodies without that header.
const (
	chunkedLength    = -1 // Transfer-Encoding: chunked
	untilCloseLength = -2 // the body ends when its connection closes
)

var errAnswerTooLarge = errors.New("the body of the runner's answer exceeds the size limit")

// body returns a reader of the answer's body. The reader returns io.EOF only at
// the end that Content-Length or the chunked encoding states, and
// io.ErrUnexpectedEOF if the connection ends earlier. A body with neither ends
// when the runner closes the connection in order; a reset gives an error.
func (a *attempt) body() io.Reader {
	code := a.header.StatusCode()
	if a.exchange.header.IsHead() || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return bytes.NewReader(nil)
	}
	switch n := a.header.ContentLength(); {
	case n >= 0:
		return &exactReader{reader: a.upstream.reader, remaining: n}
	case n == chunkedLength:
		return newChunkedReader(a.upstream.reader)
	default:
		return a.upstream.reader
	}
}

// readBody reads the whole body of an answer, up to maxAnswerBody.
func (a *attempt) readBody() ([]byte, error) {
	return a.exchange.readAll(a.body(), &a.upstream.turn, maxAnswerBody, errAnswerTooLarge)
}

// readAll reads a body to its end, in turns with other long ones: inTurn is that of the
// connection. It fails with tooLarge if there are more than limit bytes, and with
// errOutOfMemory.
func (x *exchange) readAll(r io.Reader, inTurn **turn, limit int, tooLarge error) ([]byte, error) {
	t := &turn{turns: x.server.turns}
	*inTurn = t
	defer func() {
		*inTurn = nil
		t.end()
	}()
	var body []byte
	for {
		if len(body) > limit {
			return nil, tooLarge
		}
		var err error
		if body, err = x.grow(body, limit+1); err != nil {
			return nil, err
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// skipBody reads and drops the body, so that the next answer can be read from
// the connection. It fails if the body ends only with the connection, or is so
// long or slow that a new connection is the better choice.
func (a *attempt) skipBody() error {
	if a.header.ContentLength() == untilCloseLength {
		return errors.New("the answer's body ends only when its connection closes")
	}
	_ = a.upstream.SetReadDeadline(earlier(a.exchange.timeoutAt, time.Now().Add(skipTimeout)))
	n, err := io.Copy(io.Discard, io.LimitReader(a.body(), maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		err = errAnswerTooLarge
	}
	return err
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
// stands at the next answer.
type chunkedReader struct {
	chunks io.Reader
	reader *bufio.Reader
	done   bool
}

// newChunkedReader returns a reader of the chunked body at which reader stands. The
// reader returns io.EOF only after the trailer.
func newChunkedReader(reader *bufio.Reader) *chunkedReader {
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
	for read := 0; ; {
		line, trailerErr := c.reader.ReadSlice('\n')
		read += len(line)
		if trailerErr != nil || read > maxTrailer {
			return n, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			c.done = true
			return n, io.EOF
		}
	}
}
