package drnet

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Pauses between attempts to write to a socket whose send buffer is full. gnet does not report
// when a socket becomes writable, and its own outbound buffer is unbounded.
const (
	minWriteBackoff = 200 * time.Microsecond
	maxWriteBackoff = 50 * time.Millisecond
)

// Write implements net.Conn. It returns once the kernel's send buffer holds all
// data.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	total, backoff := 0, minWriteBackoff
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
			backoff = minWriteBackoff
			continue
		}
		t := time.NewTimer(backoff)
		select {
		case <-t.C:
		case <-c.socketClosed:
		case <-c.localClosed:
		case <-c.writeDeadline.notification():
		}
		t.Stop()
		backoff = min(2*backoff, maxWriteBackoff)
	}
}

// tryWrite writes as much as the socket's send buffer takes. It returns 0 and
// no error if the buffer is full.
func (c *conn) tryWrite(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case c.gnetClosed:
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
