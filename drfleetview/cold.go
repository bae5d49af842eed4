package drfleetview

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// minColdExtension is how much longer than known a runner must be cold for other VMs to be
// told. Runners state the time left in each of their entries, which are read with a delay.
const minColdExtension = 500 * time.Millisecond

// Warming returns the key of an incarnation's permits.
func (i Incarnation) Warming() drwarmup.Incarnation {
	return drwarmup.Incarnation{Runner: i.Runner, Started: i.Started}
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

// GivePermits adds permits to send requests to a bounded runner, which end at an uptime.
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

// statedCold returns the time left for which a runner has said that it is cold, as other VMs
// are told. The caller holds the view's mu.
func (e *entry) statedCold(uptime time.Duration) time.Duration { return max(e.coldUntil-uptime, 0) }

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
	v.bounded.note(e, uptime)
	v.buckets[BucketOf(described.ID)].version++
	return v.coldService(described.Service).ColdRate > 0
}

// assumeCold treats a runner as cold for as long as one that has just started. The caller
// holds mu.
func (v *View) assumeCold(e *entry, uptime time.Duration) {
	e.coldUntil = max(e.coldUntil, uptime+v.coldService(e.runner.Service).ColdStart)
	v.bounded.note(e, uptime)
	v.buckets[BucketOf(e.runner.ID)].version++
}
