package harness_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// drainLimit is drain_ms.
	drainLimit = 2 * time.Second
	// beyondDrain is how long after drainLimit the request for a rare model is sent.
	beyondDrain = 150 * time.Millisecond
	// lingerTime is how long a runner that leaves goes on serving: drain_ms and a
	// little longer.
	lingerTime = 4 * time.Second
	// resets is how often connections are reset before each leaving, resetGap the time
	// between two of them.
	resets   = 3
	resetGap = 400 * time.Millisecond
)

// drainCase checks that no request reaches a runner later than drain_ms after the store
// has acknowledged that the runner is gone. One runner after the other leaves, each with
// the only replica of a model that is asked for rarely. The disruption resets half
// of the connections between the store and the VM that last wrote to it under a condition; the
// requests go through another VM.
func drainCase(f *fleet, trouble bool) error {
	f.putConfig(1, key)
	var leavers []*runner
	for i := range rareModels {
		leavers = append(leavers, startRunner(f.store, f.log, fmt.Sprintf("i-leaver-%d", i), "llm", rareModel(i)))
	}
	startRunner(f.store, f.log, "i-stayer", "llm", "m-busy")
	if err := f.start("vm-1", "vm-2", "vm-3"); err != nil {
		return err
	}
	late := 0
	for i, leaver := range leavers {
		leader, other := f.leaderAndOther()
		for range resets {
			if trouble {
				f.log.printf("half of the connections between %s and the store are reset: %d", leader.name, leader.entrance.resetHalf())
			}
			time.Sleep(resetGap)
		}
		time.Sleep(rand.N(resetGap))
		gone := leaver.leave(lingerTime)
		f.log.printf("the store has acknowledged that %s is gone", leaver.id)
		time.Sleep(time.Until(gone.Add(drainLimit + beyondDrain)))
		before := len(leaver.arrivals())
		f.log.printf("a client sends a request for %s to %s", rareModel(i), other.name)
		f.log.printf("%s", call{method: "POST", path: "/chat/2f", model: rareModel(i), body: fmt.Sprintf(`{"n":%d}`, i), deadline: 6 * time.Second}.send(other.callers))
		for _, a := range leaver.arrivals()[before:] {
			late++
			f.log.printf("request %s has reached %s %d ms after the store acknowledged that it is gone", a.id, leaver.id, a.at.Sub(gone).Milliseconds())
		}
		time.Sleep(time.Second)
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests have reached runners later than drain_ms after their leaving", errBroken, late)
	}
	return nil
}

// leaderAndOther returns the VM that last wrote to the store under a condition, and
// another one.
func (f *fleet) leaderAndOther() (leader, other *vm) {
	name := f.store.leader()
	for _, v := range f.vms {
		if v.name == name {
			leader = v
		} else {
			other = v
		}
	}
	return leader, other
}
