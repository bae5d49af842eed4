package drengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// readBufferBytes holds several usual token lines. Longer lines are joined from parts.
const readBufferBytes = 2 << 10

// tokenDecoder reads the lines of a token stream and checks that the indexes are
// consecutive.
type tokenDecoder struct {
	reader       *bufio.Reader
	maxLineBytes int
	nextIndex    int // index that the next token must have
	// done says that the last token was read. It is atomic because Close may read
	// it in another goroutine.
	done atomic.Bool
	err  error
}

func newTokenDecoder(r io.Reader, maxLineBytes, fromIndex int) *tokenDecoder {
	return &tokenDecoder{reader: bufio.NewReaderSize(r, readBufferBytes), maxLineBytes: maxLineBytes, nextIndex: fromIndex}
}

// next returns the next token, or io.EOF after the last one. A token that is out of
// order, repeated or cut off gives an error, and each later call returns this error.
func (d *tokenDecoder) next() (Token, error) {
	if d.err != nil {
		return Token{}, d.err
	}
	if d.done.Load() {
		return Token{}, io.EOF
	}
	token, err := d.decodeLine()
	if err != nil {
		d.err = err
		return Token{}, err
	}
	d.nextIndex++
	d.done.Store(token.Done)
	return token, nil
}

// decodeLine reads a line and checks that it is the token that must come next.
func (d *tokenDecoder) decodeLine() (Token, error) {
	line, err := d.readLine()
	if err != nil {
		return Token{}, err
	}
	// The pointer tells a missing index from index 0.
	var raw struct {
		Token
		Index *int `json:"index"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Token{}, fmt.Errorf("decode token line: %w", err)
	}
	token := raw.Token
	token.Index = d.nextIndex
	switch {
	case token.Done && token.Text != "":
		return Token{}, errors.New("last token line has a text")
	case token.Done:
		return token, nil
	case raw.Index == nil:
		return Token{}, errors.New("token line has no index")
	case *raw.Index != d.nextIndex:
		return Token{}, fmt.Errorf("token line has index %d, want %d", *raw.Index, d.nextIndex)
	}
	return token, nil
}

// readLine returns the next line without its newline. It is valid until the next call.
// A stream that ends without a last token gives io.ErrUnexpectedEOF.
func (d *tokenDecoder) readLine() ([]byte, error) {
	var long []byte
	for {
		part, err := d.reader.ReadSlice('\n')
		if len(long)+len(part) > d.maxLineBytes {
			return nil, fmt.Errorf("token line exceeds %d bytes", d.maxLineBytes)
		}
		switch {
		case err == nil && long == nil:
			return part[:len(part)-1], nil
		case err == nil:
			return append(long, part[:len(part)-1]...), nil
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
