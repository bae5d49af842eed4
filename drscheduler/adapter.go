package drscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// maxAdapterLoads is the maximum number of adapters that load into one
	// runner concurrently.
	maxAdapterLoads = 4
	// adapterGracePeriod is the time after an adapter's load or last use during
	// which it is not unloaded. Without it, an adapter could be unloaded before
	// the requests that waited for it have started.
	adapterGracePeriod = 300 * time.Millisecond
)

// AdapterSwap is a planned load of an adapter, with the unload that frees a
// slot or memory for it.
type AdapterSwap struct {
	Runner *drfleet.Runner
	Unload *AdapterKey // nil if the runner has a free slot and enough free memory
	Load   AdapterKey
}

// PlanAdapters returns the adapter loads to start now. It plans one load for
// each adapter that requests wait for, unless a runner that can serve them already holds
// or loads the adapter or none holds its model.
func PlanAdapters(s State) []AdapterSwap {
	var swaps []AdapterSwap
	added := make(map[string]int)
	for _, w := range s.Backlogs {
		if w.Adapter == "" {
			continue
		}
		key := AdapterKey{w.Model, w.Adapter}
		served := func(r Runner) bool { return w.Zones.Allow(r.Zone) && r.hasOrLoadsAdapter(key) }
		planned := func(a AdapterSwap) bool { return a.Load == key && w.Zones.Allow(a.Runner.Zone) }
		if slices.ContainsFunc(s.Runners, served) || slices.ContainsFunc(swaps, planned) {
			continue
		}
		if swap, ok := s.chooseAdapterSwap(key, w.Zones, added); ok {
			added[swap.Runner.ID]++
			swaps = append(swaps, swap)
		}
	}
	return swaps
}

// hasOrLoadsAdapter reports whether the runner holds or loads the adapter and
// is not draining.
func (r *Runner) hasOrLoadsAdapter(key AdapterKey) bool {
	if r.Draining {
		return false
	}
	m, ok := r.Replica(key.Model)
	return ok && m.HasAdapter(key.Adapter) || slices.Contains(r.LoadingAdapters, key)
}

// chooseAdapterSwap returns the adapter swap of the lowest cost over all
// runners in the zones that hold the model: as a rule into a runner with a free slot, or else
// in place of the adapter that has been idle longest. added counts the adapter
// loads that this plan has already assigned, by runner.
func (s State) chooseAdapterSwap(key AdapterKey, zones drfleet.Zones, added map[string]int) (AdapterSwap, bool) {
	var best AdapterSwap
	var bestCost time.Duration
	found := false
	for i := range s.Runners {
		r := &s.Runners[i]
		if _, ok := r.Replica(key.Model); !ok || r.Draining || r.Busy || !zones.Allow(r.Zone) {
			continue
		}
		if len(r.LoadingAdapters)+added[r.ID] >= maxAdapterLoads {
			continue
		}
		swap, cost, ok := s.planAdapterSwap(r, key, added[r.ID])
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = swap, cost, true
		}
	}
	return best, found
}

// planAdapterSwap plans the load of an adapter into one runner and returns the
// cost of the swap. The cost grows with the number of requests that run on the
// model. If an adapter has to be unloaded, the cost is a minute higher, less the
// time for which that adapter has been idle, at most a minute. planAdapterSwap
// returns false if the runner has no room and no adapter can be unloaded, or if
// it has no room and this plan already loads an adapter into it.
func (s State) planAdapterSwap(r *Runner, key AdapterKey, added int) (AdapterSwap, time.Duration, bool) {
	swap := AdapterSwap{Runner: r.Runner, Load: key}
	cost := time.Duration(r.Running[key.Model]) * time.Millisecond
	usedSlots := len(r.LoadingAdapters) + added
	for _, m := range r.Replicas {
		usedSlots += len(m.Adapters)
		for _, name := range m.Adapters {
			if slices.Contains(r.UnloadingAdapters, AdapterKey{m.Model, name}) {
				usedSlots-- // its slot is already counted for the adapter that replaces it
			}
		}
	}
	freeMemory := s.Engine.WeightMemory - (&planner{State: s}).usedMemory(r)
	if usedSlots < s.Engine.AdapterSlots && freeMemory >= s.Engine.Models[key.Model].AdapterSize*float64(1+added) {
		return swap, cost, true
	}
	if added > 0 {
		return swap, 0, false // the earlier load in this plan may already unload the same adapter
	}
	victims := s.idleAdapters(r)
	if len(victims) == 0 {
		return swap, 0, false
	}
	swap.Unload = &victims[0]
	// The longer the adapter has been idle, the cheaper its eviction.
	idleTime := min(s.Now.Sub(r.UsedAdapter[victims[0]]), time.Minute)
	return swap, cost + time.Minute - idleTime, true
}

// idleAdapters returns the adapters that may be unloaded, the least recently
// used first: those that no request uses or waits for, that are not being
// unloaded and whose grace period has passed.
func (s State) idleAdapters(r *Runner) []AdapterKey {
	var candidates []AdapterKey
	for _, m := range r.Replicas {
		for _, name := range m.Adapters {
			key := AdapterKey{m.Model, name}
			awaited := slices.ContainsFunc(s.Backlogs, func(w Backlog) bool { return w.Model == key.Model && w.Adapter == key.Adapter })
			if r.RunningAdapter[key] == 0 && !awaited && !slices.Contains(r.UnloadingAdapters, key) && s.Now.Sub(r.UsedAdapter[key]) >= adapterGracePeriod {
				candidates = append(candidates, key)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b AdapterKey) int {
		return cmp.Or(r.UsedAdapter[a].Compare(r.UsedAdapter[b]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return candidates
}
