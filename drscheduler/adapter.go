package drscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// adaptersAtOnce is how many adapters may be on their way to one runner.
	adaptersAtOnce = 4
	// adapterSettle protects an adapter from being dropped before the requests
	// that waited for it have begun.
	adapterSettle = 300 * time.Millisecond
)

// AdapterSwap is a load of an adapter and the unload that makes room for it.
type AdapterSwap struct {
	Runner *drfleet.Runner
	Unload *Coming // nil if there is room
	Load   Coming
}

// PlanAdapters returns the adapter loads to begin now: one for each adapter
// that requests wait for, that is not on its way, and whose model some runner
// holds.
func PlanAdapters(s State) []AdapterSwap {
	var swaps []AdapterSwap
	added := make(map[string]int)
	for _, w := range s.Wants {
		if w.Adapter == "" {
			continue
		}
		c := Coming{w.Model, w.Adapter}
		if slices.ContainsFunc(s.Runners, func(r Runner) bool { return r.has(c) }) {
			continue
		}
		if a, ok := s.placeAdapter(c, added); ok {
			added[a.Runner.ID]++
			swaps = append(swaps, a)
		}
	}
	return swaps
}

// has reports whether an adapter is loaded or on its way.
func (r *Runner) has(c Coming) bool {
	if r.Draining {
		return false
	}
	m, ok := r.Replica(c.Model)
	return ok && m.HasAdapter(c.Adapter) || slices.Contains(r.Coming, c)
}

// placeAdapter picks the runner that has a free place or whose least recently
// used adapter is the oldest.
func (s State) placeAdapter(c Coming, added map[string]int) (AdapterSwap, bool) {
	var best AdapterSwap
	var bestCost time.Duration
	found := false
	for i := range s.Runners {
		r := &s.Runners[i]
		if _, ok := r.Replica(c.Model); !ok || r.Draining || r.Ordered {
			continue
		}
		if len(r.Coming)+added[r.ID] >= adaptersAtOnce {
			continue
		}
		a, cost, ok := s.adapterSwap(r, c, added[r.ID])
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = a, cost, true
		}
	}
	return best, found
}

func (s State) adapterSwap(r *Runner, c Coming, added int) (AdapterSwap, time.Duration, bool) {
	a := AdapterSwap{Runner: r.Runner, Load: c}
	cost := time.Duration(r.Running[c.Model]) * time.Millisecond
	taken := len(r.Coming) + added
	for _, m := range r.Replicas {
		taken += len(m.Adapters)
		for _, name := range m.Adapters {
			if slices.Contains(r.Leaving, Coming{m.Model, name}) {
				taken-- // its place belongs to an adapter on its way
			}
		}
	}
	room := s.Engine.WeightMemory - (&planner{State: s}).held(r)
	if taken < s.Engine.AdapterSlots && room >= s.Engine.Models[c.Model].AdapterSize*float64(1+added) {
		return a, cost, true
	}
	if added > 0 {
		return a, 0, false // the victim may be the same
	}
	victims := s.idleAdapters(r)
	if len(victims) == 0 {
		return a, 0, false
	}
	a.Unload = &victims[0]
	// An adapter used long ago is a better victim.
	idle := min(s.Now.Sub(r.UsedAdapter[victims[0]]), time.Minute)
	return a, cost + time.Minute - idle, true
}

// idleAdapters returns the adapters that no request uses, the least recently
// used first.
func (s State) idleAdapters(r *Runner) []Coming {
	var cs []Coming
	for _, m := range r.Replicas {
		for _, name := range m.Adapters {
			c := Coming{m.Model, name}
			wanted := slices.ContainsFunc(s.Wants, func(w Want) bool { return w.Model == c.Model && w.Adapter == c.Adapter })
			if r.RunningAdapter[c] == 0 && !wanted && !slices.Contains(r.Leaving, c) && s.Now.Sub(r.UsedAdapter[c]) >= adapterSettle {
				cs = append(cs, c)
			}
		}
	}
	slices.SortFunc(cs, func(a, b Coming) int {
		return cmp.Or(r.UsedAdapter[a].Compare(r.UsedAdapter[b]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return cs
}
