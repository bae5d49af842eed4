package drfleetview

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// returnTime is how long after a pause the load returns to a runner gradually.
const returnTime = time.Second

// pause is the time in which an incarnation of a runner wants no requests of this VM.
// It is measured by uptime, so that it passes while the VM is suspended.
type pause struct {
	started int64
	until   time.Duration
}

// Pause is a time for which an incarnation of a runner wants no requests of this VM.
type Pause struct {
	Incarnation
	Left time.Duration
}

// Pauses returns the pauses of the listed runners, sorted by runner.
func (v *View) Pauses() []Pause {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []Pause
	uptime := v.clock.Uptime()
	for _, e := range v.listed("", func(e *entry) bool { return e.pauseLeft(uptime) > 0 }) {
		list = append(list, Pause{IncarnationOf(e.runner), e.pauseLeft(uptime)})
	}
	return list
}

// Pause records that an incarnation of a runner wants no requests of this VM for a
// time from now. It returns false if that adds nothing, or if the runner is not known
// or of another incarnation.
func (v *View) Pause(i Incarnation, length time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[i.Runner]
	until := v.clock.Uptime() + length
	if !ok || e.runner.Started != i.Started || e.pause.started == i.Started && e.pause.until >= until {
		return false
	}
	e.pause = pause{i.Started, until}
	return true
}

// pauseLeft returns how long the runner still wants no requests, 0 if it takes them.
func (e *entry) pauseLeft(uptime time.Duration) time.Duration {
	if e.pause.started != e.runner.Started {
		return 0
	}
	return max(e.pause.until-uptime, 0)
}

// returning returns the requests that a runner counts as busy with, besides those that
// it runs, while its load returns after a pause.
func (e *entry) returning(uptime time.Duration) int {
	since := uptime - e.pause.until
	if e.pause.until == 0 || e.pause.started != e.runner.Started || since < 0 || since >= returnTime {
		return 0
	}
	return int((1 - float64(since)/float64(returnTime)) * float64(max(e.runner.Slots, 1)))
}

// PauseLeft returns the time until the first of the paused runners takes requests for a
// replica again, and false if none of those that could take them is paused.
func (v *View) PauseLeft(replica Replica) (left time.Duration, paused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.clock.Uptime()
	for _, e := range v.runners {
		if !v.serves(e, replica) {
			continue
		}
		if l := e.pauseLeft(uptime); l > 0 && (!paused || l < left) {
			left, paused = l, true
		}
	}
	return left, paused
}

// serves reports whether the runner is listed, stays, is in an availability zone that
// gets requests and one of the replica's, and holds a replica. The caller holds mu.
func (v *View) serves(e *entry, replica Replica) bool {
	return !v.closed(e.runner.Zone) && !e.removed && !e.runner.Draining && e.runner.Service == replica.Service &&
		replica.Zones.Allow(e.runner.Zone) && (replica.Version == "" || e.runner.Version == replica.Version) &&
		e.runner.Holds(replica.Model, replica.Adapter)
}

// PausedCount returns the number of listed runners of a service that want no requests of
// this VM for a time.
func (v *View) PausedCount(service string) int {
	uptime := v.clock.Uptime()
	return v.count(service, func(e *entry) bool { return e.pauseLeft(uptime) > 0 })
}

// count returns the number of listed runners of a service with a property.
func (v *View) count(service string, has func(e *entry) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.listed(service, has))
}

// MayStart reports whether a request may still be sent to a runner that was chosen a
// moment ago: it has not said meanwhile that it wants none, and its availability zone gets
// requests. If it is bounded, that uses up a permit. If it has started anew meanwhile, what
// its present incarnation has said counts, which may get the request.
func (v *View) MayStart(runner *drfleet.Runner) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed(runner.Zone) {
		return false
	}
	e, ok := v.runners[runner.ID]
	if !ok {
		return true
	}
	uptime := v.clock.Uptime()
	return !e.saysLeaving() && e.pauseLeft(uptime) <= 0 && v.takePermit(e, uptime)
}

// Usable returns the number of listed runners of a service that take requests of this
// VM.
func (v *View) Usable(service string) int {
	uptime := v.clock.Uptime()
	return v.count(service, func(e *entry) bool {
		return !e.runner.Draining && e.pauseLeft(uptime) <= 0 && !v.closed(e.runner.Zone)
	})
}
