package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cutPoll is the interval at which a cut link checks whether it has healed.
const cutPoll = 5 * time.Millisecond

// link is a proxy in front of an address. While it is cut it passes nothing on, in either
// direction, and says nothing, like a network partition.
type link struct {
	target string
	// only, if not empty, is the name of the entry VM whose connections are cut. They are
	// known by the name, which each request between entry VMs states.
	only     string
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
}

// newLink starts a proxy in front of target on a free loopback port, for all connections or
// only for those of one entry VM.
func newLink(target, only string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, only: only, listener: listener}
	go l.acceptLoop()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut begins or ends a partition.
func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
}

// awaitHealed waits while the link is cut for a connection.
func (l *link) awaitHealed(concerned *atomic.Bool) {
	for concerned.Load() {
		l.mu.Lock()
		isCut := l.isCut
		l.mu.Unlock()
		if !isCut {
			return
		}
		time.Sleep(cutPoll)
	}
}

func (l *link) acceptLoop() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		concerned := new(atomic.Bool)
		concerned.Store(l.only == "")
		go func() {
			l.awaitHealed(concerned)
			server, err := net.Dial("tcp", l.target)
			if err != nil {
				_ = client.Close()
				return
			}
			go l.forward(client, server, concerned)
			l.forward(server, client, concerned)
		}()
	}
}

// forward passes on what from sends until either side ends the connection.
func (l *link) forward(from, to net.Conn, concerned *atomic.Bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.only != "" && bytes.Contains(buffer[:n], []byte(l.only)) {
			concerned.Store(true)
		}
		l.awaitHealed(concerned)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
