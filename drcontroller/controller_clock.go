package drcontroller

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// clockSampleTime is how long a VM keeps the best of its samples of the controller's clock.
// The clocks of two VMs run at slightly different rates.
const clockSampleTime = 10 * time.Second

// controllerClock is what a VM knows of the clock of the controller of a term: one reply
// that was made at an uptime of the controller, theirs, between two uptimes of this VM. The
// zero value knows nothing. It is immutable.
type controllerClock struct {
	term             uint64
	theirs           time.Duration
	earliest, latest time.Duration
}

// withReply returns the clock as of a reply that this VM has received at an uptime. made is
// this VM's earliest uptime at which the controller may have made it. The reply replaces a
// former one that tells the time less exactly, or is of another term or old.
func (c controllerClock) withReply(reply *drpb.FleetSyncReply, made, received time.Duration) controllerClock {
	if reply.GetUptimeMs() == 0 {
		return c
	}
	next := controllerClock{reply.GetTerm(), time.Duration(reply.GetUptimeMs()) * time.Millisecond, made, received}
	if c.term == next.term && next.uncertainty() > c.uncertainty() && received-c.latest < clockSampleTime {
		return c
	}
	return next
}

func (c controllerClock) uncertainty() time.Duration { return c.latest - c.earliest }

// moment returns the controller's uptime at some time between two uptimes of this VM, with
// its uncertainty, and nil if it knows nothing.
func (c controllerClock) moment(earliest, latest time.Duration) *drpb.FleetMoment {
	at := c.theirs + earliest - c.latest
	if c.term == 0 || at <= 0 {
		return nil
	}
	uncertainty := c.uncertainty() + latest - earliest
	return &drpb.FleetMoment{Term: c.term, UptimeMs: uint64(at.Milliseconds()), UncertaintyMs: uint32(max(millisecondsUp(uncertainty), 0))}
}
