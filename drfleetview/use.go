package drfleetview

import (
	"maps"
	"slices"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

//go:generate stringer -type=Result,Source -linecomment

// Result says how a request went at a runner.
type Result int

// Results of requests. Failed: the runner answered with an error, broke off or
// was silent. Abandoned: this VM or its client ended the request, which says
// nothing of the runner. Missing: the runner does not hold the replica.
// Rejected: it had no room. Unreachable: it took no connection.
const (
	Succeeded   Result = iota // succeeded
	Failed                    // failed
	Abandoned                 // abandoned
	Missing                   // missing
	Rejected                  // rejected
	Unreachable               // unreachable
)

// ActiveRequest is one request on a runner.
type ActiveRequest struct {
	view    *View
	entry   *entry
	replica Replica
}

// Begin counts a request of this VM on a runner until End.
func (v *View) Begin(runner *drfleet.Runner, replica Replica) *ActiveRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[runner.ID]
	if !ok {
		e = &entry{runner: runner, counters: make(map[Replica]*replicaCounters), removed: true}
		v.runners[runner.ID] = e
	}
	u, ok := e.counters[replica]
	if !ok {
		u = &replicaCounters{}
		e.counters[replica] = u
	}
	u.running++
	u.requests++
	e.running++
	return &ActiveRequest{v, e, replica}
}

// End ends the request.
func (u *ActiveRequest) End(result Result) {
	v, e := u.view, u.entry
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	e.running--
	counters := e.counters[u.replica]
	counters.running--
	switch result {
	case Succeeded:
		e.succeeded++
		e.failureShare, e.failureShareAt = e.decayedFailureShare(now)*(1-failureWeight), now
	case Failed:
		e.failed++
		e.failureShare, e.failureShareAt = e.decayedFailureShare(now)*(1-failureWeight)+failureWeight, now
	case Missing:
		counters.missingUntil = now.Add(missingReplicaBackoff)
	case Unreachable:
		e.unreachableUntil = now.Add(unreachableBackoff)
	case Abandoned, Rejected:
	}
}

// RunnerUse is what this VM runs on a runner.
type RunnerUse struct {
	Runner            string
	Started           int64
	Succeeded, Failed uint64
	Replicas          []ReplicaUse
}

// ReplicaUse is what this VM runs on a replica.
type ReplicaUse struct {
	Replica  Replica
	Running  int
	Requests uint64 // since the process started
	Missing  bool   // the runner answered that it does not hold it
}

// Uses returns what this VM runs and has run on each runner: all of it if whole
// is set, else what changed since the last call.
func (v *View) Uses(all bool) []RunnerUse {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var us []RunnerUse
	for _, id := range slices.Sorted(maps.Keys(v.runners)) {
		e := v.runners[id]
		if e.removed || len(e.counters) == 0 {
			continue
		}
		u := RunnerUse{Runner: id, Started: e.runner.Started, Succeeded: e.succeeded, Failed: e.failed}
		for p, x := range e.counters {
			r := ReplicaUse{p, x.running, x.requests, now.Before(x.missingUntil)}
			if all || r != x.lastReported {
				u.Replicas = append(u.Replicas, r)
				x.lastReported = r
			}
		}
		if len(u.Replicas) > 0 {
			us = append(us, u)
		}
	}
	return us
}

// SetLoad takes what other VMs run on a runner, and the share of all VMs'
// recent requests that failed there.
func (v *View) SetLoad(runner string, others int, failing float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.runners[runner]; ok {
		e.runningElsewhere, e.fleetFailureShare = others, failing
	}
}

// ForgetLoads drops what the controller said of other VMs' requests.
func (v *View) ForgetLoads() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		e.runningElsewhere, e.fleetFailureShare = 0, 0
	}
}
