package drpeer

import (
	"net"
	"sync"
	"time"
)

// blockPollInterval is the interval at which a cut direction is looked at again.
const blockPollInterval = 10 * time.Millisecond

// cuttableConn holds writes back while Config.Block cuts the direction to the
// peer, as TCP does while its segments are lost.
type cuttableConn struct {
	net.Conn
	session   *session
	closed    chan struct{}
	closeOnce sync.Once
}

// Write implements net.Conn.
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

// Close implements net.Conn.
func (c *cuttableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
