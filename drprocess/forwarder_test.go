package drprocess

import (
	"io"
	"net"
	"sync"
	"testing"
)

// forwarder forwards TCP connections to a target, except while it is cut.
type forwarder struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    bool
	conns    []net.Conn
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	f := &forwarder{listener: l, target: target}
	go f.accept()
	return f // stays open until the test process ends, since a VM keeps using it
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.forward(in)
	}
}

func (f *forwarder) forward(incoming net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCut {
		incoming.Close()
		return
	}
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		incoming.Close()
		return
	}
	f.conns = append(f.conns, incoming, out)
	copyTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // ends when either side closes
		to.Close()
		from.Close()
	}
	go copyTo(incoming, out)
	go copyTo(out, incoming)
}

// cut closes all connections and refuses further ones.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = true
	for _, c := range f.conns {
		c.Close()
	}
	f.conns = nil
}

func (f *forwarder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = false
}
