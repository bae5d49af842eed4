package drfleetview

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// minColdExtension is how much longer than known a runner must be cold for other VMs to be
// told. Runners state the time left in each of their entries, which are read with a delay.
const minColdExtension = 500 * time.Millisecond

// ColdRunner is a runner that is cold and bears few requests a second.
type ColdRunner struct {
	Incarnation
	Rate float64       // requests a second, over all VMs
	Left time.Duration // until it is warm
}

// Warming returns the key of an incarnation's permits.
func (i Incarnation) Warming() drwarmup.Incarnation {
	return drwarmup.Incarnation{Runner: i.Runner, Started: i.Started}
}

// ColdRunners returns the cold runners that could take requests for a replica, sorted by
// id. It is empty if the configuration doesn't bound the requests of cold runners.
func (v *View) ColdRunners(replica Replica) []ColdRunner {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime, rate := v.clock.Uptime(), v.coldService(replica.Service).ColdRate
	if rate <= 0 {
		return nil
	}
	var cold []ColdRunner
	for _, e := range v.listed(replica.Service, func(e *entry) bool { return e.coldUntil > uptime && v.serves(e, replica) }) {
		cold = append(cold, ColdRunner{IncarnationOf(e.runner), rate, e.coldUntil - uptime})
	}
	return cold
}

// ColdCount returns the number of listed runners of a service that are cold, 0 if the
// configuration doesn't bound their requests.
func (v *View) ColdCount(service string) int {
	uptime := v.clock.Uptime()
	return v.count(service, func(e *entry) bool { return v.coldLeft(e, uptime) > 0 })
}

// ColdLeft returns the time for which requests to a runner need permits, 0 if they need
// none or the runner is not listed.
func (v *View) ColdLeft(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.removed {
		return 0
	}
	return v.coldLeft(e, v.clock.Uptime())
}

// GivePermits adds permits to send requests to a cold runner, which end at an uptime.
func (v *View) GivePermits(i Incarnation, permits int, end time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.permits.Add(i.Warming(), permits, end)
	v.notify()
}

// coldService returns a service of the configuration, or one without bounds. The caller
// holds mu.
func (v *View) coldService(name string) drfleet.Service {
	if v.deployment == nil {
		return drfleet.Service{}
	}
	if s := v.deployment.Service(name); s != nil {
		return *s
	}
	return drfleet.Service{}
}

// coldLeft returns the time for which requests to a runner need permits. The caller holds
// mu.
func (v *View) coldLeft(e *entry, uptime time.Duration) time.Duration {
	if e.coldUntil <= uptime || v.coldService(e.runner.Service).ColdRate <= 0 {
		return 0
	}
	return e.coldUntil - uptime
}

// warmOrPermitted reports whether a runner is warm or this VM has a permit for it. The caller
// holds mu.
func (v *View) warmOrPermitted(e *entry, uptime time.Duration) bool {
	return v.coldLeft(e, uptime) == 0 || v.permits.Left(IncarnationOf(e.runner).Warming(), uptime) > 0
}

// takePermit uses up a permit if the runner is cold, and returns false if there is none.
// The caller holds mu.
func (v *View) takePermit(e *entry, uptime time.Duration) bool {
	return v.coldLeft(e, uptime) == 0 || v.permits.Take(IncarnationOf(e.runner).Warming(), uptime)
}

// noteCold records that the described incarnation of a runner is cold for the stated time
// from now, and reports whether that is news for other VMs. A description that says less
// than an earlier one shortens nothing, because it may be older. The caller holds mu.
func (v *View) noteCold(e *entry, described *drfleet.Runner, uptime time.Duration) bool {
	if described.Started != e.runner.Started {
		e.coldUntil = 0
	}
	until := uptime + described.Cold
	if described.Cold <= 0 || until <= max(e.coldUntil, uptime)+minColdExtension && e.coldUntil > uptime {
		return false
	}
	e.coldUntil = until
	v.buckets[BucketOf(described.ID)].version++
	return v.coldService(described.Service).ColdRate > 0
}

// assumeCold treats a runner as cold for as long as one that has just started. The caller
// holds mu.
func (v *View) assumeCold(e *entry, uptime time.Duration) {
	e.coldUntil = max(e.coldUntil, uptime+v.coldService(e.runner.Service).ColdStart)
	v.buckets[BucketOf(e.runner.ID)].version++
}
