package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drzone"
)

// newZonedView returns a view of a plain service with a runner in each of three zones.
func newZonedView(clock drfleetview.Clock) (v *drfleetview.View, runners []*drfleet.Runner) {
	v = drfleetview.New(clock)
	for _, zone := range []string{"a", "b", "c"} {
		r := &drfleet.Runner{ID: "r-" + zone, Service: "s", Zone: zone, Started: 1, Slots: 8}
		v.OfferRunner(r, drfleetview.FromRunner)
		runners = append(runners, r)
	}
	return v, runners
}

// Guards against a request to a zone that was taken out of service: one that looks for a
// runner, one that was given the runner a moment ago, and one that waits meanwhile and
// would not look again.
func TestZoneOutOfServiceGetsNoRequests(t *testing.T) {
	is := is.New(t)
	v, runners := newZonedView(drclock.NewFake(time.Unix(0, 0)))
	changed := v.Changed()
	_, news := v.OfferOutages(drzone.New(5, map[string]int64{"a": 4}))
	is.True(news)
	select {
	case <-changed:
	default:
		t.Error("a waiting request was not woken")
	}
	is.True(!v.MayStart(runners[0]))
	is.True(!v.MayStart(&drfleet.Runner{ID: "unknown", Zone: "a"}))
	is.True(v.MayStart(runners[1]))
	is.Equal(v.Usable("s"), 2)
	is.Equal(v.OutOfServiceCount("s"), 1)
	for _, c := range v.Candidates(drfleetview.Replica{Service: "s"}) {
		is.True(c.Runner.Zone != "a")
	}
	_, news = v.OfferOutages(drzone.New(4, nil)) // a late set takes nothing back
	is.True(!news)
	is.True(!v.MayStart(runners[0]))
}

// Guards against a view that calls a runner in a zone out of service a place for a model,
// so that a pending report is answered again and again and no model is loaded elsewhere.
func TestModelInZoneOutOfServiceIsNotHeld(t *testing.T) {
	is := is.New(t)
	v := drfleetview.New(drclock.NewFake(time.Unix(0, 0)))
	replica := drfleetview.Replica{Service: "s", Model: "m"}
	v.OfferRunner(&drfleet.Runner{ID: "r", Service: "s", Zone: "a", Replicas: []drfleet.Replica{{Model: "m"}}}, drfleetview.FromRunner)
	is.True(v.Holds(replica))
	is.True(v.Pause(drfleetview.Incarnation{Runner: "r"}, time.Hour))
	v.OfferOutages(drzone.New(1, map[string]int64{"a": 0}))
	is.True(!v.Holds(replica))
	_, paused := v.PauseLeft(replica)
	is.True(!paused) // nobody waits for the end of that pause
}

// Guards against all of the load at once on the runners of a zone that is taken back into
// service, and against a pause that ends thereby.
func TestLoadReturnsGraduallyToZone(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, _ := newZonedView(clock)
	v.OfferOutages(drzone.New(1, map[string]int64{"a": 0, "b": 0}))
	clock.Advance(time.Minute)
	is.True(v.Pause(drfleetview.Incarnation{Runner: "r-b", Started: 1}, time.Hour))
	v.OfferOutages(drzone.New(3, nil))
	load := make(map[string]int)
	for _, c := range v.Candidates(drfleetview.Replica{Service: "s"}) {
		load[c.Runner.ID] = c.Load
	}
	is.Equal(load, map[string]int{"r-a": 8, "r-c": 0})
	clock.Advance(time.Minute)
	is.Equal(v.Candidates(drfleetview.Replica{Service: "s"})[0].Load, 0)
}

// Guards against requests that wait although all zones of their service are out of
// service, and against refusing them while a runner is left or none is known.
func TestAllZonesOutOfService(t *testing.T) {
	is := is.New(t)
	v, _ := newZonedView(drclock.NewFake(time.Unix(0, 0)))
	is.True(!v.AllOutOfService("s"))
	v.OfferOutages(drzone.New(2, map[string]int64{"a": 0, "b": 1}))
	is.True(!v.AllOutOfService("s"))
	v.OfferOutages(drzone.New(3, map[string]int64{"a": 0, "b": 1, "c": 2}))
	is.True(v.AllOutOfService("s"))
	is.True(!v.AllOutOfService("other"))
}

// Guards against requests that fail or wait at once although their zone may be used for a
// while, against using it beside others or up to the bound, and against a bound that
// counts from when this VM learned of it instead of when it may have happened.
func TestZoneIsUsedWhileItMayBe(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, runners := newZonedView(clock)
	v.SetZoneDrain(5 * time.Second)
	v.ConfirmDeployment(clock.Uptime())
	clock.Suspend(2 * time.Second) // the zones may have been taken out of service since
	v.OfferOutages(drzone.New(2, map[string]int64{"a": 0, "b": 1}))
	replica := drfleetview.Replica{Service: "s"}
	is.Equal(len(v.Candidates(replica)), 1)
	v.OfferOutages(drzone.New(3, map[string]int64{"a": 0, "b": 1, "c": 2}))
	is.Equal(len(v.Candidates(replica)), 3)
	is.True(!v.AllOutOfService("s"))
	clock.Suspend(1999 * time.Millisecond)
	is.True(v.MayStart(runners[0]))
	clock.Advance(time.Millisecond)
	is.True(!v.MayStart(runners[0]))
	is.Equal(len(v.Candidates(replica)), 0)
	is.True(v.AllOutOfService("s"))
}

// Guards against a VM that has just started and uses a zone that was taken out of service
// long before.
func TestNewVMDoesNotUseZone(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, runners := newZonedView(clock)
	v.SetZoneDrain(5 * time.Second)
	v.OfferOutages(drzone.New(1, map[string]int64{"a": 0}))
	v.ConfirmDeployment(clock.Uptime())
	is.True(!v.MayStart(runners[0]))
}

// Guards against a bound that is shortened while a zone is out of service, and a zone that
// is used until the former one; and against a longer one that opens a zone again.
func TestChangedBoundAppliesToZonesThatAreOut(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, runners := newZonedView(clock)
	v.SetZoneDrain(8 * time.Second)
	v.ConfirmDeployment(clock.Uptime())
	v.OfferOutages(drzone.New(1, map[string]int64{"a": 0}))
	changed := v.Changed()
	v.SetZoneDrain(5 * time.Second)
	select {
	case <-changed: // requests that wait look again
	default:
		t.Error("requests that wait were not woken")
	}
	clock.Suspend(3999 * time.Millisecond)
	is.True(v.MayStart(runners[0]))
	clock.Suspend(time.Millisecond)
	is.True(!v.MayStart(runners[0]))
	v.SetZoneDrain(time.Minute)
	is.True(!v.MayStart(runners[0]))
	v.SetZoneDrain(0)
	is.True(!v.MayStart(runners[0]))
}
