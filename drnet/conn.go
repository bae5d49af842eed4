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
	// maxInboundBytes is how many unread bytes a connection buffers at most, and the
	// largest capacity of its buffer. It stops reading from its socket as soon as a
	// further read might exceed it.
	maxInboundBytes = 64 << 10
	// resumeInboundBytes is the number of unread bytes at which a paused
	// connection reads from its socket again. It is well below maxInboundBytes,
	// so that few system calls are spent on changing the epoll set.
	resumeInboundBytes = 16 << 10
	// readChunkBytes is the most that the event loop reads at once.
	readChunkBytes = 16 << 10
	// disconnectPollInterval is the interval at which a paused connection
	// checks whether its peer has disconnected, because the event loop does not
	// read its socket.
	disconnectPollInterval = 100 * time.Millisecond
	// lingerTimeout is how long a locally closed connection with unread input
	// waits for its peer to close.
	lingerTimeout = time.Second
)

// Conn is a connection that reports its peer's disconnect without being read.
// All connections of this package implement it.
type Conn interface {
	net.Conn
	// Done is closed as soon as the peer disconnects or the connection is
	// closed locally, even while nobody reads. Data received before may still
	// be unread. If the peer sent more data before its disconnect than the
	// buffers and the TCP receive window hold, the disconnect is seen only
	// when that data is read.
	Done() <-chan struct{}
	// AwaitData waits until data can be read and returns when the oldest of it
	// was taken from the socket. Data that has arrived counts even if the read
	// deadline has passed. The errors are those of Read.
	AwaitData() (arrivedAt time.Time, err error)
	// PeerClosed reports whether the peer has disconnected, also if the event
	// loop has not noticed yet. It makes a system call.
	PeerClosed() bool
	// Buffered returns the number of unread bytes that were taken from the
	// socket.
	Buffered() int
}

// inboundBuffers is the pool of inbound buffers. A connection without unread
// data has no buffer.
var inboundBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn implements net.Conn on a gnet connection. The event loop appends to the
// inbound buffer and never blocks. Write writes to the socket directly, so that
// the kernel's send buffer is the only outbound buffer. It holds mu during the
// system call, which keeps the event loop from closing the descriptor.
type conn struct {
	local, remote net.Addr
	onClose       func(*conn)
	// lingers is set if the peer shall get what was written even if it goes on sending.
	lingers bool

	traffic *Traffic

	mu         sync.Mutex
	gnetConn   gnet.Conn
	fd         int
	epollFD    int
	inbound    *bytes.Buffer
	arrivedAt  time.Time // when the oldest byte of inbound was received
	readPaused bool
	// gnetClosed is set when gnet closes the socket; gnetCloseErr is then the
	// reason, or nil.
	gnetClosed   bool
	gnetCloseErr error
	// pauseErr is why reading could not be paused, nil if it could.
	pauseErr error
	closed   bool

	// readable holds an element if data or the end of the connection may have
	// arrived since the last read.
	readable chan struct{}
	readMu   sync.Mutex
	writeMu  sync.Mutex
	// done is closed by the peer's disconnect or by Close, localClosed by
	// Close only, and socketClosed when gnet closes the socket.
	done, localClosed, socketClosed chan struct{}
	doneOnce                        sync.Once
	readDeadline                    *deadline
	writeDeadline                   *deadline
}

func newConn(local, remote net.Addr) *conn {
	return &conn{
		local: local, remote: remote,
		readable: make(chan struct{}, 1), done: make(chan struct{}),
		localClosed: make(chan struct{}), socketClosed: make(chan struct{}),
		readDeadline: newDeadline(), writeDeadline: newDeadline(),
	}
}

// handleOpen is called by the event loop before any other event of the
// connection.
func (c *conn) handleOpen(gnetConn gnet.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gnetConn, c.fd, c.epollFD = gnetConn, gnetConn.Fd(), epollFDOf(gnetConn)
}

// wasOpened reports whether the event loop took the connection, even if it has
// closed it since.
func (c *conn) wasOpened() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gnetConn != nil || c.gnetClosed
}

// handleData is called by the event loop when data has arrived. It reports
// whether the connection must be closed because the inbound buffer is full and
// reading cannot be paused.
func (c *conn) handleData(gnetConn gnet.Conn) (overflow bool) {
	data, err := gnetConn.Next(-1)
	if err != nil || len(data) == 0 {
		return false
	}
	c.traffic.addReceived(len(data))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false // nobody reads any more
	}
	if c.inbound == nil {
		c.inbound = inboundBuffers.Get().(*bytes.Buffer)
		c.arrivedAt = time.Now()
	}
	c.addInbound(data)
	c.wakeReader()
	if c.inbound.Len()+readChunkBytes <= maxInboundBytes {
		return false
	}
	c.pauseErr = c.pauseReading()
	return c.pauseErr != nil
}

// addInbound appends to the inbound buffer, which a bytes.Buffer alone would let grow to
// twice what it holds. The caller holds mu.
func (c *conn) addInbound(data []byte) {
	unread, size := c.inbound.Bytes(), c.inbound.Len()+len(data)
	switch {
	case len(data) <= c.inbound.Available():
	case size <= c.inbound.Cap():
		c.inbound.Reset()
		c.inbound.Write(unread) // moves it to the beginning
	default:
		capacity := max(size, min(2*c.inbound.Cap(), maxInboundBytes))
		c.inbound = bytes.NewBuffer(append(make([]byte, 0, capacity), unread...))
	}
	c.inbound.Write(data)
}

// pauseReading makes the event loop stop reading the socket, so that TCP flow
// control slows the peer down. The caller holds mu.
func (c *conn) pauseReading() error {
	if err := setEvents(c.epollFD, c.fd, 0); err != nil {
		return err
	}
	if !c.readPaused {
		c.readPaused = true
		time.AfterFunc(disconnectPollInterval, c.checkDisconnect)
	}
	return nil
}

// checkDisconnect closes done if the peer disconnected while reading is paused,
// and otherwise checks again after disconnectPollInterval. It leaves the unread
// data in the socket.
func (c *conn) checkDisconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readPaused || c.gnetClosed || c.closed {
		return
	}
	if peerClosed(c.fd) {
		c.closeDone()
		return
	}
	time.AfterFunc(disconnectPollInterval, c.checkDisconnect)
}

// handleClose is called by the event loop just before it closes the socket. err
// is why it does, nil if handleData or this side has asked for it.
func (c *conn) handleClose(err error) {
	c.mu.Lock()
	c.gnetClosed, c.gnetConn, c.gnetCloseErr = true, nil, c.closeCause(err)
	c.mu.Unlock()
	c.closeDone()
	close(c.socketClosed)
	c.wakeReader()
	if c.onClose != nil {
		c.onClose(c)
	}
}

// closeCause returns the error of reads after gnet has closed the socket with
// err, nil or one that wraps io.EOF if the peer has ended the connection in
// order. The caller holds mu.
func (c *conn) closeCause(err error) error {
	switch {
	case c.pauseErr != nil:
		return c.pauseErr
	case err == io.EOF: //nolint:errorlint // an end that was read is wrapped
		// epoll has reported an error and nothing to read, as it does of a
		// reset while reading is paused. gnet does not ask for the error.
		return unix.ECONNRESET
	}
	return err
}

func (c *conn) closeDone() { c.doneOnce.Do(func() { close(c.done) }) }

// wakeReader makes a blocked Read try again.
func (c *conn) wakeReader() {
	select {
	case c.readable <- struct{}{}:
	default:
	}
}

// Read implements net.Conn. After the peer's disconnect it returns the data
// received before, and then the error.
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
		c.awaitChange()
	}
}

// awaitChange waits until a read may have another result.
func (c *conn) awaitChange() {
	select {
	case <-c.readable:
	case <-c.localClosed:
	case <-c.readDeadline.notification():
	}
}

// AwaitData implements Conn.
func (c *conn) AwaitData() (arrivedAt time.Time, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		expired := c.readDeadline.expired()
		arrivedAt, err := c.oldestData()
		if err != nil || !arrivedAt.IsZero() {
			return arrivedAt, err
		}
		switch {
		case !expired:
			c.awaitChange()
		case c.hasUnreadInput():
			c.awaitEventLoop()
		default:
			return time.Time{}, c.opError("read", os.ErrDeadlineExceeded)
		}
	}
}

// awaitEventLoop waits, whatever the read deadline, until the event loop has taken data from
// the socket or closed it.
func (c *conn) awaitEventLoop() {
	select {
	case <-c.readable:
	case <-c.localClosed:
	}
}

// hasUnreadInput reports whether the event loop has something to take from the socket.
func (c *conn) hasUnreadInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.gnetClosed && !c.readPaused && hasInput(c.fd)
}

// oldestData returns when the oldest unread data was received, the zero time if
// there is none yet, or the error of a read.
func (c *conn) oldestData() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return time.Time{}, c.opError("read", net.ErrClosed)
	case c.inbound != nil:
		return c.arrivedAt, nil
	case c.gnetClosed:
		return time.Time{}, c.closeError()
	}
	return time.Time{}, nil
}

// closeError returns the error of a read after the peer's disconnect. The caller
// holds mu.
func (c *conn) closeError() error {
	if c.gnetCloseErr == nil || errors.Is(c.gnetCloseErr, io.EOF) {
		return io.EOF
	}
	return c.opError("read", c.gnetCloseErr)
}

// PeerClosed implements Conn.
func (c *conn) PeerClosed() bool {
	select {
	case <-c.done:
		return true
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.gnetClosed || peerClosed(c.fd)
}

// tryRead reads what is buffered, and resumes reading from the socket if the
// buffer has been emptied far enough. It returns 0 and no error if the reader
// has to wait.
func (c *conn) tryRead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, c.opError("read", net.ErrClosed)
	}
	n := 0
	if c.inbound != nil {
		n, _ = c.inbound.Read(p)
		if c.inbound.Len() == 0 {
			c.releaseBuffer()
		}
	}
	if c.readPaused && !c.gnetClosed && (c.inbound == nil || c.inbound.Len() <= resumeInboundBytes) {
		c.readPaused = false
		if err := setEvents(c.epollFD, c.fd, readEvents); err != nil {
			return n, c.opError("read", err)
		}
	}
	if n > 0 || !c.gnetClosed {
		return n, nil
	}
	return 0, c.closeError()
}

// releaseBuffer returns the inbound buffer to the pool. The caller holds mu.
func (c *conn) releaseBuffer() {
	c.inbound.Reset()
	inboundBuffers.Put(c.inbound)
	c.inbound = nil
}

// Close implements net.Conn. It drops the data that was not read. The kernel
// still delivers the data that was written. A dialled connection that is closed amid the
// peer's data is reset, which ends the peer's sending.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.localClosed)
	c.closeDone()
	if c.inbound != nil {
		c.releaseBuffer()
	}
	if c.gnetConn == nil {
		return nil
	}
	if !c.readPaused || !c.lingers {
		return c.gnetConn.Close()
	}
	return c.linger()
}

// linger closes a connection whose socket may hold unread data. Closing that
// socket at once would send a reset, and the peer would then discard what it
// has received and not yet read. So linger shuts down the sending direction,
// drops what arrives, and closes the socket when the peer does or after
// lingerTimeout. The caller holds mu.
func (c *conn) linger() error {
	gnetConn := c.gnetConn
	if unix.Shutdown(c.fd, unix.SHUT_WR) != nil || setEvents(c.epollFD, c.fd, readEvents) != nil {
		return gnetConn.Close()
	}
	time.AfterFunc(lingerTimeout, func() { _ = gnetConn.Close() })
	return nil
}

// Buffered implements Conn.
func (c *conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbound == nil {
		return 0
	}
	return c.inbound.Len()
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
