package drnet

import "crypto/tls"

// tlsConn is a TLS connection that implements Conn.
type tlsConn struct {
	*tls.Conn
	inner *conn
}

// Done implements Conn. It follows the TCP connection below TLS.
func (c tlsConn) Done() <-chan struct{} { return c.inner.Done() }
