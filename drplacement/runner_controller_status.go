package drplacement

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// versionShift leaves room for 2^28 versions of the status of a runner under
// one fencing token. Tokens grow with each owner, and so versions grow across
// owners.
const versionShift = 28

// signalProgress makes waiting wake calls check their request again. The caller
// holds rc.mu.
func (rc *runnerController) signalProgress() {
	close(rc.progress)
	rc.progress = make(chan struct{})
}

// wake requests a model or adapter and waits until it is loaded, the request is
// refused, or hold has passed and the end of the load can be estimated. In the
// last case it returns the expected remaining wait.
func (rc *runnerController) wake(ctx context.Context, key modelKey, hold time.Duration) (loaded bool, wait time.Duration, err error) {
	end := rc.placement.Clock.NewTimer(hold)
	defer end.Stop()
	holdElapsed := hold <= 0
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.recordUseLocked(key)
	w := rc.wakeRequests[key]
	if w == nil && !rc.loaded.Has(key) && !rc.ended {
		w = &wakeRequest{}
		rc.wakeRequests[key] = w
		notify(rc.reconcileRequested)
	}
	if w != nil {
		w.requestedAt = rc.now()
	}
	for {
		switch {
		case rc.ended:
			return false, 0, notOwnerError(rc.runner)
		case rc.loaded.Has(key):
			return true, 0, nil
		case w == nil: // unloaded since the request
			return false, 0, nil
		case w.err != nil:
			return false, 0, w.err
		case w.readyKnown && holdElapsed:
			return false, max(0, w.expectedReady.Sub(rc.now())), nil
		}
		progress := rc.progress
		rc.mu.Unlock()
		select {
		case <-progress:
		case <-end.C():
			holdElapsed = true
		case <-ctx.Done():
			err = drerror.Wrap(drerror.NotRun, drerror.Deadline, ctx.Err(), "wait until the model is loaded")
		}
		rc.mu.Lock()
		if err != nil {
			return false, 0, err
		}
	}
}

// recordUse sets the last use of a model or adapter to now.
func (rc *runnerController) recordUse(key modelKey) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.recordUseLocked(key)
}

// recordUseLocked sets the last use of a model or adapter, and of its base
// model, to now. The caller holds rc.mu.
func (rc *runnerController) recordUseLocked(key modelKey) {
	now := rc.now()
	rc.lastUses[key], rc.lastUses[modelKey{model: key.model}] = now, now
}

// requestedAt returns the time of the newest wake call for a model or adapter,
// or zero if no request is open.
func (rc *runnerController) requestedAt(key modelKey) time.Time {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if w := rc.wakeRequests[key]; w != nil {
		return w.requestedAt
	}
	return time.Time{}
}

// updateRequest stores the result of advanceLoad in a wake request. A refused
// request is dropped, so that the next wake call tries again.
func (rc *runnerController) updateRequest(key modelKey, ready time.Time, err error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	w := rc.wakeRequests[key]
	if w == nil {
		return
	}
	w.expectedReady, w.readyKnown, w.err = ready, true, err
	if err != nil {
		delete(rc.wakeRequests, key)
	}
	rc.signalProgress()
}

// refuseAllRequests makes all open wake requests fail with err.
func (rc *runnerController) refuseAllRequests(err error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for key, w := range rc.wakeRequests {
		w.err = err
		delete(rc.wakeRequests, key)
	}
	rc.signalProgress()
}

// publishedStatus returns the newest status, or nil before the first. The
// status must not be changed.
func (rc *runnerController) publishedStatus() *drpb.PlacementStatus {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.status
}

// publishStatus computes the status of the runner and makes it visible to wake
// calls and to VMs that follow the runner.
func (rc *runnerController) publishStatus() {
	s := &drpb.PlacementStatus{
		Runner: rc.runner, Instance: rc.state.Instance, Fence: rc.fence, Leaving: rc.leaving(),
		Capacity: uint32(rc.state.Capacity), Running: uint32(rc.state.Running), Waiting: uint32(rc.state.Waiting),
		MemoryBytes: rc.state.MemoryBytes, ReservedBytes: rc.reservedBytes(),
		CachedMemory: rc.state.Cached.Memory, CachedDisk: rc.state.Cached.Disk,
	}
	loaded := make(drcollection.Set[modelKey])
	for _, r := range rc.state.Replicas {
		_, closing := rc.closingSince[r.ID]
		if r.State != drengine.Loaded || closing || rc.unloadOrdered(r.ID) || rc.rights[r.Model].Grant == 0 {
			continue
		}
		loaded.Add(modelKey{r.Model, r.Adapter})
		s.Loaded = append(s.Loaded, &drpb.PlacementStatus_Replica{Model: r.Model, Adapter: r.Adapter})
	}
	if rc.replaceStatus(s, loaded) {
		rc.owner.notifySubscribers()
	}
}

// replaceStatus completes the requests for loaded models, stores the status and
// reports whether followers must be notified.
func (rc *runnerController) replaceStatus(status *drpb.PlacementStatus, loaded drcollection.Set[modelKey]) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.loaded = loaded
	answered := false
	for key, w := range rc.wakeRequests {
		if loaded.Has(key) {
			w.expectedReady, w.readyKnown = rc.now(), true
			delete(rc.wakeRequests, key)
			answered = true
		}
	}
	if answered {
		rc.signalProgress()
	}
	if rc.canSkipStatus(status) {
		return false
	}
	if rc.status != nil {
		status.Version = rc.status.Version + 1
	} else {
		status.Version = rc.fence<<versionShift + 1
	}
	rc.status, rc.statusPublishedAt = status, rc.now()
	return true
}

// canSkipStatus reports whether status need not be published: it equals the
// published one, or loaded models, engine instance and leaving state are the
// same and less than loadReportPeriod has passed since the last report. The
// caller holds rc.mu.
func (rc *runnerController) canSkipStatus(status *drpb.PlacementStatus) bool {
	old := rc.status
	if old == nil {
		return false
	}
	status.Version = old.Version
	if proto.Equal(old, status) {
		return true
	}
	sameResidency := old.Leaving == status.Leaving && old.Instance == status.Instance && slices.EqualFunc(old.Loaded, status.Loaded, func(a, b *drpb.PlacementStatus_Replica) bool {
		return proto.Equal(a, b)
	})
	if next := rc.statusPublishedAt.Add(loadReportPeriod); sameResidency && rc.now().Before(next) {
		rc.scheduleReconcile(next)
		return true
	}
	return false
}
