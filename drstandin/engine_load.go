package drstandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// loadRetry is the pause before a load asks a failing weight store again.
const loadRetry = 100 * time.Millisecond

// adaptersLoading counts the adapters in flight of all engines in this
// process that have no weight store.
var adaptersLoading atomic.Int64

type engineReplica struct {
	drengine.Replica
	stop context.CancelFunc
}

// checkpoint is the name of the weights of the replica.
func (r *engineReplica) checkpoint() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o drengine.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.Replica == "" {
		answerError(ctx, fasthttp.StatusBadRequest, "malformed order")
		return
	}
	if !e.pause(time.Duration(e.Faults().OrderDelay)) {
		drop(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		drop(ctx)
		return
	}
	e.counts.Orders++
	if !e.raiseFence(o.Fence) {
		e.counts.StaleOrders++
		answerError(ctx, fasthttp.StatusConflict, "fencing token %d is below %d", o.Fence, e.fence)
		return
	}
	switch o.Op {
	case drengine.Load:
		e.load(ctx, o)
	case drengine.Unload:
		e.unload(o.Replica)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	default:
		answerError(ctx, fasthttp.StatusBadRequest, "unknown operation %q", o.Op)
	}
}

func (e *Engine) load(ctx *fasthttp.RequestCtx, o drengine.Order) {
	ctx.SetStatusCode(fasthttp.StatusAccepted)
	if e.replicas[o.Replica] != nil {
		return
	}
	c, known := e.catalogue[o.Model]
	if !known {
		answerError(ctx, fasthttp.StatusNotFound, "no checkpoint %q", o.Model)
		return
	}
	if c.Bytes == 0 {
		c.Bytes = o.Bytes
	}
	if e.used+c.Bytes > e.config.Memory {
		e.counts.Refusals++
		answerError(ctx, fasthttp.StatusInsufficientStorage, "%d of %d bytes used, %d wanted", e.used, e.config.Memory, c.Bytes)
		return
	}
	if o.Base != "" && !e.serves(o.Base, "") {
		answerError(ctx, fasthttp.StatusNotFound, "base %q is not loaded", o.Base)
		return
	}
	r := &engineReplica{Replica: drengine.Replica{ID: o.Replica, Model: o.Model, State: drengine.Loading, Bytes: c.Bytes}}
	if o.Base != "" {
		r.Model, r.Adapter = o.Base, o.Model
	}
	life, stop := context.WithCancel(e.life)
	r.stop = stop
	e.replicas[o.Replica] = r
	e.used += c.Bytes
	e.countLoad(r)
	e.touch()
	go e.fetch(life, r, c)
}

func (e *Engine) countLoad(r *engineReplica) {
	e.counts.Loads++
	e.counts.MostUsed = max(e.counts.MostUsed, e.used)
	n := 0
	for _, o := range e.replicas {
		if o.Model == r.Model && o.Adapter == r.Adapter {
			n++
		}
	}
	name := r.checkpoint()
	e.counts.LoadsOf[name]++
	e.counts.MostReplicas[name] = max(e.counts.MostReplicas[name], n)
}

// unload removes a replica, and the adapters on it if no other replica of the
// model remains.
func (e *Engine) unload(id string) {
	r := e.replicas[id]
	if r == nil {
		return
	}
	r.stop()
	e.meter()
	delete(e.replicas, id)
	e.used -= r.Bytes
	if r.Adapter == "" {
		if r.State == drengine.Loaded {
			e.memory = remember(e.memory, r.Model, e.config.MemoryCache)
		}
		if !e.serves(r.Model, "") {
			for _, a := range e.replicas {
				if a.Model == r.Model && a.Adapter != "" {
					e.unload(a.ID)
				}
			}
		}
	}
	e.touch()
}

// serves reports whether a loaded replica exists.
func (e *Engine) serves(model, adapter string) bool {
	for _, r := range e.replicas {
		if r.Model == model && r.Adapter == adapter && r.State == drengine.Loaded {
			return true
		}
	}
	return false
}

// remember puts name at the front of a list of bounded length.
func remember(list []string, name string, limit int) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	list = append([]string{name}, list...)
	return list[:min(len(list), max(limit, 0))]
}

// fetch loads a replica's weights and marks it loaded.
func (e *Engine) fetch(life context.Context, r *engineReplica, c Checkpoint) {
	if !e.transfer(life, c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	if e.Faults().FailLoads {
		e.unload(r.ID)
		return
	}
	e.meter()
	r.State = drengine.Loaded
	if c.Base == "" {
		e.disk = remember(e.disk, c.Name, e.config.DiskCache)
	}
	e.touch()
}

// transfer takes the time of a load from the nearest cache and reports whether
// it ended before the life of the replica.
func (e *Engine) transfer(life context.Context, c Checkpoint) bool {
	e.mu.Lock()
	inMemory, onDisk := slices.Contains(e.memory, c.Name), slices.Contains(e.disk, c.Name)
	e.mu.Unlock()
	switch {
	case c.Base == "" && inMemory:
		return sleep(life, e.slow(time.Duration(c.Memory)))
	case c.Base == "" && onDisk:
		return sleep(life, e.slow(time.Duration(c.Disk)))
	case e.config.WeightStore != "":
		for !e.download(life, c.Name) {
			if !sleep(life, loadRetry) {
				return false
			}
		}
		return true
	case c.Base != "":
		n := adaptersLoading.Add(1)
		defer adaptersLoading.Add(-1)
		return sleep(life, e.slow(time.Duration(float64(c.remoteTime())*max(1, float64(n)/fastAdapters))))
	default:
		return sleep(life, e.slow(c.remoteTime()))
	}
}

func (e *Engine) download(life context.Context, name string) bool {
	target := "http://" + e.config.WeightStore + "/v1/weights/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(life, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
