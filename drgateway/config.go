package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// DefaultTimeout applies to requests for which neither the caller nor the
	// declarations state a timeout. It is long enough for a cold start.
	DefaultTimeout = 2 * time.Minute
	// MaxTimeout is the longest Request-Timeout that callers may ask for.
	MaxTimeout = time.Hour

	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20 // about 250,000 tokens of prompt
	defaultReadTimeout    = 20 * time.Second
	defaultIdleTimeout    = 75 * time.Second
	// writeGrace is how long past its deadline a request may take to write
	// its last bytes to a slow caller.
	writeGrace = 10 * time.Second
	// recordTimeout is how long a response to a call with an Idempotency-Key
	// waits for its outcome to be recorded.
	recordTimeout = 5 * time.Second
	// maxRecordedBytes is the largest answer, header and body together, that
	// is kept for replay.
	maxRecordedBytes       = 16 << 10
	maxIdempotencyKeyBytes = 255
	maxRequestIDBytes      = 128
	maxStopSequences       = 16
	maxStopSequenceBytes   = 256
	// fallbackMaxTokens limits the output if neither the request nor the model
	// states a limit.
	fallbackMaxTokens = 1024
	// bytesPerToken is used to estimate prompt tokens before the engine has
	// counted them.
	bytesPerToken = 4
	// defaultRetryAfter is the Retry-After of temporary errors that state no
	// time of their own.
	defaultRetryAfter = time.Second
)

// enginePriorityWeights are the numeric priorities that engines receive. They
// equal the weights of the classes in the queues.
var enginePriorityWeights = map[drconfig.Priority]int{
	drconfig.Interactive: 16, drconfig.Draft: 4, drconfig.Batch: 1,
}

// Config configures a Server. Clock, Recorder and the interfaces except Meter are
// required. Sizes and timeouts that are zero get default values.
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
	// Meter receives the measurements of requests, which are dropped if it is
	// nil.
	Meter Meter
	// Loaded reports whether a replica is known to be loaded. If it is nil, all
	// models count as loaded. It only separates the measurements of cold
	// starts from the others.
	Loaded func(model, adapter string) bool

	// MaxHeader and MaxBody limit the size of a request, in bytes.
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
