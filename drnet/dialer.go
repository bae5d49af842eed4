package drnet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// Dialer opens connections and runs them on event loops of its own. It is safe
// for concurrent use.
type Dialer struct {
	config Config
	loops  *eventLoops
}

// NewDialer starts the event loops of a dialer. Close ends them. Without a
// session cache in config.TLS, the dialer adds one to its own copy.
func NewDialer(config Config) (*Dialer, error) {
	l, err := newEventLoops(config.Loops, config.Traffic)
	if err != nil {
		return nil, err
	}
	if config.TLS != nil && config.TLS.ClientSessionCache == nil {
		// A full handshake takes some 2 KB. With a probe per second to VMs
		// without an open connection, handshakes would be most of the control
		// traffic.
		config.TLS = config.TLS.Clone()
		config.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCacheSize)
	}
	return &Dialer{config: config.withDefaults(), loops: l}, nil
}

// Dial connects to address ("host:port"). ctx bounds both the dial and the TLS
// handshake, and does not affect the connection afterwards. The connection
// implements Conn.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	var nd net.Dialer
	netConn, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c, err := d.loops.addConn(netConn)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if d.config.TLS == nil {
		return c, nil
	}
	cfg := d.config.TLS
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	tc := tlsConn{Conn: tls.Client(c, cfg), inner: c}
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
	}
	return tc, nil
}

// Close closes all connections of the dialer and ends its event loops. It may
// be called repeatedly.
func (d *Dialer) Close() error { return d.loops.stop() }
