package drscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// maxAdapterLoads is how many adapters may be on their way to one runner.
	maxAdapterLoads = 4
	// adapterGracePeriod protects an adapter from being dropped before the requests
	// that waited for it have begun.
	adapterGracePeriod = 300 * time.Millisecond
)

// AdapterSwap is a load of an adapter and the unload that makes room for it.
type AdapterSwap struct {
	Runner *drfleet.Runner
	Unload *AdapterKey // nil if there is room
	Load   AdapterKey
}

// PlanAdapters returns the adapter loads to begin now: one for each adapter
// that requests wait for, that is not on its way, and whose model some runner
// holds.
func PlanAdapters(s State) []AdapterSwap {
	var swaps []AdapterSwap
	added := make(map[string]int)
	for _, w := range s.Backlogs {
		if w.Adapter == "" {
			continue
		}
		key := AdapterKey{w.Model, w.Adapter}
		if slices.ContainsFunc(s.Runners, func(r Runner) bool { return r.hasOrLoadsAdapter(key) }) {
			continue
		}
		if swap, ok := s.chooseAdapterSwap(key, added); ok {
			added[swap.Runner.ID]++
			swaps = append(swaps, swap)
		}
	}
	return swaps
}

// hasOrLoadsAdapter reports whether an adapter is loaded or on its way.
func (r *Runner) hasOrLoadsAdapter(key AdapterKey) bool {
	if r.Draining {
		return false
	}
	m, ok := r.Replica(key.Model)
	return ok && m.HasAdapter(key.Adapter) || slices.Contains(r.LoadingAdapters, key)
}

// chooseAdapterSwap picks the runner that has a free place or whose least recently
// used adapter is the oldest.
func (s State) chooseAdapterSwap(key AdapterKey, added map[string]int) (AdapterSwap, bool) {
	var best AdapterSwap
	var bestCost time.Duration
	found := false
	for i := range s.Runners {
		r := &s.Runners[i]
		if _, ok := r.Replica(key.Model); !ok || r.Draining || r.Busy {
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

func (s State) planAdapterSwap(r *Runner, key AdapterKey, added int) (AdapterSwap, time.Duration, bool) {
	swap := AdapterSwap{Runner: r.Runner, Load: key}
	cost := time.Duration(r.Running[key.Model]) * time.Millisecond
	usedSlots := len(r.LoadingAdapters) + added
	for _, m := range r.Replicas {
		usedSlots += len(m.Adapters)
		for _, name := range m.Adapters {
			if slices.Contains(r.UnloadingAdapters, AdapterKey{m.Model, name}) {
				usedSlots-- // its place belongs to an adapter on its way
			}
		}
	}
	freeMemory := s.Engine.WeightMemory - (&planner{State: s}).usedMemory(r)
	if usedSlots < s.Engine.AdapterSlots && freeMemory >= s.Engine.Models[key.Model].AdapterSize*float64(1+added) {
		return swap, cost, true
	}
	if added > 0 {
		return swap, 0, false // the victim may be the same
	}
	victims := s.idleAdapters(r)
	if len(victims) == 0 {
		return swap, 0, false
	}
	swap.Unload = &victims[0]
	// An adapter used long ago is a better victim.
	idleTime := min(s.Now.Sub(r.UsedAdapter[victims[0]]), time.Minute)
	return swap, cost + time.Minute - idleTime, true
}

// idleAdapters returns the adapters that no request uses, the least recently
// used first.
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
