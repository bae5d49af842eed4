package drnet

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxInbound is how many unread bytes a connection holds before it stops
	// reading from its socket. One read of the event loop may exceed it.
	maxInbound = 256 << 10
	// resumeInbound is the fill level at which a paused connection reads
	// again; well below maxInbound, so that the epoll set seldom changes.
	resumeInbound = 64 << 10
	// readChunk is the most that the event loop reads at once.
	readChunk = 64 << 10
	// maxPooled bounds the capacity of pooled inbound buffers.
	maxPooled = 2 * (maxInbound + readChunk)
	// hangUpPoll is the interval at which a paused connection, whose socket
	// is not in the epoll set, looks for the peer's disconnect.
	hangUpPoll = 100 * time.Millisecond
	// minWriteWait and maxWriteWait bound the back-off between attempts to
	// write to a full socket. gnet reports no writability, and its own
	// outbound buffer is unbounded.
	minWriteWait = 200 * time.Microsecond
	maxWriteWait = 50 * time.Millisecond
	// lingerTime is how long a closed connection with unread input waits for
	// its peer to close.
	lingerTime = time.Second
)

// Conn is a connection that reports the end of its peer.
type Conn interface {
	net.Conn
	// Done is closed as soon as the peer disconnects or the connection is
	// closed here, even while nobody reads. Data received before may still be
	// unread. A disconnect that follows more data than the buffers and the
	// TCP receive window hold is seen only when that data is read.
	Done() <-chan struct{}
}

// buffers holds inbound buffers, which idle connections do not keep.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn bridges a gnet connection to net.Conn. The event loop appends to the
// inbound buffer and never waits. Writers write to the socket themselves, so
// that the kernel's send buffer is the only outbound buffer; the mutex keeps
// the event loop from closing the descriptor during the system call.
type conn struct {
	local, remote net.Addr
	onClose       func(*conn)

	traffic *Traffic

	mu     sync.Mutex
	gc     gnet.Conn
	fd     int
	epoll  int
	in     *bytes.Buffer
	paused bool
	// ended is set when gnet closed the socket, with the reason in endErr.
	ended  bool
	endErr error
	closed bool

	// readable holds a token when data or the end arrived.
	readable chan struct{}
	readMu   sync.Mutex
	writeMu  sync.Mutex
	// done is closed with the peer's disconnect, gone with the socket,
	// localClosed by Close.
	done, localClosed, gone chan struct{}
	doneOnce                sync.Once
	readDeadline            *deadline
	writeDeadline           *deadline
}

func newConn(local, remote net.Addr) *conn {
	return &conn{
		local: local, remote: remote,
		readable: make(chan struct{}, 1), done: make(chan struct{}),
		localClosed: make(chan struct{}), gone: make(chan struct{}),
		readDeadline: newDeadline(), writeDeadline: newDeadline(),
	}
}

// opened is called by the event loop before any other event.
func (c *conn) opened(gc gnet.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gc, c.fd, c.epoll = gc, gc.Fd(), epollOf(gc)
}

func (c *conn) wasOpened() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gc != nil || c.ended
}

// received is called by the event loop with new data. It reports whether the
// connection must be closed because its reading cannot be paused.
func (c *conn) received(gc gnet.Conn) (overflow bool) {
	data, err := gc.Next(-1)
	if err != nil || len(data) == 0 {
		return false
	}
	c.traffic.addReceived(len(data))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false // nobody reads any more
	}
	if c.in == nil {
		c.in = buffers.Get().(*bytes.Buffer)
	}
	c.in.Write(data)
	c.wakeReader()
	if c.in.Len() < maxInbound {
		return false
	}
	return c.pause() != nil
}

// pause takes the socket out of the set that the event loop reads, so that
// TCP flow control slows the peer down.
func (c *conn) pause() error {
	if err := setEvents(c.epoll, c.fd, 0); err != nil {
		return err
	}
	if !c.paused {
		c.paused = true
		time.AfterFunc(hangUpPoll, c.checkHangUp)
	}
	return nil
}

// checkHangUp looks for the peer's disconnect while the connection is paused.
// The unread data stays in the socket until the reader asks for it.
func (c *conn) checkHangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.paused || c.ended || c.closed {
		return
	}
	if hungUp(c.fd) {
		c.markDone()
		return
	}
	time.AfterFunc(hangUpPoll, c.checkHangUp)
}

// finished is called by the event loop just before it closes the socket.
func (c *conn) finished(err error) {
	c.mu.Lock()
	c.ended, c.gc, c.endErr = true, nil, err
	c.mu.Unlock()
	c.markDone()
	close(c.gone)
	c.wakeReader()
	if c.onClose != nil {
		c.onClose(c)
	}
}

func (c *conn) markDone() { c.doneOnce.Do(func() { close(c.done) }) }

func (c *conn) wakeReader() {
	select {
	case c.readable <- struct{}{}:
	default:
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		if c.readDeadline.expired() {
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		}
		n, err := c.tryRead(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		select {
		case <-c.readable:
		case <-c.localClosed:
		case <-c.readDeadline.wait():
		}
	}
}

// tryRead returns 0 and no error if the reader has to wait.
func (c *conn) tryRead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, c.opError("read", net.ErrClosed)
	}
	n := 0
	if c.in != nil {
		n, _ = c.in.Read(p)
		if c.in.Len() == 0 {
			c.releaseBuffer()
		}
	}
	if c.paused && !c.ended && (c.in == nil || c.in.Len() <= resumeInbound) {
		c.paused = false
		if err := setEvents(c.epoll, c.fd, readEvents); err != nil {
			return n, c.opError("read", err)
		}
	}
	if n > 0 || !c.ended {
		return n, nil
	}
	if c.endErr == nil || errors.Is(c.endErr, io.EOF) {
		return 0, io.EOF
	}
	return 0, c.opError("read", c.endErr)
}

// releaseBuffer gives the buffer back. A buffer that grew to the limit by
// doubling is kept: dropping it costs 60 % of the throughput of bulk data.
func (c *conn) releaseBuffer() {
	if c.in.Cap() <= maxPooled {
		c.in.Reset()
		buffers.Put(c.in)
	}
	c.in = nil
}

// Write implements net.Conn. It returns once the kernel has taken all data.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	total, wait := 0, minWriteWait
	for {
		if c.writeDeadline.expired() {
			return total, c.opError("write", os.ErrDeadlineExceeded)
		}
		n, err := c.tryWrite(p[total:])
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
		if n > 0 {
			wait = minWriteWait
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-c.gone:
		case <-c.localClosed:
		case <-c.writeDeadline.wait():
		}
		t.Stop()
		wait = min(2*wait, maxWriteWait)
	}
}

// tryWrite returns 0 and no error if the socket's send buffer is full.
func (c *conn) tryWrite(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case c.ended:
		return 0, c.opError("write", unix.EPIPE)
	case len(p) == 0:
		return 0, nil
	}
	n, err := unix.Write(c.fd, p)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return 0, nil
	}
	if err != nil {
		return 0, c.opError("write", os.NewSyscallError("write", err))
	}
	c.traffic.addSent(n)
	return n, nil
}

// Close implements net.Conn. The kernel still delivers what was written.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.localClosed)
	c.markDone()
	if c.in != nil {
		c.releaseBuffer()
	}
	if c.gc == nil {
		return nil
	}
	if !c.paused {
		return c.gc.Close()
	}
	return c.linger()
}

// linger closes a connection whose socket holds unread data. Closing it at
// once would send a reset, upon which the peer discards what it has not yet
// read of our output.
func (c *conn) linger() error {
	gc := c.gc
	if unix.Shutdown(c.fd, unix.SHUT_WR) != nil || setEvents(c.epoll, c.fd, readEvents) != nil {
		return gc.Close()
	}
	time.AfterFunc(lingerTime, func() { _ = gc.Close() })
	return nil
}

// Buffered returns the number of bytes that arrived and were not read yet.
func (c *conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.in == nil {
		return 0
	}
	return c.in.Len()
}

// Done implements Conn.
func (c *conn) Done() <-chan struct{} { return c.done }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
