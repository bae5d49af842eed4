package drengine

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	defaultMaxConns = 4096

	// defaultDialTimeout leaves time to try another engine.
	defaultDialTimeout = time.Second

	// Limits of calls whose context has no deadline. Polls add their wait.
	defaultCallTimeout   = 10 * time.Second
	defaultStreamTimeout = 15 * time.Minute

	// defaultMaxLine bounds one line of a generation in bytes. A token's text
	// is far shorter.
	defaultMaxLine = 64 << 10

	// maxBody bounds the answers that are not streams, in bytes.
	maxBody = 8 << 20
)

// HTTPConfig sets up an HTTP. Zero values take the defaults.
type HTTPConfig struct {
	Address string // host:port
	Clock   drclock.Clock
	// MaxConns bounds the connections to the engine.
	MaxConns    int
	DialTimeout time.Duration
	MaxLine     int // bytes
}

func (c HTTPConfig) withDefaults() HTTPConfig {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	if c.MaxConns == 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxLine == 0 {
		c.MaxLine = defaultMaxLine
	}
	return c
}
