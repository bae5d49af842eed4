package drplacement

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// releaseRights releases the rights that must go, once the engine has confirmed
// that nothing is loaded under them and nothing can be loaded any more.
func (k *keeper) releaseRights(ctx context.Context) {
	if k.p.logDown() {
		k.dropYields()
		return
	}
	for model, r := range k.rights {
		_, ok := k.entitled(model)
		if ok && !k.surplus(model, r) || k.occupied(model) {
			continue
		}
		if ok && k.wanted(model) {
			continue
		}
		if !k.release(ctx, model, r) {
			return
		}
	}
}

// dropYields keeps the rights whose release was not attempted, because they
// cannot be granted elsewhere while the log is down.
func (k *keeper) dropYields() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.yields)
}

// release appends a release. From then on nothing is loaded under the right,
// because the record may still arrive if its answer was lost.
func (k *keeper) release(ctx context.Context, model string, r Right) bool {
	if k.p.logDown() {
		return false
	}
	k.releasing.Add(r.Grant)
	done := k.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Release{Release: &drpb.PlacementRelease{
		Model: model, Runner: k.runner, Grant: r.Grant, Fence: k.fence,
	}}})
	if done {
		k.p.record(drtimeline.RightReleased, k.runner, key{model: model}, "")
	}
	return done
}

// occupied reports whether a replica of the model exists or may come to exist.
func (k *keeper) occupied(model string) bool {
	for _, r := range k.state.Replicas {
		if r.Model == model {
			return true
		}
	}
	for ky := range k.loads {
		if ky.model == model {
			return true
		}
	}
	for _, d := range k.doubts {
		if d.model == model {
			return true
		}
	}
	for _, in := range k.intents {
		if in.Model == model {
			return true
		}
	}
	return false
}

// surplus reports whether an unused right exceeds the minimum, so that its
// place is better given to another runner at the next demand.
func (k *keeper) surplus(model string, r Right) bool {
	m, ok := k.p.Catalogue.Model(model)
	if !ok {
		return false
	}
	k.mu.Lock()
	last, known := k.uses[key{model: model}]
	if !known {
		k.uses[key{model: model}] = k.now()
	}
	k.mu.Unlock()
	if !known || k.now().Before(last.Add(k.idleTimeout(model))) {
		return false
	}
	for i, t := range k.p.Ledger.Rights(model) {
		if t.Grant == r.Grant {
			return i >= m.Min
		}
	}
	return false
}

func (k *keeper) wanted(model string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for ky := range k.wants {
		if ky.model == model {
			return true
		}
	}
	return false
}

// yield makes the keeper release the right to a model that is neither loaded
// nor wanted.
func (k *keeper) yield(model string) error {
	r, ok := k.p.Ledger.RightsOn(k.runner)[model]
	if !ok {
		return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q has no right to model %q", k.runner, model)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loaded.Has(key{model: model}) || k.ended {
		return drerror.New(drerror.NotRun, drerror.Conflict, "model %q is loaded on runner %q", model, k.runner)
	}
	k.yields[model] = r.Grant
	poke(k.pokes)
	return nil
}
