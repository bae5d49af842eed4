package drproxy

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/dotterelridge/dotterelridge/drhttp"
)

const (
	// maxAnswerBody bounds the body of an answer that is not a stream, in bytes.
	maxAnswerBody = 8 << 20
	// maxSkippedBody, in bytes, and skipTimeout bound a body that is read only to
	// use its connection again.
	maxSkippedBody = 64 << 10
	skipTimeout    = 50 * time.Millisecond
)

var errAnswerTooLarge = errors.New("the body of the runner's answer exceeds the size limit")

// body returns a reader of the answer's body; see drhttp.Body.
func (a *attempt) body() io.Reader {
	if a.exchange.header.IsHead() {
		return bytes.NewReader(nil)
	}
	return drhttp.Body(&a.header, a.upstream.reader)
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
	if a.header.ContentLength() == drhttp.UntilCloseLength {
		return errors.New("the answer's body ends only when its connection closes")
	}
	_ = a.upstream.SetReadDeadline(earlier(a.exchange.timeoutAt, time.Now().Add(skipTimeout)))
	n, err := io.Copy(io.Discard, io.LimitReader(a.body(), maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		err = errAnswerTooLarge
	}
	return err
}
