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

// loadRetryInterval is the time before a failed download from the weight store is
// repeated.
const loadRetryInterval = 100 * time.Millisecond

// adaptersLoading counts the adapter loads in progress on all engines of this
// process that have no weight store, so that they slow each other down as the
// store would.
var adaptersLoading atomic.Int64

// engineReplica is a replica with the function that cancels its load.
type engineReplica struct {
	drengine.Replica
	cancel context.CancelFunc
}

// checkpointName returns the name of the adapter, or of the model if there is none.
func (r *engineReplica) checkpointName() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order drengine.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil || order.Replica == "" {
		respondError(ctx, fasthttp.StatusBadRequest, "the order is not valid JSON or names no replica")
		return
	}
	if !e.pause(time.Duration(e.Faults().OrderDelay)) {
		dropConn(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		dropConn(ctx)
		return
	}
	e.counts.Orders++
	if !e.raiseFencingToken(order.Fence) {
		e.counts.StaleOrders++
		respondError(ctx, fasthttp.StatusConflict, "fencing token %d is below %d", order.Fence, e.fencingToken)
		return
	}
	switch order.Op {
	case drengine.Load:
		e.load(ctx, order)
	case drengine.Unload:
		e.unload(order.Replica)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	default:
		respondError(ctx, fasthttp.StatusBadRequest, "unknown operation %q in the order", order.Op)
	}
}

// load starts to load a replica. It accepts a repeated order for a known replica
// without effect. e.mu must be held.
func (e *Engine) load(ctx *fasthttp.RequestCtx, order drengine.Order) {
	ctx.SetStatusCode(fasthttp.StatusAccepted)
	if e.replicas[order.Replica] != nil {
		return
	}
	c, known := e.catalogue[order.Model]
	if !known {
		respondError(ctx, fasthttp.StatusNotFound, "checkpoint %q does not exist", order.Model)
		return
	}
	if c.Bytes == 0 {
		c.Bytes = order.Bytes
	}
	if e.usedBytes+c.Bytes > e.config.Memory {
		e.counts.Refusals++
		respondError(ctx, fasthttp.StatusInsufficientStorage, "not enough memory: %d of %d bytes are in use and the checkpoint needs %d", e.usedBytes, e.config.Memory, c.Bytes)
		return
	}
	if order.Base != "" && !e.isLoaded(order.Base, "") {
		respondError(ctx, fasthttp.StatusNotFound, "base %q is not loaded", order.Base)
		return
	}
	r := &engineReplica{Replica: drengine.Replica{ID: order.Replica, Model: order.Model, State: drengine.Loading, Bytes: c.Bytes}}
	if order.Base != "" {
		r.Model, r.Adapter = order.Base, order.Model
	}
	loadCtx, cancel := context.WithCancel(e.instanceCtx)
	r.cancel = cancel
	e.replicas[order.Replica] = r
	e.usedBytes += c.Bytes
	e.countLoad(r)
	e.schedulePublish()
	go e.loadWeights(loadCtx, r, c)
}

// countLoad counts a load that has just started. e.mu must be held.
func (e *Engine) countLoad(r *engineReplica) {
	e.counts.Loads++
	e.counts.MostUsed = max(e.counts.MostUsed, e.usedBytes)
	replicas := 0
	for _, other := range e.replicas {
		if other.Model == r.Model && other.Adapter == r.Adapter {
			replicas++
		}
	}
	name := r.checkpointName()
	e.counts.LoadsOf[name]++
	e.counts.MostReplicas[name] = max(e.counts.MostReplicas[name], replicas)
}

// unload removes a replica. With the last loaded replica of a model, it also
// removes the model's adapters. e.mu must be held.
func (e *Engine) unload(id string) {
	r := e.replicas[id]
	if r == nil {
		return
	}
	r.cancel()
	e.updateUsage()
	delete(e.replicas, id)
	e.usedBytes -= r.Bytes
	if r.Adapter == "" {
		if r.State == drengine.Loaded {
			e.memoryCache = pushFront(e.memoryCache, r.Model, e.config.MemoryCache)
		}
		if !e.isLoaded(r.Model, "") {
			for _, adapter := range e.replicas {
				if adapter.Model == r.Model && adapter.Adapter != "" {
					e.unload(adapter.ID)
				}
			}
		}
	}
	e.schedulePublish()
}

// isLoaded reports whether a replica of the model, or of the adapter on it, is
// loaded. e.mu must be held.
func (e *Engine) isLoaded(model, adapter string) bool {
	for _, r := range e.replicas {
		if r.Model == model && r.Adapter == adapter && r.State == drengine.Loaded {
			return true
		}
	}
	return false
}

// pushFront returns a copy of list with name moved or added to its front, cut to
// at most limit names.
func pushFront(list []string, name string, limit int) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	list = append([]string{name}, list...)
	return list[:min(len(list), max(limit, 0))]
}

// loadWeights waits for the transfer of the weights, then marks the replica as
// loaded.
func (e *Engine) loadWeights(ctx context.Context, r *engineReplica, c Checkpoint) {
	if !e.transferWeights(ctx, c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if e.Faults().FailLoads {
		e.unload(r.ID)
		return
	}
	e.updateUsage()
	r.State = drengine.Loaded
	if c.Base == "" {
		e.diskCache = pushFront(e.diskCache, c.Name, e.config.DiskCache)
	}
	e.schedulePublish()
}

// transferWeights takes as long as a load from the memory cache, the disk cache or
// the weight store, in this order, and reports whether it ended before ctx.
func (e *Engine) transferWeights(ctx context.Context, c Checkpoint) bool {
	e.mu.Lock()
	inMemory, onDisk := slices.Contains(e.memoryCache, c.Name), slices.Contains(e.diskCache, c.Name)
	e.mu.Unlock()
	switch {
	case c.Base == "" && inMemory:
		return sleep(ctx, e.scaleDuration(time.Duration(c.Memory)))
	case c.Base == "" && onDisk:
		return sleep(ctx, e.scaleDuration(time.Duration(c.Disk)))
	case e.config.WeightStore != "":
		for !e.download(ctx, c.Name) {
			if !sleep(ctx, loadRetryInterval) {
				return false
			}
		}
		return true
	case c.Base != "":
		inFlight := adaptersLoading.Add(1)
		defer adaptersLoading.Add(-1)
		return sleep(ctx, e.scaleDuration(time.Duration(float64(c.remoteLoadTime())*max(1, float64(inFlight)/fullSpeedAdapterLoads))))
	default:
		return sleep(ctx, e.scaleDuration(c.remoteLoadTime()))
	}
}

// download reads a checkpoint from the weight store and reports whether it
// received all of it.
func (e *Engine) download(ctx context.Context, name string) bool {
	target := "http://" + e.config.WeightStore + "/v1/weights/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
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
