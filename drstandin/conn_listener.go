package drstandin

import (
	"net"
	"sync"
)

// connListener remembers its connections, so that a fault can drop them all.
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
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[t] = struct{}{}
	l.mu.Unlock()
	return t, nil
}

func (l *connListener) dropAll() {
	l.mu.Lock()
	cs := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		cs = append(cs, c)
	}
	l.mu.Unlock()
	for _, c := range cs {
		c.Close()
	}
}

// trackedConn leaves its listener's list when closed.
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
