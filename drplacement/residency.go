package drplacement

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Residency is an entry VM's view of what is loaded where. It follows only the
// runners that have a right to a model in use here, one call for each owner;
// it lags by at most residencyHold and a call while the owner is reachable.
type Residency struct {
	placement        *Placement
	refreshRequested chan struct{}

	mu             sync.Mutex
	entries        map[string]*residencyEntry // by runner
	modelLastUse   map[string]time.Time       // last use here
	followedOwners drcollection.Set[string]   // owners that are being followed
	usesInFlight   map[useKey]int
	unreportedUses drcollection.Set[useKey] // uses not yet reported
	goroutines     sync.WaitGroup
}

type residencyEntry struct {
	backend     drmember.Backend
	status      *drpb.PlacementStatus
	loaded      drcollection.Set[modelKey]
	confirmedAt time.Time
}

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

// Loaded returns the runners that take new work for a model, or for an adapter
// on it, as far as this VM knows.
func (r *Residency) Loaded(model, adapter string) []RunnerStatus {
	r.markModelUsed(model)
	var ss []RunnerStatus
	now := r.placement.Clock.Now()
	rights := r.placement.Ledger.Rights(model)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range rights {
		e := r.entries[t.Runner]
		if e != nil && !t.Excess && !e.status.Leaving && e.loaded.Has(modelKey{model, adapter}) && now.Sub(e.confirmedAt) < residencyMaxAge {
			ss = append(ss, RunnerStatus{
				Runner: t.Runner, Address: e.backend.Address, Zone: e.backend.Zone, Fence: e.status.Fence,
				Instance: e.status.Instance, Version: e.status.Version,
				Capacity: int(e.status.Capacity), Running: int(e.status.Running), Waiting: int(e.status.Waiting), At: e.confirmedAt,
			})
		}
	}
	return ss
}

// Use protects a model or adapter on a runner from eviction until done is
// called.
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

// markModelUsed notes that a model is in use, so that its runners are followed.
func (r *Residency) markModelUsed(model string) {
	r.mu.Lock()
	_, known := r.modelLastUse[model]
	r.modelLastUse[model] = r.placement.Clock.Now()
	r.mu.Unlock()
	if !known {
		notify(r.refreshRequested)
	}
}

// addReplica takes note of a replica that a wake-up reported.
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

// run follows the owners of the runners in use.
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

// runnersByOwner returns the runners to follow by owner.
func (r *Residency) runnersByOwner() map[string]drcollection.Set[string] {
	r.mu.Lock()
	models := make([]string, 0, len(r.modelLastUse))
	for m := range r.modelLastUse {
		models = append(models, m)
	}
	r.mu.Unlock()
	w := make(map[string]drcollection.Set[string])
	for _, m := range models {
		for _, t := range r.placement.Ledger.Rights(m) {
			vm := r.placement.Ledger.Owner(t.Runner).VM
			if vm == "" {
				continue
			}
			if w[vm] == nil {
				w[vm] = make(drcollection.Set[string])
			}
			w[vm].Add(t.Runner)
		}
	}
	return w
}

// follow keeps the entries of one owner's runners up to date while any of them
// is in use.
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

func (r *Residency) requeueUses(uses []useKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range uses {
		r.unreportedUses.Add(u)
	}
}

// applyStatuses takes over statuses. An answer without a status confirms the known one.
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
			continue // answer of an earlier owner
		}
		loaded := make(drcollection.Set[modelKey])
		for _, l := range s.Loaded {
			loaded.Add(modelKey{l.Model, l.Adapter})
		}
		r.entries[s.Runner] = &residencyEntry{backend: backends[s.Runner], status: s, loaded: loaded, confirmedAt: now}
	}
}
