package drengine

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/dotterelridge/dotterelridge/drhttp"
)

// httpStream is a TokenStream that reads the body of a response. The end of ctx closes
// the body, so that a waiting Next returns.
type httpStream struct {
	ctx           context.Context
	body          io.Reader
	decoder       *tokenDecoder
	detachContext func() bool // keeps a later end of ctx from closing the body
	closeOnce     sync.Once
}

func newHTTPStream(ctx context.Context, body io.Reader, maxLineBytes, fromIndex int) *httpStream {
	s := &httpStream{ctx: ctx, body: body, decoder: newTokenDecoder(body, maxLineBytes, fromIndex)}
	s.detachContext = context.AfterFunc(ctx, func() { s.closeOnce.Do(func() { drhttp.CloseStream(body) }) })
	return s
}

// Next implements TokenStream.
func (s *httpStream) Next() (Token, error) {
	token, err := s.decoder.next()
	if err == nil || errors.Is(err, io.EOF) {
		return token, err
	}
	return token, readError(s.ctx, err)
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.detachContext()
	s.closeOnce.Do(func() {
		if !s.decoder.done.Load() {
			drhttp.CloseStream(s.body)
			return
		}
		// The end of the body comes after the last token and must be read before
		// the connection can be used again. A goroutine reads it, so that the
		// caller does not have to wait.
		go func() {
			_, _ = io.CopyN(io.Discard, s.body, 1)
			drhttp.CloseStream(s.body)
		}()
	})
	return nil
}
