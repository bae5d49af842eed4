package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

func leavingRunner(started int64, beat int, isDraining bool) *drfleet.Runner {
	return &drfleet.Runner{ID: "r", Service: "s", Address: "1:1", Started: started, Slots: 1, Beat: beat, Orders: beat, Draining: isDraining}
}

// Guards against requests to a runner that has said that it leaves, because the store
// or the controller goes on listing it as ready, or lists it again.
func TestLeavingOutlastsEntries(t *testing.T) {
	is := is.New(t)
	v := drfleetview.New(drclock.NewFake(time.Unix(0, 0)))
	replica := drfleetview.Replica{Service: "s"}
	v.OfferRunner(leavingRunner(1, 1, false), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(replica)), 1)
	is.True(!v.MarkLeaving(drfleetview.Incarnation{Runner: "r", Started: 0})) // a late answer of a former incarnation
	is.True(!v.MarkLeaving(drfleetview.Incarnation{Runner: "other"}))
	is.Equal(len(v.Candidates(replica)), 1)
	is.True(v.MarkLeaving(drfleetview.Incarnation{Runner: "r", Started: 1}))
	is.True(!v.MarkLeaving(drfleetview.Incarnation{Runner: "r", Started: 1})) // no news
	is.Equal(len(v.Candidates(replica)), 0)
	is.Equal(v.Usable("s"), 0)
	is.True(!v.MayStart(leavingRunner(1, 1, false)))
	v.OfferRunner(leavingRunner(1, 2, false), drfleetview.FromRunner)
	v.OfferRunner(leavingRunner(1, 3, false), drfleetview.FromController)
	is.Equal(len(v.Candidates(replica)), 0)
	v.RemoveRunner("r")
	is.Equal(len(v.Leaving()), 0)
	v.OfferRunner(leavingRunner(1, 4, false), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(replica)), 0)
	is.Equal(len(v.Leaving()), 1)
	is.Equal(v.LeavingCount("s"), 1)
	is.Equal(v.LeavingCount("other"), 0)
	v.OfferRunner(leavingRunner(2, 1, false), drfleetview.FromRunner) // restarted
	is.Equal(len(v.Candidates(replica)), 1)
	is.True(v.MayStart(leavingRunner(2, 1, false)))
	is.Equal(len(v.Leaving()), 0)
}
