package drplacement

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// testEngine is a fake engine. It accepts any load that its fencing token
// admits, even beyond its memory, so that cluster.checkInvariants can see a
// wrong order. It keeps its fencing token over a restart. Its fields are
// guarded by the mutex of the cluster.
type testEngine struct {
	cluster     *cluster
	name        string
	memory      int64
	loadTime    time.Duration
	fence       uint64
	version     uint64
	instance    int
	down        bool
	leaving     bool
	loseAnswers int // number of orders that take effect but whose answers get lost
	dropOrders  int // number of orders that fail without an effect
	delayOrders int // number of orders that fail and are executed later
	replicas    []drengine.Replica
	loads       map[string]int
	staleOrders int // number of orders refused for an outdated fencing token
	cached      drengine.CachedCheckpoints
	changed     chan struct{}
}

// testClient is the connection of one process of a VM to an engine.
type testClient struct {
	*testEngine
	vm           *testVM
	processEnded chan struct{} // closed when the process has ended
}

// signalChange increases the state version and wakes waiting state requests.
// The caller holds the mutex of the cluster.
func (e *testEngine) signalChange() {
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
}

// restart simulates a new engine process, which holds no replicas.
func (e *testEngine) restart() {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.instance++
	e.replicas = nil
	e.signalChange()
}

func (t *testClient) State(ctx context.Context, fence, after uint64, wait time.Duration) (drengine.State, error) {
	t.vm.waitWhilePaused()
	time.Sleep(testLatency)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waitElapsed := wait <= 0; ; {
		t.cluster.mu.Lock()
		if t.down {
			t.cluster.mu.Unlock()
			return drengine.State{}, drerror.New(drerror.NotRun, drerror.Unavailable, "engine down")
		}
		if t.cluster.fencing {
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
		lag := max(t.vm.stateLag, testLag)
		t.cluster.mu.Unlock()
		time.Sleep(lag)
		if waitElapsed || after == 0 || s.Version != after {
			t.vm.waitWhilePaused()
			return s, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waitElapsed = true
		case <-ctx.Done():
			return drengine.State{}, ctx.Err()
		}
	}
}

func (t *testClient) Order(_ context.Context, order drengine.Order) error {
	t.vm.pauseIfAt("order") // the order of a paused VM arrives when the VM resumes, however late
	select {
	case <-t.processEnded:
		return drerror.New(drerror.NotRun, drerror.Unavailable, "process ended")
	default:
	}
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	if t.vm.stopped || t.down {
		return drerror.New(drerror.NotRun, drerror.Unavailable, "engine down")
	}
	if t.cluster.fencing && order.Fence < t.fence {
		t.staleOrders++
		return drerror.New(drerror.NotRun, drerror.Conflict, "stale fence")
	}
	if t.dropOrders > 0 {
		t.dropOrders--
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")
	}
	if t.delayOrders > 0 {
		t.delayOrders--
		time.AfterFunc(orderEffectWindow-clockDriftMargin/2, func() {
			t.cluster.mu.Lock()
			defer t.cluster.mu.Unlock()
			t.execute(order)
		})
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")
	}
	t.execute(order)
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return drerror.New(drerror.MayHaveRun, drerror.Unavailable, "answer lost")
	}
	return nil
}

// execute carries out an order unless its fencing token has become outdated.
func (e *testEngine) execute(order drengine.Order) {
	switch {
	case e.cluster.fencing && order.Fence < e.fence:
		e.staleOrders++
	case order.Op == drengine.Unload:
		e.remove(order.Replica)
	default:
		e.load(order)
	}
}

func (e *testEngine) remove(replica string) {
	e.replicas = slices.DeleteFunc(e.replicas, func(r drengine.Replica) bool { return r.ID == replica })
	e.signalChange()
}

// load adds a replica, which becomes loaded after loadTime, or after 10 ms for
// an adapter. An order for an existing replica does nothing.
func (e *testEngine) load(order drengine.Order) {
	if slices.ContainsFunc(e.replicas, func(r drengine.Replica) bool { return r.ID == order.Replica }) {
		return
	}
	r := drengine.Replica{ID: order.Replica, Model: order.Model, State: drengine.Loading, Bytes: order.Bytes}
	took := e.loadTime
	if order.Base != "" {
		r.Model, r.Adapter, took = order.Base, order.Model, 10*time.Millisecond
	}
	if e.loads == nil {
		e.loads = make(map[string]int)
	}
	e.loads[order.Model]++
	e.replicas = append(e.replicas, r)
	e.signalChange()
	instance := e.instance
	time.AfterFunc(took, func() {
		e.cluster.mu.Lock()
		defer e.cluster.mu.Unlock()
		for i := range e.replicas {
			if e.instance == instance && e.replicas[i].ID == order.Replica {
				e.replicas[i].State = drengine.Loaded
				e.signalChange()
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
