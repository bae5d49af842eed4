package drstandin

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// publish makes the present state visible to State requests.
func (e *Engine) publish() {
	s := drengine.State{
		Version: e.published.Version + 1, Instance: e.instance(), Fence: e.fence,
		MemoryBytes: e.config.Memory, UsedBytes: e.used, Capacity: e.config.Capacity,
		Running: e.running, Waiting: len(e.waiting), Leaving: e.Faults().Leaving,
		Replicas: make([]drengine.Replica, 0, len(e.replicas)),
		Cached:   drengine.Cached{Memory: slices.Clone(e.memory), Disk: slices.Clone(e.disk)},
	}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.Replica)
	}
	slices.SortFunc(s.Replicas, func(a, b drengine.Replica) int { return strings.Compare(a.ID, b.ID) })
	e.published = s
	close(e.changed)
	e.changed = make(chan struct{})
}

// touch publishes the state after the report lag.
func (e *Engine) touch() {
	if e.config.ReportLag < 0 {
		e.publish()
		return
	}
	if e.scheduled {
		return
	}
	e.scheduled = true
	time.AfterFunc(e.config.ReportLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.scheduled = false
		e.publish()
	})
}

// raiseFence stores a greater fencing token and reports whether fence is not
// stale. A new owner must see every earlier order, so that the state is
// published without a lag.
func (e *Engine) raiseFence(fence uint64) bool {
	if !e.config.ChecksFence {
		return true
	}
	if fence > e.fence {
		e.fence = fence
		e.publish()
	}
	return fence == e.fence
}

func (e *Engine) state(ctx *fasthttp.RequestCtx) {
	wait, err := waitArg(ctx)
	if err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	after := numberArg(ctx, "after", 0)
	e.mu.Lock()
	e.raiseFence(numberArg(ctx, "fence", 0))
	e.mu.Unlock()
	end := time.NewTimer(wait)
	defer end.Stop()
	for last := wait == 0 || after == 0; ; {
		e.mu.Lock()
		s, changed := e.published, e.changed
		e.mu.Unlock()
		if last || s.Version > after {
			answerJSON(ctx, fasthttp.StatusOK, s)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-e.done:
			drop(ctx)
			return
		}
		if e.Faults().Down || e.isDown() {
			drop(ctx)
			return
		}
	}
}

// Replicas returns the present replicas, without the report lag.
func (e *Engine) Replicas() []drengine.Replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish()
	return slices.Clone(e.published.Replicas)
}
