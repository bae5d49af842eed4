package drplacement

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// keeper keeps one runner under one fencing token. Only its goroutine sends
// orders, so that no two orders of a VM race.
type keeper struct {
	o       *Owner
	p       *Place
	runner  string
	backend drmember.Backend
	engine  drengine.Engine
	fence   uint64
	fencing bool
	// start is when orders may be sent: at once if the engine checks fencing
	// or earlier owners gave up, else when their leases have ended.
	start time.Time
	pokes chan struct{}

	mu       sync.Mutex
	polled   drengine.State
	polledAt time.Time // begin of the request that gave polled
	wants    map[key]*want
	uses     map[key]time.Time
	yields   map[string]uint64 // model to grant that must be released
	status   *drpb.PlacementStatus
	statusAt time.Time
	loaded   drcollection.Set[key]
	progress chan struct{} // closed when wants or loaded change
	granted  []grantedSlot
	draining bool
	ended    bool

	// The remaining fields belong to the goroutine.
	state       drengine.State
	stateAt     time.Time
	rights      map[string]Right
	intents     []Intent
	loads       map[key]*load
	failures    map[key]*failure
	unloads     map[string]time.Time     // replica to time of the order
	closing     map[string]time.Time     // replica that must go, since when
	doubts      map[string]doubt         // by replica
	releasing   drcollection.Set[uint64] // grants whose release may be on its way
	appendAfter time.Time
	next        time.Time // when step must run again
	work        sync.WaitGroup
}

// failure counts failed loads in a row.
type failure struct {
	count int
	until time.Time
}

func newKeeper(o *Owner, b drmember.Backend, fencing bool, own Ownership) *keeper {
	k := &keeper{
		o: o, p: o.p, runner: b.VM, backend: b, fence: own.Fence, fencing: fencing,
		start: o.p.Clock.Now(), pokes: make(chan struct{}, 1),
		wants: make(map[key]*want), uses: make(map[key]time.Time), yields: make(map[string]uint64),
		loaded: make(drcollection.Set[key]), progress: make(chan struct{}),
		loads: make(map[key]*load), failures: make(map[key]*failure),
		unloads: make(map[string]time.Time), closing: make(map[string]time.Time),
		doubts: make(map[string]doubt), releasing: make(drcollection.Set[uint64]),
	}
	if !fencing && !own.Clean {
		k.start = k.start.Add(takeoverWait)
	}
	if b.Address != "" {
		k.engine = o.p.Dial(b)
	}
	return k
}

func (k *keeper) now() time.Time { return k.p.Clock.Now() }

// run keeps the runner until ctx ends, another VM takes over or the runner was
// given up. It returns when no order can be on its way any more.
func (k *keeper) run(ctx context.Context) {
	polling, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	if k.engine != nil {
		g.Go(func() { k.poll(polling) })
	}
	for ctx.Err() == nil && k.step(ctx) {
		t := k.p.Clock.NewTimer(min(tick, max(k.next.Sub(k.now()), time.Millisecond)))
		select {
		case <-k.pokes:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
	cancel()
	k.finish()
	for _, d := range k.doubts {
		_ = k.p.Clock.Sleep(ctx, d.until.Sub(k.now()))
	}
	g.Wait()
	k.work.Wait()
}

// finish refuses what is waiting.
func (k *keeper) finish() {
	for _, l := range k.loads {
		l.end()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, g := range k.granted {
		g.give()
	}
	k.granted = nil
	k.signal()
}

// poll fetches the engine's state; the first request plants the fence.
func (k *keeper) poll(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		began := k.now()
		call, cancel := k.p.timeout(ctx, statePoll+orderTimeout)
		s, err := k.engine.State(call, k.fence, after, statePoll)
		cancel()
		if err != nil {
			after = 0
			_ = k.p.Clock.Sleep(ctx, retryPause)
			continue
		}
		unchanged := s.Version == after || s.Version == 0
		after = s.Version
		k.mu.Lock()
		k.polled, k.polledAt = s, began
		k.mu.Unlock()
		poke(k.pokes)
		if unchanged && k.now().Sub(began) < statePoll/2 {
			// The engine does not wait for changes.
			_ = k.p.Clock.Sleep(ctx, retryPause)
		}
	}
}

// step brings the runner closer to what it should hold. It returns false when
// this VM no longer keeps the runner.
func (k *keeper) step(ctx context.Context) bool {
	k.next = k.now().Add(tick)
	if own := k.p.Ledger.Owner(k.runner); own.Fence != k.fence || own.VM != k.p.View.Self().VM {
		return false
	}
	k.rights = k.p.Ledger.RightsOn(k.runner)
	k.takeIntents()
	if k.p.View.Gone(k.runner) {
		return k.abandon(ctx)
	}
	if b, ok := k.p.backend(k.runner); ok {
		k.backend = b
	}
	fresh := k.takeState()
	k.settleDoubts(ctx)
	if fresh {
		k.takeSlots()
		k.settleLoads()
	}
	if k.drainRequested() && k.quiet() {
		return !k.giveUp(ctx)
	}
	if !fresh || k.state.Fence > k.fence {
		k.refuseAll(drerror.New(drerror.NotRun, drerror.NoCapacity, "engine on runner %q is not reachable", k.runner))
		k.publish()
		return true
	}
	if k.now().Before(k.start) {
		k.awaitStart()
	} else {
		k.closeUnentitled(ctx)
		k.serveWants(ctx)
		k.expireIdle(ctx)
		k.releaseRights(ctx)
	}
	k.publish()
	return true
}

// takeIntents reads the intents in doubt. One that was settled by an earlier
// owner keeps its memory until the engine's state, which lags, shows what the
// order did.
func (k *keeper) takeIntents() {
	now := k.p.Ledger.InDoubt(k.runner)
	for _, in := range k.intents {
		still := slices.ContainsFunc(now, func(n Intent) bool { return n.Offset == in.Offset })
		if _, doubted := k.doubts[in.Replica]; still || doubted || in.Fence == k.fence {
			continue
		}
		d := doubt{model: in.Model, until: k.now().Add(driftMargin)}
		if !in.Unload {
			d.bytes = in.Bytes
		}
		k.doubts[in.Replica] = d
	}
	k.intents = now
}

// takeState takes over the polled state and reports whether it is recent.
func (k *keeper) takeState() bool {
	k.mu.Lock()
	s, at := k.polled, k.polledAt
	k.mu.Unlock()
	if at.IsZero() {
		return false
	}
	if k.state.Instance != "" && s.Instance != k.state.Instance {
		k.engineRestarted()
	}
	k.state, k.stateAt = s, at
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range s.Replicas {
		// The uses of adopted replicas are unknown.
		if _, ok := k.uses[key{r.Model, r.Adapter}]; !ok {
			k.uses[key{r.Model, r.Adapter}] = k.now()
		}
	}
	return k.now().Sub(at) < stateStale+statePoll
}

// engineRestarted forgets what belonged to the engine's earlier process. What
// was wanted is loaded again without a pause.
func (k *keeper) engineRestarted() {
	k.p.record(drtimeline.EngineRestarted, k.runner, key{}, "")
	for ky, l := range k.loads {
		if l.phase == ordered {
			l.end()
			delete(k.loads, ky)
		}
	}
	clear(k.unloads)
	clear(k.closing)
}

// awaitStart tells those who wait when the first load can begin.
func (k *keeper) awaitStart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.wants {
		w.ready, w.known = k.start, true
	}
	k.signal()
	k.due(k.start)
}

// due makes step run again at t at the latest.
func (k *keeper) due(t time.Time) {
	if t.Before(k.next) {
		k.next = t
	}
}

// leaving reports whether the runner takes no new work.
func (k *keeper) leaving() bool { return k.state.Leaving || k.backend.Leaving }

// entitled returns the right under which the model may be loaded.
func (k *keeper) entitled(model string) (Right, bool) {
	r, ok := k.rights[model]
	if !ok || r.Excess || k.releasing.Has(r.Grant) || k.leaving() {
		return r, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return r, k.yields[model] != r.Grant
}

// replicaID is the same for each owner, so that a repeated order is idempotent.
func replicaID(r Right, k key) string {
	if k.adapter == "" {
		return fmt.Sprintf("%s/%d", k.model, r.Grant)
	}
	return fmt.Sprintf("%s/%d/%s", k.model, r.Grant, k.adapter)
}

func (k *keeper) drainRequested() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// quiet reports whether the engine has shown the effect of every order, so that
// the next owner sees it too.
func (k *keeper) quiet() bool {
	for _, l := range k.loads {
		if l.phase == ordered && !l.seen {
			return false
		}
	}
	return len(k.doubts) == 0
}

func (k *keeper) requestDrain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	poke(k.pokes)
}

// giveUp hands the runner over and reports whether that is done.
func (k *keeper) giveUp(ctx context.Context) bool {
	clean := k.fencing || !k.now().Before(k.start)
	return k.append(ctx, giveUp(k.runner, k.fence, clean))
}

// append appends a record, with a pause after a failure so that a log that is
// down does not stall the runner. It reports whether the record was folded.
func (k *keeper) append(ctx context.Context, r *drpb.PlacementRecord) bool {
	if k.now().Before(k.appendAfter) || k.p.logDown() {
		return false
	}
	if _, err := k.p.append(ctx, r); err != nil {
		k.appendAfter = k.now().Add(tick)
		return false
	}
	return true
}

// abandon releases everything on a runner that no longer exists.
func (k *keeper) abandon(ctx context.Context) bool {
	k.refuseAll(drerror.New(drerror.NotRun, drerror.NoCapacity, "runner %q is gone", k.runner))
	for _, in := range k.intents {
		if !k.append(ctx, giveUpOrDone(k, in)) {
			return true
		}
	}
	for model, r := range k.rights {
		if !k.release(ctx, model, r) {
			return true
		}
	}
	return !k.append(ctx, giveUp(k.runner, k.fence, true))
}

func giveUpOrDone(k *keeper, in Intent) *drpb.PlacementRecord {
	if in.Fence != k.fence {
		return giveUp(k.runner, in.Fence, false)
	}
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Done{Done: &drpb.PlacementDone{
		Runner: k.runner, Fence: in.Fence, Intent: in.Offset,
	}}}
}
