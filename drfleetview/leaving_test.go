package drfleetview_test

import (
	"math/rand/v2"
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

// Guards against the same in any order of entries, removals, restarts and answers of
// present and former incarnations.
func TestLeavingInRandomOrder(t *testing.T) {
	const orders, steps = 20000, 12
	replica := drfleetview.Replica{Service: "s"}
	first := rand.Uint64()
	for seed := first; seed < first+orders; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		v := drfleetview.New(drclock.NewFake(time.Unix(0, 0)))
		left := make(map[int64]bool) // incarnations whose statement was taken
		beat := 0
		for range steps {
			started := 1 + random.Int64N(3)
			beat++
			switch random.IntN(5) {
			case 0, 1:
				source := drfleetview.Source(random.IntN(2))
				v.OfferRunner(leavingRunner(started, beat-random.IntN(2), random.IntN(4) == 0), source)
			case 2:
				v.RemoveRunner("r")
			default:
				known, listed := v.Runner("r")
				if v.MarkLeaving(drfleetview.Incarnation{Runner: "r", Started: started}) && listed && known.Started != started {
					t.Fatalf("seed %d: an answer of incarnation %d marks incarnation %d", seed, started, known.Started)
				}
				left[started] = left[started] || listed && known.Started == started
			}
			for _, c := range v.Candidates(replica) {
				if left[c.Runner.Started] {
					t.Fatalf("seed %d: incarnation %d takes requests after it has said that it leaves", seed, c.Runner.Started)
				}
			}
		}
	}
}
