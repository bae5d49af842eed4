package drtokenshare

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
)

var testLimit = drconfig.Limit{Rate: 10_000, Burst: 20_000}

// inRateTarget is the largest permitted fraction of requests that are refused although
// they are within the rate.
const inRateTarget = 0.001

// logAndCheck logs the measured figures and fails the test if more was admitted than
// rate and burst allow.
func (o *outcome) logAndCheck(t *testing.T, name string, f *fleet, l load, d time.Duration) {
	t.Helper()
	percentile := func(q float64) time.Duration {
		if len(o.waits) == 0 {
			return 0
		}
		return o.waits[int(q*float64(len(o.waits)-1))]
	}
	over := excess(o.admitted, l.limit)
	var total, busiest int
	f.withLock(func() { total, busiest = f.messages, f.maxSent() })
	t.Logf("%-32s sent=%d refused=%d in-rate-refused=%d (%.3f%%) served=%.1f%% of rate (ideal %.1f%%) wait p50=%v p99=%v excess=%.0f messages/s per VM mean=%.1f max=%.1f",
		name, o.sent, o.refused, o.refusedInRate, 100*float64(o.refusedInRate)/float64(o.sent), 100*o.usedTokens/d.Seconds()/l.limit.Rate,
		100*o.centralTokens/d.Seconds()/l.limit.Rate, percentile(0.5), percentile(0.99), over,
		float64(total)/d.Seconds()/float64(len(f.vms)), float64(busiest)/d.Seconds())
	if over > 1 {
		t.Errorf("%s: admitted %.1f tokens over the rate", name, over)
	}
}

// warmUp is long enough for VMs to acquire all shares and for buckets to fill.
const warmUp = 10 * time.Second

// Guards against refusals of requests within the rate when all of them arrive
// at one VM, and against admissions over the rate.
func TestSkewedArrivals(t *testing.T) {
	const d = 12 * time.Second
	for _, c := range []struct {
		name   string
		policy Policy
		settle bool
		burst  float64
	}{
		{"lending", Lending, false, 20_000},
		{"lending, unused returned", Lending, true, 20_000},
		{"lending, burst of one second", Lending, false, 10_000},
		{"equal-shares", EqualShares, false, 20_000},
	} {
		synctest.Test(t, func(t *testing.T) {
			limit := drconfig.Limit{Rate: 10_000, Burst: c.burst}
			f := newFleet(16, c.policy, 1, map[string]drconfig.Limit{"a": limit})
			defer f.close()
			time.Sleep(warmUp)
			l := load{"a", limit, 0.95, 100, 3, c.settle}
			o := f.run(t, l, 1, d)
			o.logAndCheck(t, c.name, f, l, d)
			if c.policy == Lending && float64(o.refusedInRate) > inRateTarget*float64(o.sent) {
				t.Errorf("%s: %d of %d refused within the rate", c.name, o.refusedInRate, o.sent)
			}
		})
	}
}

// Guards against an account far over its rate that takes tokens of another account or
// gets more than its own rate. How much of its rate it gets is logged.
func TestOtherAccountOverRate(t *testing.T) {
	const d = 4 * time.Second
	for _, p := range []Policy{Lending, EqualShares} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(16, p, 1, map[string]drconfig.Limit{"a": testLimit, "b": testLimit})
			defer f.close()
			time.Sleep(warmUp)
			loadA := load{"a", testLimit, 0.95, 100, 3, false}
			loadB := load{"b", testLimit, 10, 100, -1, false}
			done := make(chan *outcome)
			go func() { done <- f.run(t, loadB, 2, d) }()
			outcomeA := f.run(t, loadA, 1, d)
			outcomeB := <-done
			outcomeA.logAndCheck(t, p.String()+" in rate", f, loadA, d)
			outcomeB.logAndCheck(t, p.String()+" ten times the rate", f, loadB, d)
			if p == Lending && float64(outcomeA.refusedInRate) > inRateTarget*float64(outcomeA.sent) {
				t.Errorf("%d of %d refused within the rate", outcomeA.refusedInRate, outcomeA.sent)
			}
		})
	}
}

// Guards against tokens that are created when a holder or the log fails, and logs how
// many refusals each failure causes.
func TestHolderFailures(t *testing.T) {
	const d = 12 * time.Second
	for _, c := range []struct {
		name string
		fail func(f *fleet, v *vm)
	}{
		{"holder killed, then gone", func(f *fleet, v *vm) {
			f.kill(v)
			time.Sleep(5 * time.Second)
			f.withLock(func() { v.gone = true })
		}},
		{"holder paused for 5 s", func(f *fleet, v *vm) {
			f.pause(v)
			time.Sleep(5 * time.Second)
			f.resume(v)
		}},
		{"holder restarted", func(f *fleet, v *vm) {
			f.kill(v)
			time.Sleep(time.Second)
			f.restart(v, Lending)
		}},
		{"holder drained", func(f *fleet, v *vm) {
			f.withLock(func() { v.draining = true })
			_ = v.holder.Drain(context.Background())
		}},
		{"log down", func(f *fleet, _ *vm) { f.withLock(func() { f.logDown = true }) }},
		{"log down, holder killed", func(f *fleet, v *vm) {
			f.withLock(func() { f.logDown = true })
			f.kill(v)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(16, Lending, 1, map[string]drconfig.Limit{"a": testLimit})
			defer f.close()
			time.Sleep(warmUp)
			var victim *vm
			for _, v := range f.vms[1:] {
				if f.vms[0].shares.heldCount("a", v.holder.self) > 0 {
					victim = v
					break
				}
			}
			f.group.Go(func() {
				time.Sleep(3 * time.Second)
				c.fail(f, victim)
			})
			l := load{"a", testLimit, 0.95, 100, 0, false}
			o := f.run(t, l, 1, d)
			o.logAndCheck(t, c.name, f, l, d)
		})
	}
}

// Guards against admissions over rate and burst under random faults: lost, late and
// repeated messages, pauses, restarts, log outages and changes of the limit.
func TestNeverOverRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.Float64Range(0, 0.3).Draw(rt, "faults")
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 4, 8).Draw(rt, "steps")
		settle := rapid.Bool().Draw(rt, "settle")
		synctest.Test(t, func(t *testing.T) {
			limit := drconfig.Limit{Rate: 2000, Burst: 3000}
			f := newFleet(4, Lending, seed, map[string]drconfig.Limit{"a": limit})
			defer f.close()
			f.withLock(func() { f.faults = faults })
			time.Sleep(3 * time.Second)
			f.group.Go(func() {
				for _, s := range steps {
					f.injectFault(s)
					time.Sleep(time.Second)
				}
			})
			l := load{"a", limit, 2, 100, -1, settle}
			o := f.run(t, l, seed, 8*time.Second)
			if e := excess(o.admitted, limit); e > 1 {
				t.Errorf("seed %d, faults %.2f, steps %v: %.1f tokens over the rate", seed, faults, steps, e)
			}
		})
	})
}

// injectFault applies the fault with number s of the property test.
func (f *fleet) injectFault(s int) {
	v := f.vms[s%len(f.vms)]
	switch s {
	case 0, 1:
		f.pause(v)
		time.Sleep(700 * time.Millisecond)
		f.resume(v)
	case 2, 3:
		f.kill(v)
		f.restart(v, Lending)
	case 4:
		f.withLock(func() { f.logDown = !f.logDown })
	case 5:
		f.withLock(func() { f.limits["a"] = drconfig.Limit{Rate: 500, Burst: 1000} })
	case 6:
		f.withLock(func() { f.limits["a"] = drconfig.Limit{Rate: 2000, Burst: 3000} })
	}
}

// Guards against a request that waits for tokens that can never become available, such
// as more than the burst, and against a Retry-After after which it is refused again.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, Lending, 1, map[string]drconfig.Limit{"a": {Rate: 100, Burst: 1000}})
		defer f.close()
		time.Sleep(30 * time.Second)
		reserve := func(tokens float64, timeout time.Duration) error {
			_, err := f.vms[0].limiter.Reserve(t.Context(), "a", tokens, time.Now().Add(timeout))
			return err
		}
		start := time.Now()
		err := reserve(1001, time.Minute)
		is.Equal(drerror.ReasonOf(err), drerror.OverRate)
		is.Equal(drerror.VerdictOf(err), drerror.NotRun)
		is.Equal(time.Since(start), time.Duration(0))

		is.NoErr(reserve(1000, time.Minute)) // the whole burst, from all holders

		start = time.Now()
		err = reserve(800, 5*time.Second)
		is.Equal(drerror.ReasonOf(err), drerror.OverRate)
		is.True(time.Since(start) <= 500*time.Millisecond) // a tenth of the time left
		e, ok := errors.AsType[*drerror.Error](err)
		is.True(ok)
		is.True(e.RetryAfter > 6*time.Second && e.RetryAfter <= 8*time.Second)
		time.Sleep(e.RetryAfter)
		is.NoErr(reserve(800, time.Minute))

		is.Equal(drerror.ReasonOf(func() error {
			_, err := f.vms[0].limiter.Reserve(t.Context(), "none", 1, time.Time{})
			return err
		}()), drerror.NotAllowed)
	})
}

// Guards against refusals of the first requests of a new account, which may arrive
// before any VM holds its shares.
func TestNewAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(16, Lending, 1, map[string]drconfig.Limit{})
		defer f.close()
		time.Sleep(30*time.Second + 10*time.Millisecond)
		f.withLock(func() { f.limits["new"] = drconfig.Limit{Rate: 1000, Burst: 4000} })
		for _, v := range f.vms {
			v.holder.AcquireNow() // as the process does after a change of the configuration
		}
		var wg sync.WaitGroup
		for _, v := range f.vms {
			wg.Go(func() {
				if _, err := v.limiter.Reserve(t.Context(), "new", 50, time.Now().Add(time.Minute)); err != nil {
					t.Errorf("%s: %v", v.member.VM, err)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against over-rate refusals of requests within the rate while no holder can be
// reached, as during a partition of a few seconds.
func TestWaitsWhileNoHolderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(16, Lending, 1, map[string]drconfig.Limit{"a": {Rate: 100, Burst: 1000}})
		defer f.close()
		time.Sleep(30 * time.Second)
		nonHolder := slices.IndexFunc(f.vms, func(v *vm) bool { return v.shares.HeldBy("a", v.member.VM) == 0 })
		is.True(nonHolder >= 0) // 16 VMs hold 8 shares
		for i, v := range f.vms {
			if i != nonHolder {
				f.pause(v)
			}
		}
		time.AfterFunc(2*maxWait, func() {
			for _, v := range f.vms {
				f.resume(v)
			}
		})
		start := time.Now()
		_, err := f.vms[nonHolder].limiter.Reserve(t.Context(), "a", 50, start.Add(30*time.Second))
		is.NoErr(err)
		is.True(time.Since(start) < maxNoReplyWait)
	})
}

// Guards against over-rate refusals of requests within the rate on a VM whose own
// share is new and still empty, while the holders with the tokens can't be reached.
func TestWaitsWhileOwnShareIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, Lending, 1, map[string]drconfig.Limit{"a": {Rate: 100, Burst: 1000}})
		defer f.close()
		time.Sleep(30 * time.Second)
		f.addVM(Lending)
		joined := f.vms[3]
		for joined.shares.HeldBy("a", joined.member.VM) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for _, v := range f.vms[:3] {
			f.pause(v)
		}
		time.AfterFunc(maxWait+time.Second, func() {
			for _, v := range f.vms[:3] {
				f.resume(v)
			}
		})
		_, err := joined.limiter.Reserve(t.Context(), "a", 100, time.Now().Add(30*time.Second))
		is.NoErr(err)
	})
}

// Guards against small requests that overtake larger ones of the same account, which
// would never get enough tokens.
func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, Lending, 1, map[string]drconfig.Limit{"a": {Rate: 100, Burst: 100}})
		defer f.close()
		time.Sleep(10 * time.Second)
		admitted := make([]time.Time, 10)
		var wg sync.WaitGroup
		for i := range admitted {
			tokens := []float64{90, 10}[i%2]
			wg.Go(func() {
				if _, err := f.vms[0].limiter.Reserve(context.Background(), "a", tokens, time.Time{}); err == nil {
					admitted[i] = time.Now()
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		n := 0
		var last time.Time
		for i, at := range admitted {
			if at.IsZero() {
				continue
			}
			if at.Before(last) {
				t.Errorf("request %d was admitted before an earlier one", i)
			}
			last = at
			n++
		}
		if n < 4 {
			t.Errorf("%d requests admitted, want at least 4", n)
		}
	})
}

// Guards against a fleet in which the VM that started first keeps all shares, and
// against a VM that goes on lending a share after it has begun to give it up.
func TestSharesAreBalanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, Lending, 1, map[string]drconfig.Limit{"a": testLimit})
		defer f.close()
		time.Sleep(5 * time.Second)
		first := f.vms[0]
		is.Equal(first.shares.heldCount("a", first.holder.self), ShareCount)
		is.Equal(first.holder.borrow("a", 0).GetShares(), uint32(ShareCount))

		f.withLock(func() { f.logDown = true })
		f.addVM(Lending)
		time.Sleep(3 * time.Second)
		is.Equal(first.shares.heldCount("a", first.holder.self), ShareCount)
		is.Equal(first.holder.borrow("a", 0).GetShares(), uint32(ShareCount-1))

		f.withLock(func() { f.logDown = false })
		f.addVM(Lending)
		f.addVM(Lending)
		time.Sleep(20 * time.Second)
		for _, v := range f.vms {
			is.Equal(v.shares.heldCount("a", v.holder.self), 2)
			is.Equal(v.holder.borrow("a", 0).GetShares(), uint32(2))
		}
	})
}
