package drfleetview_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

var (
	statementOrders = flag.Int("statement-orders", 200000, "number of random orders of events that TestStatementsInRandomOrder plays")
	statementSeed   = flag.Uint64("statement-seed", 0, "plays only the order with this seed")
)

const (
	statementSteps = 30
	// pauseNotice is how long after a runner has asked for a pause requests may still
	// reach it, and allowedInPause how many may later.
	pauseNotice    = 500 * time.Millisecond
	allowedInPause = 2
)

// statementWorld is a runner and a VM that sends it requests. Requests and answers take
// their time; the runner restarts, and so does the VM.
type statementWorld struct {
	random *rand.Rand
	clock  *drclock.Fake
	view   *drfleetview.View
	beat   int

	// started, leaving and pausedUntil are the runner's own state.
	started     int64
	leaving     bool
	pausedUntil time.Duration
	// opening are the runners that requests were sent to whose connections are being
	// opened, answers those on their way back.
	opening []*drfleet.Runner
	answers []statementAnswer
	// leavingHeardAt and pauses are what the VM has been told, by incarnation.
	leavingHeardAt map[int64]time.Duration
	pauses         []heardPause
}

type statementAnswer struct {
	started int64
	leaving bool
	pause   time.Duration
	sentAt  time.Duration
}

type heardPause struct {
	started     int64
	from, until time.Duration
	// knownUntil is the end by the VM's own account.
	knownUntil time.Duration
	arrivals   int
}

func newStatementWorld(seed uint64) *statementWorld {
	w := &statementWorld{random: rand.New(rand.NewPCG(seed, 0)), clock: drclock.NewFake(time.Unix(0, 0)), started: 1}
	w.restartVM()
	return w
}

// restartVM has the VM forget all. That excuses it from what it was told.
func (w *statementWorld) restartVM() {
	w.view = drfleetview.New(w.clock)
	w.opening, w.answers, w.pauses = nil, nil, nil
	w.leavingHeardAt = make(map[int64]time.Duration)
}

// step carries out a random event. It returns an error if a request reaches the runner
// that must not.
func (w *statementWorld) step() error {
	now := w.clock.Uptime()
	switch w.random.IntN(14) {
	case 0, 1:
		w.readEntry()
	case 2:
		w.view.RemoveRunner("r")
	case 3:
		w.started, w.leaving, w.pausedUntil = w.started+1, false, 0
	case 4:
		w.leaving = true
	case 5:
		w.pausedUntil = now + w.drawTime()
	case 6:
		w.clock.Advance(w.drawTime() / 3)
	case 7:
		w.clock.Suspend(w.drawTime())
	case 8:
		if w.random.IntN(4) == 0 {
			w.restartVM()
		}
	case 9, 10:
		for _, c := range w.view.Candidates(drfleetview.Replica{Service: "s"}) {
			w.opening = append(w.opening, slices.Repeat([]*drfleet.Runner{c.Runner}, 1+w.random.IntN(5))...)
		}
	case 11, 12:
		return w.send()
	default:
		if err := w.receive(); err != nil {
			return err
		}
	}
	return w.checkCandidates()
}

func (w *statementWorld) drawTime() time.Duration {
	return time.Duration(w.random.Int64N(int64(3 * time.Second)))
}

// readEntry has the VM hear of an entry of the present or the former incarnation, late,
// or with another state than the runner's.
func (w *statementWorld) readEntry() {
	w.beat++
	started := max(w.started-w.random.Int64N(2), 1)
	isDraining := w.random.IntN(4) == 0
	w.view.OfferRunner(leavingRunner(started, w.beat-w.random.IntN(2), isDraining), drfleetview.Source(w.random.IntN(2)))
}

// take removes a random element from a list.
func take[T any](random *rand.Rand, list *[]T) (element T, ok bool) {
	if len(*list) == 0 {
		return element, false
	}
	i := random.IntN(len(*list))
	element = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return element, true
}

// send completes an open connection. The request reaches the runner if it is of the
// incarnation that was chosen; it answers at once.
func (w *statementWorld) send() error {
	chosen, ok := take(w.random, &w.opening)
	if !ok || !w.view.MayStart(chosen) || chosen.Started != w.started {
		return nil
	}
	now := w.clock.Uptime()
	w.answers = append(w.answers, statementAnswer{w.started, w.leaving, max(w.pausedUntil-now, 0), now})
	if heard, ok := w.leavingHeardAt[w.started]; ok {
		return fmt.Errorf("a request reaches incarnation %d, which said at %v that it leaves", w.started, heard)
	}
	for i := range w.pauses {
		p := &w.pauses[i]
		if p.started != w.started || now <= p.from+pauseNotice || now >= p.until {
			continue
		}
		if p.arrivals++; p.arrivals > allowedInPause {
			return fmt.Errorf("%d requests reach incarnation %d in its pause from %v to %v", p.arrivals, p.started, p.from, p.until)
		}
	}
	return nil
}

// receive has an answer reach the VM, in any order. It returns an error if it binds
// another incarnation.
func (w *statementWorld) receive() error {
	a, ok := take(w.random, &w.answers)
	if !ok {
		return nil
	}
	now, i := w.clock.Uptime(), drfleetview.Incarnation{Runner: "r", Started: a.started}
	known, listed := w.view.Runner("r")
	isPresent := listed && known.Started == a.started
	marked := a.leaving && w.view.MarkLeaving(i)
	paused := a.pause > 0 && w.view.Pause(i, a.pause)
	if listed && !isPresent && (marked || paused) {
		return fmt.Errorf("an answer of incarnation %d binds incarnation %d", a.started, known.Started)
	}
	if _, heard := w.leavingHeardAt[a.started]; (marked || a.leaving && isPresent) && !heard {
		w.leavingHeardAt[a.started] = now
	}
	if paused || a.pause > 0 && isPresent {
		w.pauses = append(w.pauses, heardPause{started: a.started, from: now, until: a.sentAt + a.pause, knownUntil: now + a.pause})
	}
	return nil
}

// checkCandidates checks that no incarnation that leaves or pauses may be chosen.
func (w *statementWorld) checkCandidates() error {
	now := w.clock.Uptime()
	for _, c := range w.view.Candidates(drfleetview.Replica{Service: "s"}) {
		if _, heard := w.leavingHeardAt[c.Runner.Started]; heard {
			return fmt.Errorf("incarnation %d may be chosen after it has said that it leaves", c.Runner.Started)
		}
		for _, p := range w.pauses {
			if p.started == c.Runner.Started && now < p.knownUntil {
				return fmt.Errorf("incarnation %d may be chosen %v before its pause ends", c.Runner.Started, p.knownUntil-now)
			}
		}
	}
	return nil
}

// Guards against requests to a runner that has said that it leaves or wants none, in any
// order of answers of its incarnations, entries that are late, missing or contradict it,
// overlapping pauses, restarts of the runner and the VM, and suspensions of the VM.
func TestStatementsInRandomOrder(t *testing.T) {
	first, orders := rand.Uint64N(1<<40), *statementOrders
	if *statementSeed != 0 {
		first, orders = *statementSeed, 1
	}
	var running sync.WaitGroup
	defer running.Wait()
	workers := runtime.GOMAXPROCS(0)
	for worker := range workers {
		running.Go(func() {
			for i := worker; i < orders && !t.Failed(); i += workers {
				playStatements(t, first+uint64(i))
			}
		})
	}
}

func playStatements(t *testing.T, seed uint64) {
	w := newStatementWorld(seed)
	for range statementSteps {
		if err := w.step(); err != nil {
			t.Errorf("-statement-seed %d: %v", seed, err)
			return
		}
	}
}
