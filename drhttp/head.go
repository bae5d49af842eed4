package drhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/valyala/fasthttp"
)

// ErrNoStatus means that an answer has no status: its number is not in 100 to 599.
var ErrNoStatus = errors.New("the answer has no status")

// errSwitched and errInterim are errors of an answer that has no final head.
var (
	errSwitched = errors.New("the server switched protocols")
	errInterim  = errors.New("the server sent too many interim answers")
)

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 16

// ReadHeader reads the header of an answer. It fails with ErrNoStatus or ErrMalformed as soon
// as a line is none by the grammar of RFC 9112; its other errors are those of fasthttp.
func ReadHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	return readHead(reader, headCheck{isAnswer: true}, header.Read)
}

// ReadFinalHeader reads the header of the final answer. It skips interim ones.
func ReadFinalHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	for range maxInterim + 1 {
		if err := ReadHeader(header, reader); err != nil {
			return err
		}
		switch code := header.StatusCode(); {
		case code >= fasthttp.StatusOK:
			return nil
		case code == fasthttp.StatusSwitchingProtocols:
			return errSwitched
		}
	}
	return errInterim
}

// ReadRequestHeader reads the header of a request. It fails with ErrMalformed as soon as a
// field is none by the grammar of RFC 9112; its other errors are those of fasthttp.
func ReadRequestHeader(header *fasthttp.RequestHeader, reader *bufio.Reader) error {
	return readHead(reader, headCheck{}, header.Read)
}

// CheckFields checks the lines of a head's fields, as they came, with the empty line or
// without it. Its error is ErrMalformed.
func CheckFields(lines []byte) error {
	var fields fieldSection
	for line := range bytes.Lines(lines) {
		if line = trimLineEnd(line); len(line) == 0 {
			return nil
		}
		if err := fields.check(line); err != nil {
			return err
		}
	}
	return nil
}

// readHead checks a head and has it read by parse, a method of fasthttp.
func readHead(reader *bufio.Reader, check headCheck, parse func(*bufio.Reader) error) error {
	held, err := peekHead(reader, &check)
	switch {
	case err == nil, errors.Is(err, bufio.ErrBufferFull):
		return parse(reader)
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrNoStatus):
		return err
	default:
		// The error as fasthttp returns it, without a second read.
		failed := io.MultiReader(bytes.NewReader(held), failingReader{err})
		return parse(bufio.NewReaderSize(failed, reader.Size()))
	}
}

// failingReader is a reader that fails.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// peekHead checks the lines of a head as they arrive, without reading them. If they cannot be
// had it returns what there is.
func peekHead(reader *bufio.Reader, check *headCheck) ([]byte, error) {
	checked := 0
	for n := 1; ; n = reader.Buffered() + 1 {
		if held, err := reader.Peek(n); err != nil {
			return slices.Clone(held), err
		}
		held, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, fmt.Errorf("look at a head: %w", err)
		}
		for {
			end := bytes.IndexByte(held[checked:], '\n') + 1
			if end == 0 {
				break
			}
			done, err := check.next(held[checked : checked+end])
			if done || err != nil {
				return nil, err
			}
			checked += end
		}
	}
}

// headCheck checks the lines of a head, in order.
type headCheck struct {
	isAnswer bool

	// started is set after the first line, otherVersion if that names another version than
	// HTTP/1.1.
	started, otherVersion bool
	fields                fieldSection
	// crlf is set if the line before ended with CRLF and not with LF alone.
	crlf bool
}

// next checks a line with its end, and reports whether it ends the head. Empty lines before the
// first one are passed over.
func (c *headCheck) next(line []byte) (done bool, err error) {
	text := trimLineEnd(line)
	crlf := len(line)-len(text) == len("\r\n")
	if len(text) == 0 {
		// fasthttp would look for this end in the body.
		if c.started && (!crlf || !c.crlf) {
			return false, errHeadEnd
		}
		return c.started, nil
	}
	c.crlf = crlf
	if !c.started {
		c.started = true
		return false, c.checkStart(text)
	}
	if err := c.fields.check(text); err != nil {
		return false, err
	}
	if c.otherVersion && isTransferEncoding(text) {
		return false, errFraming // fasthttp would take the chunks for the body
	}
	return false, nil
}

// checkStart checks the first line. That of a request is left to fasthttp.
func (c *headCheck) checkStart(line []byte) error {
	if !c.isAnswer {
		return nil
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	c.otherVersion = !bytes.HasPrefix(line, []byte("HTTP/1.1 "))
	return nil
}

// isTransferEncoding reports whether a line is that field.
func isTransferEncoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte{':'})
	return bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// trimLineEnd returns a line without its LF or CRLF.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}
