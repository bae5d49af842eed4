package drnet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// Dialer opens connections.
type Dialer struct {
	config Config
	loops  *eventLoops
}

// NewDialer returns a dialer. Close it to end its event loops.
func NewDialer(config Config) (*Dialer, error) {
	l, err := newEventLoops(config.Loops, config.Traffic)
	if err != nil {
		return nil, err
	}
	if config.TLS != nil && config.TLS.ClientSessionCache == nil {
		// A full handshake takes some 2 KB; a probe per second to VMs
		// without a session would spend most of the control traffic on it.
		config.TLS = config.TLS.Clone()
		config.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCacheSize)
	}
	return &Dialer{config: config.withDefaults(), loops: l}, nil
}

// Dial connects to address ("host:port") within ctx, including the TLS
// handshake. The connection implements Conn.
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

// Close closes all connections of the dialer.
func (d *Dialer) Close() error { return d.loops.stop() }
