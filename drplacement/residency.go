package drplacement

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Residency is the view of an entry VM on which models are loaded on which
// runners. It follows only the runners that have a right to a model in use on
// this VM, with one pending call for each owner. While an owner is reachable,
// the view lags by at most residencyHold and the duration of a call.
type Residency struct {
	placement        *Placement
	refreshRequested chan struct{}

	mu             sync.Mutex
	entries        map[string]*residencyEntry // by runner
	modelLastUse   map[string]time.Time       // by model: last use on this VM
	followedOwners drcollection.Set[string]   // VMs for which a goroutine runs follow
	usesInFlight   map[useKey]int             // number of requests that now use a model on a runner
	unreportedUses drcollection.Set[useKey]   // uses that the owner must still be told of
	goroutines     sync.WaitGroup
}

// residencyEntry is the newest known status of a runner. confirmedAt is the
// local time at which the status arrived or was last confirmed as unchanged.
type residencyEntry struct {
	backend     drmember.Backend
	status      *drpb.PlacementStatus
	loaded      drcollection.Set[modelKey]
	confirmedAt time.Time
}

// useKey identifies a model or adapter on a runner.
type useKey struct {
	runner string
	key    modelKey
}

func newResidency(placement *Placement) *Residency {
	return &Residency{
		placement: placement, refreshRequested: make(chan struct{}, 1),
		entries: make(map[string]*residencyEntry), modelLastUse: make(map[string]time.Time),
		followedOwners: make(drcollection.Set[string]), usesInFlight: make(map[useKey]int), unreportedUses: make(drcollection.Set[useKey]),
	}
}

// Loaded returns the runners on which a model is loaded, or an adapter on it,
// and that take new work, as far as this VM knows. adapter is empty for the
// model itself. A call counts as use of the model, so that its runners are
// followed.
func (r *Residency) Loaded(model, adapter string) []RunnerStatus {
	r.markModelUsed(model)
	var ss []RunnerStatus
	now := r.placement.Clock.Now()
	rights := r.placement.Ledger.Rights(model)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, right := range rights {
		e := r.entries[right.Runner]
		if e != nil && !right.Excess && !e.status.Leaving && e.loaded.Has(modelKey{model, adapter}) && now.Sub(e.confirmedAt) < residencyMaxAge {
			ss = append(ss, RunnerStatus{
				Runner: right.Runner, Address: e.backend.Address, Zone: e.backend.Zone, Fence: e.status.Fence,
				Instance: e.status.Instance, Version: e.status.Version,
				Capacity: int(e.status.Capacity), Running: int(e.status.Running), Waiting: int(e.status.Waiting), At: e.confirmedAt,
			})
		}
	}
	return ss
}

// Use protects a model or adapter on a runner from eviction until done is
// called. done may be called several times.
func (r *Residency) Use(runner, model, adapter string) (done func()) {
	u := useKey{runner, modelKey{model, adapter}}
	r.markModelUsed(model)
	r.mu.Lock()
	r.usesInFlight[u]++
	r.mu.Unlock()
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unreportedUses.Add(u)
		if r.usesInFlight[u]--; r.usesInFlight[u] == 0 {
			delete(r.usesInFlight, u)
		}
	})
}

// markModelUsed keeps the runners of a model followed for another
// watchDuration.
func (r *Residency) markModelUsed(model string) {
	r.mu.Lock()
	_, known := r.modelLastUse[model]
	r.modelLastUse[model] = r.placement.Clock.Now()
	r.mu.Unlock()
	if !known {
		notify(r.refreshRequested)
	}
}

// addReplica adds a replica that a Wake call has reported as loaded, ahead of
// the next status of its runner.
func (r *Residency) addReplica(location Location, key modelKey) {
	b, _ := r.placement.backend(location.Runner)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[location.Runner]
	if e == nil {
		e = &residencyEntry{backend: b, status: &drpb.PlacementStatus{Runner: location.Runner, Fence: location.Fence}, loaded: make(drcollection.Set[modelKey])}
		r.entries[location.Runner] = e
	}
	e.loaded.Add(key)
	e.confirmedAt = r.placement.Clock.Now()
}

// run starts a goroutine for each owner of a runner to follow, until ctx ends.
func (r *Residency) run(ctx context.Context) {
	defer r.goroutines.Wait()
	for ctx.Err() == nil {
		r.dropExpired()
		for vm := range r.runnersByOwner() {
			r.mu.Lock()
			if !r.followedOwners.Has(vm) {
				r.followedOwners.Add(vm)
				r.goroutines.Go(func() { r.follow(ctx, vm) })
			}
			r.mu.Unlock()
		}
		t := r.placement.Clock.NewTimer(tick)
		select {
		case <-r.refreshRequested:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// dropExpired removes models that are no longer in use and statuses that were
// not confirmed for residencyMaxAge.
func (r *Residency) dropExpired() {
	now := r.placement.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for m, at := range r.modelLastUse {
		if now.Sub(at) > watchDuration {
			delete(r.modelLastUse, m)
		}
	}
	for name, e := range r.entries {
		if now.Sub(e.confirmedAt) > residencyMaxAge {
			delete(r.entries, name)
		}
	}
}

// runnersByOwner returns the runners with a right to a model in use, grouped by
// their owner. Runners without an owner are left out.
func (r *Residency) runnersByOwner() map[string]drcollection.Set[string] {
	r.mu.Lock()
	models := make([]string, 0, len(r.modelLastUse))
	for m := range r.modelLastUse {
		models = append(models, m)
	}
	r.mu.Unlock()
	w := make(map[string]drcollection.Set[string])
	for _, m := range models {
		for _, right := range r.placement.Ledger.Rights(m) {
			vm := r.placement.Ledger.Owner(right.Runner).VM
			if vm == "" {
				continue
			}
			if w[vm] == nil {
				w[vm] = make(drcollection.Set[string])
			}
			w[vm].Add(right.Runner)
		}
	}
	return w
}

// follow keeps the statuses of the runners of one owner up to date. It ends
// when none of them has a right to a model in use.
func (r *Residency) follow(ctx context.Context, vm string) {
	for ctx.Err() == nil {
		runners := r.runnersByOwner()[vm]
		if len(runners) == 0 {
			break
		}
		q, reported := r.buildRequest(runners)
		reply, err := r.placement.callResidency(ctx, vm, q)
		if err != nil {
			r.requeueUses(reported)
			_ = r.placement.Clock.Sleep(ctx, retryPause)
			continue
		}
		r.applyStatuses(runners, reply)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followedOwners, vm)
}

// buildRequest returns a request for newer statuses of the runners that also
// reports their uses. The uses are returned too, to be reported again if the
// call fails.
func (r *Residency) buildRequest(runners drcollection.Set[string]) (*drpb.PlacementResidency, []useKey) {
	q := &drpb.PlacementResidency{HoldMs: uint64(residencyHold.Milliseconds())}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range drcollection.Sorted(runners) {
		w := &drpb.PlacementResidency_Watch{Runner: name}
		if e := r.entries[name]; e != nil {
			w.Version = e.status.Version
		}
		q.Watches = append(q.Watches, w)
	}
	for u := range r.usesInFlight {
		r.unreportedUses.Add(u)
	}
	var reported []useKey
	for u := range r.unreportedUses {
		if runners.Has(u.runner) {
			delete(r.unreportedUses, u)
			reported = append(reported, u)
			q.Uses = append(q.Uses, &drpb.PlacementResidency_Use{Runner: u.runner, Model: u.key.model, Adapter: u.key.adapter})
		}
	}
	return q, reported
}

// requeueUses marks uses as unreported after a failed call.
func (r *Residency) requeueUses(uses []useKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range uses {
		r.unreportedUses.Add(u)
	}
}

// applyStatuses stores the statuses of a reply. A runner without a status in
// the reply has not changed, so its stored status counts as confirmed.
func (r *Residency) applyStatuses(runners drcollection.Set[string], reply *drpb.PlacementResidencyReply) {
	now := r.placement.Clock.Now()
	backends := make(map[string]drmember.Backend, len(reply.Statuses))
	for _, s := range reply.Statuses {
		backends[s.Runner], _ = r.placement.backend(s.Runner)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range runners {
		if e := r.entries[name]; e != nil && e.status.Version > 0 {
			e.confirmedAt = now
		}
	}
	for _, s := range reply.Statuses {
		if old := r.entries[s.Runner]; old != nil && old.status.Version > s.Version {
			continue // the answer of an earlier owner
		}
		loaded := make(drcollection.Set[modelKey])
		for _, l := range s.Loaded {
			loaded.Add(modelKey{l.Model, l.Adapter})
		}
		r.entries[s.Runner] = &residencyEntry{backend: backends[s.Runner], status: s, loaded: loaded, confirmedAt: now}
	}
}
