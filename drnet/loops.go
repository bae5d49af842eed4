package drnet

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxLoops bounds the event loops of one server or dialer; each has a read
// buffer of readChunk and a goroutine. The loops only copy bytes.
const maxLoops = 4

// loops is a group of gnet event loops that serves connections made elsewhere.
type loops struct {
	gnet.BuiltinEventEngine
	client  *gnet.Client
	traffic *Traffic // nil if nothing is counted

	// mu is held for reading while a connection is added, because gnet does
	// not answer once its loops have stopped.
	mu      sync.RWMutex
	stopped bool

	connsMu sync.Mutex
	conns   map[*conn]struct{}
}

func newLoops(n int, t *Traffic) (*loops, error) {
	if n <= 0 {
		n = min(maxLoops, runtime.NumCPU())
	}
	l := &loops{conns: make(map[*conn]struct{}), traffic: t}
	c, err := gnet.NewClient(l, gnet.WithOptions(gnet.Options{
		NumEventLoop: n, Multicore: n > 1, ReadBufferCap: readChunk, Logger: quiet{},
	}))
	if err != nil {
		return nil, fmt.Errorf("create event loops: %w", err)
	}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start event loops: %w", err)
	}
	l.client = c
	return l, nil
}

// add hands a connection to an event loop, which takes over its descriptor.
func (l *loops) add(nc net.Conn) (*conn, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.stopped {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	c := newConn(nc.LocalAddr(), nc.RemoteAddr())
	c.onClose, c.traffic = l.remove, l.traffic
	l.connsMu.Lock()
	l.conns[c] = struct{}{}
	l.connsMu.Unlock()
	if _, err := l.client.EnrollContext(nc, c); err != nil {
		l.remove(c)
		return nil, fmt.Errorf("add connection to event loop: %w", err)
	}
	if !c.wasOpened() {
		// gnet closes a socket that epoll does not take, without an event.
		l.remove(c)
		return nil, errNotAdded
	}
	return c, nil
}

func (l *loops) remove(c *conn) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	delete(l.conns, c)
}

func (l *loops) count() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return len(l.conns)
}

// stop closes all connections and ends the event loops.
func (l *loops) stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	l.stopped = true
	return l.client.Stop()
}

// OnOpen implements gnet.EventHandler.
func (l *loops) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c, ok := gc.Context().(*conn)
	if !ok {
		return nil, gnet.Close
	}
	c.opened(gc)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *loops) OnTraffic(gc gnet.Conn) gnet.Action {
	if c, ok := gc.Context().(*conn); !ok || c.received(gc) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *loops) OnClose(gc gnet.Conn, err error) gnet.Action {
	if c, ok := gc.Context().(*conn); ok {
		c.finished(err)
	}
	return gnet.None
}

var _ gnet.EventHandler = (*loops)(nil)

// errNotAdded is returned for a connection that an event loop did not take.
var errNotAdded = errors.New("drnet: the event loop did not take the connection")

// errNoHandler is returned by Listen without a handler.
var errNoHandler = errors.New("drnet: a handler is required")
