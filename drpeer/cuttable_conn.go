package drpeer

import (
	"net"
	"sync"
	"time"
)

// blockPollInterval is the interval at which a held-back write or dial calls
// Config.Block again.
const blockPollInterval = 10 * time.Millisecond

// cuttableConn blocks writes while Config.Block returns true for the peer. This
// has the effect of a network that loses all TCP segments in one direction.
type cuttableConn struct {
	net.Conn
	session   *session
	closed    chan struct{}
	closeOnce sync.Once
}

// Write implements net.Conn. It returns net.ErrClosed if the connection is
// closed while the write is held back.
func (c *cuttableConn) Write(p []byte) (int, error) {
	for c.session.node.config.Block(c.session.peerVM.Load().(string)) {
		t := time.NewTimer(blockPollInterval)
		select {
		case <-t.C:
		case <-c.closed:
			t.Stop()
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn and ends a write that is held back. It may be
// called repeatedly.
func (c *cuttableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
