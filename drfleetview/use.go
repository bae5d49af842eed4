package drfleetview

import (
	"maps"
	"slices"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

//go:generate stringer -type=Result,Source -linecomment

// Result says how a request to a runner ended.
type Result int

// Results of requests. Failed: the runner answered with an error, broke off or
// did not answer in time. Abandoned: this VM or its client ended the request,
// which tells nothing about the runner. Missing: the runner does not hold the
// replica. Rejected: the runner had no room. Unreachable: the runner took no
// connection.
const (
	Succeeded   Result = iota // succeeded
	Failed                    // failed
	Abandoned                 // abandoned
	Missing                   // missing
	Rejected                  // rejected
	Unreachable               // unreachable
)

// ActiveRequest is one request of this VM that is running on a runner.
type ActiveRequest struct {
	view    *View
	entry   *entry
	replica Replica
	tokens  Tokens
}

// Begin counts a request of this VM as running on a runner until End is called,
// also if the runner is no longer listed.
func (v *View) Begin(runner *drfleet.Runner, replica Replica) *ActiveRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[runner.ID]
	if !ok {
		e = v.addEntry(runner)
	}
	u, ok := e.counters[replica]
	if !ok {
		u = &replicaCounters{}
		e.counters[replica] = u
	}
	u.running++
	u.requests++
	e.running++
	return &ActiveRequest{view: v, entry: e, replica: replica}
}

// End stops counting the request as running and records its result, which
// affects later Candidates. Call it exactly once.
func (u *ActiveRequest) End(result Result) {
	v, e := u.view, u.entry
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	e.running--
	e.tokens = e.tokens.Minus(u.tokens)
	u.tokens = Tokens{}
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

// RunnerUse holds the counts of this VM's requests on a runner. Started names
// the incarnation; Succeeded and Failed count since this process started.
type RunnerUse struct {
	Runner            string
	Started           int64
	Succeeded, Failed uint64
	Tokens            Tokens
	Replicas          []ReplicaUse
}

// ReplicaUse holds the counts of this VM's requests for a replica on one runner.
type ReplicaUse struct {
	Replica  Replica
	Running  int
	Requests uint64 // since the process started
	Missing  bool   // the runner just answered that it does not hold the replica
}

// Uses returns the counts of this VM's requests on each listed runner: for every
// replica if all is set, otherwise only for those that changed since the last
// call.
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
		u := RunnerUse{Runner: id, Started: e.runner.Started, Succeeded: e.succeeded, Failed: e.failed, Tokens: e.tokens}
		for p, x := range e.counters {
			r := ReplicaUse{p, x.running, x.requests, now.Before(x.missingUntil)}
			if all || r != x.lastReported {
				u.Replicas = append(u.Replicas, r)
				x.lastReported = r
			}
		}
		if len(u.Replicas) > 0 || u.Tokens != e.reportedTokens {
			e.reportedTokens = u.Tokens
			us = append(us, u)
		}
	}
	return us
}

// SetLoad records what the controller reports of a runner: others is the number
// of other VMs' requests running on it, failing the share of all VMs' recent
// requests that failed on it, 0 to 1. It ignores unknown runners.
func (v *View) SetLoad(runner string, others int, failing float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.runners[runner]; ok {
		e.runningElsewhere, e.fleetFailureShare = others, failing
	}
}

// ForgetLoads clears what SetLoad recorded for all runners. Call it before
// recording a new reply of the controller, which names only runners with load or
// failures.
func (v *View) ForgetLoads() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		e.runningElsewhere, e.fleetFailureShare, e.tokensElsewhere = 0, 0, Tokens{}
	}
}
