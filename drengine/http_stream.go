package drengine

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/dotterelridge/dotterelridge/drhttp"
)

// httpStream is a TokenStream over the body of an answer.
type httpStream struct {
	ctx     context.Context
	body    io.Reader
	decoder *tokenDecoder
	stop    func() bool
	closing sync.Once
}

func newHTTPStream(ctx context.Context, body io.Reader, maxLine, from int) *httpStream {
	s := &httpStream{ctx: ctx, body: body, decoder: newTokenDecoder(body, maxLine, from)}
	s.stop = context.AfterFunc(ctx, func() { s.closing.Do(func() { drhttp.CloseStream(body) }) })
	return s
}

// Next implements TokenStream.
func (s *httpStream) Next() (Token, error) {
	t, err := s.decoder.token()
	if err == nil || errors.Is(err, io.EOF) {
		return t, err
	}
	return t, brokenError(s.ctx, err)
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.stop()
	s.closing.Do(func() {
		if !s.decoder.done.Load() {
			drhttp.CloseStream(s.body)
			return
		}
		// The end of the body after the last token has to be read before the
		// connection can be used again. This must not delay the caller.
		go func() {
			_, _ = io.CopyN(io.Discard, s.body, 1)
			drhttp.CloseStream(s.body)
		}()
	})
	return nil
}
