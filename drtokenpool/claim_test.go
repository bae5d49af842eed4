package drtokenpool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// newEmptyPool returns a pool whose account "a" has no tokens left.
func newEmptyPool(t *testing.T, clock drclock.Clock) *drtokenpool.Pool {
	t.Helper()
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(limit)
	r, err := pool.Reserve("a", "a", limit["a"].Burst)
	is := is.New(t)
	is.NoErr(err)
	is.True(r.Granted)
	return pool
}

// Guards against requests that overtake earlier ones because they arrived nearer to the
// controller: each is decided at the same age. Without contention none waits.
func TestClaimsAreDecidedInOrderOfArrival(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	far, near := 4*time.Millisecond, 200*time.Microsecond
	is.Equal(far+pool.HoldTime("a", far), near+pool.HoldTime("a", near))
	is.True(pool.HoldTime("a", near) < 20*time.Millisecond)
	is.Equal(pool.HoldTime("a", 0), time.Duration(0)) // of a VM that does not tell the age
	is.Equal(pool.HoldTime("a", time.Second), time.Duration(0))
	is.Equal(pool.HoldTime("b", near), time.Duration(0))
	clock.Advance(2 * time.Second)
	is.Equal(pool.HoldTime("a", near), time.Duration(0))
}

// Guards against clients that come back again and again and take the tokens of requests
// that come for the first time, and against a client that never gets any: it does once
// the others leave some.
func TestRepeatsGetWhatOthersLeave(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	repeat := drtokenpool.Claim{Tokens: 50, Identity: 1}
	claim := func(c drtokenpool.Claim) drtokenpool.Reservation {
		r, err := pool.Claim("a", "a", c)
		is.NoErr(err)
		return r
	}
	r := claim(repeat)
	is.True(!r.Granted)
	is.True(!r.Repeated)
	clock.Advance(60 * time.Millisecond)
	r = claim(repeat)
	is.True(!r.Granted)
	is.True(r.Repeated)
	is.Equal(r.Refill, time.Duration(0)) // says nothing about other requests
	is.True(claim(drtokenpool.Claim{Tokens: 50, Identity: 2}).Granted)
	clock.Advance(140 * time.Millisecond)
	is.True(claim(repeat).Granted)
	is.True(!claim(drtokenpool.Claim{Tokens: 5000, Identity: 3}).Granted)
	clock.Advance(11 * time.Second)
	is.True(!claim(drtokenpool.Claim{Tokens: 1000, Identity: 3}).Repeated) // forgotten
}

// Guards against a pool that remembers every refused request of a flood.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	pool := newEmptyPool(t, drclock.NewFake(time.Unix(0, 0)))
	claim := func(identity uint64) drtokenpool.Reservation {
		r, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 50, Identity: identity})
		is.NoErr(err)
		return r
	}
	const flood = 10_000
	for i := range uint64(flood) {
		claim(i + 1)
	}
	is.True(!claim(1).Repeated)
	is.True(claim(flood).Repeated)
}

// Guards against a VM that refuses the next request because a repeated one was refused.
func TestRefusedRepeatDoesNotRefuseOthers(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	a := drtokenpool.NewAllowances(clock)
	a.SetLimits(limit)
	c := &claimClient{pool: pool, vm: "a", identity: 1}
	c.report(a, 1)
	is.Equal(a.Admit(t.Context(), c, "a", 50).Basis, drtokenpool.ByController)
	clock.Advance(60 * time.Millisecond)
	is.Equal(a.Admit(t.Context(), c, "a", 50).Basis, drtokenpool.ByFirstComers)
	c.identity = 2
	is.True(a.Admit(t.Context(), c, "a", 50).Admitted)
}
