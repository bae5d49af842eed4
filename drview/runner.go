package drview

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drpick"
)

const (
	// missingFor is how long a runner that answered that it does not hold a
	// replica is not asked for it again, unless its entry changes.
	missingFor = 500 * time.Millisecond
	// unreachableFor is how long a runner that took no connection is avoided.
	unreachableFor = time.Second
	// failingWeight is the weight of one request in the share of failures, and
	// failingHalfLife the time in which that share halves without requests.
	failingWeight   = 0.15
	failingHalfLife = 3 * time.Second
)

// entry is one runner.
type entry struct {
	runner *drfleet.Runner
	// settled is set if the replicas are known from the outcome of an order,
	// which is newer than any description with the same count of orders.
	settled  bool
	revision uint64
	gone     bool

	uses    map[Replica]*use
	running int
	others  int // requests of other VMs, by the controller's last report
	// succeeded and failed count requests since this process started.
	succeeded, failed uint64
	failing           float64
	failingAt         time.Time
	fleetFailing      float64
	unreachableUntil  time.Time
}

// use is what this VM runs on one replica.
type use struct {
	running      int
	requests     uint64
	missingUntil time.Time
}

// Source says where a description of a runner comes from.
type Source int

// Sources of descriptions.
const (
	FromRunner     Source = iota // written by the runner, some time ago
	FromController               // settled by the controller's orders
)

// OfferRunner takes a description unless it is older than what is known. It
// reports whether anything changed.
func (v *View) OfferRunner(r *drfleet.Runner, s Source) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[r.ID]
	if !ok {
		v.runners[r.ID] = &entry{runner: r, settled: s == FromController, uses: make(map[Replica]*use)}
		v.touch(v.runners[r.ID])
		return true
	}
	old := e.runner
	if !e.gone && !r.Supersedes(old) || e.gone && r.Started < old.Started {
		return false
	}
	same := r.Started == old.Started && !e.gone
	if same {
		r = merge(e, r, s)
	}
	if same && unchanged(old, r) {
		return false
	}
	e.runner, e.gone = r, false
	e.settled = s == FromController || same && e.settled && r.Orders == old.Orders
	for _, u := range e.uses {
		u.missingUntil = time.Time{}
	}
	v.touch(e)
	return true
}

// merge combines two descriptions of one incarnation: it never stops leaving,
// and a description by the runner does not undo the outcome of an order.
func merge(e *entry, r *drfleet.Runner, s Source) *drfleet.Runner {
	c := *r
	c.Draining = c.Draining || e.runner.Draining
	if s == FromRunner && e.settled && r.Orders == e.runner.Orders {
		c.Replicas = e.runner.Replicas
	}
	return &c
}

// unchanged reports whether two descriptions mean the same to a caller.
func unchanged(a, b *drfleet.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Draining == b.Draining && a.Orders == b.Orders &&
		a.Slots == b.Slots && slices.Equal(a.OnDisk, b.OnDisk) && slices.Equal(a.InMemory, b.InMemory) &&
		slices.EqualFunc(a.Replicas, b.Replicas, func(x, y drfleet.Replica) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}

// touch gives an entry a new revision. The caller holds mu.
func (v *View) touch(e *entry) {
	v.revision++
	e.revision = v.revision
	v.notify()
}

// RemoveRunner takes a runner out of the table. It reports whether it was in.
func (v *View) RemoveRunner(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.gone {
		return false
	}
	e.gone = true
	v.touch(e)
	return true
}

// KeepRunners removes all runners but those with the given ids.
func (v *View) KeepRunners(ids map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, e := range v.runners {
		if !ids[id] && !e.gone {
			e.gone = true
			v.touch(e)
		}
	}
}

// Runners returns the runners of a service, of all services if it is empty,
// in the order of their ids.
func (v *View) Runners(service string) []*drfleet.Runner {
	v.mu.Lock()
	defer v.mu.Unlock()
	var rs []*drfleet.Runner
	for _, id := range slices.Sorted(maps.Keys(v.runners)) {
		if e := v.runners[id]; !e.gone && (service == "" || e.runner.Service == service) {
			rs = append(rs, e.runner)
		}
	}
	return rs
}

// Runner returns a runner that is in the table.
func (v *View) Runner(id string) (*drfleet.Runner, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.gone {
		return nil, false
	}
	return e.runner, true
}

// Change is an entry of the runner table that has changed.
type Change struct {
	Runner *drfleet.Runner
	Gone   bool
}

// Changes returns the entries that changed after a revision, and the revision
// that they lead to.
func (v *View) Changes(after uint64) ([]Change, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var cs []Change
	for _, id := range slices.Sorted(maps.Keys(v.runners)) {
		if e := v.runners[id]; e.revision > after {
			cs = append(cs, Change{e.runner, e.gone})
		}
	}
	return cs, v.revision
}

// Candidates returns the runners that can take a request for a replica.
func (v *View) Candidates(p Replica) []drpick.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var cs, unreachable []drpick.Candidate
	for _, e := range v.runners {
		if e.gone || e.runner.Draining || e.runner.Service != p.Service || !e.runner.Holds(p.Model, p.Adapter) {
			continue
		}
		if u := e.uses[p]; u != nil && now.Before(u.missingUntil) {
			continue
		}
		c := drpick.Candidate{Runner: e.runner, Load: e.running + e.others, Failing: max(e.failingNow(now), e.fleetFailing)}
		if now.Before(e.unreachableUntil) {
			unreachable = append(unreachable, c)
			continue
		}
		cs = append(cs, c)
	}
	if len(cs) == 0 && p.Model == "" {
		return unreachable
	}
	return cs
}

// failingNow lets old failures fade.
func (e *entry) failingNow(now time.Time) float64 {
	age := now.Sub(e.failingAt)
	if age >= 4*failingHalfLife {
		return 0
	}
	return e.failing / (1 + float64(age)/float64(failingHalfLife))
}
