// Package drnet provides TCP connections on gnet event loops as net.Conn, so
// that protocol libraries run one goroutine per connection over them. Memory
// per connection is bounded whatever the peer does.
//
// gnet cannot close a listener and keep its connections, so accepting and
// dialling use package net, and the connections are handed to gnet then. gnet
// closes a connection when its peer shuts down the sending direction; a peer
// that half-closes gets no further response.
package drnet

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// handshakeTimeout bounds the TLS handshake of an accepted connection.
	handshakeTimeout = 10 * time.Second
	// sessionCacheSize is the number of servers whose TLS sessions a Dialer
	// resumes; the target size has 410 entry VMs.
	sessionCacheSize = 512
	// acceptRetryDelay is the pause after a failed accept, for instance when the
	// process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// acceptDrainTime is how long StopAccepting takes connections that wait in
	// the kernel's queue, which closing the listener would reset.
	acceptDrainTime = 20 * time.Millisecond
)

// Config configures a Server or a Dialer.
type Config struct {
	// Address is the address to listen on; a Dialer ignores it.
	Address string
	// Clock is the clock for pauses; the system's clock if nil.
	Clock drclock.Clock
	// TLS enables TLS if not nil.
	TLS *tls.Config
	// Handler serves one accepted connection on its own goroutine. The
	// connection implements Conn and is closed when Handler returns.
	Handler func(net.Conn)
	// Loops is the number of event loops; at most 4 by default.
	Loops int
	// MaxConnections bounds the open connections of a Server; further ones
	// are closed at once. 0 means no bound.
	MaxConnections int
	// Traffic, if not nil, counts the bytes of the connections.
	Traffic *Traffic
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	return c
}
