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

// Guards against the same in any order of pauses that overlap, entries, restarts and
// time.
func TestPausesInRandomOrder(t *testing.T) {
	const orders, steps = 20000, 12
	replica := drfleetview.Replica{Service: "s"}
	first := rand.Uint64()
	for seed := first; seed < first+orders; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		clock := drclock.NewFake(time.Unix(0, 0))
		v := drfleetview.New(clock)
		ends := make(map[int64]time.Duration) // of the pauses, by incarnation
		for step := range steps {
			started := 1 + random.Int64N(2)
			length := time.Duration(random.Int64N(int64(3 * time.Second)))
			switch random.IntN(5) {
			case 0:
				v.OfferRunner(leavingRunner(started, step, false), drfleetview.Source(random.IntN(2)))
			case 1:
				v.RemoveRunner("r")
			case 2:
				clock.Advance(length)
			default:
				known, listed := v.Runner("r")
				v.Pause(drfleetview.Incarnation{Runner: "r", Started: started}, length)
				if listed && known.Started == started {
					ends[started] = max(ends[started], clock.Uptime()+length)
				}
			}
			for _, c := range v.Candidates(replica) {
				if clock.Uptime() < ends[c.Runner.Started] {
					t.Fatalf("seed %d: incarnation %d takes requests %v before its pause ends", seed, c.Runner.Started, ends[c.Runner.Started]-clock.Uptime())
				}
			}
		}
	}
}
