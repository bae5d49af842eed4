package drtokenpool_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// Guards against a new controller that forgets an overdrawn account, or that deducts
// spending twice. It continues with the inherited level, which may be negative.
// Spending that VMs report for the time without a controller is deducted first from
// the rate of that time, which was not refilled.
func TestInheritedLevel(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	former := drtokenpool.NewPool(clock)
	former.SetLimits(limit)
	clock.Advance(10 * time.Second)
	r, err := former.Reserve("a", "a", 3500)
	is.NoErr(err)
	is.True(r.Granted)
	next := drtokenpool.NewPool(clock)
	next.Inherit(drtokenpool.Inheritance{Levels: former.Levels(), Age: time.Second})
	next.SetLimits(limit)
	is.Equal(next.Levels()["a"], -1500.0) // 2000 - 3500
	next.Report("a", drtokenpool.Spending{Account: "a", Spent: 700})
	is.Equal(next.Levels()["a"], -1500.0) // covered by the 1000 that were not refilled
	next.Report("b", drtokenpool.Spending{Account: "a", Spent: 700})
	is.Equal(next.Levels()["a"], -1900.0)
}

// Guards against spending the whole rate twice while some VMs are cut off from a new
// controller, which has never heard of them: they go on spending their part. Hunted day
// scale-2, seed 95265446073 of snorrute, exceeded a limit for this reason.
func TestVMsUnknownToNewControllerKeepTheirPart(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	const vms, cut, tokens = 20, 7, 10
	former := drtokenpool.NewPool(clock)
	former.SetLimits(limit)
	allowances, clients := newFleet(clock, former, limit, vms)
	admitted, random := 0.0, rand.New(rand.NewPCG(1, 1))
	play := func(length time.Duration) {
		for range length / (50 * time.Millisecond) {
			clock.Advance(50 * time.Millisecond)
			for i, a := range allowances {
				if !clients[i].down {
					clients[i].report(a, vms)
				}
			}
			for range 20 * vms {
				if i := random.IntN(vms); allowances[i].Admit(ctx, clients[i], "a", tokens).Admitted {
					admitted += tokens
				}
			}
		}
	}
	play(2 * time.Second)
	next := drtokenpool.NewPool(clock)
	next.Inherit(drtokenpool.Inheritance{Levels: former.Levels(), VMs: vms})
	next.SetLimits(limit)
	for i, c := range clients {
		c.pool, c.down = next, i < cut
	}
	play(6 * time.Second)
	allowed := 8*limit["a"].Rate + limit["a"].Burst
	is.True(admitted <= 1.1*allowed)
	is.True(admitted >= 0.9*allowed)
}

// Guards against tokens that are spent again after restarts: all processes are
// killed repeatedly while an account sends twice its rate, and the tokens that the
// killed processes spent must stay spent. Seed 2003 of the soak test exceeded its
// limit for this reason.
func TestRepeatedHerdKillsKeepRate(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	const vms = 5
	step := 50 * time.Millisecond
	admitted := 0.0
	var pool *drtokenpool.Pool
	levels := map[string]float64{"a": 0}
	countedAt := clock.Now()
	for kill := range 6 {
		allowances, clients := newFleet(clock, nil, limit, vms)
		for _, c := range clients {
			c.down = true
		}
		for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += step {
			if kill%2 == 1 && elapsed == time.Second { // a new controller starts
				pool = drtokenpool.NewPool(clock)
				pool.Inherit(drtokenpool.Inheritance{Levels: levels, Age: clock.Since(countedAt), VMs: vms})
				pool.SetLimits(limit)
				for _, c := range clients {
					c.pool, c.down = pool, false
				}
			}
			for i, a := range allowances {
				if a.Admit(ctx, clients[i], "a", 20).Admitted {
					admitted += 20
				}
				if elapsed%(250*time.Millisecond) == 0 && !clients[i].down {
					clients[i].report(a, vms)
				}
			}
			clock.Advance(step)
		}
		if kill%2 == 1 {
			levels, countedAt = pool.Levels(), clock.Now()
		}
	}
	// Each start may spend half a second of the rate in advance.
	is.True(admitted <= 12*1000+6*500)
}
