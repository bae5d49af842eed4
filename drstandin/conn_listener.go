package drstandin

import (
	"net"
	"sync"
)

// connListener tracks its open connections, so that an injected fault can close
// them all.
type connListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newConnListener(ln net.Listener) *connListener {
	return &connListener{Listener: ln, conns: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[tracked] = struct{}{}
	l.mu.Unlock()
	return tracked, nil
}

// closeConns closes the open connections, but not the listener.
func (l *connListener) closeConns() {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// trackedConn removes itself from its listener's set when closed.
type trackedConn struct {
	net.Conn
	listener *connListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
