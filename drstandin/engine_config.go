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

	// unreadGenerationTTL is how long a generation without a reader goes on or
	// stays available.
	unreadGenerationTTL = 10 * time.Second

	// cacheHitSpeedup divides the processing time of prompt blocks found in the
	// prefix cache.
	cacheHitSpeedup = 10

	// maxCacheEvents is the number of cache events that can still be read.
	maxCacheEvents = 4096
)

// EngineConfig sets up an Engine. Zero values take the defaults above, except
// where noted; a negative duration means none.
type EngineConfig struct {
	Address   string
	Name      string
	Catalogue []Checkpoint
	// WeightStore is the address of a WeightStore; if it is empty, loads from
	// remote take the catalogue's time.
	WeightStore string
	Memory      int64 // bytes
	Capacity    int   // generations in a batch
	// CachedMemory and CachedDisk name checkpoints cached at the start; they
	// are lost and kept, respectively, by a crash.
	CachedMemory []string
	CachedDisk   []string
	// MemoryCache and DiskCache are the numbers of checkpoints kept.
	MemoryCache   int
	DiskCache     int
	TokenInterval time.Duration
	// PromptTime is the processing time of each prompt token; 0 means none.
	PromptTime time.Duration
	// AnswerTokens is the length at which answers end; 0 means at max-tokens.
	AnswerTokens int
	ChecksFence  bool
	ReportLag    time.Duration
	// EventLag delays cache events; every EventGap-th event is lost, none if 0.
	EventLag    time.Duration
	EventGap    int
	CacheBlocks int
	// Poison is the text in a prompt that crashes the engine; empty for none.
	Poison       string
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

func setDefault[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}

// EngineFaults are the faults of an Engine.
type EngineFaults struct {
	Down bool `json:"down"`
	// Slow multiplies load times and token intervals; 0 means 1.
	Slow float64 `json:"slow"`
	// Refuse answers generate requests with 503.
	Refuse bool `json:"refuse"`
	// DropAfter drops a stream's connection after this many tokens; 0 never.
	DropAfter int `json:"drop-after"`
	// Leaving is reported in the state.
	Leaving bool `json:"leaving"`
	// FailLoads makes loads end without a replica.
	FailLoads bool `json:"fail-loads"`
	// OrderDelay precedes the effect of orders.
	OrderDelay Duration `json:"order-delay"`
}

// EngineCounts are the counters of an Engine. They survive crashes.
type EngineCounts struct {
	Loads       int   `json:"loads"` // started
	Orders      int   `json:"orders"`
	StaleOrders int   `json:"stale-orders"`
	Refusals    int   `json:"refusals"` // for lack of memory
	Generations int   `json:"generations"`
	Tokens      int   `json:"tokens"`
	Crashes     int   `json:"crashes"`
	MostUsed    int64 `json:"most-used"` // bytes
	MostRunning int   `json:"most-running"`
	// LoadedSeconds is the time that model replicas were loaded, summed over
	// replicas; IdleSeconds is the part of it without a generation.
	LoadedSeconds float64 `json:"loaded-seconds"`
	IdleSeconds   float64 `json:"idle-seconds"`
	// MostReplicas is the highest number of replicas, loading or loaded, of
	// each model or adapter.
	MostReplicas map[string]int `json:"most-replicas"`
	// LoadsOf counts the loads started of each model or adapter.
	LoadsOf map[string]int `json:"loads-of"`
	// IDs counts the generations by their id.
	IDs map[string]int `json:"ids"`
}
