package drquota_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drquota"
)

var limit = map[string]drquota.Limit{"a": {Rate: 1000, Burst: 2000}}

// direct connects allowances to a pool; it is unreachable while down.
type direct struct {
	pool *drquota.Pool
	vm   string
	down bool
}

func (d *direct) Reserve(_ context.Context, account string, tokens float64) (bool, time.Duration, bool) {
	if d.down {
		return false, 0, false
	}
	ok, wait := d.pool.Reserve(d.vm, account, tokens)
	return ok, wait, true
}

func (d *direct) report(a *drquota.Allowances, vms int) {
	for _, s := range a.Spendings() {
		a.Grant(s.Account, d.pool.Report(d.vm, s.Account, s.Spent, s.Granted))
	}
	a.Heard(vms)
}

// Replays an account that sends many times its rate through all VMs: over any
// span the VMs together admit no more than rate and burst.
func TestFleetKeepsRate(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drquota.NewPool(clock)
	pool.SetLimits(limit)
	var vms []*direct
	var allowances []*drquota.Allowances
	for range 10 {
		a := drquota.NewAllowances(clock)
		a.SetLimits(limit)
		a.Heard(10)
		allowances = append(allowances, a)
		vms = append(vms, &direct{pool: pool, vm: string(rune('a' + len(vms)))})
	}
	admitted := 0.0
	for step := range 100 { // 10 s
		for i, a := range allowances {
			for range 3 {
				if a.Admit(ctx, vms[i], "a", 100).Admitted {
					admitted += 100
				}
			}
			if step%3 == 0 {
				vms[i].report(a, 10)
			}
		}
		clock.Advance(100 * time.Millisecond)
	}
	is.True(admitted <= 10*1000+2000)
	is.True(admitted >= 9*1000) // and what it may send is served
}

// Guards against refusals inside the rate when all requests arrive at one VM.
func TestSkewedArrivalsAreServed(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drquota.NewPool(clock)
	pool.SetLimits(limit)
	a := drquota.NewAllowances(clock)
	a.SetLimits(limit)
	vm := &direct{pool: pool, vm: "a"}
	vm.report(a, 20)
	for step := range 100 {
		is.True(a.Admit(ctx, vm, "a", 90).Admitted)
		clock.Advance(100 * time.Millisecond)
		if step%3 == 0 {
			vm.report(a, 20)
		}
	}
}

// Guards against VMs that exceed the rate together, or serve nothing, while
// the controller cannot be reached.
func TestShareWithoutController(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	a := drquota.NewAllowances(clock)
	a.SetLimits(limit)
	a.Heard(10)
	clock.Advance(5 * time.Second)
	down := &direct{down: true}
	admitted := 0.0
	for range 100 {
		if a.Admit(ctx, down, "a", 10).Admitted {
			admitted += 10
		}
		clock.Advance(100 * time.Millisecond)
	}
	is.True(admitted <= 10*100+2*100+200)
	is.True(admitted >= 900)
}

// Guards against a request above the burst that could never be admitted.
func TestLargeRequestIsAdmittedFromFullBucket(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drquota.NewPool(clock)
	pool.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _ := pool.Reserve("a", "a", 5000)
	is.True(ok)
	ok, wait := pool.Reserve("a", "a", 10)
	is.True(!ok)
	is.True(wait > 3*time.Second)
}

// Replays a surge of one account to several times its rate: refused clients are
// told to come back when the surge may be over, not to join it again. A single
// refusal gives the time at which the tokens are there.
func TestRetryAfterGrowsWithSurge(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drquota.NewPool(clock)
	pool.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _ := pool.Reserve("a", "a", 2000)
	is.True(ok)
	_, single := pool.Reserve("a", "a", 100)
	is.True(single >= 100*time.Millisecond)
	is.True(single < time.Second)
	var surge time.Duration
	for range 300 {
		_, surge = pool.Reserve("a", "a", 100)
		clock.Advance(10 * time.Millisecond)
	}
	is.True(surge > 3*time.Second)
}

// Replays a change of the controller while an account surges: the next one goes
// on with what was left, which may be a debt.
func TestInheritedLevel(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	former := drquota.NewPool(clock)
	former.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _ := former.Reserve("a", "a", 3500)
	is.True(ok)
	next := drquota.NewPool(clock)
	next.Inherit(former.Levels(), time.Second)
	next.SetLimits(limit)
	is.Equal(next.Levels()["a"], -500.0) // 2000 - 3500 + 1 s
}
