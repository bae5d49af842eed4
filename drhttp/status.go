package drhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"slices"

	"github.com/valyala/fasthttp"
)

// ErrNoStatus means that an answer has no status: its number is not in 100 to 599.
var ErrNoStatus = errors.New("the answer has no status")

// ReadHeader reads the header of an answer. It fails with ErrNoStatus where fasthttp reads a
// number that is no status, of which it takes 000 for 200; its other errors are those of
// fasthttp.
func ReadHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	line, err := peekFirstLine(reader)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
	case err != nil:
		// The error as fasthttp returns it, without a second read.
		failed := io.MultiReader(bytes.NewReader(line), failingReader{err})
		return header.Read(bufio.NewReaderSize(failed, reader.Size()))
	case !hasStatus(line):
		return ErrNoStatus
	}
	return header.Read(reader)
}

// failingReader is a reader that fails.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// peekFirstLine returns what a reader holds up to the end of the first line that is not empty,
// without reading it. With an error that line is not whole.
func peekFirstLine(reader *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = reader.Buffered() + 1 {
		held, err := reader.Peek(n)
		if err != nil {
			return slices.Clone(held), err
		}
		held, err = reader.Peek(reader.Buffered())
		if err != nil {
			return slices.Clone(held), err
		}
		begun := bytes.TrimLeft(held, "\r\n")
		if i := bytes.IndexByte(begun, '\n'); i >= 0 {
			return begun[:i], nil
		}
	}
}

// hasStatus reports whether the first line of an answer states a status. A line without a
// number of three digits is left to the parser.
func hasStatus(line []byte) bool {
	_, rest, found := bytes.Cut(line, []byte{' '})
	fields := bytes.Fields(rest)
	if !found || len(fields) == 0 || len(fields[0]) != 3 {
		return true
	}
	return fields[0][0] >= '1' && fields[0][0] <= '5'
}

// statusConn is a connection whose answers must state a status. An answer is what follows a
// write.
type statusConn struct {
	net.Conn
	// begun holds the first bytes of an answer that are not checked yet, and awaited is set
	// until enough have come.
	begun   []byte
	awaited bool
}

// statusStart is the number of bytes up to the first digit of the status.
const statusStart = len("HTTP/1.1 ")

// Write implements io.Writer.
func (c *statusConn) Write(p []byte) (int, error) {
	c.begun, c.awaited = c.begun[:0], true
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *statusConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.awaited || n == 0 {
		return n, err
	}
	c.begun = append(c.begun, p[:min(n, statusStart+1-len(c.begun))]...)
	if len(c.begun) <= statusStart {
		return n, err
	}
	c.awaited = false
	if digit := c.begun[statusStart]; bytes.HasPrefix(c.begun, []byte("HTTP/1.")) && (digit == '0' || digit > '5' && digit <= '9') {
		return 0, ErrNoStatus
	}
	return n, err
}
