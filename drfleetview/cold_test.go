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

// offerColdBound puts a configuration in force in which cold runners of service s bear a
// rate of requests per second.
func offerColdBound(t *testing.T, v *drfleetview.View, rate float64) {
	t.Helper()
	d, err := drfleet.NewDeployment(drfleet.Config{Version: 1, Services: []drfleet.Service{
		{Name: "s", ColdRate: rate, ColdStart: 3 * time.Second},
	}})
	if err != nil {
		t.Fatal(err)
	}
	v.OfferDeployment(d, nil)
}

// Guards against requests without a permit to a cold runner, against a permit that is used
// twice or after its end, and against a runner that stays cold although it is warm.
func TestColdRunnerNeedsPermits(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v := drfleetview.New(clock)
	offerColdBound(t, v, 20)
	replica := drfleetview.Replica{Service: "s", Model: "m"}
	r := &drfleet.Runner{ID: "r", Service: "s", Started: 1, Beat: 1, Cold: 3 * time.Second, Replicas: []drfleet.Replica{{Model: "m"}}}
	v.OfferRunner(r, drfleetview.FromRunner)
	is.Equal(len(v.Candidates(replica)), 0)
	is.True(!v.MayStart(r))
	is.Equal(v.ColdCount("s"), 1)
	cold := v.BoundedRunners(replica)
	is.Equal(cold, []drfleetview.BoundedRunner{{Incarnation: drfleetview.Incarnation{Runner: "r", Started: 1}, Rate: 20, Cold: true, ColdLeft: 3 * time.Second}})

	changed := v.Changed()
	v.GivePermits(cold[0].Incarnation, 1, clock.Uptime()+time.Second)
	<-changed // waiting requests look again
	is.Equal(len(v.Candidates(replica)), 1)
	is.True(v.MayStart(r))
	is.True(!v.MayStart(r))
	v.GivePermits(cold[0].Incarnation, 1, clock.Uptime()+time.Second)
	clock.Suspend(time.Second)
	is.True(!v.MayStart(r))
	clock.Advance(2 * time.Second)
	is.True(v.MayStart(r))
	is.Equal(v.ColdCount("s"), 0)
}

// Guards against requests to a cold runner while a warm one is left.
func TestWarmRunnersGoFirst(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, runners := newZonedView(clock)
	offerColdBound(t, v, 20)
	again := *runners[0]
	again.Beat, again.Cold = 1, time.Second // it turns cold at any moment
	v.OfferRunner(&again, drfleetview.FromRunner)
	v.GivePermits(drfleetview.Incarnation{Runner: "r-a", Started: 1}, 9, time.Hour)
	for _, c := range v.Candidates(drfleetview.Replica{Service: "s"}) {
		is.True(c.Runner.ID != "r-a")
	}
}

// Guards against the whole load on the runners of a zone that is taken back into service:
// they may be cold although their entries do not say so yet.
func TestZoneTakenBackCountsAsCold(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, _ := newZonedView(clock)
	offerColdBound(t, v, 20)
	v.OfferOutages(drzone.New(1, map[string]int64{"a": 0}))
	is.Equal(v.ColdCount("s"), 0)
	v.OfferOutages(drzone.New(2, nil))
	is.Equal(v.ColdCount("s"), 1)
	clock.Advance(3 * time.Second)
	is.Equal(v.ColdCount("s"), 0)
}

// Guards against telling all VMs anew with each entry of a cold runner, against not telling
// them when it turns cold, and against either where the configuration bounds nothing.
func TestOnlyNewsOfColdRunnersIsTold(t *testing.T) {
	for _, rate := range []float64{0, 20} {
		is := is.New(t)
		clock := drclock.NewFake(time.Unix(0, 0))
		v := drfleetview.New(clock)
		offerColdBound(t, v, rate)
		told := func(beat int, cold time.Duration) bool {
			before := v.Revision()
			v.OfferRunner(&drfleet.Runner{ID: "r", Service: "s", Started: 1, Beat: beat, Cold: cold}, drfleetview.FromRunner)
			return v.Revision() != before
		}
		is.True(told(1, 0))
		is.Equal(told(2, 3*time.Second), rate > 0)
		clock.Advance(time.Second)
		is.True(!told(3, 2100*time.Millisecond)) // as known; it was read late
		is.Equal(told(4, 4*time.Second), rate > 0)
		changes, _ := v.Changes(0)
		is.Equal(changes[0].Cold, 4*time.Second)
		v.UpdateRunner("r", 1, func(r drfleet.Runner) drfleet.Runner { r.Orders++; return r })
		clock.Advance(4 * time.Second)
		is.Equal(v.ColdCount("s"), 0) // an order does not make it cold
		is.True(v.MayStart(&drfleet.Runner{ID: "r", Service: "s", Started: 1}))
	}
}

// Guards against a VM that is not told that a runner has turned cold, stays cold for
// longer, or was cold when the VM came to another controller, because all else in its
// table is as before.
func TestTurningColdIsAChange(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v, other := drfleetview.New(clock), drfleetview.New(clock)
	r := drfleet.Runner{ID: "r", Service: "s", Started: 1, Replicas: []drfleet.Replica{{Model: "m"}}}
	for _, w := range []*drfleetview.View{v, other} {
		offerColdBound(t, w, 20)
		w.OfferRunner(&r, drfleetview.FromRunner)
	}
	bucket := drfleetview.BucketOf("r")
	is.Equal(v.Digests()[bucket], other.Digests()[bucket])
	for beat, left := range []time.Duration{2 * time.Second, 5 * time.Second} {
		_, revision := v.Changes(0)
		cold := r
		cold.Beat, cold.Cold = beat+1, left
		v.OfferRunner(&cold, drfleetview.FromRunner)
		changes, _ := v.Changes(revision)
		is.Equal(len(changes), 1)
		is.Equal(changes[0].Cold, left)
		is.True(v.Digests()[bucket] != other.Digests()[bucket])
	}
	runners, _ := v.Bucket(bucket)
	is.Equal(runners[0].Cold, 5*time.Second)
}
