package drplacement

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// releaseRights releases the rights that are no longer usable or needed. It
// waits until the engine state shows that nothing is loaded under a right and
// nothing can be loaded any more.
func (rc *runnerController) releaseRights(ctx context.Context) {
	if rc.placement.logDown() {
		rc.cancelRequestedReleases()
		return
	}
	for model, r := range rc.rights {
		_, ok := rc.usableRight(model)
		if ok && !rc.isSurplus(model, r) || rc.mayHaveReplica(model) {
			continue
		}
		if ok && rc.wakeRequested(model) {
			continue
		}
		if !rc.release(ctx, model, r) {
			return
		}
	}
}

// cancelRequestedReleases makes the rights usable again whose release was
// requested but not attempted. While the log is down they cannot be granted to
// another runner anyway.
func (rc *runnerController) cancelRequestedReleases() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	clear(rc.grantsToRelease)
}

// release appends a release record and reports whether it was folded. From then
// on nothing is loaded under the right even if the append failed, because the
// record may still arrive.
func (rc *runnerController) release(ctx context.Context, model string, right Right) bool {
	if rc.placement.logDown() {
		return false
	}
	rc.releasingGrants.Add(right.Grant)
	done := rc.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Release{Release: &drpb.PlacementRelease{
		Model: model, Runner: rc.runner, Grant: right.Grant, Fence: rc.fence,
	}}})
	if done {
		rc.placement.recordNamedEvent(drtimeline.RightReleased, rc.runner, modelKey{model: model}, "")
	}
	return done
}

// mayHaveReplica reports whether a replica of the model exists or may be
// created by a load or an order on its way.
func (rc *runnerController) mayHaveReplica(model string) bool {
	for _, r := range rc.state.Replicas {
		if r.Model == model {
			return true
		}
	}
	for key := range rc.loads {
		if key.model == model {
			return true
		}
	}
	for _, d := range rc.unresolvedOrders {
		if d.model == model {
			return true
		}
	}
	for _, in := range rc.intents {
		if in.Model == model {
			return true
		}
	}
	return false
}

// isSurplus reports whether a right beyond the minimum number of replicas was
// not used for the idle timeout. It is then released, so that the next demand
// can grant it on another runner.
func (rc *runnerController) isSurplus(model string, right Right) bool {
	m, ok := rc.placement.Catalogue.Model(model)
	if !ok {
		return false
	}
	rc.mu.Lock()
	last, known := rc.lastUses[modelKey{model: model}]
	if !known {
		rc.lastUses[modelKey{model: model}] = rc.now()
	}
	rc.mu.Unlock()
	if !known || rc.now().Before(last.Add(rc.idleTimeout(model))) {
		return false
	}
	for i, other := range rc.placement.Ledger.Rights(model) {
		if other.Grant == right.Grant {
			return i >= m.Min
		}
	}
	return false
}

func (rc *runnerController) wakeRequested(model string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for key := range rc.wakeRequests {
		if key.model == model {
			return true
		}
	}
	return false
}

// requestRelease makes the controller release the right to a model. It fails if
// the model is loaded.
func (rc *runnerController) requestRelease(model string) error {
	r, ok := rc.placement.Ledger.RightsOn(rc.runner)[model]
	if !ok {
		return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q has no right to model %q", rc.runner, model)
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.loaded.Has(modelKey{model: model}) || rc.ended {
		return drerror.New(drerror.NotRun, drerror.Conflict, "model %q is loaded on runner %q", model, rc.runner)
	}
	rc.grantsToRelease[model] = r.Grant
	notify(rc.reconcileRequested)
	return nil
}
