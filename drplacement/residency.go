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
	p     *Place
	pokes chan struct{}

	mu        sync.Mutex
	entries   map[string]*residencyEntry // by runner
	models    map[string]time.Time       // last use here
	followers drcollection.Set[string]   // owners that are being followed
	inFlight  map[useKey]int
	pending   drcollection.Set[useKey] // uses not yet reported
	work      sync.WaitGroup
}

type residencyEntry struct {
	backend drmember.Backend
	status  *drpb.PlacementStatus
	loaded  drcollection.Set[key]
	at      time.Time
}

type useKey struct {
	runner string
	key    key
}

func newResidency(p *Place) *Residency {
	return &Residency{
		p: p, pokes: make(chan struct{}, 1),
		entries: make(map[string]*residencyEntry), models: make(map[string]time.Time),
		followers: make(drcollection.Set[string]), inFlight: make(map[useKey]int), pending: make(drcollection.Set[useKey]),
	}
}

// Loaded returns the runners that take new work for a model, or for an adapter
// on it, as far as this VM knows.
func (r *Residency) Loaded(model, adapter string) []RunnerStatus {
	r.touch(model)
	var ss []RunnerStatus
	now := r.p.Clock.Now()
	rights := r.p.Ledger.Rights(model)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range rights {
		e := r.entries[t.Runner]
		if e != nil && !t.Excess && !e.status.Leaving && e.loaded.Has(key{model, adapter}) && now.Sub(e.at) < residencyMaxAge {
			ss = append(ss, RunnerStatus{
				Runner: t.Runner, Address: e.backend.Address, Zone: e.backend.Zone, Fence: e.status.Fence,
				Instance: e.status.Instance, Version: e.status.Version,
				Capacity: int(e.status.Capacity), Running: int(e.status.Running), Waiting: int(e.status.Waiting), At: e.at,
			})
		}
	}
	return ss
}

// Use protects a model or adapter on a runner from eviction until done is
// called.
func (r *Residency) Use(runner, model, adapter string) (done func()) {
	u := useKey{runner, key{model, adapter}}
	r.touch(model)
	r.mu.Lock()
	r.inFlight[u]++
	r.mu.Unlock()
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pending.Add(u)
		if r.inFlight[u]--; r.inFlight[u] == 0 {
			delete(r.inFlight, u)
		}
	})
}

// touch notes that a model is in use, so that its runners are followed.
func (r *Residency) touch(model string) {
	r.mu.Lock()
	_, known := r.models[model]
	r.models[model] = r.p.Clock.Now()
	r.mu.Unlock()
	if !known {
		poke(r.pokes)
	}
}

// learn takes note of a replica that a wake-up reported.
func (r *Residency) learn(l Location, ky key) {
	b, _ := r.p.backend(l.Runner)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[l.Runner]
	if e == nil {
		e = &residencyEntry{backend: b, status: &drpb.PlacementStatus{Runner: l.Runner, Fence: l.Fence}, loaded: make(drcollection.Set[key])}
		r.entries[l.Runner] = e
	}
	e.loaded.Add(ky)
	e.at = r.p.Clock.Now()
}

// run follows the owners of the runners in use.
func (r *Residency) run(ctx context.Context) {
	defer r.work.Wait()
	for ctx.Err() == nil {
		r.expire()
		for vm := range r.watched() {
			r.mu.Lock()
			if !r.followers.Has(vm) {
				r.followers.Add(vm)
				r.work.Go(func() { r.follow(ctx, vm) })
			}
			r.mu.Unlock()
		}
		t := r.p.Clock.NewTimer(tick)
		select {
		case <-r.pokes:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (r *Residency) expire() {
	now := r.p.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for m, at := range r.models {
		if now.Sub(at) > watchFor {
			delete(r.models, m)
		}
	}
	for name, e := range r.entries {
		if now.Sub(e.at) > residencyMaxAge {
			delete(r.entries, name)
		}
	}
}

// watched returns the runners to follow by owner.
func (r *Residency) watched() map[string]drcollection.Set[string] {
	r.mu.Lock()
	models := make([]string, 0, len(r.models))
	for m := range r.models {
		models = append(models, m)
	}
	r.mu.Unlock()
	w := make(map[string]drcollection.Set[string])
	for _, m := range models {
		for _, t := range r.p.Ledger.Rights(m) {
			vm := r.p.Ledger.Owner(t.Runner).VM
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
		runners := r.watched()[vm]
		if len(runners) == 0 {
			break
		}
		q, reported := r.question(runners)
		reply, err := r.p.callResidency(ctx, vm, q)
		if err != nil {
			r.unreported(reported)
			_ = r.p.Clock.Sleep(ctx, retryPause)
			continue
		}
		r.apply(runners, reply)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followers, vm)
}

func (r *Residency) question(runners drcollection.Set[string]) (*drpb.PlacementResidency, []useKey) {
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
	for u := range r.inFlight {
		r.pending.Add(u)
	}
	var reported []useKey
	for u := range r.pending {
		if runners.Has(u.runner) {
			delete(r.pending, u)
			reported = append(reported, u)
			q.Uses = append(q.Uses, &drpb.PlacementResidency_Use{Runner: u.runner, Model: u.key.model, Adapter: u.key.adapter})
		}
	}
	return q, reported
}

func (r *Residency) unreported(us []useKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range us {
		r.pending.Add(u)
	}
}

// apply takes over statuses. An answer without a status confirms the known one.
func (r *Residency) apply(runners drcollection.Set[string], reply *drpb.PlacementResidencyReply) {
	now := r.p.Clock.Now()
	backends := make(map[string]drmember.Backend, len(reply.Statuses))
	for _, s := range reply.Statuses {
		backends[s.Runner], _ = r.p.backend(s.Runner)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range runners {
		if e := r.entries[name]; e != nil && e.status.Version > 0 {
			e.at = now
		}
	}
	for _, s := range reply.Statuses {
		if old := r.entries[s.Runner]; old != nil && old.status.Version > s.Version {
			continue // answer of an earlier owner
		}
		loaded := make(drcollection.Set[key])
		for _, l := range s.Loaded {
			loaded.Add(key{l.Model, l.Adapter})
		}
		r.entries[s.Runner] = &residencyEntry{backend: backends[s.Runner], status: s, loaded: loaded, at: now}
	}
}
