package drnet

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxEventLoops bounds the default number of event loops of one server or
// dialer. Each has a goroutine and a read buffer of readChunkBytes. A few
// suffice, because they only copy bytes.
const maxEventLoops = 4

// eventLoops is a group of gnet event loops that serves connections made elsewhere.
type eventLoops struct {
	gnet.BuiltinEventEngine
	client  *gnet.Client
	traffic *Traffic // nil if the bytes are not counted
	lingers bool     // of the connections; set before the first is added

	// mu is held for reading while a connection is added, so that stop waits:
	// adding would block for ever if gnet's loops had stopped meanwhile.
	mu      sync.RWMutex
	stopped bool

	connsMu sync.Mutex
	conns   map[*conn]struct{}
}

// newEventLoops starts count event loops, or one per CPU up to maxEventLoops if
// count is not positive.
func newEventLoops(count int, traffic *Traffic) (*eventLoops, error) {
	if count <= 0 {
		count = min(maxEventLoops, runtime.NumCPU())
	}
	l := &eventLoops{conns: make(map[*conn]struct{}), traffic: traffic}
	c, err := gnet.NewClient(l, gnet.WithOptions(gnet.Options{
		NumEventLoop: count, Multicore: count > 1, ReadBufferCap: readChunkBytes, Logger: discardLogger{},
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

// addConn hands a connection to an event loop, which takes over its descriptor.
func (l *eventLoops) addConn(netConn net.Conn) (*conn, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.stopped {
		_ = netConn.Close()
		return nil, net.ErrClosed
	}
	c := newConn(netConn.LocalAddr(), netConn.RemoteAddr())
	c.onClose, c.traffic, c.lingers = l.removeConn, l.traffic, l.lingers
	l.connsMu.Lock()
	l.conns[c] = struct{}{}
	l.connsMu.Unlock()
	if _, err := l.client.EnrollContext(netConn, c); err != nil {
		l.removeConn(c)
		return nil, fmt.Errorf("add connection to event loop: %w", err)
	}
	if !c.wasOpened() {
		// gnet closes a socket that it cannot add to its epoll set without
		// calling OnOpen or OnClose.
		l.removeConn(c)
		return nil, errNotAdded
	}
	return c, nil
}

func (l *eventLoops) removeConn(c *conn) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	delete(l.conns, c)
}

func (l *eventLoops) connectionCount() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return len(l.conns)
}

// stop closes all connections and ends the event loops. It may be called
// repeatedly.
func (l *eventLoops) stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	l.stopped = true
	return l.client.Stop()
}

// OnOpen implements gnet.EventHandler.
func (l *eventLoops) OnOpen(gnetConn gnet.Conn) ([]byte, gnet.Action) {
	c, ok := gnetConn.Context().(*conn)
	if !ok {
		return nil, gnet.Close
	}
	c.handleOpen(gnetConn)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *eventLoops) OnTraffic(gnetConn gnet.Conn) gnet.Action {
	if c, ok := gnetConn.Context().(*conn); !ok || c.handleData(gnetConn) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *eventLoops) OnClose(gnetConn gnet.Conn, err error) gnet.Action {
	if c, ok := gnetConn.Context().(*conn); ok {
		c.handleClose(err)
	}
	return gnet.None
}

var _ gnet.EventHandler = (*eventLoops)(nil)

// errNotAdded is returned for a connection that gnet closed without an event,
// because it could not add it to the epoll set.
var errNotAdded = errors.New("drnet: gnet could not add the connection to an event loop's epoll set")

// errNoHandler is returned by Listen if Config.Handler is nil.
var errNoHandler = errors.New("drnet: listen: Config.Handler is nil")
