package drstandin

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// publish makes the current state visible to requests and wakes those that wait
// for a newer version. e.mu must be held, except in NewEngine.
func (e *Engine) publish() {
	s := drengine.State{
		Version: e.published.Version + 1, Instance: e.instanceID(), Fence: e.fencingToken,
		MemoryBytes: e.config.Memory, UsedBytes: e.usedBytes, Capacity: e.config.Capacity,
		Running: e.running, Waiting: len(e.waiting), Leaving: e.Faults().Leaving,
		Replicas: make([]drengine.Replica, 0, len(e.replicas)),
		Cached:   drengine.CachedCheckpoints{Memory: slices.Clone(e.memoryCache), Disk: slices.Clone(e.diskCache)},
	}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.Replica)
	}
	slices.SortFunc(s.Replicas, func(a, b drengine.Replica) int { return strings.Compare(a.ID, b.ID) })
	e.published = s
	close(e.stateChanged)
	e.stateChanged = make(chan struct{})
}

// schedulePublish publishes the state after the report lag, once for all changes
// in that time. e.mu must be held.
func (e *Engine) schedulePublish() {
	if e.config.ReportLag < 0 {
		e.publish()
		return
	}
	if e.publishScheduled {
		return
	}
	e.publishScheduled = true
	time.AfterFunc(e.config.ReportLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.publishScheduled = false
		e.publish()
	})
}

// raiseFencingToken stores a fencing token that is greater than the stored one and
// reports whether the given one is current, not stale. It publishes the state
// without the report lag, because a new owner must see the effect of every earlier
// order. e.mu must be held.
func (e *Engine) raiseFencingToken(fencingToken uint64) bool {
	if !e.config.ChecksFence {
		return true
	}
	if fencingToken > e.fencingToken {
		e.fencingToken = fencingToken
		e.publish()
	}
	return fencingToken == e.fencingToken
}

// handleState returns the published state. With both a version and a wait time it
// waits for a newer version first.
func (e *Engine) handleState(ctx *fasthttp.RequestCtx) {
	wait, err := pollWait(ctx)
	if err != nil {
		respondError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	afterVersion := uintArg(ctx, "after", 0)
	e.mu.Lock()
	e.raiseFencingToken(uintArg(ctx, "fence", 0))
	e.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for respondNow := wait == 0 || afterVersion == 0; ; {
		e.mu.Lock()
		state, changed := e.published, e.stateChanged
		e.mu.Unlock()
		if respondNow || state.Version > afterVersion {
			respondJSON(ctx, fasthttp.StatusOK, state)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			respondNow = true
		case <-e.closing:
			dropConn(ctx)
			return
		}
		if e.Faults().Down || e.isCrashed() {
			dropConn(ctx)
			return
		}
	}
}

// Replicas returns the current replicas. It publishes the state without the report
// lag.
func (e *Engine) Replicas() []drengine.Replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish()
	return slices.Clone(e.published.Replicas)
}
