package drstandin

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Engine stands in for a model engine.
type Engine struct {
	server
	faultSettings[EngineFaults]
	requestRecorder
	config    EngineConfig
	catalogue catalogue

	mu          sync.Mutex
	counts      EngineCounts
	diskCache   []string
	memoryCache []string
	instances   int
	crashed     bool
	// Everything below belongs to the current instance.
	instanceCtx      context.Context // ends with the instance
	cancelInstance   context.CancelFunc
	fencingToken     uint64
	usedBytes        int64
	replicas         map[string]*engineReplica
	generations      map[string]*generation
	running          int
	waiting          []*generation
	prefixes         *prefixCache
	published        drengine.State
	stateChanged     chan struct{} // closed when a state is published
	publishScheduled bool
	usage            idleMeter
}

// NewEngine returns an Engine with nothing loaded.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config: c, catalogue: newCatalogue(c.Catalogue),
		diskCache: c.CachedDisk, memoryCache: c.CachedMemory,
		stateChanged: make(chan struct{}),
		counts:       EngineCounts{MostReplicas: make(map[string]int), LoadsOf: make(map[string]int), IDs: make(map[string]int)},
	}
	e.startInstance()
	return e
}

// Start begins to listen.
func (e *Engine) Start() error { return e.listen(e.config.Address, e.handle) }

// Close ends the engine and its generations.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancelInstance()
	e.mu.Unlock()
	e.server.Close()
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUsage()
	counts := e.counts
	counts.MostReplicas, counts.LoadsOf, counts.IDs = maps.Clone(counts.MostReplicas), maps.Clone(counts.LoadsOf), maps.Clone(counts.IDs)
	counts.LoadedSeconds, counts.IdleSeconds = e.usage.loaded.Seconds(), e.usage.idle.Seconds()
	counts.MostReplicas, counts.IDs = maps.Clone(counts.MostReplicas), maps.Clone(counts.IDs)
	return counts
}

// startInstance starts a new instance with empty memory.
func (e *Engine) startInstance() {
	if e.cancelInstance != nil {
		e.cancelInstance()
	}
	e.updateUsage()
	e.usage.activeGenerations = make(map[string]int)
	e.instances++
	e.instanceCtx, e.cancelInstance = context.WithCancel(context.Background())
	e.fencingToken, e.usedBytes, e.running = 0, 0, 0
	e.replicas = make(map[string]*engineReplica)
	e.generations = make(map[string]*generation)
	e.waiting = nil
	e.prefixes = newPrefixCache(e.config)
	e.publish()
}

// Crash drops all connections and memory. The engine answers again as a new
// instance after the configured delay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.crashed {
		return
	}
	e.crashed = true
	e.counts.Crashes++
	e.memoryCache = nil
	e.startInstance()
	if e.conns != nil {
		e.conns.closeConns()
	}
	time.AfterFunc(e.config.RestartDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crashed = false
		e.publish()
	})
}

func (e *Engine) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if e.faultSettings.handleFaults(ctx) {
		e.mu.Lock()
		e.publish() // Leaving may have changed
		e.mu.Unlock()
		return
	}
	path := pathSegments(ctx)
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, e.Counts())
		return
	}
	if e.requestRecorder.handleSaw(ctx) {
		return
	}
	if e.Faults().Down || e.isCrashed() {
		dropConn(ctx)
		return
	}
	e.record(ctx)
	switch {
	case len(path) == 2 && path[1] == "state":
		e.handleState(ctx)
	case len(path) == 2 && path[1] == "orders" && ctx.IsPost():
		e.handleOrder(ctx)
	case len(path) == 2 && path[1] == "generate" && ctx.IsPost():
		e.handleGenerate(ctx)
	case len(path) == 2 && path[1] == "cache-events":
		e.handleCacheEvents(ctx)
	case len(path) == 3 && path[1] == "generations" && ctx.IsDelete():
		e.handleCancel(ctx, path[2])
	case len(path) == 3 && path[1] == "generations":
		e.handleResume(ctx, path[2])
	default:
		respondError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// instanceID returns the id of the current instance.
func (e *Engine) instanceID() string { return fmt.Sprintf("%s-%d", e.config.Name, e.instances) }

// scaleDuration scales a duration by the fault switch.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	if factor := e.Faults().Slow; factor > 0 {
		return time.Duration(float64(d) * factor)
	}
	return d
}

// sleep waits for d and reports whether life still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
