package drplacement

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// wake calls Waker.Wake on a VM with a deadline after the given time.
func (c *cluster) wake(vm, model, adapter string, within time.Duration) (Location, error) {
	return c.vms[vm].placement.Waker().Wake(context.Background(), model, adapter, time.Now().Add(within))
}

// owner returns the VM that owns a runner, or nil if there is none in the
// cluster.
func (c *cluster) owner(runner string) *testVM {
	own := c.fullLedger.Owner(runner)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[own.VM]
}

// wakeRequestFor returns a Wake call for a model on a runner with a hold time
// of 10 s.
func wakeRequestFor(runner, model string) *drpb.PlacementWake {
	return &drpb.PlacementWake{Runner: runner, Model: model, HoldMs: 10_000}
}

// otherVM returns the name of a running VM that is not vm.
func (c *cluster) otherVM(vm *testVM) string {
	for name, o := range c.vms {
		if o != vm && !o.stopped && !o.paused {
			return name
		}
	}
	return ""
}

// Guards against a burst of wake-ups at many VMs that loads more or fewer
// replicas than decided, and against wake-ups that append to the log although
// the engines check fencing tokens.
func TestBurstLoadsDecidedNumber(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for decided := 1; decided <= 3; decided++ {
			c := newCluster(16, 9, fencing)
			c.setModel("m", 4, decided, decided)
			c.run(t, func(t *testing.T) {
				is := is.New(t)
				c.startAll()
				c.waitUntilSettled()
				before := c.recordCount()
				var g sync.WaitGroup
				for name := range c.vms {
					for range 5 {
						g.Go(func() {
							_, err := c.wake(name, "m", "", 20*time.Second)
							is.NoErr(err)
						})
					}
				}
				g.Wait()
				time.Sleep(10 * time.Second)
				is.Equal(c.loadsOf("m"), decided)
				is.NoErr(c.checkInvariants())
				if fencing {
					is.Equal(c.recordCount(), before)
				}
				t.Logf("fencing=%v decided=%d appends for the burst=%d", fencing, decided, c.recordCount()-before)
			})
		}
	}
}

// Guards against memory that is used twice by an old owner and a new one. The
// old owner is paused before its order reaches the engine, another VM takes
// over and loads a second model, and then the old owner resumes.
func TestLateOrderAfterTakeover(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(3, 1, fencing)
		c.setModel("a", 6, 1, 1)
		c.setModel("b", 6, 1, 1)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.startAll()
			c.waitUntilSettled()
			old := c.owner("r0")
			before := c.ownRecords()
			old.pause()
			go func() { _, _ = old.placement.owner.wake(context.Background(), wakeRequestFor("r0", "a")) }()
			time.Sleep(20 * time.Second)
			is.True(c.owner("r0") != old)
			t.Logf("fencing=%v own records for one takeover: %d", fencing, c.ownRecords()-before)
			if !fencing {
				is.Equal(len(c.fullLedger.Intents("r0")), 0) // the owner was paused before it appended the intent
			}
			_, err := c.wake(c.otherVM(old), "b", "", 30*time.Second)
			is.NoErr(err)
			old.resume()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				is.NoErr(c.checkInvariants())
			}
			is.Equal(c.loadsOf("b"), 1)
		})
	}
}

// Guards against memory that is given away while an order may still arrive. The
// sender is paused with an order on its way, so the new owner must count the
// memory of that order until the sender confirms that it has no further effect.
func TestOrderInFlightStaysReserved(t *testing.T) {
	c := newCluster(3, 1, false)
	c.setModel("a", 6, 1, 1)
	c.setModel("b", 6, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		old := c.owner("r0")
		c.mu.Lock()
		for _, v := range c.vms {
			if v != old {
				v.stateLag = 500 * time.Millisecond // the log is faster than the engine state
			}
		}
		c.mu.Unlock()
		old.setPausePoint("order")
		go func() { _, _ = old.placement.owner.wake(context.Background(), wakeRequestFor("r0", "a")) }()
		time.Sleep(20 * time.Second)
		is.True(c.owner("r0") != old)
		is.Equal(len(c.fullLedger.Intents("r0")), 1)
		_, err := c.wake(c.otherVM(old), "b", "", 10*time.Second)
		is.Equal(drerror.ReasonOf(err), drerror.NoCapacity) // the load of a may still arrive
		is.Equal(drerror.VerdictOf(err), drerror.NotRun)
		now := c.owner("r0")
		old.resume()
		for range 1000 {
			go func() { _, _ = now.placement.owner.wake(context.Background(), wakeRequestFor("r0", "b")) }()
			time.Sleep(5 * time.Millisecond)
			is.NoErr(c.checkInvariants())
		}
		is.Equal(c.loadsOf("a"), 1) // the late order arrived
		is.Equal(len(c.fullLedger.Intents("r0")), 0)
		_, err = c.wake(c.otherVM(old), "b", "", 20*time.Second)
		is.NoErr(err)
		is.NoErr(c.checkInvariants())
	})
}

// Guards against a new owner that sends orders to an engine without fencing
// while the lease of the earlier owner may still run.
func TestTakeoverWaitsOutLease(t *testing.T) {
	c := newCluster(2, 1, false)
	c.setModel("a", 6, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		old := c.owner("r0")
		old.kill()
		go func() { _, _ = c.wake(c.otherVM(old), "a", "", time.Minute) }()
		for c.owner("r0") == old {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(takeoverWait - 50*time.Millisecond)
		is.Equal(c.loadsOf("a"), 0)
		time.Sleep(2 * time.Second)
		is.Equal(c.loadsOf("a"), 1)
	})
}

// Guards against an order that is sent after the lease has expired, although
// its intent was accepted before.
func TestNoOrderAfterLease(t *testing.T) {
	c := newCluster(2, 1, false)
	c.setModel("a", 6, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		old := c.owner("r0")
		old.setPausePoint("folded")
		go func() { _, _ = old.placement.owner.wake(context.Background(), wakeRequestFor("r0", "a")) }()
		time.Sleep(time.Second)
		is.Equal(len(c.fullLedger.Intents("r0")), 1)
		c.mu.Lock()
		c.logDown = true // a takeover could not be read
		c.mu.Unlock()
		time.Sleep(lease)
		old.resume()
		time.Sleep(5 * time.Second)
		is.Equal(c.loadsOf("a"), 0)
	})
}

// Guards against duplicate rights, owners or loads when answers of the log or
// of engines are lost or records arrive late.
func TestLostAnswers(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(4, 3, fencing)
		c.setModel("m", 4, 2, 2)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.loseAnswers = 10
			c.startAll()
			c.waitUntilSettled()
			c.deliverLateRecords()
			c.waitUntilSettled()
			is.Equal(len(c.fullLedger.Rights("m")), 2)
			c.mu.Lock()
			c.loseAnswers = 2
			for _, e := range c.engines {
				e.loseAnswers = 1
			}
			c.mu.Unlock()
			_, err := c.wake("vm00", "m", "", 30*time.Second)
			is.NoErr(err)
			c.deliverLateRecords()
			c.waitUntilSettled()
			is.NoErr(c.checkInvariants())
			is.Equal(c.loadsOf("m"), 2)
		})
	}
}

// Guards against a cold start that waits until the load counts as failed,
// because its order was lost on the way to the engine and not repeated.
func TestLostOrderIsRepeated(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(4, 1, fencing)
		c.setModel("m", 4, 0, 1)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.startAll()
			c.waitUntilSettled()
			c.mu.Lock()
			c.engines["r0"].dropOrders = 1
			took := c.engines["r0"].loadTime
			c.mu.Unlock()
			begin := time.Now()
			_, err := c.wake("vm00", "m", "", 30*time.Second)
			is.NoErr(err)
			is.True(time.Since(begin) < took+orderTimeout+tick)
			c.waitUntilSettled()
			is.NoErr(c.checkInvariants())
			is.Equal(c.loadsOf("m"), 1)
		})
	}
}

// Guards against two accepted owners when several VMs claim a runner at once,
// and against a wake-up that is lost when the owner that serves it dies.
func TestOwnerDiesMidLoad(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(4, 1, fencing)
		c.setModel("m", 4, 1, 1)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.engines["r0"].loadTime = 30 * time.Second
			c.startAll()
			c.waitUntilSettled()
			old := c.owner("r0")
			before := c.recordCount()
			waker := c.otherVM(old)
			done := make(chan error)
			go func() {
				_, err := c.wake(waker, "m", "", 2*time.Minute)
				done <- err
			}()
			time.Sleep(5 * time.Second)
			old.kill()
			// All remaining VMs claim the runner at once, whatever their rank.
			self := c.vms[waker].member
			fence := c.fullLedger.Owner("r0").Fence
			for name, v := range c.vms {
				if !v.stopped {
					m := v.member
					m.VM = name
					go v.placement.owner.claim(context.Background(), "r0", fence, m)
				}
			}
			is.NoErr(<-done)
			is.True(self.VM != "")
			is.Equal(c.loadsOf("m"), 1) // the new owner adopts the load and does not start another
			is.NoErr(c.checkInvariants())
			t.Logf("fencing=%v records in the log from before the load to after the takeover: %d", fencing, c.recordCount()-before)
		})
	}
}

// Guards against a load that is forgotten when the engine restarts, and against
// a Residency that still reports replicas of the earlier engine process.
func TestEngineRestartsMidLoad(t *testing.T) {
	c := newCluster(2, 1, true)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		time.AfterFunc(time.Second, c.engines["r0"].restart)
		_, err := c.wake("vm00", "m", "", 20*time.Second)
		is.NoErr(err)
		is.Equal(c.loadsOf("m"), 2)
		c.engines["r0"].restart()
		time.Sleep(3 * time.Second)
		is.Equal(len(c.vms["vm00"].placement.Residency().Loaded("m", "")), 0)
	})
}

// Guards against wake-ups that fail while the log is down although the engines
// check fencing tokens, and against loads while the log is down on engines that
// do not.
func TestWakeWhileLogIsDown(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(3, 2, fencing)
		c.setModel("m", 4, 1, 1)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.startAll()
			c.waitUntilSettled()
			c.mu.Lock()
			c.logDown = true
			c.mu.Unlock()
			time.Sleep(10 * time.Second)
			_, err := c.wake("vm01", "m", "", 20*time.Second)
			if fencing {
				is.NoErr(err)
				return
			}
			is.Equal(drerror.VerdictOf(err), drerror.NotRun)
			is.Equal(drerror.ReasonOf(err), drerror.LogUnavailable)
			is.Equal(c.loadsOf("m"), 0)
		})
	}
}

// Guards against replicas that stay loaded after the decided number was
// lowered, and against new grants while they are still loaded.
func TestDecidedMaximumLowered(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(3, 4, fencing)
		c.setModel("m", 4, 3, 3)
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.startAll()
			c.waitUntilSettled()
			_, err := c.wake("vm00", "m", "", 20*time.Second)
			is.NoErr(err)
			c.waitUntilSettled()
			is.Equal(c.loadsOf("m"), 3)
			c.setModel("m", 4, 1, 1)
			for range 400 {
				time.Sleep(100 * time.Millisecond)
				is.NoErr(c.checkInvariants())
			}
			is.Equal(len(c.fullLedger.Rights("m")), 1)
			c.setModel("m", 4, 0, 0)
			time.Sleep(time.Minute)
			is.Equal(len(c.fullLedger.Rights("m")), 0)
			for name := range c.engines {
				is.Equal(c.replicasOn(name), 0)
			}
		})
	}
}

// Guards against evictions of a model in use, against evictions in the wrong
// order, and against a wake-up that evicts nothing although an unused model is
// loaded.
func TestMemoryPressure(t *testing.T) {
	c := newCluster(2, 1, true)
	for _, m := range []string{"a", "b", "c"} {
		c.setModel(m, 4, 1, 1)
	}
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		for _, m := range []string{"a", "b"} {
			_, err := c.wake("vm00", m, "", 20*time.Second)
			is.NoErr(err)
		}
		res := c.vms["vm00"].placement.Residency()
		doneA, doneB := res.Use("r0", "a", ""), res.Use("r0", "b", "")
		time.Sleep(5 * time.Second)
		_, err := c.wake("vm00", "c", "", time.Second) // a and b are both in use
		is.Equal(drerror.ReasonOf(err), drerror.NoCapacity)
		is.Equal(drerror.VerdictOf(err), drerror.NotRun)
		doneB()
		_, err = c.wake("vm00", "c", "", 20*time.Second)
		is.NoErr(err)
		is.Equal(len(res.Loaded("a", "")), 1)
		is.Equal(c.loadsOf("c"), 1)
		is.NoErr(c.checkInvariants())
		doneA()
	})
}

// Guards against a load under a right whose release record may still arrive,
// after its append seemed to fail.
func TestLateRelease(t *testing.T) {
	c := newCluster(2, 1, true)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		leaving := func(value bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.engines["r0"].leaving = value
			c.engines["r0"].signalChange()
		}
		c.mu.Lock()
		c.delayAppends = 1
		c.mu.Unlock()
		leaving(true)
		time.Sleep(300 * time.Millisecond)
		leaving(false)
		c.mu.Lock()
		is.Equal(len(c.lateRecords), 1)
		c.mu.Unlock()
		_, err := c.wake("vm00", "m", "", 20*time.Second)
		is.NoErr(err)
		c.deliverLateRecords()
		is.NoErr(c.checkInvariants())
		is.Equal(len(c.fullLedger.Rights("m")), 1)
	})
}

// Guards against a handover of a runner while an order without an answer may
// still arrive, which the next owner does not know of.
func TestDrainWaitsForOrderInDoubt(t *testing.T) {
	c := newCluster(2, 1, false)
	c.setModel("a", 6, 1, 1)
	c.setModel("b", 6, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		c.mu.Lock()
		c.engines["r0"].delayOrders = 1
		c.mu.Unlock()
		old := c.owner("r0")
		_, _ = old.placement.owner.wake(context.Background(), &drpb.PlacementWake{Runner: "r0", Model: "a"})
		time.Sleep(100 * time.Millisecond)
		go old.drain(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := c.wake(c.otherVM(old), "b", "", time.Minute)
			done <- err
		}()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.NoErr(c.checkInvariants())
		}
		is.NoErr(<-done)
	})
}

// Guards against a model that cannot be loaded because its only right is on a
// runner without free memory, while another runner has enough.
func TestContendedRightMoves(t *testing.T) {
	c := newCluster(3, 2, true)
	c.setModel("a", 6, 1, 1)
	c.setModel("b", 6, 1, 1)
	both := c.backends
	c.backends = both[:1]
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		_, err := c.wake("vm00", "a", "", 20*time.Second)
		is.NoErr(err)
		defer c.vms["vm00"].placement.Residency().Use("r0", "a", "")()
		c.mu.Lock()
		c.backends = both
		c.mu.Unlock()
		c.waitUntilSettled()
		l, err := c.wake("vm01", "b", "", 20*time.Second)
		is.NoErr(err)
		is.Equal(l.Runner, "r1")
		is.Equal(c.loadsOf("a"), 1)
		is.NoErr(c.checkInvariants())
	})
}

// Guards against demand that adds no replica or more than decided, and against
// rights granted on demand that are kept when they are idle.
func TestDemand(t *testing.T) {
	c := newCluster(3, 4, true)
	c.setModel("m", 4, 1, 3)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		_, err := c.wake("vm00", "m", "", 20*time.Second)
		is.NoErr(err)
		is.Equal(len(c.fullLedger.Rights("m")), 1)
		for range 6 {
			for _, v := range c.vms {
				_ = v.placement.Waker().Demand(context.Background(), "m")
			}
			c.waitUntilSettled()
		}
		is.Equal(c.loadsOf("m"), 3)
		time.Sleep(2*defaultIdleTimeout + time.Minute)
		is.Equal(len(c.fullLedger.Rights("m")), 1)
	})
}

// Guards against a model without rights whose wake-ups wait for a home VM that
// is paused.
func TestHomeUnreachable(t *testing.T) {
	c := newCluster(4, 2, true)
	c.setModel("m", 4, 0, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		home := c.vms[c.vms["vm00"].placement.planner.homeVM("m")]
		is.True(c.fullLedger.Owner("r0").VM != "")
		home.pause()
		var g sync.WaitGroup
		for name, v := range c.vms {
			if v != home {
				g.Go(func() {
					_, err := c.wake(name, "m", "", 30*time.Second)
					is.NoErr(err)
				})
			}
		}
		g.Wait()
		is.Equal(c.loadsOf("m"), 1)
		is.Equal(len(c.fullLedger.Rights("m")), 1)
	})
}

// Guards against models that stay loaded after their idle timeout, and against
// an unload that also releases the minimum of rights.
func TestIdleTimeout(t *testing.T) {
	c := newCluster(2, 1, true)
	c.setModel("a", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		_, err := c.wake("vm00", "a", "", 20*time.Second)
		is.NoErr(err)
		time.Sleep(defaultIdleTimeout - 10*time.Second)
		is.Equal(c.replicasOn("r0"), 1)
		time.Sleep(20 * time.Second)
		is.Equal(c.replicasOn("r0"), 0)
		is.Equal(len(c.fullLedger.Rights("a")), 1) // the right within the minimum is kept
		_, err = c.wake("vm00", "a", "", 20*time.Second)
		is.NoErr(err)
	})
}

// Guards against a caller that waits for a load that cannot end before its
// deadline.
func TestDeadlineRefusal(t *testing.T) {
	c := newCluster(2, 1, true)
	c.setModel("a", 4, 1, 1)
	c.setModel("b", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		_, err := c.wake("vm00", "a", "", 20*time.Second) // makes the load time known
		is.NoErr(err)
		began := time.Now()
		_, err = c.wake("vm00", "b", "", time.Second)
		is.Equal(drerror.ReasonOf(err), drerror.Deadline)
		is.Equal(drerror.VerdictOf(err), drerror.NotRun)
		is.True(time.Since(began) < 500*time.Millisecond)
		var e *drerror.Error
		is.True(asError(err, &e))
		is.True(e.RetryAfter > time.Second && e.RetryAfter <= 2500*time.Millisecond)
		time.Sleep(e.RetryAfter + 100*time.Millisecond)
		_, err = c.wake("vm00", "b", "", time.Second)
		is.NoErr(err)
	})
}

// Guards against new loads on a runner that is leaving its fleet (I11).
func TestLeavingRunner(t *testing.T) {
	c := newCluster(3, 2, true)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		held := c.fullLedger.Rights("m")[0].Runner
		c.mu.Lock()
		c.engines[held].leaving = true
		c.engines[held].signalChange()
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		l, err := c.wake("vm00", "m", "", 20*time.Second)
		is.NoErr(err)
		is.True(l.Runner != held)
		c.mu.Lock()
		defer c.mu.Unlock()
		is.Equal(len(c.engines[held].loads), 0)
	})
}

// Guards against adapters that are loaded without their base model.
func TestAdapterLoadsItsBase(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCluster(2, 1, fencing)
		c.setModel("m", 4, 1, 1)
		c.adapters["x"] = AdapterSpec{Name: "x", Base: "m", Bytes: gigabyte / 8}
		c.run(t, func(t *testing.T) {
			is := is.New(t)
			c.startAll()
			c.waitUntilSettled()
			_, err := c.wake("vm01", "m", "x", 20*time.Second)
			is.NoErr(err)
			is.Equal(c.loadsOf("m"), 1)
			is.Equal(c.loadsOf("x"), 1)
			time.Sleep(2 * time.Second)
			is.Equal(len(c.vms["vm01"].placement.Residency().Loaded("m", "x")), 1)
		})
	}
}

// Guards against a drain that leaves runners without an owner, or after which
// the next owner of an engine without fencing waits for a lease.
func TestDrainHandsRunnersOver(t *testing.T) {
	c := newCluster(3, 3, false)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		old := c.owner("r0")
		before := c.ownRecords()
		old.drain(context.Background())
		old.kill()
		time.Sleep(5 * time.Second)
		is.True(c.owner("r0") != nil && c.owner("r0") != old)
		is.True(c.fullLedger.Owner("r0").Clean)
		t.Logf("own records after the drain: %d", c.ownRecords()-before)
	})
}

// Guards against more concurrent loads from the weight store than it has slots,
// and against slots that are no longer lent while the log is down.
func TestWeightStoreSlots(t *testing.T) {
	c := newCluster(4, 9, true)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	for _, m := range names {
		c.setModel(m, 9, 1, 1)
	}
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		c.mu.Lock()
		c.logDown = true
		c.mu.Unlock()
		time.Sleep(10 * time.Second) // until all VMs have noticed that the log is down
		var g sync.WaitGroup
		for _, m := range names {
			g.Go(func() {
				_, err := c.wake("vm00", m, "", time.Minute)
				is.NoErr(err)
			})
		}
		most := 0
		for range 150 {
			time.Sleep(50 * time.Millisecond)
			c.mu.Lock()
			n := 0
			for _, e := range c.engines {
				for _, r := range e.replicas {
					if r.State == "loading" {
						n++
					}
				}
			}
			c.mu.Unlock()
			most = max(most, n)
		}
		g.Wait()
		is.Equal(most, loadSlots)
	})
}

// Guards against a baseline policy that loads nothing or appends to the log.
func TestLoadOnMiss(t *testing.T) {
	c := newCluster(2, 2, true)
	c.policy = LoadOnMiss
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		_, err := c.wake("vm00", "m", "", 20*time.Second)
		is.NoErr(err)
		is.Equal(c.recordCount(), 0)
	})
}
