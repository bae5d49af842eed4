package drcrash_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drcrash"
)

var (
	trafficWorlds = flag.Int("traffic", 100, "number of random worlds that TestRandomTraffic plays")
	trafficSeed   = flag.Uint64("traffic-seed", 0, "plays only the world with this seed")
)

const (
	trafficTick   = 20 * time.Millisecond
	trafficLength = 30 * time.Second
	trafficSync   = 300 * time.Millisecond // between two regular reports of a VM
	runnerRestart = 3 * time.Second
	requestLength = 800 * time.Millisecond
	// settleTime is the time after the fifth crash from which requests with the
	// deadly part must not reach runners more than allowedLate times, and of the
	// sound ones at most one in refusedShare may be refused.
	settleTime   = 3 * time.Second
	allowedLate  = 3
	refusedShare = 20
)

// trafficWorld is a fleet whose VMs send requests to runners. Prompts have parts of
// a common and a rarer kind; some also have a part that ends each runner as it begins
// to answer.
type trafficWorld struct {
	*fleet
	random      *rand.Rand
	deadlyShare float64
	deadlyDepth int
	deadlyFrom  time.Time
	upAt        []time.Time // by runner
	running     []*trafficRun
	sent        int
	crashedAt   []time.Time
	// late counts the requests with the deadly part that reached a runner, sound the
	// other ones that came and refused those of them that were refused, all later
	// than settleTime after the fifth crash.
	late, sound, refused int
}

type trafficRun struct {
	drcrash.Identity
	vm, runner int
	deadly     bool
	ends       time.Time // of a sound request; a deadly one ends its runner then
}

func newTrafficWorld(seed uint64) *trafficWorld {
	random := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(4 + random.IntN(16))
	return &trafficWorld{
		fleet: f, random: random, deadlyShare: 0.03 + 0.5*random.Float64(), deadlyDepth: random.IntN(3),
		deadlyFrom: f.clock.Now().Add(time.Duration(random.Int64N(int64(5 * time.Second)))), upAt: make([]time.Time, 6+random.IntN(6)),
	}
}

// newRequest draws a request. Its prompt has a common part, a rarer one and, if
// deadly, the deadly part at a position that is the same throughout a world.
func (w *trafficWorld) newRequest(deadly bool) drcrash.Identity {
	w.sent++
	rare := w.random.IntN(1 + w.random.IntN(60))
	parts := []string{fmt.Sprint("common", w.random.IntN(3)), fmt.Sprint("rare", rare)}
	if deadly {
		parts = slices.Insert(parts, w.deadlyDepth, "deadly")
	}
	return withParts(w.sent, parts...)
}

func (w *trafficWorld) settled() bool {
	return len(w.crashedAt) >= 5 && w.clock.Now().Sub(w.crashedAt[4]) > settleTime
}

// arrive has a request come to a random VM, which sends it to a runner.
func (w *trafficWorld) arrive() {
	deadly := w.random.Float64() < w.deadlyShare && w.clock.Now().After(w.deadlyFrom)
	request, vm := w.newRequest(deadly), w.random.IntN(len(w.ledgers))
	if !deadly && w.settled() {
		w.sound++
	}
	if w.ledgers[vm].Refuses(request) {
		if !deadly && w.settled() {
			w.refused++
		}
		return
	}
	w.start(&trafficRun{Identity: request, vm: vm, deadly: deadly})
}

// start begins a run on a runner that is up, if there is one.
func (w *trafficWorld) start(run *trafficRun) {
	now := w.clock.Now()
	first := w.random.IntN(len(w.upAt))
	for i := range w.upAt {
		run.runner = (first + i) % len(w.upAt)
		if now.Before(w.upAt[run.runner]) {
			continue
		}
		if run.deadly && w.settled() {
			w.late++
		}
		run.ends = now.Add(time.Duration(w.random.Int64N(int64(requestLength))))
		w.running = append(w.running, run)
		return
	}
}

// end ends the runs whose time has come.
func (w *trafficWorld) end() {
	now := w.clock.Now()
	for _, run := range slices.Clone(w.running) {
		if now.Before(run.ends) || !slices.Contains(w.running, run) {
			continue
		}
		if run.deadly {
			w.crashRunner(run.runner)
			continue
		}
		w.running = slices.DeleteFunc(w.running, func(r *trafficRun) bool { return r == run })
		w.ledgers[run.vm].RecordServed(run.Identity)
	}
}

// crashRunner ends a runner and its runs. Each is sent once more, by half of the
// clients or VMs.
func (w *trafficWorld) crashRunner(runner int) {
	now := w.clock.Now()
	name := fmt.Sprintf("r%d@%d", runner, w.upAt[runner].UnixMilli())
	w.crashedAt = append(w.crashedAt, now)
	w.upAt[runner] = now.Add(runnerRestart)
	var victims []*trafficRun
	w.running = slices.DeleteFunc(w.running, func(r *trafficRun) bool {
		if r.runner == runner {
			victims = append(victims, r)
		}
		return r.runner == runner
	})
	for _, v := range victims {
		w.crash(v.vm, name, v.Identity)
		if _, blocked := w.ledgers[v.vm].Blocked(v.Identity); !blocked && w.random.IntN(2) == 0 {
			w.start(v)
		}
	}
}

func (w *trafficWorld) play() {
	for tick := range int(trafficLength / trafficTick) {
		w.clock.Advance(trafficTick)
		for range 1 + w.random.IntN(2) {
			w.arrive()
		}
		w.end()
		for vm := range w.ledgers {
			if (tick+vm)%int(trafficSync/trafficTick) == 0 || w.mustReport(vm) {
				w.report(vm, false)
			}
		}
	}
}

// mustReport reports whether a VM has news, or has not heard of a change. Both are on
// their way for up to five ticks.
func (w *trafficWorld) mustReport(vm int) bool {
	if w.random.IntN(5) > 0 {
		return false
	}
	select {
	case <-w.ledgers[vm].News():
		return true
	default:
		return w.tally.Revision() != w.ledgers[vm].Revision()
	}
}

// Guards against a deadly part that goes on ending runners, or takes sound requests
// with it, at some position, share and mix of prompts.
func TestRandomTraffic(t *testing.T) {
	first, worlds := rand.Uint64N(1<<40), *trafficWorlds
	if *trafficSeed != 0 {
		first, worlds = *trafficSeed, 1
	}
	for i := range worlds {
		seed := first + uint64(i)
		w := newTrafficWorld(seed)
		w.play()
		if w.late > allowedLate || w.refused*refusedShare > w.sound {
			t.Errorf("seed %d (-traffic-seed): %d VMs, share %.2f, depth %d: %d crashes, %d late requests, %d of %d sound ones refused",
				seed, len(w.ledgers), w.deadlyShare, w.deadlyDepth, len(w.crashedAt), w.late, w.refused, w.sound)
		}
	}
}
