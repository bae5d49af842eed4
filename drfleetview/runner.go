package drfleetview

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
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
	// settled is set if the controller said what the runner holds. A runner's
	// own description is older than the outcome of the last order.
	settled bool
	// described is what the runner itself last said that it holds.
	described []drfleet.Replica
	revision  uint64
	gone      bool

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
	// told is what Uses returned last.
	told ReplicaUse
}

// Source says where a description of a runner comes from.
type Source int

// Sources of descriptions. A runner wrote its own some time ago; the
// controller's are settled by its orders.
const (
	FromRunner     Source = iota // runner
	FromController               // controller
)

// OfferRunner takes a description unless it is older than what is known. It
// reports whether anything changed.
func (v *View) OfferRunner(r *drfleet.Runner, s Source) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[r.ID]
	if !ok {
		e = &entry{runner: r, gone: true, uses: make(map[Replica]*use)}
		v.runners[r.ID] = e
	} else if !e.precedes(r, s) {
		return false
	}
	if s == FromRunner {
		e.described = r.Replicas
	}
	old := e.runner
	same := r.Started == old.Started && !e.gone
	if same {
		r = merge(e, r, s)
	}
	e.runner = r
	e.settled = s == FromController || same && e.settled
	if same && unchanged(old, r) {
		return false
	}
	e.gone = false
	for _, u := range e.uses {
		u.missingUntil = time.Time{}
	}
	v.touch(e)
	return true
}

// precedes reports whether a description is at least as new as the entry.
func (e *entry) precedes(r *drfleet.Runner, s Source) bool {
	switch {
	case r.Started != e.runner.Started:
		return r.Started > e.runner.Started
	case s == FromController:
		return r.Orders >= e.runner.Orders
	case e.gone:
		return r.Beat > e.runner.Beat
	default:
		return r.Beat >= e.runner.Beat
	}
}

// merge combines two descriptions of one incarnation: it never stops leaving,
// and what it says itself does not undo the outcome of an order.
func merge(e *entry, r *drfleet.Runner, s Source) *drfleet.Runner {
	c, old := *r, e.runner
	c.Draining = c.Draining || old.Draining
	c.Beat = max(c.Beat, old.Beat)
	if s == FromRunner && e.settled {
		c.Replicas, c.Orders = old.Replicas, old.Orders
	}
	if c.OnDisk == nil && c.InMemory == nil {
		c.OnDisk, c.InMemory = old.OnDisk, old.InMemory
	}
	return &c
}

// Contradicted reports whether the runner's own last description names other
// models than the outcome of the orders.
func (v *View) Contradicted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || !e.settled || e.described == nil || len(e.described) != len(e.runner.Replicas) {
		return ok && e.settled && e.described != nil
	}
	for _, p := range e.described {
		if _, holds := e.runner.Replica(p.Model); !holds {
			return true
		}
	}
	return false
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

// Revision returns the revision of the runner table.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Holds reports whether a runner that takes requests holds a replica.
func (v *View) Holds(p Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		if !e.gone && !e.runner.Draining && e.runner.Service == p.Service && e.runner.Holds(p.Model, p.Adapter) {
			return true
		}
	}
	return false
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
func (v *View) Candidates(p Replica) []drbalancer.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var cs, unreachable []drbalancer.Candidate
	for _, e := range v.runners {
		if e.gone || e.runner.Draining || e.runner.Service != p.Service || !e.runner.Holds(p.Model, p.Adapter) {
			continue
		}
		if u := e.uses[p]; u != nil && now.Before(u.missingUntil) {
			continue
		}
		c := drbalancer.Candidate{Runner: e.runner, Load: e.running + e.others, Failing: max(e.failingNow(now), e.fleetFailing)}
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
