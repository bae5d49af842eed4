package drmatrix

import (
	"io"
	"net"
	"sync"
	"testing"
)

// logLink forwards one VM's connections to the log, except while it is cut.
type logLink struct {
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func newLogLink(t testing.TB, to string) *logLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &logLink{listener: listener, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c, to)
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		l.setCut(true)
	})
	return l
}

func (l *logLink) address() string { return l.listener.Addr().String() }

// setCut cuts or restores the link. A cut closes the open connections.
func (l *logLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			c.Close()
		}
		clear(l.conns)
	}
}

func (l *logLink) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.conns[conn] = true
	}
	return !l.cut
}

func (l *logLink) forward(conn net.Conn, to string) {
	defer conn.Close()
	if !l.track(conn) {
		return
	}
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer d.Close()
	if !l.track(d) {
		return
	}
	go func() {
		_, _ = io.Copy(d, conn)
		d.Close()
	}()
	_, _ = io.Copy(conn, d)
}
