package drfleetview

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// missingReplicaBackoff is how long a runner that answered that it does not hold a
	// replica is not asked for it again, unless its entry changes.
	missingReplicaBackoff = 500 * time.Millisecond
	// unreachableBackoff is how long a runner that took no connection is avoided.
	unreachableBackoff = time.Second
	// failureWeight is the weight of one request in the share of failures, and
	// failingHalfLife the time in which that share halves without requests.
	failureWeight   = 0.15
	failureHalfLife = 3 * time.Second
)

// entry is one runner.
type entry struct {
	runner *drfleet.Runner
	// replicasFromController is set if the controller said what the runner holds. A runner's
	// own description is older than the outcome of the last order.
	replicasFromController bool
	// reportedReplicas is what the runner itself last said that it holds.
	reportedReplicas []drfleet.Replica
	revision         uint64
	removed          bool

	counters         map[Replica]*replicaCounters
	running          int
	runningElsewhere int // requests of other VMs, by the controller's last report
	// succeeded and failed count requests since this process started.
	succeeded, failed uint64
	failureShare      float64
	failureShareAt    time.Time
	fleetFailureShare float64
	unreachableUntil  time.Time
}

// replicaCounters is what this VM runs on one replica.
type replicaCounters struct {
	running      int
	requests     uint64
	missingUntil time.Time
	// lastReported is what Uses returned last.
	lastReported ReplicaUse
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
func (v *View) OfferRunner(runner *drfleet.Runner, source Source) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[runner.ID]
	if !ok {
		e = &entry{runner: runner, removed: true, counters: make(map[Replica]*replicaCounters)}
		v.runners[runner.ID] = e
	} else if !e.acceptsUpdate(runner, source) {
		return false
	}
	if source == FromRunner {
		e.reportedReplicas = runner.Replicas
	}
	old := e.runner
	same := runner.Started == old.Started && !e.removed
	if same {
		runner = mergeDescriptions(e, runner, source)
	}
	e.runner = runner
	e.replicasFromController = source == FromController || same && e.replicasFromController
	if same && sameForCallers(old, runner) {
		return false
	}
	e.removed = false
	for _, u := range e.counters {
		u.missingUntil = time.Time{}
	}
	v.bumpRevision(e)
	return true
}

// acceptsUpdate reports whether a description is at least as new as the entry.
func (e *entry) acceptsUpdate(update *drfleet.Runner, source Source) bool {
	switch {
	case update.Started != e.runner.Started:
		return update.Started > e.runner.Started
	case source == FromController:
		return update.Orders >= e.runner.Orders
	case e.removed:
		return update.Beat > e.runner.Beat
	default:
		return update.Beat >= e.runner.Beat
	}
}

// mergeDescriptions combines two descriptions of one incarnation: it never stops leaving,
// and what it says itself does not undo the outcome of an order.
func mergeDescriptions(e *entry, update *drfleet.Runner, source Source) *drfleet.Runner {
	merged, old := *update, e.runner
	merged.Draining = merged.Draining || old.Draining
	merged.Beat = max(merged.Beat, old.Beat)
	if source == FromRunner && e.replicasFromController {
		merged.Replicas, merged.Orders = old.Replicas, old.Orders
	}
	if merged.OnDisk == nil && merged.InMemory == nil {
		merged.OnDisk, merged.InMemory = old.OnDisk, old.InMemory
	}
	return &merged
}

// Contradicted reports whether the runner's own last description names other
// models than the outcome of the orders.
func (v *View) Contradicted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || !e.replicasFromController || e.reportedReplicas == nil || len(e.reportedReplicas) != len(e.runner.Replicas) {
		return ok && e.replicasFromController && e.reportedReplicas != nil
	}
	for _, p := range e.reportedReplicas {
		if _, holds := e.runner.Replica(p.Model); !holds {
			return true
		}
	}
	return false
}

// sameForCallers reports whether two descriptions mean the same to a caller.
func sameForCallers(a, b *drfleet.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Draining == b.Draining && a.Orders == b.Orders &&
		a.Slots == b.Slots && slices.Equal(a.OnDisk, b.OnDisk) && slices.Equal(a.InMemory, b.InMemory) &&
		slices.EqualFunc(a.Replicas, b.Replicas, func(x, y drfleet.Replica) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}

// bumpRevision gives an entry a new revision. The caller holds mu.
func (v *View) bumpRevision(e *entry) {
	v.revision++
	e.revision = v.revision
	v.notify()
}

// RemoveRunner takes a runner out of the table. It reports whether it was in.
func (v *View) RemoveRunner(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.removed {
		return false
	}
	e.removed = true
	v.bumpRevision(e)
	return true
}

// KeepRunners removes all runners but those with the given ids.
func (v *View) KeepRunners(ids map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, e := range v.runners {
		if !ids[id] && !e.removed {
			e.removed = true
			v.bumpRevision(e)
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
		if e := v.runners[id]; !e.removed && (service == "" || e.runner.Service == service) {
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
	if !ok || e.removed {
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
func (v *View) Holds(replica Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		if !e.removed && !e.runner.Draining && e.runner.Service == replica.Service && e.runner.Holds(replica.Model, replica.Adapter) {
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
			cs = append(cs, Change{e.runner, e.removed})
		}
	}
	return cs, v.revision
}

// Candidates returns the runners that can take a request for a replica.
func (v *View) Candidates(replica Replica) []drbalancer.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var cs, unreachable []drbalancer.Candidate
	for _, e := range v.runners {
		if e.removed || e.runner.Draining || e.runner.Service != replica.Service || !e.runner.Holds(replica.Model, replica.Adapter) {
			continue
		}
		if u := e.counters[replica]; u != nil && now.Before(u.missingUntil) {
			continue
		}
		c := drbalancer.Candidate{Runner: e.runner, Load: e.running + e.runningElsewhere, Failing: max(e.decayedFailureShare(now), e.fleetFailureShare)}
		if now.Before(e.unreachableUntil) {
			unreachable = append(unreachable, c)
			continue
		}
		cs = append(cs, c)
	}
	if len(cs) == 0 && replica.Model == "" {
		return unreachable
	}
	return cs
}

// decayedFailureShare lets old failures fade.
func (e *entry) decayedFailureShare(now time.Time) float64 {
	age := now.Sub(e.failureShareAt)
	if age >= 4*failureHalfLife {
		return 0
	}
	return e.failureShare / (1 + float64(age)/float64(failureHalfLife))
}
