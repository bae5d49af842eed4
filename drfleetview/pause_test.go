package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

var present = drfleetview.Incarnation{Runner: "r", Started: 1}

// Guards against requests to a runner during the time for which it has asked for none,
// against a shorter pause that ends a longer one, and against a pause that binds the
// runner's next incarnation.
func TestPauseKeepsRequestsAway(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	v := drfleetview.New(clock)
	replica := drfleetview.Replica{Service: "s"}
	r := &drfleet.Runner{ID: "r", Service: "s", Started: 1, Slots: 8}
	v.OfferRunner(r, drfleetview.FromRunner)
	is.True(!v.Pause(drfleetview.Incarnation{Runner: "r", Started: 0}, time.Hour))
	is.True(v.Pause(present, 2*time.Second))
	is.True(!v.Pause(present, time.Second))
	is.Equal(len(v.Candidates(replica)), 0)
	is.True(!v.MayStart(r))
	is.Equal(v.Usable("s"), 0)
	is.Equal(v.PausedCount("s"), 1)
	left, paused := v.PauseLeft(replica)
	is.True(paused)
	is.Equal(left, 2*time.Second)
	clock.Suspend(1500 * time.Millisecond)
	clock.Advance(500 * time.Millisecond)
	is.True(v.MayStart(r)) // the time in which this VM was suspended counts
	_, paused = v.PauseLeft(replica)
	is.True(!paused)
	is.Equal(v.Candidates(replica)[0].Load, 8) // other runners go first
	clock.Advance(500 * time.Millisecond)
	is.Equal(v.Candidates(replica)[0].Load, 4)
	clock.Advance(time.Second)
	is.Equal(v.Candidates(replica)[0].Load, 0)
	is.True(v.Pause(present, time.Hour))
	restarted := *r
	restarted.Started = 2
	v.OfferRunner(&restarted, drfleetview.FromRunner)
	is.Equal(len(v.Candidates(replica)), 1)
	is.Equal(v.PausedCount("s"), 0)
}
