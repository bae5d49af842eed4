package drengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// readBuffer suits several token lines.
const readBuffer = 2 << 10

// tokenDecoder reads the lines of a generation and checks their order.
type tokenDecoder struct {
	reader  *bufio.Reader
	maxLine int
	next    int // expected index
	// done is also read by the goroutine that closes the stream.
	done atomic.Bool
	err  error
}

func newTokenDecoder(r io.Reader, maxLine, from int) *tokenDecoder {
	return &tokenDecoder{reader: bufio.NewReaderSize(r, readBuffer), maxLine: maxLine, next: from}
}

// token returns the next token. After an error it returns the same error; no
// token that is out of order, doubled or cut off is ever returned.
func (d *tokenDecoder) token() (Token, error) {
	if d.err != nil {
		return Token{}, d.err
	}
	if d.done.Load() {
		return Token{}, io.EOF
	}
	t, err := d.decode()
	if err != nil {
		d.err = err
		return Token{}, err
	}
	d.next++
	d.done.Store(t.Done)
	return t, nil
}

func (d *tokenDecoder) decode() (Token, error) {
	line, err := d.line()
	if err != nil {
		return Token{}, err
	}
	// A line without an index must not count as token 0.
	var raw struct {
		Token
		Index *int `json:"index"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Token{}, fmt.Errorf("token line: %w", err)
	}
	t := raw.Token
	t.Index = d.next
	switch {
	case t.Done && t.Text != "":
		return Token{}, errors.New("the last line carries a text")
	case t.Done:
		return t, nil
	case raw.Index == nil:
		return Token{}, errors.New("token line has no index")
	case *raw.Index != d.next:
		return Token{}, fmt.Errorf("token index %d, want %d", *raw.Index, d.next)
	}
	return t, nil
}

// line returns the next line without its end. It is valid until the next call.
func (d *tokenDecoder) line() ([]byte, error) {
	var long []byte
	for {
		part, err := d.reader.ReadSlice('\n')
		if len(long)+len(part) > d.maxLine {
			return nil, fmt.Errorf("token line exceeds %d bytes", d.maxLine)
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
