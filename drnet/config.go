// Package drnet provides TCP connections that run on gnet event loops and
// implement net.Conn, so that protocol libraries can use them with one
// goroutine per connection. The memory per connection is bounded, whatever the
// peer sends.
//
// gnet cannot close a listener and keep its connections. Therefore package net
// accepts and dials connections, and gnet takes them over once they are
// established. gnet closes a connection when its peer shuts down the sending
// direction, so a peer that half-closes gets no further response.
package drnet

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// handshakeTimeout bounds the TLS handshake of an accepted connection. For
	// a dialled connection, the context of Dial does.
	handshakeTimeout = 10 * time.Second
	// sessionCacheSize is the number of servers whose TLS sessions a Dialer
	// can resume. The system is designed for 410 entry VMs.
	sessionCacheSize = 512
	// acceptRetryDelay is the pause after a failed accept, for instance when
	// the process has no file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Config configures a Server or a Dialer. A Dialer uses only TLS, Loops and
// Traffic.
type Config struct {
	// Address is the address to listen on ("host:port"); port 0 means any free
	// port.
	Address string
	// Clock is the clock for the pause after a failed accept and for the TLS
	// handshake's timeout; nil means the system clock.
	Clock drclock.Clock
	// TLS is the configuration of TLS; nil means connections without TLS.
	TLS *tls.Config
	// Handler serves one accepted connection, on a goroutine of its own. The
	// connection implements Conn and is closed when Handler returns. A Server
	// requires it.
	Handler func(net.Conn)
	// Loops is the number of event loops. 0 means one per CPU, but at most 4.
	Loops int
	// MaxConnections bounds the open connections of a Server. Further ones are
	// closed as soon as they are accepted. 0 means no bound.
	MaxConnections int
	// Traffic, if not nil, counts the bytes sent and received on all
	// connections.
	Traffic *Traffic
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	return c
}
