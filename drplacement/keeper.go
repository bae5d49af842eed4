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

// runnerController keeps one runner under one fencing token. Only its goroutine sends
// orders, so that no two orders of a VM race.
type runnerController struct {
	owner         *Owner
	placement     *Placement
	runner        string
	backend       drmember.Backend
	engine        drengine.Engine
	fence         uint64
	checksFencing bool
	// ordersAllowedAt is when orders may be sent: at once if the engine checks fencing
	// or earlier owners gave up, else when their leases have ended.
	ordersAllowedAt    time.Time
	reconcileRequested chan struct{}

	mu                sync.Mutex
	polledState       drengine.State
	polledAt          time.Time // begin of the request that gave polled
	wakeRequests      map[modelKey]*wakeRequest
	lastUses          map[modelKey]time.Time
	grantsToRelease   map[string]uint64 // model to grant that must be released
	status            *drpb.PlacementStatus
	statusPublishedAt time.Time
	loaded            drcollection.Set[modelKey]
	progress          chan struct{} // closed when wants or loaded change
	grantedSlots      []grantedSlot
	draining          bool
	ended             bool

	// The remaining fields belong to the goroutine.
	state            drengine.State
	stateAt          time.Time
	rights           map[string]Right
	intents          []Intent
	loads            map[modelKey]*pendingLoad
	failures         map[modelKey]*loadFailures
	unloadOrderedAt  map[string]time.Time       // replica to time of the order
	closingSince     map[string]time.Time       // replica that must go, since when
	unresolvedOrders map[string]unresolvedOrder // by replica
	releasingGrants  drcollection.Set[uint64]   // grants whose release may be on its way
	nextAppendAt     time.Time
	nextReconcileAt  time.Time // when step must run again
	goroutines       sync.WaitGroup
}

// loadFailures counts failed loads in a row.
type loadFailures struct {
	count   int
	retryAt time.Time
}

func newRunnerController(owner *Owner, backend drmember.Backend, checksFencing bool, ownership Ownership) *runnerController {
	rc := &runnerController{
		owner: owner, placement: owner.placement, runner: backend.VM, backend: backend, fence: ownership.Fence, checksFencing: checksFencing,
		ordersAllowedAt: owner.placement.Clock.Now(), reconcileRequested: make(chan struct{}, 1),
		wakeRequests: make(map[modelKey]*wakeRequest), lastUses: make(map[modelKey]time.Time), grantsToRelease: make(map[string]uint64),
		loaded: make(drcollection.Set[modelKey]), progress: make(chan struct{}),
		loads: make(map[modelKey]*pendingLoad), failures: make(map[modelKey]*loadFailures),
		unloadOrderedAt: make(map[string]time.Time), closingSince: make(map[string]time.Time),
		unresolvedOrders: make(map[string]unresolvedOrder), releasingGrants: make(drcollection.Set[uint64]),
	}
	if !checksFencing && !ownership.Clean {
		rc.ordersAllowedAt = rc.ordersAllowedAt.Add(takeoverWait)
	}
	if backend.Address != "" {
		rc.engine = owner.placement.Dial(backend)
	}
	return rc
}

func (rc *runnerController) now() time.Time { return rc.placement.Clock.Now() }

// run keeps the runner until ctx ends, another VM takes over or the runner was
// given up. It returns when no order can be on its way any more.
func (rc *runnerController) run(ctx context.Context) {
	polling, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	if rc.engine != nil {
		g.Go(func() { rc.pollState(polling) })
	}
	for ctx.Err() == nil && rc.reconcile(ctx) {
		t := rc.placement.Clock.NewTimer(min(tick, max(rc.nextReconcileAt.Sub(rc.now()), time.Millisecond)))
		select {
		case <-rc.reconcileRequested:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
	cancel()
	rc.finish()
	for _, d := range rc.unresolvedOrders {
		_ = rc.placement.Clock.Sleep(ctx, d.possibleUntil.Sub(rc.now()))
	}
	g.Wait()
	rc.goroutines.Wait()
}

// finish refuses what is waiting.
func (rc *runnerController) finish() {
	for _, l := range rc.loads {
		l.releaseSlot()
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.ended = true
	for _, g := range rc.grantedSlots {
		g.giveBack()
	}
	rc.grantedSlots = nil
	rc.signalProgress()
}

// pollState fetches the engine's state; the first request plants the fence.
func (rc *runnerController) pollState(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		began := rc.now()
		call, cancel := rc.placement.timeout(ctx, statePollWait+orderTimeout)
		s, err := rc.engine.State(call, rc.fence, after, statePollWait)
		cancel()
		if err != nil {
			after = 0
			_ = rc.placement.Clock.Sleep(ctx, retryPause)
			continue
		}
		unchanged := s.Version == after || s.Version == 0
		after = s.Version
		rc.mu.Lock()
		rc.polledState, rc.polledAt = s, began
		rc.mu.Unlock()
		notify(rc.reconcileRequested)
		if unchanged && rc.now().Sub(began) < statePollWait/2 {
			// The engine does not wait for changes.
			_ = rc.placement.Clock.Sleep(ctx, retryPause)
		}
	}
}

// reconcile brings the runner closer to what it should hold. It returns false when
// this VM no longer keeps the runner.
func (rc *runnerController) reconcile(ctx context.Context) bool {
	rc.nextReconcileAt = rc.now().Add(tick)
	if own := rc.placement.Ledger.Owner(rc.runner); own.Fence != rc.fence || own.VM != rc.placement.View.Self().VM {
		return false
	}
	rc.rights = rc.placement.Ledger.RightsOn(rc.runner)
	rc.refreshIntents()
	if rc.placement.View.Gone(rc.runner) {
		return rc.releaseGoneRunner(ctx)
	}
	if b, ok := rc.placement.backend(rc.runner); ok {
		rc.backend = b
	}
	fresh := rc.applyPolledState()
	rc.resolveOrders(ctx)
	if fresh {
		rc.assignGrantedSlots()
		rc.updateLoads()
	}
	if rc.drainRequested() && rc.ordersReflected() {
		return !rc.handOver(ctx)
	}
	if !fresh || rc.state.Fence > rc.fence {
		rc.refuseAllRequests(drerror.New(drerror.NotRun, drerror.NoCapacity, "engine on runner %q is not reachable", rc.runner))
		rc.publishStatus()
		return true
	}
	if rc.now().Before(rc.ordersAllowedAt) {
		rc.reportStartTime()
	} else {
		rc.unloadWithoutRight(ctx)
		rc.serveWakeRequests(ctx)
		rc.unloadIdle(ctx)
		rc.releaseRights(ctx)
	}
	rc.publishStatus()
	return true
}

// refreshIntents reads the intents in doubt. One that was settled by an earlier
// owner keeps its memory until the engine's state, which lags, shows what the
// order did.
func (rc *runnerController) refreshIntents() {
	now := rc.placement.Ledger.Intents(rc.runner)
	for _, in := range rc.intents {
		still := slices.ContainsFunc(now, func(n Intent) bool { return n.Offset == in.Offset })
		if _, doubted := rc.unresolvedOrders[in.Replica]; still || doubted || in.Fence == rc.fence {
			continue
		}
		d := unresolvedOrder{model: in.Model, possibleUntil: rc.now().Add(clockDriftMargin)}
		if !in.Unload {
			d.bytes = in.Bytes
		}
		rc.unresolvedOrders[in.Replica] = d
	}
	rc.intents = now
}

// applyPolledState takes over the polled state and reports whether it is recent.
func (rc *runnerController) applyPolledState() bool {
	rc.mu.Lock()
	s, at := rc.polledState, rc.polledAt
	rc.mu.Unlock()
	if at.IsZero() {
		return false
	}
	if rc.state.Instance != "" && s.Instance != rc.state.Instance {
		rc.engineRestarted()
	}
	rc.state, rc.stateAt = s, at
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, r := range s.Replicas {
		// The uses of adopted replicas are unknown.
		if _, ok := rc.lastUses[modelKey{r.Model, r.Adapter}]; !ok {
			rc.lastUses[modelKey{r.Model, r.Adapter}] = rc.now()
		}
	}
	return rc.now().Sub(at) < stateMaxAge+statePollWait
}

// engineRestarted forgets what belonged to the engine's earlier process. What
// was wanted is loaded again without a pause.
func (rc *runnerController) engineRestarted() {
	rc.placement.recordNamedEvent(drtimeline.EngineRestarted, rc.runner, modelKey{}, "")
	for key, l := range rc.loads {
		if l.phase == loadOrdered {
			l.releaseSlot()
			delete(rc.loads, key)
		}
	}
	clear(rc.unloadOrderedAt)
	clear(rc.closingSince)
}

// reportStartTime tells those who wait when the first load can begin.
func (rc *runnerController) reportStartTime() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, w := range rc.wakeRequests {
		w.expectedReady, w.readyKnown = rc.ordersAllowedAt, true
	}
	rc.signalProgress()
	rc.scheduleReconcile(rc.ordersAllowedAt)
}

// scheduleReconcile makes step run again at t at the latest.
func (rc *runnerController) scheduleReconcile(at time.Time) {
	if at.Before(rc.nextReconcileAt) {
		rc.nextReconcileAt = at
	}
}

// leaving reports whether the runner takes no new work.
func (rc *runnerController) leaving() bool { return rc.state.Leaving || rc.backend.Leaving }

// usableRight returns the right under which the model may be loaded.
func (rc *runnerController) usableRight(model string) (Right, bool) {
	r, ok := rc.rights[model]
	if !ok || r.Excess || rc.releasingGrants.Has(r.Grant) || rc.leaving() {
		return r, false
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return r, rc.grantsToRelease[model] != r.Grant
}

// replicaID is the same for each owner, so that a repeated order is idempotent.
func replicaID(right Right, key modelKey) string {
	if key.adapter == "" {
		return fmt.Sprintf("%s/%d", key.model, right.Grant)
	}
	return fmt.Sprintf("%s/%d/%s", key.model, right.Grant, key.adapter)
}

func (rc *runnerController) drainRequested() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.draining
}

// ordersReflected reports whether the engine has shown the effect of every order, so that
// the next owner sees it too.
func (rc *runnerController) ordersReflected() bool {
	for _, l := range rc.loads {
		if l.phase == loadOrdered && !l.reportedByEngine {
			return false
		}
	}
	return len(rc.unresolvedOrders) == 0
}

func (rc *runnerController) requestDrain() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.draining = true
	notify(rc.reconcileRequested)
}

// handOver hands the runner over and reports whether that is done.
func (rc *runnerController) handOver(ctx context.Context) bool {
	clean := rc.checksFencing || !rc.now().Before(rc.ordersAllowedAt)
	return rc.append(ctx, giveUpRecord(rc.runner, rc.fence, clean))
}

// append appends a record, with a pause after a failure so that a log that is
// down does not stall the runner. It reports whether the record was folded.
func (rc *runnerController) append(ctx context.Context, record *drpb.PlacementRecord) bool {
	if rc.now().Before(rc.nextAppendAt) || rc.placement.logDown() {
		return false
	}
	if _, err := rc.placement.append(ctx, record); err != nil {
		rc.nextAppendAt = rc.now().Add(tick)
		return false
	}
	return true
}

// releaseGoneRunner releases everything on a runner that no longer exists.
func (rc *runnerController) releaseGoneRunner(ctx context.Context) bool {
	rc.refuseAllRequests(drerror.New(drerror.NotRun, drerror.NoCapacity, "runner %q is gone", rc.runner))
	for _, in := range rc.intents {
		if !rc.append(ctx, intentEndRecord(rc, in)) {
			return true
		}
	}
	for model, r := range rc.rights {
		if !rc.release(ctx, model, r) {
			return true
		}
	}
	return !rc.append(ctx, giveUpRecord(rc.runner, rc.fence, true))
}

func intentEndRecord(rc *runnerController, intent Intent) *drpb.PlacementRecord {
	if intent.Fence != rc.fence {
		return giveUpRecord(rc.runner, intent.Fence, false)
	}
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Done{Done: &drpb.PlacementDone{
		Runner: rc.runner, Fence: intent.Fence, Intent: intent.Offset,
	}}}
}
