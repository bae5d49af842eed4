package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// newLimitView returns a view of runner r of service s, and its clock.
func newLimitView() (*drfleetview.View, *drclock.Fake, drfleetview.Incarnation) {
	clock := drclock.NewFake(time.Unix(0, 0))
	clock.Advance(time.Minute)
	v := drfleetview.New(clock)
	v.OfferRunner(leavingRunner(1, 1, false), drfleetview.FromRunner)
	return v, clock, drfleetview.Incarnation{Runner: "r", Started: 1}
}

// Guards against an old statement that replaces a newer one, and against a limit that is
// ended by the answer to a request that was sent before it was named.
func TestNewestLimitCounts(t *testing.T) {
	is := is.New(t)
	v, clock, r := newLimitView()
	now := clock.Uptime()
	is.True(!v.OfferLimit(r, 0, now)) // no news
	_, known := v.LimitOf(r)
	is.True(!known)
	is.True(v.OfferLimit(r, 3, now))
	is.True(!v.OfferLimit(r, 3, now+1)) // known
	is.True(!v.OfferLimit(r, 9, now))
	is.True(!v.OfferLimit(r, 0, now))
	is.Equal(v.LimitedCount("s"), 1)
	is.True(!v.MayStart(leavingRunner(1, 1, false)))
	is.True(v.OfferLimit(r, 0, now+2))
	is.True(v.MayStart(leavingRunner(1, 1, false)))
	is.True(!v.OfferLimit(r, 3, now+1)) // said before it ended
	is.Equal(v.Limits(), []drfleetview.Limit{{Incarnation: r, Age: -2, MaxAge: -2}})
	clock.Advance(time.Minute)
	v.OfferLimit(r, 0, clock.Uptime())
	is.Equal(len(v.Limits()), 0) // no longer news
	is.True(!v.OfferLimit(r, 3, clock.Uptime()-1))
	l, known := v.LimitOf(r)
	is.True(known && l.Rate == 0)
}

// Guards against a former, higher limit that replaces a lower one for all VMs, because the
// VM that got the answer was suspended before it read it.
func TestLateAnswerDoesNotRaiseLimit(t *testing.T) {
	is := is.New(t)
	v, clock, r := newLimitView()
	sent := clock.Uptime()
	clock.Advance(time.Second)
	is.True(v.OfferLimit(r, 3, clock.Uptime())) // told by the controller
	clock.Advance(time.Second)
	is.True(!v.OfferAnswer(r, 8, sent))
	is.True(v.OfferAnswer(r, 2, sent))
	is.True(!v.OfferAnswer(r, 3, clock.Uptime()-1))
	is.True(v.OfferAnswer(r, 3, clock.Uptime()))
	is.True(!v.OfferAnswer(r, 0, clock.Uptime()-1))
	is.True(v.OfferAnswer(r, 0, clock.Uptime()))
}

// Guards against a limit of one incarnation of a runner that binds another, and against
// one that is forgotten while the runner's entry is missing.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	is := is.New(t)
	v, clock, r := newLimitView()
	is.True(!v.OfferLimit(drfleetview.Incarnation{Runner: "r", Started: 2}, 3, clock.Uptime()))
	is.True(!v.OfferLimit(drfleetview.Incarnation{Runner: "other", Started: 1}, 3, clock.Uptime()))
	is.True(v.OfferLimit(r, 3, clock.Uptime()))
	v.RemoveRunner("r")
	is.Equal(len(v.Limits()), 0)
	v.OfferRunner(leavingRunner(1, 2, false), drfleetview.FromRunner)
	is.Equal(len(v.BoundedRunners(drfleetview.Replica{Service: "s"})), 1)
	v.OfferRunner(leavingRunner(2, 1, false), drfleetview.FromRunner) // restarted
	is.Equal(v.LimitedCount("s"), 0)
	is.Equal(len(v.BoundedRunners(drfleetview.Replica{Service: "s"})), 0)
	is.True(v.MayStart(leavingRunner(2, 1, false)))
}

// Guards against requests without permits to a limited runner that has started anew since
// they chose it: connecting may take long.
func TestRestartedRunnerNeedsPermit(t *testing.T) {
	is := is.New(t)
	v, clock, _ := newLimitView()
	chosen := leavingRunner(1, 1, false)
	restarted := leavingRunner(2, 1, false)
	v.OfferRunner(restarted, drfleetview.FromRunner)
	is.True(v.MayStart(chosen))
	v.OfferLimit(drfleetview.IncarnationOf(restarted), 3, clock.Uptime())
	is.True(!v.MayStart(chosen))
	v.GivePermits(drfleetview.IncarnationOf(restarted), 1, clock.Uptime()+1)
	is.True(v.MayStart(chosen))
	is.True(!v.MayStart(chosen))
}

// Guards against a runner that is both cold and limited and gets what only one of the two
// allows.
func TestColdAndLimitedRunnerTakesTheLess(t *testing.T) {
	is := is.New(t)
	v, clock, _ := newLimitView()
	d, err := drfleet.NewDeployment(drfleet.Config{Version: 1, Services: []drfleet.Service{{Name: "s", ColdRate: 4}}})
	is.NoErr(err)
	v.OfferDeployment(d, nil)
	cold := leavingRunner(2, 1, false)
	cold.Cold = time.Minute
	v.OfferRunner(cold, drfleetview.FromRunner)
	r := drfleetview.Incarnation{Runner: "r", Started: 2}
	for _, c := range []struct{ limit, rate float64 }{{0, 4}, {3, 3}, {5, 4}} {
		v.OfferLimit(r, c.limit, clock.Uptime())
		b := v.BoundedRunners(drfleetview.Replica{Service: "s"})
		is.Equal(len(b), 1)
		is.Equal(b[0].Rate, c.rate)
		is.Equal(b[0].Cold, c.rate != c.limit)
	}
}

// Guards against reports that name each runner whose limit has ever ended, for as long as
// it answers, and against a VM that keeps to itself that another one's limit has ended.
func TestEndOfLimitIsReportedForAWhile(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v := drfleetview.New(clock)
	r := &drfleet.Runner{ID: "r", Service: "s", Started: 1}
	v.OfferRunner(r, drfleetview.FromRunner)
	i := drfleetview.IncarnationOf(r)
	is.True(v.OfferLimit(i, 3, clock.Uptime()))
	is.Equal(v.Limits()[0].Rate, 3.0)
	clock.Advance(time.Minute)
	is.Equal(len(v.Limits()), 1) // in force until it says otherwise
	is.True(v.OfferLimit(i, 0, clock.Uptime()))
	for range 12 { // its answers go on
		is.True(len(v.Limits()) == 1 && v.Limits()[0].Rate == 0)
		clock.Advance(400 * time.Millisecond)
		is.True(!v.OfferLimit(i, 0, clock.Uptime()))
	}
	clock.Advance(time.Second)
	is.True(!v.OfferLimit(i, 0, clock.Uptime()))
	is.Equal(len(v.Limits()), 0)
	is.True(!v.OfferLimit(i, 3, clock.Uptime()-time.Second)) // said before
	is.Equal(len(v.Limits()), 1)                             // whoever believes it is told
	is.Equal(v.Limits()[0].Rate, 0.0)
	is.True(v.OfferLimit(i, 3, clock.Uptime()))
}
