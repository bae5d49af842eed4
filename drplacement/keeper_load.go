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

// find returns the replica of ky in the engine's state.
func (k *keeper) find(ky key) (drengine.Replica, bool) {
	for _, r := range k.state.Replicas {
		if r.Model == ky.model && r.Adapter == ky.adapter {
			return r, true
		}
	}
	return drengine.Replica{}, false
}

// settleLoads compares the loads and unloads in progress with the state.
func (k *keeper) settleLoads() {
	present := make(map[string]drengine.Replica)
	for _, r := range k.state.Replicas {
		present[r.ID] = r
	}
	for id, at := range k.unloads {
		if _, ok := present[id]; !ok || k.stateAt.After(at.Add(quarantine)) {
			delete(k.unloads, id)
		}
	}
	for id := range k.closing {
		if _, ok := present[id]; !ok {
			delete(k.closing, id)
		}
	}
	for ky, l := range k.loads {
		if l.phase != ordered {
			continue
		}
		r, ok := present[l.replica]
		switch {
		case ok && r.State == drengine.Loaded:
			k.loadEnded(ky, l)
		case ok:
			l.seen = true
		case l.seen, k.stateAt.After(l.since.Add(appearTimeout)):
			k.loadFailed(ky, l)
		case l.unanswered > 0 && l.unanswered <= maxRepeats && k.stateAt.After(l.since.Add(tick)):
			// The order may be lost. Repeating it is harmless: the engine knows
			// the replica by its id, and its memory stays reserved.
			l.phase = slotGranted
		}
	}
}

func (k *keeper) loadEnded(ky key, l *load) {
	took := k.now().Sub(l.since)
	l.end()
	delete(k.loads, ky)
	delete(k.failures, ky)
	k.o.speeds.observe(ky, l.from, l.bytes, took)
	k.used(ky)
	k.p.note(drtimeline.Event{Name: drtimeline.LoadEnded, Took: took}, k.runner, ky)
}

// loadFailed makes the next attempt wait, twice as long after each failure.
func (k *keeper) loadFailed(ky key, l *load) {
	l.end()
	delete(k.loads, ky)
	f := k.failures[ky]
	if f == nil {
		f = &failure{}
		k.failures[ky] = f
	}
	f.until = k.now().Add(min(backoffFirst<<min(f.count, 10), backoffLast))
	f.count++
	k.p.record(drtimeline.LoadFailed, k.runner, ky, "")
}

// serveWants starts the loads that wake-ups ask for, models before adapters.
func (k *keeper) serveWants(ctx context.Context) {
	k.mu.Lock()
	var keys []key
	for ky, w := range k.wants {
		if _, busy := k.loads[ky]; !busy && k.now().Sub(w.at) > wantTTL {
			delete(k.wants, ky)
			continue
		}
		keys = append(keys, ky)
		if _, ok := k.wants[key{model: ky.model}]; ky.adapter != "" && !ok && !k.loaded.Has(key{model: ky.model}) {
			k.wants[key{model: ky.model}] = &want{at: w.at}
			keys = append(keys, key{model: ky.model})
		}
	}
	k.mu.Unlock()
	slices.SortFunc(keys, func(a, b key) int {
		if (a.adapter == "") != (b.adapter == "") {
			return kindOf(a) - kindOf(b)
		}
		return k.wantedAt(a).Compare(k.wantedAt(b))
	})
	for _, ky := range slices.Compact(keys) {
		ready, err := k.serve(ctx, ky)
		k.answer(ky, ready, err)
	}
	for ky, l := range k.loads {
		// Nobody waits any more for a load that has not begun.
		if l.phase != ordered && k.wantedAt(ky).IsZero() {
			l.end()
			delete(k.loads, ky)
		}
	}
}

// serve takes the next step towards having ky loaded and returns when that is
// expected.
func (k *keeper) serve(ctx context.Context, ky key) (ready time.Time, err error) {
	now := k.now()
	right, ok := k.entitled(ky.model)
	if !ok {
		return now, k.refusal(ky)
	}
	bytes, ok := k.size(ky)
	if !ok {
		return now, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q adapter %q is not declared", ky.model, ky.adapter)
	}
	if r, ok := k.find(ky); ok && k.loads[ky] == nil {
		if r.State == drengine.Loaded && !k.evicting(r.ID) {
			return now, nil // publish answers
		}
		return now.Add(k.o.speeds.estimate(ky, k.source(ky), bytes)), nil
	}
	if l := k.loads[ky]; l != nil {
		if l.phase == slotGranted {
			err = k.sendLoad(ctx, l, right)
		}
		return k.readyAt(l), err
	}
	if f := k.failures[ky]; f != nil && now.Before(f.until) {
		k.due(f.until)
		return f.until.Add(k.o.speeds.estimate(ky, k.source(ky), bytes)), nil
	}
	if ky.adapter != "" {
		if b, ok := k.find(key{model: ky.model}); !ok || b.State != drengine.Loaded || k.evicting(b.ID) {
			return k.afterBase(ky, bytes)
		}
	}
	id := replicaID(right, ky)
	if d, ok := k.doubts[id]; ok {
		k.due(d.until)
		return d.until, nil
	}
	return k.begin(ctx, ky, id, bytes, right)
}

// afterBase estimates an adapter whose base is not loaded yet. It fails with
// the base, whose want was served before.
func (k *keeper) afterBase(ky key, bytes int64) (time.Time, error) {
	own := k.o.speeds.estimate(ky, k.source(ky), bytes)
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.wants[key{model: ky.model}]
	if w == nil {
		return k.now(), drerror.New(drerror.NotRun, drerror.NoCapacity, "base model %q cannot be loaded on runner %q", ky.model, k.runner)
	}
	if w.known {
		return w.ready.Add(own), nil
	}
	return k.now().Add(own), nil
}

// begin reserves memory for a load and obtains a slot if the checkpoint comes
// from the weight store.
func (k *keeper) begin(ctx context.Context, ky key, id string, bytes int64, right Right) (time.Time, error) {
	from := k.source(ky)
	took := k.o.speeds.estimate(ky, from, bytes)
	fits, coming := k.makeRoom(ctx, bytes, ky.model)
	if !coming {
		return k.now(), drerror.New(drerror.NotRun, drerror.NoCapacity,
			"runner %q has no room for model %q", k.runner, ky.model).WithRetryAfter(inUse)
	}
	if !fits {
		return k.now().Add(took), nil
	}
	l := &load{key: ky, replica: id, bytes: bytes, from: from, phase: slotGranted, since: k.now()}
	k.loads[ky] = l
	if from != fromRemote {
		err := k.sendLoad(ctx, l, right)
		return k.readyAt(l), err
	}
	l.phase = awaitingSlot
	var waiting context.Context
	waiting, l.cancel = context.WithCancel(ctx)
	k.work.Go(func() { k.awaitSlot(ctx, waiting, l) })
	return k.readyAt(l), nil
}

// awaitSlot obtains a slot while the keeper goes on with other work.
func (k *keeper) awaitSlot(ctx, waiting context.Context, l *load) {
	kind := LoadSlot
	if l.key.adapter != "" {
		kind = AdapterSlot
	}
	give, err := k.p.slots.acquire(waiting, kind, func(d time.Duration) {
		k.mu.Lock()
		l.slotWait = d
		k.mu.Unlock()
	})
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || waiting.Err() != nil || ctx.Err() != nil {
		give()
		return
	}
	k.granted = append(k.granted, grantedSlot{l, give})
	poke(k.pokes)
}

// takeSlots hands the slots that were obtained to their loads.
func (k *keeper) takeSlots() {
	k.mu.Lock()
	gs := k.granted
	k.granted = nil
	k.mu.Unlock()
	for _, g := range gs {
		if k.loads[g.load.key] != g.load {
			g.give()
			continue
		}
		g.load.give, g.load.phase = g.give, slotGranted
	}
}

// sendLoad orders a load whose memory is reserved.
func (k *keeper) sendLoad(ctx context.Context, l *load, right Right) error {
	o := drengine.Order{Op: drengine.Load, Replica: l.replica, Model: l.key.model, Bytes: l.bytes}
	if l.key.adapter != "" {
		o.Model, o.Base = l.key.adapter, l.key.model
	}
	if l.replica != replicaID(right, l.key) || k.reserved() > k.state.MemoryBytes {
		// The right was granted anew or memory was taken meanwhile: begin again.
		l.end()
		delete(k.loads, l.key)
		k.due(k.now())
		return nil
	}
	err := k.order(ctx, l.key, o)
	if drerror.ReasonOf(err) == drerror.LogUnavailable && !k.p.logDown() {
		k.due(k.appendAfter) // one append failed
		return nil
	}
	if err != nil && drerror.Of(err) == drerror.NotRun {
		if drerror.ReasonOf(err) == drerror.LogUnavailable || drerror.ReasonOf(err) == drerror.Conflict {
			l.end()
			delete(k.loads, l.key)
		} else {
			k.loadFailed(l.key, l)
		}
		return err
	}
	l.phase, l.since = ordered, k.now()
	if l.unanswered++; err == nil {
		l.unanswered = 0
	}
	k.p.record(drtimeline.LoadOrdered, k.runner, l.key, "replica="+l.replica)
	return nil
}

// readyAt returns when a load is expected to end. A load that takes longer
// than estimated is expected to take another quarter of its time so far.
func (k *keeper) readyAt(l *load) time.Time {
	took := k.o.speeds.estimate(l.key, l.from, l.bytes)
	now := k.now()
	if l.phase != ordered {
		k.mu.Lock()
		defer k.mu.Unlock()
		return now.Add(l.slotWait + took)
	}
	elapsed := now.Sub(l.since)
	if took > 0 && elapsed > took {
		return now.Add(elapsed / 4)
	}
	return l.since.Add(took)
}

// size returns the declared bytes of a model or of an adapter on its base.
func (k *keeper) size(ky key) (int64, bool) {
	if ky.adapter == "" {
		m, ok := k.p.Catalogue.Model(ky.model)
		return m.Bytes, ok
	}
	a, ok := k.p.Catalogue.Adapter(ky.adapter)
	return a.Bytes, ok && a.Base == ky.model
}

// source returns where the engine would load ky from.
func (k *keeper) source(ky key) source {
	name := ky.model
	if ky.adapter != "" {
		name = ky.adapter
	}
	switch {
	case slices.Contains(k.state.Cached.Memory, name):
		return fromMemory
	case slices.Contains(k.state.Cached.Disk, name):
		return fromDisk
	default:
		return fromRemote
	}
}

// refusal says why a model may not be loaded here.
func (k *keeper) refusal(ky key) error {
	if k.leaving() {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "runner %q is leaving", k.runner)
	}
	// Not a lack of capacity, for which the caller would ask for another right:
	// one of the two VMs has not read the newest records yet.
	return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q has no right to model %q", k.runner, ky.model)
}

// closeUnentitled unloads what has no right. A replica whose right must be
// released is withdrawn from routing first and unloaded once it is idle.
func (k *keeper) closeUnentitled(ctx context.Context) {
	seen := make(drcollection.Set[key])
	rs := slices.Clone(k.state.Replicas)
	slices.SortStableFunc(rs, func(a, b drengine.Replica) int {
		return kindOf(key{b.Model, b.Adapter}) - kindOf(key{a.Model, a.Adapter})
	})
	for _, r := range rs {
		ky := key{r.Model, r.Adapter}
		right, ok := k.entitled(r.Model)
		duplicate := seen.Has(ky)
		seen.Add(ky)
		if _, declared := k.size(ky); ok && declared && !duplicate {
			delete(k.closing, r.ID)
			continue
		}
		if right.Grant != 0 && !duplicate && r.State == drengine.Loaded {
			since, closing := k.closing[r.ID]
			if !closing {
				since = k.now()
				k.closing[r.ID] = since
			}
			idle := k.lastUse(ky).Add(inUse)
			if end := since.Add(closingGrace); end.Before(idle) {
				idle = end
			}
			if k.now().Before(idle) {
				k.due(idle)
				continue
			}
		}
		k.unload(ctx, r, causeNoRight)
	}
}

// expireIdle unloads what had no use for its idle timeout.
func (k *keeper) expireIdle(ctx context.Context) {
	for _, r := range k.state.Replicas {
		ky := key{r.Model, r.Adapter}
		if r.State != drengine.Loaded || k.evicting(r.ID) || k.needed(ky) {
			continue
		}
		if r.Adapter == "" && k.hasAdapters(r.Model) {
			continue // adapters expire first
		}
		end := k.lastUse(ky).Add(k.idleTimeout(r.Model))
		if k.now().Before(end) {
			k.due(end)
			continue
		}
		k.unload(ctx, r, causeIdle)
	}
}

func (k *keeper) hasAdapters(model string) bool {
	return slices.ContainsFunc(k.state.Replicas, func(r drengine.Replica) bool {
		return r.Model == model && r.Adapter != ""
	})
}

func (k *keeper) idleTimeout(model string) time.Duration {
	m, ok := k.p.Catalogue.Model(model)
	if !ok || m.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return max(m.IdleTimeout, idleHysteresis)
}
