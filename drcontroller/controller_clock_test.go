package drcontroller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Guards against statements of other VMs that count as later than they were made, because
// the time on the clock of the controller is taken from a reply that was long on its way.
func TestControllerClockIsNotAhead(t *testing.T) {
	is := is.New(t)
	reply := func(term uint64, uptime time.Duration) *drpb.FleetSyncReply {
		return &drpb.FleetSyncReply{Term: term, UptimeMs: uint64(uptime.Milliseconds())}
	}
	moment := func(term uint64, uptime, uncertainty time.Duration) *drpb.FleetMoment {
		return &drpb.FleetMoment{Term: term, UptimeMs: uint64(uptime.Milliseconds()), UncertaintyMs: uint32(uncertainty.Milliseconds())}
	}
	var c controllerClock
	is.True(c.moment(time.Hour, time.Hour) == nil)
	c = c.withReply(&drpb.FleetSyncReply{Term: 5}, 0, 0) // of an earlier version
	is.True(c.moment(time.Hour, time.Hour) == nil)
	c = c.withReply(reply(5, 100*time.Second), 10*time.Second, 11*time.Second)
	is.Equal(c.moment(12*time.Second, 12*time.Second), moment(5, 101*time.Second, time.Second))
	c = c.withReply(reply(5, 103*time.Second), 13*time.Second, 15*time.Second) // tells less exactly
	is.Equal(c.moment(15*time.Second, 15*time.Second), moment(5, 104*time.Second, time.Second))
	c = c.withReply(reply(5, 106*time.Second), 16*time.Second, 16*time.Second)
	is.Equal(c.moment(16*time.Second, 16*time.Second), moment(5, 106*time.Second, 0))
	c = c.withReply(reply(5, 126*time.Second), 36*time.Second, 37*time.Second) // the last one is old
	is.Equal(c.moment(37*time.Second, 37*time.Second), moment(5, 126*time.Second, time.Second))
	c = c.withReply(reply(6, 7*time.Second), 38*time.Second, 40*time.Second)
	is.Equal(c.moment(40*time.Second, 40*time.Second), moment(6, 7*time.Second, 2*time.Second))
}

// Guards against limits of VMs that don't count, because they still follow a lease whose
// holder has acquired it anew since.
func TestReportStatesMomentOfReplyingTerm(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].withoutLoops()
	n.leader = drlease.Lease{VM: "vm-0", Term: 4}
	n.applyReply(&drpb.FleetSyncReply{Leading: true, Term: 9, UptimeMs: 50}, 0)
	request := new(drpb.FleetSyncRequest)
	n.fillRequest(request)
	is.Equal(request.GetMade().GetTerm(), uint64(9))
}

// slowClock is a clock of a VM that is suspended for a second before each reading.
type slowClock struct{ *drclock.Fake }

func (c slowClock) Uptime() time.Duration {
	c.Suspend(time.Second)
	return c.Fake.Uptime()
}

// Guards against a lower limit that counts as older than it is, and is ignored, because the VM
// was suspended while it made its report.
func TestReportMadeSlowlyKeepsAgesOfLimits(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n, clock := f.nodes["vm-0"].withoutLoops(), drclock.NewFake(time.Unix(1000, 0))
	clock.Advance(time.Minute)
	n.Clock, n.View = slowClock{clock}, drfleetview.New(slowClock{clock})
	r := &drfleet.Runner{ID: "r1"}
	n.View.OfferRunner(r, drfleetview.FromRunner)
	said := clock.Uptime()
	n.controllerClock = controllerClock{term: 5, theirs: said, earliest: said, latest: said}
	n.View.OfferLimit(drfleetview.IncarnationOf(r), 3, said)
	request := new(drpb.FleetSyncRequest)
	n.fillRequest(request)
	made, limit := request.GetMade(), request.GetLimits()[0]
	is.True(int64(made.GetUptimeMs())-int64(limit.GetMaxAgeMs()) <= said.Milliseconds())
	is.True(int64(made.GetUptimeMs()+uint64(made.GetUncertaintyMs()))-int64(limit.GetAgeMs()) >= said.Milliseconds())
}
