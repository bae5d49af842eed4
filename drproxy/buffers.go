package drproxy

import (
	"bufio"
	"sync"
)

// Pools of the buffers that connections use while they carry a request.
var (
	readers sync.Pool // of *bufio.Reader, of different sizes
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// acquireBuffers gives the connection a reader of the given size in bytes, if it
// has none, and a writer. fasthttp reads a header only if it fits the buffer.
func (c *clientConn) acquireBuffers(size int) {
	if c.reader == nil {
		c.reader = acquireReader(size)
		c.reader.Reset(c)
	}
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(c)
}

// releaseBuffers gives the buffers back, except a reader that holds the
// beginning of the next request.
func (c *clientConn) releaseBuffers() {
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.writer = nil
	if c.reader.Buffered() == 0 {
		releaseReader(c.reader)
		c.reader = nil
	}
}

// acquireReader returns a reader of the given size in bytes.
func acquireReader(size int) *bufio.Reader {
	if r, ok := readers.Get().(*bufio.Reader); ok && r.Size() == size {
		return r
	}
	return bufio.NewReaderSize(nil, size)
}

func releaseReader(r *bufio.Reader) {
	r.Reset(nil)
	readers.Put(r)
}
