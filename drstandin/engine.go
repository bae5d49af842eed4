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
	switches[EngineFaults]
	traffic
	config    EngineConfig
	catalogue catalogue

	mu       sync.Mutex
	counts   EngineCounts
	disk     []string
	memory   []string
	restarts int
	crashed  bool
	// Everything below belongs to the current instance.
	life        context.Context // ends with the instance
	kill        context.CancelFunc
	fence       uint64
	used        int64
	replicas    map[string]*engineReplica
	generations map[string]*generation
	running     int
	waiting     []*generation
	prefixes    *prefixCache
	published   drengine.State
	changed     chan struct{} // closed when a state is published
	scheduled   bool
	usage       idleMeter
}

// NewEngine returns an Engine with nothing loaded.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config: c, catalogue: newCatalogue(c.Catalogue),
		disk: c.CachedDisk, memory: c.CachedMemory,
		changed: make(chan struct{}),
		counts:  EngineCounts{MostReplicas: make(map[string]int), LoadsOf: make(map[string]int), IDs: make(map[string]int)},
	}
	e.reset()
	return e
}

// Start begins to listen.
func (e *Engine) Start() error { return e.listen(e.config.Address, e.handle) }

// Close ends the engine and its generations.
func (e *Engine) Close() {
	e.mu.Lock()
	e.kill()
	e.mu.Unlock()
	e.server.Close()
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.meter()
	c := e.counts
	c.MostReplicas, c.LoadsOf, c.IDs = maps.Clone(c.MostReplicas), maps.Clone(c.LoadsOf), maps.Clone(c.IDs)
	c.LoadedSeconds, c.IdleSeconds = e.usage.loaded.Seconds(), e.usage.idle.Seconds()
	c.MostReplicas, c.IDs = maps.Clone(c.MostReplicas), maps.Clone(c.IDs)
	return c
}

// reset starts a new instance with empty memory.
func (e *Engine) reset() {
	if e.kill != nil {
		e.kill()
	}
	e.meter()
	e.usage.active = make(map[string]int)
	e.restarts++
	e.life, e.kill = context.WithCancel(context.Background())
	e.fence, e.used, e.running = 0, 0, 0
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
	e.crash()
}

func (e *Engine) crash() {
	if e.crashed {
		return
	}
	e.crashed = true
	e.counts.Crashes++
	e.memory = nil
	e.reset()
	if e.conns != nil {
		e.conns.dropAll()
	}
	time.AfterFunc(e.config.RestartDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crashed = false
		e.publish()
	})
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if e.switches.handle(ctx) {
		e.mu.Lock()
		e.publish() // Leaving may have changed
		e.mu.Unlock()
		return
	}
	p := segments(ctx)
	if string(ctx.Path()) == countsPath {
		answerJSON(ctx, fasthttp.StatusOK, e.Counts())
		return
	}
	if e.traffic.handle(ctx) {
		return
	}
	if e.Faults().Down || e.isDown() {
		drop(ctx)
		return
	}
	e.record(ctx)
	switch {
	case len(p) == 2 && p[1] == "state":
		e.state(ctx)
	case len(p) == 2 && p[1] == "orders" && ctx.IsPost():
		e.order(ctx)
	case len(p) == 2 && p[1] == "generate" && ctx.IsPost():
		e.generate(ctx)
	case len(p) == 2 && p[1] == "cache-events":
		e.cacheEvents(ctx)
	case len(p) == 3 && p[1] == "generations" && ctx.IsDelete():
		e.cancel(ctx, p[2])
	case len(p) == 3 && p[1] == "generations":
		e.resume(ctx, p[2])
	default:
		answerError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// instance returns the id of the current instance.
func (e *Engine) instance() string { return fmt.Sprintf("%s-%d", e.config.Name, e.restarts) }

// slow scales a duration by the fault switch.
func (e *Engine) slow(d time.Duration) time.Duration {
	if f := e.Faults().Slow; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// sleep waits for d and reports whether life still lasts.
func sleep(life context.Context, d time.Duration) bool {
	if d <= 0 {
		return life.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-life.Done():
		return false
	}
}
