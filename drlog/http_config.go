package drlog

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	defaultMaxConns    = 64
	defaultDialTimeout = 500 * time.Millisecond

	// defaultCallTimeout limits calls whose context has no deadline. For reads,
	// the time that they wait for records is added.
	defaultCallTimeout = 5 * time.Second

	// maxPageBytes limits the body of a response from the log.
	maxPageBytes = 64 << 20

	// appendRetryDelay is the retry delay suggested after a refused append. It is
	// 1 s because the log's rate limit is per second.
	appendRetryDelay = time.Second
)

// HTTPConfig configures an HTTP client. Address is required; for the other fields
// the zero value selects the default.
type HTTPConfig struct {
	Address     string // host:port
	Clock       drclock.Clock
	MaxConns    int           // default 64
	DialTimeout time.Duration // default 500 ms
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
