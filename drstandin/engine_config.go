package drstandin

import "time"

// Defaults of EngineConfig.
const (
	defaultMemory        = 80 << 30
	defaultCapacity      = 32
	defaultTokenInterval = 10 * time.Millisecond
	defaultReportLag     = 50 * time.Millisecond
	defaultEventLag      = 200 * time.Millisecond
	defaultRestartDelay  = time.Second
	defaultMaxTokens     = 64
	defaultDiskCache     = 8
	defaultMemoryCache   = 2
	defaultCacheBlocks   = 1024

	// unreadGenerationTTL is how long a generation is kept, running or finished,
	// while no caller reads it.
	unreadGenerationTTL = 10 * time.Second

	// cacheHitSpeedup is the factor by which prompt blocks in the prefix cache
	// are processed faster than others.
	cacheHitSpeedup = 10

	// maxCacheEvents bounds the cache events kept for readers; the oldest are
	// dropped first.
	maxCacheEvents = 4096
)

// EngineConfig configures an Engine. Zero values are replaced by the defaults
// above, unless the field says otherwise. A negative duration means no delay.
type EngineConfig struct {
	// Address is the host:port to listen on; if empty, the system chooses a port
	// on 127.0.0.1.
	Address string
	// Name is the part of the instance id that stays the same across restarts.
	Name      string
	Catalogue []Checkpoint
	// WeightStore is the address of a WeightStore. If it is empty, loads that no
	// cache serves take the remote load time of the catalogue.
	WeightStore string
	Memory      int64 // bytes
	Capacity    int   // generations that run at once
	// CachedMemory and CachedDisk name the checkpoints cached at the start. A
	// crash clears the memory cache and keeps the disk cache.
	CachedMemory []string
	CachedDisk   []string
	// MemoryCache and DiskCache are the numbers of checkpoints that the caches
	// hold.
	MemoryCache int
	DiskCache   int
	// TokenInterval is the time between two tokens of a generation.
	TokenInterval time.Duration
	// PromptTime is the processing time of each prompt token; 0 means none.
	PromptTime time.Duration
	// AnswerTokens is the number of tokens after which a generation stops by
	// itself; 0 means that only max-tokens ends it.
	AnswerTokens int
	// ChecksFence makes the engine reject orders with a stale fencing token.
	ChecksFence bool
	// ReportLag is the time until a change shows in the reported state.
	ReportLag time.Duration
	// EventLag is the time until a cache event can be read. Every EventGap-th
	// event is lost; 0 loses none.
	EventLag time.Duration
	EventGap int
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// Poison is a text that crashes the engine if a prompt contains it; empty
	// means none.
	Poison string
	// RestartDelay is the time from a crash until the engine responds again.
	RestartDelay time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Memory, defaultMemory)
	setDefault(&c.Capacity, defaultCapacity)
	setDefault(&c.TokenInterval, defaultTokenInterval)
	setDefault(&c.ReportLag, defaultReportLag)
	setDefault(&c.EventLag, defaultEventLag)
	setDefault(&c.RestartDelay, defaultRestartDelay)
	setDefault(&c.MemoryCache, defaultMemoryCache)
	setDefault(&c.DiskCache, defaultDiskCache)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	return c
}

// setDefault sets the field to defaultValue if it has its zero value.
func setDefault[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}

// EngineFaults are the faults that an Engine simulates. The zero value means none.
type EngineFaults struct {
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
	// Slow multiplies load times and token intervals; 0 means 1.
	Slow float64 `json:"slow"`
	// Refuse rejects generate requests with status 503.
	Refuse bool `json:"refuse"`
	// DropAfter closes the connection of a token stream after this many tokens;
	// 0 means never.
	DropAfter int `json:"drop-after"`
	// Leaving is the value of Leaving in the reported state.
	Leaving bool `json:"leaving"`
	// FailLoads makes each load fail at its end, which removes its replica.
	FailLoads bool `json:"fail-loads"`
	// OrderDelay is the time before an order takes effect.
	OrderDelay Duration `json:"order-delay"`
}

// EngineCounts are the counters of an Engine since it was created. They are kept
// across crashes. Fields named Most hold the highest value at any one time.
type EngineCounts struct {
	Loads       int   `json:"loads"` // started loads
	Orders      int   `json:"orders"`
	StaleOrders int   `json:"stale-orders"` // rejected for a stale fencing token
	Refusals    int   `json:"refusals"`     // loads rejected for lack of memory
	Generations int   `json:"generations"`
	Tokens      int   `json:"tokens"`
	Crashes     int   `json:"crashes"`
	MostUsed    int64 `json:"most-used"` // bytes of engine memory
	MostRunning int   `json:"most-running"`
	// LoadedSeconds is the time that model replicas were loaded, summed over the
	// replicas. IdleSeconds is the part of it in which no generation of the model
	// ran or waited. Replicas of adapters count towards neither.
	LoadedSeconds float64 `json:"loaded-seconds"`
	IdleSeconds   float64 `json:"idle-seconds"`
	// MostReplicas is the highest number of replicas, loading or loaded, by
	// checkpoint.
	MostReplicas map[string]int `json:"most-replicas"`
	// LoadsOf counts the started loads by checkpoint.
	LoadsOf map[string]int `json:"loads-of"`
	// IDs counts the accepted generations by id.
	IDs map[string]int `json:"ids"`
}
