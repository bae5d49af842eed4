package drcontroller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelridge/dotterelridge/drcrash"
)

const (
	crashOrders = 200 // random orders of events that are played
	crashEvents = 12  // in one order
	// toldWithin is how long after it knows the controller a VM may go on sending a
	// request that has crashed its runners.
	toldWithin = 400 * time.Millisecond
)

// crashWorld is a fleet in which a request crashes runners, while VMs start, controllers
// are cut off and pieces of the runner table are on their way for long.
type crashWorld struct {
	*testFleet
	random *rand.Rand
	// seen holds the crashed runners by the VM that has seen them.
	seen   map[*testNode][]string
	events []string
}

// live returns the VMs that are not cut off.
func (w *crashWorld) live() (nodes []*testNode) {
	for i := range len(w.nodes) {
		if n := w.nodes[fmt.Sprintf("vm-%d", i)]; !n.partitioned {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// step has the next event happen.
func (w *crashWorld) step() {
	live, next := w.live(), fmt.Sprintf("vm-%d", len(w.nodes))
	event := w.random.IntN(8)
	switch {
	case event == 0 && len(live) > 3:
		lost := w.controllers()
		for _, n := range lost {
			n.partition()
			w.events = append(w.events, n.name+" is cut off")
		}
	case event == 1:
		w.start(next, 1)
		w.events = append(w.events, next+" starts")
	case event == 2:
		delay := time.Duration(w.random.IntN(int(2 * time.Second)))
		w.mu.Lock()
		w.pieceDelay = delay
		w.mu.Unlock()
		w.events = append(w.events, fmt.Sprint("pieces take ", delay))
	default:
		n, runner := live[w.random.IntN(len(live))], fmt.Sprint("r", len(w.events))
		n.Crashes.RecordCrash(drcrash.Crash{Identity: deadly, Runner: runner})
		w.seen[n] = append(w.seen[n], runner)
		w.events = append(w.events, n.name+" sees a crash")
	}
}

// awaitController waits until all VMs that are not cut off know a controller that is not.
func (w *crashWorld) awaitController() bool {
	for range 200 {
		known := 0
		for _, n := range w.live() {
			leader, _ := n.Leader()
			if c := w.nodes[leader.VM]; c != nil && !c.partitioned && c.Controlling() {
				known++
			}
		}
		if known == len(w.live()) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// check reports the VMs that do not refuse the request although those that are not cut off
// have seen it crash enough runners.
func (w *crashWorld) check(t *testing.T) {
	crashes := 0
	for _, n := range w.live() {
		crashes += len(w.seen[n])
	}
	if crashes < drcrash.MaxCrashes {
		return
	}
	for _, n := range w.live() {
		if _, blocked := n.Crashes.Blocked(deadly); !blocked {
			t.Errorf("%s does not refuse the request after %q", n.name, w.events)
		}
	}
}

// Guards against VMs that go on sending a request which crashes runners, because what they
// have seen, or what the controller has decided, waits for a report about something else.
func TestRandomOrdersOfCrashes(t *testing.T) {
	for i := range crashOrders {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCrashes(t, seed) })
		})
	}
}

// playCrashes plays the events of one order.
func playCrashes(t *testing.T, seed uint64) {
	w := &crashWorld{testFleet: newTestFleet(5), random: rand.New(rand.NewPCG(seed, 1)), seen: make(map[*testNode][]string)}
	defer w.close()
	time.Sleep(3 * time.Second)
	for range crashEvents {
		w.step()
		time.Sleep(time.Duration(w.random.IntN(int(300 * time.Millisecond))))
		if w.random.IntN(3) > 0 {
			continue
		}
		if !w.awaitController() {
			t.Errorf("no controller after %q", w.events)
		}
		time.Sleep(toldWithin)
		w.check(t)
	}
}
