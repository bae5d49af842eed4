package drplacement

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// propertySeed is fixed so that a failing run can be repeated.
const propertySeed = "20261204"

// faultStep is one step of the property test: the kind of fault, the number of
// the VM and of the runner or model concerned, and an index for the time to
// wait afterwards. Steps that do not apply to the current state do nothing.
type faultStep struct {
	Kind, VM, Thing, Wait int
}

const (
	faultWake = iota
	faultWakeAgain
	faultKill
	faultStart
	faultPause
	faultResume
	faultLoseAppends
	faultDeliverLateRecords
	faultDelayAppends
	faultLoseOrder
	faultDelayOrder
	faultWakeAll
	faultEngineRestart
	faultLogDown
	faultLogUp
	faultDecide
	faultClaim
	faultDrain
	faultLeaving
	faultKinds
)

// Guards against sequences of kills, pauses, lost answers, restarts, takeovers
// and changes of the decided number that break I1 or I2.
func TestInvariantsUnderFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": "50", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	step := rapid.Custom(func(rt *rapid.T) faultStep {
		return faultStep{
			rapid.IntRange(0, faultKinds-1).Draw(rt, "kind"), rapid.IntRange(0, 3).Draw(rt, "vm"),
			rapid.IntRange(0, 3).Draw(rt, "thing"), rapid.IntRange(0, 4).Draw(rt, "wait"),
		}
	})
	loads := 0
	rapid.Check(t, func(rt *rapid.T) {
		fencing := rapid.Bool().Draw(rt, "fencing")
		faults := rapid.SliceOfN(step, 5, 40).Draw(rt, "faults")
		c := newCluster(4, 3, fencing)
		for m := range 4 {
			c.setModel(fmt.Sprintf("m%d", m), int64(3+m), 1, 2)
		}
		c.adapters["x"] = AdapterSpec{Name: "x", Base: "m0", Bytes: gigabyte}
		var violation error
		c.run(t, func(*testing.T) {
			c.startAll()
			c.waitUntilSettled()
			for i, f := range faults {
				c.inject(f)
				if violation = c.checkInvariantsDuring(f.Wait); violation != nil {
					violation = fmt.Errorf("after step %d of %v: %w", i, faults[:i+1], violation)
					return
				}
			}
			loads += c.loadsOf("m0") + c.loadsOf("m1")
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
	if loads == 0 {
		t.Error("no model was ever loaded, so the test has checked nothing")
	}
}

// checkInvariantsDuring checks the invariants 40 times, but at most once a
// millisecond, over a time from 1 ms to 16 s that the index selects.
func (c *cluster) checkInvariantsDuring(wait int) error {
	d := []time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second, 5 * time.Second, 16 * time.Second}[wait]
	for pause := max(d/40, time.Millisecond); d > 0; d -= pause {
		time.Sleep(pause)
		if err := c.checkInvariants(); err != nil {
			return err
		}
	}
	return nil
}

// inject makes a fault happen, if the state of its VM allows that.
func (c *cluster) inject(step faultStep) {
	v := c.vms[fmt.Sprintf("vm%02d", step.VM)]
	e := c.engines[fmt.Sprintf("r%d", step.Thing%3)]
	model, adapter := fmt.Sprintf("m%d", step.Thing), ""
	if step.Thing == 0 {
		adapter = "x"
	}
	switch step.Kind {
	case faultWake, faultWakeAgain:
		if !v.stopped && !v.paused {
			go func() { _, _ = c.wake(v.member.VM, model, adapter, 20*time.Second) }()
		}
	case faultWakeAll:
		if !v.stopped && !v.paused {
			for m := range 4 {
				go func() { _, _ = c.wake(v.member.VM, fmt.Sprintf("m%d", m), "", 10*time.Second) }()
			}
		}
	case faultKill:
		v.kill()
	case faultStart:
		if v.stopped {
			v.start()
		}
	case faultPause:
		v.pause()
	case faultResume:
		v.resume()
	case faultDeliverLateRecords:
		c.deliverLateRecords()
	case faultEngineRestart:
		e.restart()
	case faultDecide:
		c.setModel(model, int64(3+step.Thing), min(1, step.Wait), step.Wait%3)
	case faultClaim:
		if !v.stopped && !v.paused {
			go v.placement.owner.claim(context.Background(), e.name, c.fullLedger.Owner(e.name).Fence, v.member)
		}
	case faultDrain:
		if !v.stopped && !v.paused {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			go func() {
				v.drain(ctx)
				cancel()
			}()
		}
	default:
		c.injectStateFault(step, e)
	}
}

// injectStateFault makes the faults happen that only change fields of the
// cluster or of an engine.
func (c *cluster) injectStateFault(step faultStep, engine *testEngine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch step.Kind {
	case faultLoseAppends:
		c.loseAnswers = step.Thing + 1
	case faultDelayAppends:
		c.delayAppends = step.Thing + 1
	case faultDelayOrder:
		engine.delayOrders = 1 + step.Wait%2
	case faultLoseOrder:
		engine.loseAnswers = 1 + step.Wait%2
		engine.dropOrders = step.Thing % 2
	case faultLogDown:
		c.logDown = true
	case faultLogUp:
		c.logDown = false
	case faultLeaving:
		engine.leaving = !engine.leaving
		engine.signalChange()
	}
}
