package drplacement

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// findReplica returns the replica of a model or adapter from the engine state.
func (rc *runnerController) findReplica(key modelKey) (drengine.Replica, bool) {
	for _, r := range rc.state.Replicas {
		if r.Model == key.model && r.Adapter == key.adapter {
			return r, true
		}
	}
	return drengine.Replica{}, false
}

// updateLoads advances the unloads and loads in progress by what the engine
// state shows.
func (rc *runnerController) updateLoads() {
	present := make(map[string]drengine.Replica)
	for _, r := range rc.state.Replicas {
		present[r.ID] = r
	}
	for id, at := range rc.unloadOrderedAt {
		if _, ok := present[id]; !ok || rc.stateAt.After(at.Add(orderEffectWindow)) {
			delete(rc.unloadOrderedAt, id)
		}
	}
	for id := range rc.closingSince {
		if _, ok := present[id]; !ok {
			delete(rc.closingSince, id)
		}
	}
	for key, l := range rc.loads {
		if l.phase != loadOrdered {
			continue
		}
		r, ok := present[l.replica]
		switch {
		case ok && r.State == drengine.Loaded:
			rc.completeLoad(key, l)
		case ok:
			l.reportedByEngine = true
		case l.reportedByEngine, rc.stateAt.After(l.phaseStart.Add(loadAppearTimeout)):
			rc.failLoad(key, l)
		case l.unanswered > 0 && l.unanswered <= maxLoadRepeats && rc.stateAt.After(l.phaseStart.Add(tick)):
			// The order may have been lost. Repeating it is harmless: the
			// engine recognizes the replica by its ID, and its memory stays
			// reserved.
			l.phase = slotGranted
		}
	}
}

// completeLoad drops a load that the engine has finished and adds its duration
// to the load time estimates.
func (rc *runnerController) completeLoad(key modelKey, load *pendingLoad) {
	took := rc.now().Sub(load.phaseStart)
	load.releaseSlot()
	delete(rc.loads, key)
	delete(rc.failures, key)
	rc.owner.speeds.observe(key, load.source, load.bytes, took)
	rc.recordUse(key)
	rc.placement.recordEvent(drtimeline.Event{Name: drtimeline.LoadEnded, Took: took}, rc.runner, key)
}

// failLoad drops a failed load and sets the time of the next attempt. The pause
// doubles with each failure in a row.
func (rc *runnerController) failLoad(key modelKey, load *pendingLoad) {
	load.releaseSlot()
	delete(rc.loads, key)
	failures := rc.failures[key]
	if failures == nil {
		failures = &loadFailures{}
		rc.failures[key] = failures
	}
	failures.retryAt = rc.now().Add(min(backoffFirst<<min(failures.count, 10), backoffLast))
	failures.count++
	rc.placement.recordNamedEvent(drtimeline.LoadFailed, rc.runner, key, "")
}

// serveWakeRequests takes the next step for each open wake request: models
// before adapters, older requests first. A request for an adapter whose base
// model is not loaded adds one for the base model.
func (rc *runnerController) serveWakeRequests(ctx context.Context) {
	rc.mu.Lock()
	var keys []modelKey
	for key, w := range rc.wakeRequests {
		if _, busy := rc.loads[key]; !busy && rc.now().Sub(w.requestedAt) > wakeRequestTTL {
			delete(rc.wakeRequests, key)
			continue
		}
		keys = append(keys, key)
		if _, ok := rc.wakeRequests[modelKey{model: key.model}]; key.adapter != "" && !ok && !rc.loaded.Has(modelKey{model: key.model}) {
			rc.wakeRequests[modelKey{model: key.model}] = &wakeRequest{requestedAt: w.requestedAt}
			keys = append(keys, modelKey{model: key.model})
		}
	}
	rc.mu.Unlock()
	slices.SortFunc(keys, func(a, b modelKey) int {
		if (a.adapter == "") != (b.adapter == "") {
			return kindIndex(a) - kindIndex(b)
		}
		return rc.requestedAt(a).Compare(rc.requestedAt(b))
	})
	for _, key := range slices.Compact(keys) {
		ready, err := rc.advanceLoad(ctx, key)
		rc.updateRequest(key, ready, err)
	}
	for key, l := range rc.loads {
		// The wake request has expired or was refused, so a load that was not
		// ordered yet is dropped.
		if l.phase != loadOrdered && rc.requestedAt(key).IsZero() {
			l.releaseSlot()
			delete(rc.loads, key)
		}
	}
}

// advanceLoad takes the next step towards having a model or adapter loaded. It
// returns the time at which the load is expected to end, or an error if it
// cannot be loaded now.
func (rc *runnerController) advanceLoad(ctx context.Context, key modelKey) (ready time.Time, err error) {
	now := rc.now()
	right, ok := rc.usableRight(key.model)
	if !ok {
		return now, rc.noRightError(key)
	}
	bytes, ok := rc.declaredBytes(key)
	if !ok {
		return now, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q adapter %q is not declared", key.model, key.adapter)
	}
	if r, ok := rc.findReplica(key); ok && rc.loads[key] == nil {
		if r.State == drengine.Loaded && !rc.unloadOrdered(r.ID) {
			return now, nil // publishStatus completes the request
		}
		return now.Add(rc.owner.speeds.estimate(key, rc.sourceOf(key), bytes)), nil
	}
	if l := rc.loads[key]; l != nil {
		if l.phase == slotGranted {
			err = rc.sendLoad(ctx, l, right)
		}
		return rc.expectedLoadEnd(l), err
	}
	if f := rc.failures[key]; f != nil && now.Before(f.retryAt) {
		rc.scheduleReconcile(f.retryAt)
		return f.retryAt.Add(rc.owner.speeds.estimate(key, rc.sourceOf(key), bytes)), nil
	}
	if key.adapter != "" {
		if b, ok := rc.findReplica(modelKey{model: key.model}); !ok || b.State != drengine.Loaded || rc.unloadOrdered(b.ID) {
			return rc.estimateAfterBase(key, bytes)
		}
	}
	id := replicaID(right, key)
	if d, ok := rc.unresolvedOrders[id]; ok {
		rc.scheduleReconcile(d.possibleUntil)
		return d.possibleUntil, nil
	}
	return rc.beginLoad(ctx, key, id, bytes, right)
}

// estimateAfterBase returns the expected load time of an adapter whose base
// model is not loaded yet. The request for the base model is served first; if
// that was refused, estimateAfterBase returns an error.
func (rc *runnerController) estimateAfterBase(key modelKey, bytes int64) (time.Time, error) {
	own := rc.owner.speeds.estimate(key, rc.sourceOf(key), bytes)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	w := rc.wakeRequests[modelKey{model: key.model}]
	if w == nil {
		return rc.now(), drerror.New(drerror.NotRun, drerror.NoCapacity, "base model %q cannot be loaded on runner %q", key.model, rc.runner)
	}
	if w.readyKnown {
		return w.expectedReady.Add(own), nil
	}
	return rc.now().Add(own), nil
}

// beginLoad reserves memory for a load, after evictions if needed. It then
// orders the load, or first waits for a slot if the checkpoint comes from the
// weight store.
func (rc *runnerController) beginLoad(ctx context.Context, key modelKey, replica string, bytes int64, right Right) (time.Time, error) {
	from := rc.sourceOf(key)
	took := rc.owner.speeds.estimate(key, from, bytes)
	fits, willFit := rc.makeRoom(ctx, bytes, key.model)
	if !willFit {
		return rc.now(), drerror.New(drerror.NotRun, drerror.NoCapacity,
			"runner %q has not enough free memory for model %q", rc.runner, key.model).WithRetryAfter(recentUseWindow)
	}
	if !fits {
		return rc.now().Add(took), nil
	}
	l := &pendingLoad{key: key, replica: replica, bytes: bytes, source: from, phase: slotGranted, phaseStart: rc.now()}
	rc.loads[key] = l
	if from != fromRemote {
		err := rc.sendLoad(ctx, l, right)
		return rc.expectedLoadEnd(l), err
	}
	l.phase = awaitingSlot
	var waiting context.Context
	waiting, l.cancelSlotWait = context.WithCancel(ctx)
	rc.goroutines.Go(func() { rc.awaitSlot(ctx, waiting, l) })
	return rc.expectedLoadEnd(l), nil
}

// awaitSlot borrows a slot for a load. It runs on a goroutine of its own, so
// that the controller can do other work meanwhile. waiting ends when the slot
// is no longer needed.
func (rc *runnerController) awaitSlot(ctx, waiting context.Context, load *pendingLoad) {
	kind := LoadSlot
	if load.key.adapter != "" {
		kind = AdapterSlot
	}
	giveBack, err := rc.placement.slots.acquire(waiting, kind, func(d time.Duration) {
		rc.mu.Lock()
		load.slotWait = d
		rc.mu.Unlock()
	})
	if err != nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.ended || waiting.Err() != nil || ctx.Err() != nil {
		giveBack()
		return
	}
	rc.grantedSlots = append(rc.grantedSlots, grantedSlot{load, giveBack})
	notify(rc.reconcileRequested)
}

// assignGrantedSlots hands the slots that awaitSlot has borrowed to their
// loads, and gives back those whose load was dropped.
func (rc *runnerController) assignGrantedSlots() {
	rc.mu.Lock()
	gs := rc.grantedSlots
	rc.grantedSlots = nil
	rc.mu.Unlock()
	for _, g := range gs {
		if rc.loads[g.load.key] != g.load {
			g.giveBack()
			continue
		}
		g.load.giveBackSlot, g.load.phase = g.giveBack, slotGranted
	}
}

// sendLoad orders a load whose memory is reserved.
func (rc *runnerController) sendLoad(ctx context.Context, load *pendingLoad, right Right) error {
	o := drengine.Order{Op: drengine.Load, Replica: load.replica, Model: load.key.model, Bytes: load.bytes}
	if load.key.adapter != "" {
		o.Model, o.Base = load.key.adapter, load.key.model
	}
	if load.replica != replicaID(right, load.key) || rc.reservedBytes() > rc.state.MemoryBytes {
		// The right was granted anew or the memory was taken meanwhile, so the
		// load starts over.
		load.releaseSlot()
		delete(rc.loads, load.key)
		rc.scheduleReconcile(rc.now())
		return nil
	}
	err := rc.sendOrder(ctx, load.key, o)
	if drerror.ReasonOf(err) == drerror.LogUnavailable && !rc.placement.logDown() {
		rc.scheduleReconcile(rc.nextAppendAt) // one append failed, but the log is not down
		return nil
	}
	if err != nil && drerror.VerdictOf(err) == drerror.NotRun {
		if drerror.ReasonOf(err) == drerror.LogUnavailable || drerror.ReasonOf(err) == drerror.Conflict {
			load.releaseSlot()
			delete(rc.loads, load.key)
		} else {
			rc.failLoad(load.key, load)
		}
		return err
	}
	load.phase, load.phaseStart = loadOrdered, rc.now()
	if load.unanswered++; err == nil {
		load.unanswered = 0
	}
	rc.placement.recordNamedEvent(drtimeline.LoadOrdered, rc.runner, load.key, "replica="+load.replica)
	return nil
}

// expectedLoadEnd returns when a load is expected to end. A load that has taken
// longer than estimated is expected to take another quarter of its time so far.
func (rc *runnerController) expectedLoadEnd(load *pendingLoad) time.Time {
	took := rc.owner.speeds.estimate(load.key, load.source, load.bytes)
	now := rc.now()
	if load.phase != loadOrdered {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		return now.Add(load.slotWait + took)
	}
	elapsed := now.Sub(load.phaseStart)
	if took > 0 && elapsed > took {
		return now.Add(elapsed / 4)
	}
	return load.phaseStart.Add(took)
}

// declaredBytes returns the declared memory size of a model, or of an adapter
// on its base model. It returns false if the model, or the adapter for this
// base, is not declared.
func (rc *runnerController) declaredBytes(key modelKey) (int64, bool) {
	if key.adapter == "" {
		m, ok := rc.placement.Catalogue.Model(key.model)
		return m.Bytes, ok
	}
	a, ok := rc.placement.Catalogue.Adapter(key.adapter)
	return a.Bytes, ok && a.Base == key.model
}

// sourceOf returns where the engine would load a model or adapter from.
func (rc *runnerController) sourceOf(key modelKey) checkpointSource {
	name := key.model
	if key.adapter != "" {
		name = key.adapter
	}
	switch {
	case slices.Contains(rc.state.Cached.Memory, name):
		return fromMemory
	case slices.Contains(rc.state.Cached.Disk, name):
		return fromDisk
	default:
		return fromRemote
	}
}

// noRightError returns the reason why a model may not be loaded on this runner.
func (rc *runnerController) noRightError(key modelKey) error {
	if rc.leaving() {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "runner %q is leaving", rc.runner)
	}
	// The reason is not NoCapacity, for which the caller would ask for another
	// right: caller and owner disagree only because one of the two VMs has not
	// read the newest records yet.
	return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q has no right to model %q", rc.runner, key.model)
}

// unloadWithoutRight unloads replicas without a usable right, undeclared ones
// and duplicates, adapters before models. A loaded replica whose right must be
// released is first withdrawn from routing, and unloaded once it was not used
// for recentUseWindow or closingGrace has passed.
func (rc *runnerController) unloadWithoutRight(ctx context.Context) {
	seen := make(drcollection.Set[modelKey])
	rs := slices.Clone(rc.state.Replicas)
	slices.SortStableFunc(rs, func(a, b drengine.Replica) int {
		return kindIndex(modelKey{b.Model, b.Adapter}) - kindIndex(modelKey{a.Model, a.Adapter})
	})
	for _, r := range rs {
		key := modelKey{r.Model, r.Adapter}
		right, ok := rc.usableRight(r.Model)
		duplicate := seen.Has(key)
		seen.Add(key)
		if _, declared := rc.declaredBytes(key); ok && declared && !duplicate {
			delete(rc.closingSince, r.ID)
			continue
		}
		if right.Grant != 0 && !duplicate && r.State == drengine.Loaded {
			since, closing := rc.closingSince[r.ID]
			if !closing {
				since = rc.now()
				rc.closingSince[r.ID] = since
			}
			idle := rc.lastUse(key).Add(recentUseWindow)
			if end := since.Add(closingGrace); end.Before(idle) {
				idle = end
			}
			if rc.now().Before(idle) {
				rc.scheduleReconcile(idle)
				continue
			}
		}
		rc.unload(ctx, r, causeNoRight)
	}
}

// unloadIdle unloads what was not used for its idle timeout.
func (rc *runnerController) unloadIdle(ctx context.Context) {
	for _, r := range rc.state.Replicas {
		key := modelKey{r.Model, r.Adapter}
		if r.State != drengine.Loaded || rc.unloadOrdered(r.ID) || rc.needed(key) {
			continue
		}
		if r.Adapter == "" && rc.hasAdapters(r.Model) {
			continue // adapters are unloaded first
		}
		end := rc.lastUse(key).Add(rc.idleTimeout(r.Model))
		if rc.now().Before(end) {
			rc.scheduleReconcile(end)
			continue
		}
		rc.unload(ctx, r, causeIdle)
	}
}

func (rc *runnerController) hasAdapters(model string) bool {
	return slices.ContainsFunc(rc.state.Replicas, func(r drengine.Replica) bool {
		return r.Model == model && r.Adapter != ""
	})
}

func (rc *runnerController) idleTimeout(model string) time.Duration {
	m, ok := rc.placement.Catalogue.Model(model)
	if !ok || m.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return max(m.IdleTimeout, idleHysteresis)
}
