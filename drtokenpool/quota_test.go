package drtokenpool_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

var limit = map[string]drtokenpool.Limit{"a": {Rate: 1000, Burst: 2000}}

// poolClient connects allowances to a pool; it is unreachable while down.
type poolClient struct {
	pool *drtokenpool.Pool
	vm   string
	down bool
}

func (c *poolClient) Reserve(_ context.Context, account string, tokens float64) (bool, time.Duration, bool) {
	if c.down {
		return false, 0, false
	}
	ok, wait, err := c.pool.Reserve(c.vm, account, tokens)
	return ok, wait, err == nil
}

func (c *poolClient) report(a *drtokenpool.Allowances, vms int) {
	for _, s := range a.Spendings() {
		a.SetGrant(s.Account, c.pool.Report(c.vm, s.Account, s.Spent, s.Granted))
	}
	a.RecordControllerReply(vms)
}

// newFleet returns the allowances of a number of VMs that know their number, and
// what connects each to the pool.
func newFleet(clock drclock.Clock, pool *drtokenpool.Pool, limit map[string]drtokenpool.Limit, vms int) ([]*drtokenpool.Allowances, []*poolClient) {
	var allowances []*drtokenpool.Allowances
	var clients []*poolClient
	for i := range vms {
		a := drtokenpool.NewAllowances(clock)
		a.SetLimits(limit)
		a.AssumeVMs(vms)
		allowances = append(allowances, a)
		clients = append(clients, &poolClient{pool: pool, vm: strconv.Itoa(i)})
	}
	return allowances, clients
}

// Replays an account that sends many times its rate through all VMs: over any
// span the VMs together admit no more than rate and burst.
func TestFleetKeepsRate(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	var clients []*poolClient
	var allowances []*drtokenpool.Allowances
	for range 10 {
		a := drtokenpool.NewAllowances(clock)
		a.SetLimits(limit)
		a.RecordControllerReply(10)
		allowances = append(allowances, a)
		clients = append(clients, &poolClient{pool: pool, vm: string(rune('a' + len(clients)))})
	}
	admitted := 0.0
	for step := range 100 { // 10 s
		for i, a := range allowances {
			for range 3 {
				if a.Admit(ctx, clients[i], "a", 100).Admitted {
					admitted += 100
				}
			}
			if step%3 == 0 {
				clients[i].report(a, 10)
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
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	a := drtokenpool.NewAllowances(clock)
	a.SetLimits(limit)
	client := &poolClient{pool: pool, vm: "a"}
	client.report(a, 20)
	for step := range 100 {
		is.True(a.Admit(ctx, client, "a", 90).Admitted)
		clock.Advance(100 * time.Millisecond)
		if step%3 == 0 {
			client.report(a, 20)
		}
	}
}

// Guards against VMs that exceed the rate together, or serve nothing, while
// the controller cannot be reached.
func TestShareWithoutController(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	a := drtokenpool.NewAllowances(clock)
	a.SetLimits(limit)
	a.RecordControllerReply(10)
	clock.Advance(5 * time.Second)
	down := &poolClient{down: true}
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

// Replays a partition in which a third of the VMs reach runners and clients but
// not the controller, while the account asks for many times its rate: what they
// spend on their own is not handed out to the others as well.
func TestSilentVMsKeepTheirPart(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	const vms, isolated = 9, 3
	allowances, clients := newFleet(clock, pool, limit, vms)
	admitted := 0.0
	run := func(span time.Duration) float64 {
		admitted = 0
		for step := range int(span / (50 * time.Millisecond)) {
			for i, a := range allowances {
				if a.Admit(ctx, clients[i], "a", 20).Admitted {
					admitted += 20
				}
				if step%5 == 0 && !clients[i].down {
					clients[i].report(a, vms)
				}
			}
			clock.Advance(50 * time.Millisecond)
		}
		return admitted
	}
	run(10 * time.Second)
	for _, c := range clients[:isolated] {
		c.down = true
	}
	// Beyond the rate, the cut VMs have what they were granted, and their part
	// of what was left.
	is.True(run(5*time.Second) <= 1000*5+1000)
	for _, c := range clients[:isolated] {
		c.down = false
	}
	rest := run(8 * time.Second)
	is.True(rest <= 1000*8+500)
	is.True(rest >= 1000*8*0.85) // what was set aside and not spent is given back
}

// Guards against a request above the burst that could never be admitted.
func TestLargeRequestIsAdmittedFromFullBucket(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _, err := pool.Reserve("a", "a", 5000)
	is.NoErr(err)
	is.True(ok)
	ok, wait, err := pool.Reserve("a", "a", 10)
	is.NoErr(err)
	is.True(!ok)
	is.True(wait > 3*time.Second)
}

// Replays a surge of one account to several times its rate: refused clients are
// told to come back when the surge may be over, not to join it again. A single
// refusal gives the time at which the tokens are there.
func TestRetryAfterGrowsWithSurge(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _, err := pool.Reserve("a", "a", 2000)
	is.NoErr(err)
	is.True(ok)
	_, singleWait, err := pool.Reserve("a", "a", 100)
	is.NoErr(err)
	is.True(singleWait >= 100*time.Millisecond)
	is.True(singleWait < time.Second)
	var surge time.Duration
	for range 300 {
		_, surge, err = pool.Reserve("a", "a", 100)
		is.NoErr(err)
		clock.Advance(10 * time.Millisecond)
	}
	is.True(surge > 3*time.Second)
}

// Replays a change of the controller while an account surges: the next one goes
// on with what was left, which may be a debt. What VMs report that they spent
// meanwhile is taken from the rate of that time, not from what was left.
func TestInheritedLevel(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	former := drtokenpool.NewPool(clock)
	former.SetLimits(limit)
	clock.Advance(10 * time.Second)
	ok, _, err := former.Reserve("a", "a", 3500)
	is.NoErr(err)
	is.True(ok)
	next := drtokenpool.NewPool(clock)
	next.Inherit(former.Levels(), time.Second)
	next.SetLimits(limit)
	is.Equal(next.Levels()["a"], -1500.0) // 2000 - 3500
	next.Report("a", "a", 700, 0)
	is.Equal(next.Levels()["a"], -1500.0) // of the 1000 that came in meanwhile
	next.Report("b", "a", 700, 0)
	is.Equal(next.Levels()["a"], -1900.0)
}

// Replays processes that are all killed again and again while an account asks
// for many times its rate: what the ended ones spent is not spent once more.
// Seed 2003 of the soak was over its limit for this cause.
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
			if kill%2 == 1 && elapsed == time.Second { // a controller is back
				pool = drtokenpool.NewPool(clock)
				pool.Inherit(levels, clock.Since(countedAt))
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
	// Each start may spend half a second of the rate ahead.
	is.True(admitted <= 12*1000+6*500)
}

// Guards against a controller that does not know an account yet, right after
// its start or while its configuration is older than a VM's: it must not hand
// out tokens without a limit. Seed 1009 of the soak was over its limit for this
// cause.
func TestUnknownAccountGetsNothing(t *testing.T) {
	is := is.New(t)
	pool := drtokenpool.NewPool(drclock.NewFake(time.Unix(0, 0)))
	is.Equal(pool.Report("vm", "a", 50, 80), drtokenpool.Grant{Granted: 80})
	ok, _, err := pool.Reserve("vm", "a", 10)
	is.True(errors.Is(err, drtokenpool.ErrUnknownAccount))
	is.True(!ok)
}

// Replays the loss of the controller in a fleet of many small VMs, where each
// VM's part of the rate is less than one request at a time: an account that
// asks for little over half of its rate has four of five requests served from what
// was left, one that
// asks for six times its rate gets no more than that, the rate and the slack.
func TestLostControllerWithManyVMs(t *testing.T) {
	const (
		vms, cost   = 134, 700.0
		rate, burst = 100_000.0, 150_000.0
		slack       = 110_000.0
		outage      = 3 * time.Second
	)
	run := func(load float64) (requested, admitted float64) {
		r := rand.New(rand.NewPCG(1, 1))
		clock := drclock.NewFake(time.Unix(0, 0))
		pool := drtokenpool.NewPool(clock)
		limit := map[string]drtokenpool.Limit{"a": {Rate: rate, Burst: burst}}
		pool.SetLimits(limit)
		allowances, clients := newFleet(clock, pool, limit, vms)
		for i, a := range allowances {
			a.SetSlack(slack)
			clients[i].report(a, vms)
		}
		step := 50 * time.Millisecond
		for elapsed := -8 * time.Second; elapsed < time.Second+outage; elapsed += step {
			for i, a := range allowances {
				clients[i].down = elapsed >= 0
				if r.Float64() < load*rate/cost/vms*step.Seconds() {
					ok := a.Admit(t.Context(), clients[i], "a", cost).Admitted
					if elapsed >= time.Second { // when the VMs notice
						requested += cost
						if ok {
							admitted += cost
						}
					}
				}
				if elapsed < 0 && elapsed%(500*time.Millisecond) == 0 {
					clients[i].report(a, vms)
				}
			}
			clock.Advance(step)
		}
		return requested, admitted
	}
	is := is.New(t)
	requested, admitted := run(0.55)
	t.Logf("calm: %.0f of %.0f tokens", admitted, requested)
	is.True(admitted >= 0.8*requested)
	requested, admitted = run(6)
	t.Logf("surging: %.0f of %.0f tokens", admitted, requested)
	is.True(admitted <= rate*outage.Seconds()+slack)
}
