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

// Engine simulates a model engine and serves its HTTP protocol. Loads and tokens
// take the configured time; nothing is computed. It is safe for concurrent use.
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
	instances   int // number of instances so far, the last part of the instance id
	crashed     bool
	// The fields below belong to the current instance, which is one life of the
	// engine process from its start to a crash.
	instanceCtx      context.Context // canceled when the instance ends
	cancelInstance   context.CancelFunc
	fencingToken     uint64
	usedBytes        int64
	replicas         map[string]*engineReplica
	generations      map[string]*generation
	running          int
	waiting          []*generation
	prefixes         *prefixCache
	published        drengine.State
	stateChanged     chan struct{} // closed and replaced when a state is published
	publishScheduled bool
	usage            idleMeter
}

// NewEngine returns an Engine with nothing loaded. Start makes it reachable.
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

// Start listens on the configured address and serves requests until Close.
func (e *Engine) Start() error { return e.listen(e.config.Address, e.handle) }

// Close stops the running generations, stops listening and closes all connections.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancelInstance()
	e.mu.Unlock()
	e.server.Close()
}

// Counts returns a copy of the counters, with the usage times up to now.
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

// startInstance ends the current instance, if any, and starts one without
// replicas, generations, prefix cache or fencing token. e.mu must be held, except
// in NewEngine.
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

// Crash closes all connections and drops the replicas, the generations and the
// memory cache; the disk cache stays. After RestartDelay the engine responds
// again, as a new instance.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// crashLocked implements Crash. e.mu must be held.
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
	if e.faultSettings.handle(ctx) {
		e.mu.Lock()
		e.publish() // the faults include Leaving, which the state reports
		e.mu.Unlock()
		return
	}
	path := pathSegments(ctx)
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, e.Counts())
		return
	}
	if e.requestRecorder.handle(ctx) {
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
		respondError(ctx, fasthttp.StatusNotFound, "the engine has no such path or method")
	}
}

// instanceID returns the id of the current instance, such as "name-2" after one
// crash.
func (e *Engine) instanceID() string { return fmt.Sprintf("%s-%d", e.config.Name, e.instances) }

// scaleDuration multiplies d by the Slow fault, if that is set.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	if factor := e.Faults().Slow; factor > 0 {
		return time.Duration(float64(d) * factor)
	}
	return d
}

// sleep waits for d and reports whether it passed before ctx ended.
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
