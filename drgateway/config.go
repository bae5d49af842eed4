package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// DefaultTimeout is the deadline of requests for which neither the caller
	// nor the declarations state one. It covers a cold start.
	DefaultTimeout = 2 * time.Minute
	// MaxTimeout bounds Request-Timeout.
	MaxTimeout = time.Hour

	defaultMaxHeaderBytes = 16 << 10 // bytes
	defaultMaxBodyBytes   = 1 << 20  // bytes; about 250,000 tokens of prompt
	defaultReadTimeout    = 20 * time.Second
	defaultIdleTimeout    = 75 * time.Second
	// writeGrace is how long past its deadline a request may take to write
	// its last bytes to a slow caller.
	writeGrace = 10 * time.Second
	// recordTimeout bounds how long a response waits for the recording of its
	// outcome.
	recordTimeout = 5 * time.Second
	// maxRecordedBytes is the largest answer body that is kept for replay.
	maxRecordedBytes = 16 << 10
	// maxIdempotencyKeyBytes bounds Idempotency-Key in bytes.
	maxIdempotencyKeyBytes = 255
	maxRequestIDBytes      = 128
	maxStopSequences       = 16
	maxStopSequenceBytes   = 256
	// fallbackMaxTokens bounds the output when neither the request nor the
	// model states a bound.
	fallbackMaxTokens = 1024
	// bytesPerToken estimates prompt tokens before the engine counts them.
	bytesPerToken = 4
	// defaultRetryAfter is advised where an error that passes states no time.
	defaultRetryAfter = time.Second
)

// enginePriorityWeights translates priorities for engines; the same weights as in the
// queues.
var enginePriorityWeights = map[drconfig.Priority]int{
	drconfig.Interactive: 16, drconfig.Draft: 4, drconfig.Batch: 1,
}

// Config configures a Server. Zero sizes and timeouts take defaults.
type Config struct {
	Clock     drclock.Clock
	Directory Directory
	Limiter   Limiter
	Queue     Queue
	Once      Once
	Generator Generator
	Services  ServiceCaller
	Freshness Freshness
	Recorder  drtimeline.Recorder
	// Meter takes measurements; nil drops them.
	Meter Meter
	// Loaded reports whether a replica is known to be loaded; nil means
	// always. It only sorts measurements into warm and cold.
	Loaded func(model, adapter string) bool

	// MaxHeader and MaxBody are in bytes.
	MaxHeader   int
	MaxBody     int
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

func (c Config) withDefaults() Config {
	if c.Meter == nil {
		c.Meter = noMeter{}
	}
	if c.Loaded == nil {
		c.Loaded = func(string, string) bool { return true }
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = defaultMaxHeaderBytes
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBodyBytes
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	return c
}
