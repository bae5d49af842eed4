package drcapacity

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards TCP connections to an address and counts their bytes.
type relay struct {
	listener net.Listener
	target   string
	bytes    *atomic.Int64
}

// newRelay starts a relay that adds the bytes of both directions to count.
func newRelay(target string, count *atomic.Int64) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, bytes: count}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(conn net.Conn) {
	defer conn.Close()
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer t.Close()
	var wg sync.WaitGroup
	for _, d := range [][2]net.Conn{{conn, t}, {t, conn}} {
		wg.Go(func() {
			// The end of one direction closes the whole connection: the measured
			// protocols never close a single direction.
			defer conn.Close()
			defer t.Close()
			_, _ = io.Copy(countingWriter{d[0], r.bytes}, d[1])
		})
	}
	wg.Wait()
}

// countingWriter adds the number of bytes written through it to a shared counter.
type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// close stops accepting connections. An open connection stays until one of its
// ends closes it.
func (r *relay) close() { r.listener.Close() }
