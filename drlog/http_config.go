package drlog

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	defaultMaxConns    = 64
	defaultDialTimeout = 500 * time.Millisecond

	// defaultCallTimeout limits calls whose context has no deadline; reads add
	// their wait.
	defaultCallTimeout = 5 * time.Second

	// maxPageBytes bounds an answer of the log, in bytes.
	maxPageBytes = 64 << 20

	// appendRetryDelay is the advice after a refused append: the log's limit is
	// per second.
	appendRetryDelay = time.Second
)

// HTTPConfig sets up an HTTP. Zero values take the defaults.
type HTTPConfig struct {
	Address     string // host:port
	Clock       drclock.Clock
	MaxConns    int
	DialTimeout time.Duration
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
	return c
}
