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

// runnerController loads and unloads models on one runner, for as long as this
// VM owns it under one fencing token. Only the goroutine of run sends orders to
// the engine, so that no two orders of a VM race.
type runnerController struct {
	owner         *Owner
	placement     *Placement
	runner        string
	backend       drmember.Backend
	engine        drengine.Engine
	fence         uint64
	checksFencing bool
	// ordersAllowedAt is the earliest time for orders. It is the start of the
	// controller if the engine checks fencing tokens or no order of an earlier
	// owner can be on its way, else the end of takeoverWait.
	ordersAllowedAt    time.Time
	reconcileRequested chan struct{} // has capacity 1; an entry makes run call reconcile

	mu                sync.Mutex
	polledState       drengine.State
	polledAt          time.Time // start of the request that returned polledState
	wakeRequests      map[modelKey]*wakeRequest
	lastUses          map[modelKey]time.Time
	grantsToRelease   map[string]uint64 // by model: offset of the grant whose release was requested
	status            *drpb.PlacementStatus
	statusPublishedAt time.Time
	loaded            drcollection.Set[modelKey]
	progress          chan struct{} // closed when wakeRequests or loaded changes, and replaced
	grantedSlots      []grantedSlot
	draining          bool
	ended             bool

	// The fields below are used only by the goroutine of run.
	state            drengine.State
	stateAt          time.Time
	rights           map[string]Right
	intents          []Intent
	loads            map[modelKey]*pendingLoad
	failures         map[modelKey]*loadFailures
	unloadOrderedAt  map[string]time.Time       // by replica
	closingSince     map[string]time.Time       // by replica that must be unloaded once it is idle
	unresolvedOrders map[string]unresolvedOrder // by replica
	releasingGrants  drcollection.Set[uint64]   // grants with a release record that was or may have been appended
	nextAppendAt     time.Time
	nextReconcileAt  time.Time // latest time of the next reconcile
	goroutines       sync.WaitGroup
}

// loadFailures counts the failures in a row of one load and holds the time
// before which it is not tried again.
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

// run controls the runner until ctx ends, another VM takes over or the runner
// was handed over. It returns when no order can be on its way any more.
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

// finish ends all loads, gives slots back and makes all waiting wake calls
// return.
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

// pollState fetches the state of the engine until ctx ends. The first request
// already tells the engine the new fencing token. An engine that checks tokens
// refuses orders of earlier owners from then on.
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
			// The engine does not wait for changes, so the pause keeps this
			// loop from polling without a break.
			_ = rc.placement.Clock.Sleep(ctx, retryPause)
		}
	}
}

// reconcile compares what the runner should hold with the state of its engine
// and sends the orders that are due. It returns false when this VM no longer
// controls the runner.
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
		rc.refuseAllRequests(drerror.New(drerror.NotRun, drerror.NoCapacity, "engine on runner %q is unreachable or has a newer fencing token", rc.runner))
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

// refreshIntents reads the intents on the runner from the ledger. Memory of an
// earlier owner's intent that has ended since stays reserved until the state of
// the engine, which lags, shows what the order did.
func (rc *runnerController) refreshIntents() {
	now := rc.placement.Ledger.Intents(rc.runner)
	for _, in := range rc.intents {
		still := slices.ContainsFunc(now, func(n Intent) bool { return n.Offset == in.Offset })
		if _, unresolved := rc.unresolvedOrders[in.Replica]; still || unresolved || in.Fence == rc.fence {
			continue
		}
		unresolved := unresolvedOrder{model: in.Model, possibleUntil: rc.now().Add(clockDriftMargin)}
		if !in.Unload {
			unresolved.bytes = in.Bytes
		}
		rc.unresolvedOrders[in.Replica] = unresolved
	}
	rc.intents = now
}

// applyPolledState adopts the newest polled state and reports whether it is
// recent enough to act on.
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
		// The last use of a replica loaded by an earlier owner is unknown, so
		// it counts as used now.
		if _, ok := rc.lastUses[modelKey{r.Model, r.Adapter}]; !ok {
			rc.lastUses[modelKey{r.Model, r.Adapter}] = rc.now()
		}
	}
	return rc.now().Sub(at) < stateMaxAge+statePollWait
}

// engineRestarted drops the orders sent to the earlier process of the engine.
// Models for which a wake request is open are loaded again without a pause.
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

// reportStartTime tells waiting wake calls when the first load can begin.
func (rc *runnerController) reportStartTime() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, w := range rc.wakeRequests {
		w.expectedReady, w.readyKnown = rc.ordersAllowedAt, true
	}
	rc.signalProgress()
	rc.scheduleReconcile(rc.ordersAllowedAt)
}

// scheduleReconcile makes run call reconcile again no later than at.
func (rc *runnerController) scheduleReconcile(at time.Time) {
	if at.Before(rc.nextReconcileAt) {
		rc.nextReconcileAt = at
	}
}

// leaving reports whether the runner is about to leave its fleet and takes no
// new work.
func (rc *runnerController) leaving() bool { return rc.state.Leaving || rc.backend.Leaving }

// usableRight returns the right to a model and whether the model may be loaded
// under it. The right is the zero value if there is none.
func (rc *runnerController) usableRight(model string) (Right, bool) {
	r, ok := rc.rights[model]
	if !ok || r.Excess || rc.releasingGrants.Has(r.Grant) || rc.leaving() {
		return r, false
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return r, rc.grantsToRelease[model] != r.Grant
}

// replicaID returns the ID of the replica that is loaded under a right. It does
// not depend on the owner, so that an order repeated by the next owner is
// idempotent.
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

// ordersReflected reports whether the engine state shows the effect of every
// order, so that the next owner sees it too.
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

// handOver appends the record that ends the ownership and reports whether it
// was appended and folded.
func (rc *runnerController) handOver(ctx context.Context) bool {
	clean := rc.checksFencing || !rc.now().Before(rc.ordersAllowedAt)
	return rc.append(ctx, giveUpRecord(rc.runner, rc.fence, clean))
}

// append appends a record and reports whether it was folded. After a failure it
// appends nothing for one tick, so that a log that is down does not stall the
// runner.
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

// releaseGoneRunner ends the intents, rights and ownership of a runner that no
// longer exists. It returns false once all of it is done.
func (rc *runnerController) releaseGoneRunner(ctx context.Context) bool {
	rc.refuseAllRequests(drerror.New(drerror.NotRun, drerror.NoCapacity, "runner %q no longer exists", rc.runner))
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

// intentEndRecord returns the record that ends an intent: a done record under
// the own fencing token, else a give-up record that ends all intents under the
// earlier token.
func intentEndRecord(rc *runnerController, intent Intent) *drpb.PlacementRecord {
	if intent.Fence != rc.fence {
		return giveUpRecord(rc.runner, intent.Fence, false)
	}
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Done{Done: &drpb.PlacementDone{
		Runner: rc.runner, Fence: intent.Fence, Intent: intent.Offset,
	}}}
}
