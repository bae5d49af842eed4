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

// Guards against clients that come back too late and take the tokens of requests that can
// be served in time, and against a late client that never gets any: late ones get a tenth
// of the rate, and more once the others leave some.
func TestLateRepeatsGetWhatOthersLeave(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	claim := func(c drtokenpool.Claim) drtokenpool.Reservation {
		r, err := pool.Claim("a", "a", c)
		is.NoErr(err)
		return r
	}
	repeat := drtokenpool.Claim{Tokens: 50, Identity: 1, Objective: 20 * time.Millisecond}
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
	is.True(!claim(drtokenpool.Claim{Tokens: 3000, Identity: 3}).Repeated) // forgotten
}

// Guards against late repeats that starve while others take all tokens.
func TestLateRepeatsGetTheirPart(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	late, first := 0.0, 0.0
	claim := func(identity uint64) {
		r, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 10, Identity: identity, Objective: 20 * time.Millisecond})
		is.NoErr(err)
		switch {
		case r.Granted && r.Repeated:
			late += 10
		case r.Granted:
			first += 10
		}
	}
	for i := range uint64(1000) { // 10 s
		clock.Advance(10 * time.Millisecond)
		if i >= 100 {
			claim(2 * (i - 100)) // comes back after a second
		}
		claim(2*i + 1)
		claim(2 * i)
	}
	t.Logf("late %.0f, first %.0f", late, first)
	is.True(late+first <= 10_000)
	is.True(late >= 500)
	is.True(late <= 1000)
}

// Guards against a refused client that is told to come back after its objective although
// it could be served within it, as one whose request can wait. It then counts like a new
// one. Others are told to stay away as long as the surge may last.
func TestRefusedRequestComesBackWithinObjective(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := newEmptyPool(t, clock)
	patient := drtokenpool.Claim{Tokens: 100, Identity: 1, Objective: 4 * time.Second}
	for i := range uint64(300) {
		clock.Advance(10 * time.Millisecond)
		_, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 100, Identity: i + 10})
		is.NoErr(err)
	}
	_, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 100, Identity: 1000})
	is.NoErr(err)
	r, err := pool.Claim("a", "a", patient)
	is.NoErr(err)
	is.True(!r.Granted)
	is.True(r.RetryAfter > time.Second)
	is.True(r.RetryAfter < 3*time.Second)
	urgent, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 100, Identity: 2, Objective: 250 * time.Millisecond})
	is.NoErr(err)
	is.True(urgent.RetryAfter > 3*time.Second)
	_, err = pool.Claim("a", "a", drtokenpool.Claim{Tokens: 50, Identity: 2000}) // leaves little
	is.NoErr(err)
	clock.Advance(100 * time.Millisecond)
	r, err = pool.Claim("a", "a", patient)
	is.NoErr(err)
	is.True(r.Granted)
	is.True(r.Repeated)
}

// Guards against a pool that remembers every refused request of a flood.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	pool := newEmptyPool(t, drclock.NewFake(time.Unix(0, 0)))
	claim := func(identity uint64) drtokenpool.Reservation {
		r, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 50, Identity: identity, Objective: 20 * time.Millisecond})
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

// Guards against repeats of a large request that never get the part of the rate which is
// set aside for late ones, because more can't be saved up than a tenth of the burst.
func TestLargeLateRepeatsGetTheirPart(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(map[string]drtokenpool.Limit{"a": {Rate: 1000, Burst: 1000}})
	large := drtokenpool.Claim{Tokens: 150, Identity: 1, Objective: 20 * time.Millisecond}
	_, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 1000})
	is.NoErr(err)
	_, err = pool.Claim("a", "a", large) // refused
	is.NoErr(err)
	granted := 0
	for range 50 {
		clock.Advance(200 * time.Millisecond)
		r, err := pool.Claim("a", "a", large)
		is.NoErr(err)
		if r.Granted {
			granted++
			_, err = pool.Claim("a", "a", drtokenpool.Claim{Tokens: 1000})
			is.NoErr(err)
			_, err = pool.Claim("a", "a", large)
			is.NoErr(err)
		}
		for range 8 { // first calls leave little
			_, err = pool.Claim("a", "a", drtokenpool.Claim{Tokens: 10})
			is.NoErr(err)
		}
	}
	is.True(granted >= 5)
}

// Guards against a request without an objective whose repeats count as late at once.
func TestRepeatWithoutObjectiveIsNotLate(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.SetLimits(map[string]drtokenpool.Limit{"a": {Rate: 1000, Burst: 1000}})
	_, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 1000})
	is.NoErr(err)
	_, err = pool.Claim("a", "a", drtokenpool.Claim{Tokens: 60, Identity: 1}) // refused
	is.NoErr(err)
	clock.Advance(60 * time.Millisecond)
	r, err := pool.Claim("a", "a", drtokenpool.Claim{Tokens: 60, Identity: 1})
	is.NoErr(err)
	is.True(r.Granted)
}
