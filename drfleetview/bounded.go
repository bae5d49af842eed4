package drfleetview

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// BoundedRunner is a runner that bears few requests a second over all VMs, because it is
// cold or has named a limit. Requests to it need permits.
type BoundedRunner struct {
	Incarnation
	Rate float64 // requests a second, over all VMs
	// Cold is set if Rate is that of cold runners, and not a limit that the runner has
	// named. ColdLeft is then the time until it is warm.
	Cold     bool
	ColdLeft time.Duration
	// Both is set if the runner is cold and has named a limit, so that it bears no more
	// than either allows.
	Both bool
}

// BoundedRunners returns the bounded runners that could take requests for a replica,
// sorted by id.
func (v *View) BoundedRunners(replica Replica) []BoundedRunner {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.clock.Uptime()
	var bounded []BoundedRunner
	for e := range v.boundedFor(replica, uptime) {
		bounded = append(bounded, v.describeBound(e, uptime))
	}
	slices.SortFunc(bounded, func(a, b BoundedRunner) int { return cmp.Compare(a.Runner, b.Runner) })
	return bounded
}

// HasBoundedRunner reports whether a bounded runner could take requests for a replica.
func (v *View) HasBoundedRunner(replica Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for range v.boundedFor(replica, v.clock.Uptime()) {
		return true
	}
	return false
}

// boundedFor returns the bounded runners that could take requests for a replica, in no
// order. The caller holds mu.
func (v *View) boundedFor(replica Replica, uptime time.Duration) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for e := range v.bounded.holding(replica.Model, uptime) {
			if v.needsPermit(e, uptime) && v.serves(e, replica) && !yield(e) {
				return
			}
		}
	}
}

// describeBound returns what a bounded runner bears: the least of what it has named and
// what it bears while it is cold. The caller holds mu.
func (v *View) describeBound(e *entry, uptime time.Duration) BoundedRunner {
	b := BoundedRunner{Incarnation: IncarnationOf(e.runner), Rate: e.limitRate()}
	left, rate := v.coldLeft(e, uptime), v.coldService(e.runner.Service).ColdRate
	b.Both = left > 0 && b.Rate > 0
	if left > 0 && (b.Rate == 0 || rate < b.Rate) {
		b.Rate, b.Cold, b.ColdLeft = rate, true, left
	}
	return b
}

// needsPermit reports whether requests to a runner need permits. The caller holds mu.
func (v *View) needsPermit(e *entry, uptime time.Duration) bool {
	return e.limitRate() > 0 || v.coldLeft(e, uptime) > 0
}

// freeOrPermitted reports whether requests to a runner need no permits or this VM has one.
// The caller holds mu.
func (v *View) freeOrPermitted(e *entry, uptime time.Duration) bool {
	return !v.needsPermit(e, uptime) || v.permits.Left(IncarnationOf(e.runner).Warming(), uptime) > 0
}

// takePermit uses up a permit if requests to the runner need one, and returns false if
// there is none. The caller holds mu.
func (v *View) takePermit(e *entry, uptime time.Duration) bool {
	return !v.needsPermit(e, uptime) || v.permits.Take(IncarnationOf(e.runner).Warming(), uptime)
}
