package drplacement

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// testEngine is a fake engine. It takes any load that its fence admits, even
// beyond its memory, so that cluster.check sees what was ordered. It keeps its
// fencing token over a restart. Its fields are guarded by the cluster's mutex.
type testEngine struct {
	c        *cluster
	name     string
	memory   int64
	took     time.Duration
	fence    uint64
	version  uint64
	instance int
	down     bool
	leaving  bool
	lose     int // answers of orders to lose, the orders taking effect
	drop     int // orders to drop with an error, without an effect
	delay    int // orders to answer with an error and to execute later
	replicas []drengine.Replica
	loads    map[string]int
	stale    int // orders refused for a stale fence
	cached   drengine.Cached
	changed  chan struct{}
}

// testClient is a VM's connection to an engine.
type testClient struct {
	*testEngine
	v    *testVM
	gone chan struct{} // closed when the process has ended
}

func (e *testEngine) bump() {
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *testEngine) restart() {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	e.instance++
	e.replicas = nil
	e.bump()
}

func (t *testClient) State(ctx context.Context, fence, after uint64, wait time.Duration) (drengine.State, error) {
	t.v.gate()
	time.Sleep(testLatency)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		t.c.mu.Lock()
		if t.down {
			t.c.mu.Unlock()
			return drengine.State{}, drerror.New(drerror.NotRun, drerror.Unavailable, "engine down")
		}
		if t.c.fencing {
			t.fence = max(t.fence, fence)
		}
		s := drengine.State{
			Version: t.version, Instance: fmt.Sprint(t.instance), Fence: t.fence, MemoryBytes: t.memory, Capacity: 8,
			Leaving: t.leaving, Replicas: slices.Clone(t.replicas), Cached: t.cached,
		}
		for _, r := range s.Replicas {
			s.UsedBytes += r.Bytes
		}
		changed := t.changed
		lag := max(t.v.lag, testLag)
		t.c.mu.Unlock()
		time.Sleep(lag)
		if over || after == 0 || s.Version != after {
			t.v.gate()
			return s, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return drengine.State{}, ctx.Err()
		}
	}
}

func (t *testClient) Order(_ context.Context, o drengine.Order) error {
	t.v.reach("order") // a paused VM's order arrives when it resumes, however late
	select {
	case <-t.gone:
		return drerror.New(drerror.NotRun, drerror.Unavailable, "process ended")
	default:
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.v.dead || t.down {
		return drerror.New(drerror.NotRun, drerror.Unavailable, "engine down")
	}
	if t.c.fencing && o.Fence < t.fence {
		t.stale++
		return drerror.New(drerror.NotRun, drerror.Conflict, "stale fence")
	}
	if t.drop > 0 {
		t.drop--
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")
	}
	if t.delay > 0 {
		t.delay--
		time.AfterFunc(quarantine-driftMargin/2, func() {
			t.c.mu.Lock()
			defer t.c.mu.Unlock()
			t.execute(o)
		})
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")
	}
	t.execute(o)
	if t.lose > 0 {
		t.lose--
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "answer lost")
	}
	return nil
}

// execute carries out an order unless its fence has become stale.
func (e *testEngine) execute(o drengine.Order) {
	switch {
	case e.c.fencing && o.Fence < e.fence:
		e.stale++
	case o.Op == drengine.Unload:
		e.remove(o.Replica)
	default:
		e.load(o)
	}
}

func (e *testEngine) remove(id string) {
	e.replicas = slices.DeleteFunc(e.replicas, func(r drengine.Replica) bool { return r.ID == id })
	e.bump()
}

func (e *testEngine) load(o drengine.Order) {
	if slices.ContainsFunc(e.replicas, func(r drengine.Replica) bool { return r.ID == o.Replica }) {
		return
	}
	r := drengine.Replica{ID: o.Replica, Model: o.Model, State: drengine.Loading, Bytes: o.Bytes}
	took := e.took
	if o.Base != "" {
		r.Model, r.Adapter, took = o.Base, o.Model, 10*time.Millisecond
	}
	if e.loads == nil {
		e.loads = make(map[string]int)
	}
	e.loads[o.Model]++
	e.replicas = append(e.replicas, r)
	e.bump()
	instance := e.instance
	time.AfterFunc(took, func() {
		e.c.mu.Lock()
		defer e.c.mu.Unlock()
		for i := range e.replicas {
			if e.instance == instance && e.replicas[i].ID == o.Replica {
				e.replicas[i].State = drengine.Loaded
				e.bump()
			}
		}
	})
}

func (e *testEngine) Generate(context.Context, drengine.Generation) (drengine.TokenStream, error) {
	return nil, drerror.New(drerror.NotRun, drerror.Unimplemented, "not used")
}

func (e *testEngine) Resume(context.Context, string, int) (drengine.TokenStream, error) {
	return nil, drerror.New(drerror.NotRun, drerror.Unimplemented, "not used")
}

func (e *testEngine) Cancel(context.Context, string) error { return nil }

func (e *testEngine) CacheEvents(context.Context, uint64, time.Duration) ([]drengine.CacheEvent, error) {
	return nil, nil
}
