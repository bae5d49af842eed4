package drengine

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	defaultMaxConns = 4096

	// defaultDialTimeout is short enough to leave time to try another engine.
	defaultDialTimeout = time.Second

	// Timeouts of calls whose context has no deadline. Long polls add their wait
	// time.
	defaultCallTimeout   = 10 * time.Second
	defaultStreamTimeout = 15 * time.Minute

	// defaultMaxLineBytes bounds one line of a token stream. The text of a token is
	// far shorter.
	defaultMaxLineBytes = 64 << 10

	// maxBodyBytes bounds the bodies of responses other than token streams.
	maxBodyBytes = 8 << 20
)

// HTTPConfig configures an HTTP. Address is required; other zero values are replaced
// by defaults.
type HTTPConfig struct {
	Address string // host:port
	Clock   drclock.Clock
	// MaxConns bounds the connections to the engine, which token streams occupy
	// until they end.
	MaxConns    int
	DialTimeout time.Duration
	// MaxLine bounds one line of a token stream, in bytes.
	MaxLine int
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
		c.MaxLine = defaultMaxLineBytes
	}
	return c
}
