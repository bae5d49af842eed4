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

	// defaultMaxLineBytes bounds one line of a generation in bytes. A token's text
	// is far shorter.
	defaultMaxLineBytes = 64 << 10

	// maxBodyBytes bounds the answers that are not streams, in bytes.
	maxBodyBytes = 8 << 20
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

func (config HTTPConfig) withDefaults() HTTPConfig {
	if config.Clock == nil {
		config.Clock = drclock.System{}
	}
	if config.MaxConns == 0 {
		config.MaxConns = defaultMaxConns
	}
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.MaxLine == 0 {
		config.MaxLine = defaultMaxLineBytes
	}
	return config
}
