package drnet

import (
	"crypto/tls"
	"time"
)

// tlsConn is a TLS connection that implements Conn.
type tlsConn struct {
	*tls.Conn
	inner *conn
}

// Done implements Conn. It follows the TCP connection below TLS.
func (c tlsConn) Done() <-chan struct{} { return c.inner.Done() }

// AwaitData implements Conn. It follows the TCP connection below TLS, and does
// not see data that has been decrypted and not read.
func (c tlsConn) AwaitData() (time.Time, error) { return c.inner.AwaitData() }

// PeerClosed implements Conn.
func (c tlsConn) PeerClosed() bool { return c.inner.PeerClosed() }

// Buffered implements Conn. It counts encrypted bytes.
func (c tlsConn) Buffered() int { return c.inner.Buffered() }
