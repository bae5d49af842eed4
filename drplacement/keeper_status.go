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

// versionShift leaves room for 2^28 versions of a runner's status under one
// fencing token, so that versions grow across owners.
const versionShift = 28

// signal wakes those who wait in wake. The caller holds k.mu.
func (k *keeper) signal() {
	close(k.progress)
	k.progress = make(chan struct{})
}

// wake asks for ky and waits until it is loaded, refused, or hold has passed;
// then it returns the expected remaining wait.
func (k *keeper) wake(ctx context.Context, ky key, hold time.Duration) (loaded bool, wait time.Duration, err error) {
	end := k.p.Clock.NewTimer(hold)
	defer end.Stop()
	over := hold <= 0
	k.mu.Lock()
	defer k.mu.Unlock()
	k.use(ky)
	w := k.wants[ky]
	if w == nil && !k.loaded.Has(ky) && !k.ended {
		w = &want{}
		k.wants[ky] = w
		poke(k.pokes)
	}
	if w != nil {
		w.at = k.now()
	}
	for {
		switch {
		case k.ended:
			return false, 0, notOwner(k.runner)
		case k.loaded.Has(ky):
			return true, 0, nil
		case w == nil: // unloaded since
			return false, 0, nil
		case w.err != nil:
			return false, 0, w.err
		case w.known && over:
			return false, max(0, w.ready.Sub(k.now())), nil
		}
		progress := k.progress
		k.mu.Unlock()
		select {
		case <-progress:
		case <-end.C():
			over = true
		case <-ctx.Done():
			err = drerror.Wrap(drerror.NotRun, drerror.Deadline, ctx.Err(), "wait for load")
		}
		k.mu.Lock()
		if err != nil {
			return false, 0, err
		}
	}
}

// used takes note of a use.
func (k *keeper) used(ky key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.use(ky)
}

// use takes note of a use of ky and of its base. The caller holds k.mu.
func (k *keeper) use(ky key) {
	now := k.now()
	k.uses[ky], k.uses[key{model: ky.model}] = now, now
}

func (k *keeper) wantedAt(ky key) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.wants[ky]; w != nil {
		return w.at
	}
	return time.Time{}
}

// answer updates a want. A refused one is dropped, so that the next wake-up
// tries again.
func (k *keeper) answer(ky key, ready time.Time, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.wants[ky]
	if w == nil {
		return
	}
	w.ready, w.known, w.err = ready, true, err
	if err != nil {
		delete(k.wants, ky)
	}
	k.signal()
}

// refuseAll refuses every want.
func (k *keeper) refuseAll(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for ky, w := range k.wants {
		w.err = err
		delete(k.wants, ky)
	}
	k.signal()
}

func (k *keeper) published() *drpb.PlacementStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}

// publish makes the status visible to wake-ups and subscribers.
func (k *keeper) publish() {
	s := &drpb.PlacementStatus{
		Runner: k.runner, Instance: k.state.Instance, Fence: k.fence, Leaving: k.leaving(),
		Capacity: uint32(k.state.Capacity), Running: uint32(k.state.Running), Waiting: uint32(k.state.Waiting),
		MemoryBytes: k.state.MemoryBytes, ReservedBytes: k.reserved(),
		CachedMemory: k.state.Cached.Memory, CachedDisk: k.state.Cached.Disk,
	}
	loaded := make(drcollection.Set[key])
	for _, r := range k.state.Replicas {
		_, closing := k.closing[r.ID]
		if r.State != drengine.Loaded || closing || k.evicting(r.ID) || k.rights[r.Model].Grant == 0 {
			continue
		}
		loaded.Add(key{r.Model, r.Adapter})
		s.Loaded = append(s.Loaded, &drpb.PlacementStatus_Replica{Model: r.Model, Adapter: r.Adapter})
	}
	if k.update(s, loaded) {
		k.o.broadcast()
	}
}

// update replaces the status and reports whether subscribers must hear of it.
func (k *keeper) update(s *drpb.PlacementStatus, loaded drcollection.Set[key]) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loaded = loaded
	answered := false
	for ky, w := range k.wants {
		if loaded.Has(ky) {
			w.ready, w.known = k.now(), true
			delete(k.wants, ky)
			answered = true
		}
	}
	if answered {
		k.signal()
	}
	if k.sameStatus(s) {
		return false
	}
	if k.status != nil {
		s.Version = k.status.Version + 1
	} else {
		s.Version = k.fence<<versionShift + 1
	}
	k.status, k.statusAt = s, k.now()
	return true
}

// sameStatus reports whether s need not be published: it equals the published
// status, or differs only in load and the last report was recent. The caller
// holds k.mu.
func (k *keeper) sameStatus(s *drpb.PlacementStatus) bool {
	old := k.status
	if old == nil {
		return false
	}
	s.Version = old.Version
	if proto.Equal(old, s) {
		return true
	}
	residency := old.Leaving == s.Leaving && old.Instance == s.Instance && slices.EqualFunc(old.Loaded, s.Loaded, func(a, b *drpb.PlacementStatus_Replica) bool {
		return proto.Equal(a, b)
	})
	if next := k.statusAt.Add(loadReportPeriod); residency && k.now().Before(next) {
		k.due(next)
		return true
	}
	return false
}
