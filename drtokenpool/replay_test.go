package drtokenpool_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// arrival is one call of a client. A client that is refused comes once more, with the
// same identity.
type arrival struct {
	at       time.Duration
	vm       int
	tokens   float64
	identity uint64
	again    bool
}

// claimClient connects one VM's allowances to a pool and passes on the identity of the
// request that it admits. The pool is unreachable while down is set.
type claimClient struct {
	pool     *drtokenpool.Pool
	vm       string
	down     bool
	identity uint64
}

func (c *claimClient) Reserve(_ context.Context, account string, tokens float64) (drtokenpool.Reservation, bool) {
	if c.down {
		return drtokenpool.Reservation{}, false
	}
	r, err := c.pool.Claim(c.vm, account, drtokenpool.Claim{Tokens: tokens, Identity: c.identity, Age: time.Second, Objective: 20 * time.Millisecond})
	return r, err == nil
}

// replay holds an account that sends six times its rate, in requests of three sizes, and
// the clients that come back.
type replay struct {
	arrivals []arrival // in order
	ideal    map[uint64]bool
	admitted map[uint64]bool // at the first call
	late     map[uint64]bool // at the second one
	spent    []spending
}

// spending is what was admitted at a time.
type spending struct {
	at     time.Duration
	tokens float64
	late   bool
}

const (
	// cutFrom is when VMs are cut off, if any are.
	cutFrom = 6500 * time.Millisecond
	// longestWait is how long clients wait at most before they come back.
	longestWait = 1700 * time.Millisecond
	// reportStep is the time from the report of one VM to that of the next.
	reportStep   = 7 * time.Millisecond
	replayLength = 12 * time.Second
	replayRate   = 150_000.0
	replayBurst  = 150_000.0
	replayLoad   = 6.0
	smallCall    = 200.0
	mediumCall   = 650.0
	largeCall    = 9200.0
)

// newReplay draws the first calls and lets one bucket for the whole fleet decide them.
func newReplay(vms int) *replay {
	r := &replay{ideal: make(map[uint64]bool), admitted: make(map[uint64]bool), late: make(map[uint64]bool)}
	random := rand.New(rand.NewPCG(7, 7))
	const mean = 0.2*smallCall + 0.77*mediumCall + 0.03*largeCall
	bucket, last := replayBurst, time.Duration(0)
	for at := time.Duration(0); at < replayLength; {
		at += time.Duration(random.ExpFloat64() * mean / (replayLoad * replayRate) * float64(time.Second))
		tokens := mediumCall
		switch x := random.Float64(); {
		case x < 0.2:
			tokens = smallCall
		case x > 0.97:
			tokens = largeCall
		}
		a := arrival{at: at, vm: random.IntN(vms), tokens: tokens, identity: uint64(len(r.arrivals) + 1)}
		r.arrivals = append(r.arrivals, a)
		bucket, last = min(bucket+(at-last).Seconds()*replayRate, replayBurst), at
		if tokens <= bucket {
			bucket -= tokens
			r.ideal[a.identity] = true
		}
	}
	return r
}

// play sends the calls through a fleet of which the first VMs are cut off from the
// controller from cutFrom on. Refused clients come back if returning is set.
func (r *replay) play(t *testing.T, vms, cut int, returning bool) {
	t.Helper()
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	limits := map[string]drtokenpool.Limit{"a": {Rate: replayRate, Burst: replayBurst}}
	pool.SetLimits(limits)
	random := rand.New(rand.NewPCG(8, 8))
	var allowances []*drtokenpool.Allowances
	var clients []*claimClient
	for i := range vms {
		a := drtokenpool.NewAllowances(clock)
		a.SetLimits(limits)
		a.SetCallRate(3000)
		c := &claimClient{pool: pool, vm: strconv.Itoa(i)}
		allowances, clients = append(allowances, a), append(clients, c)
		c.report(a, vms)
	}
	calls := slices.Clone(r.arrivals)
	start, nextReport := clock.Now(), time.Duration(0)
	for len(calls) > 0 {
		call := calls[0]
		calls = calls[1:]
		for ; nextReport < call.at; nextReport += reportStep {
			if i := int(nextReport/reportStep) % vms; i >= cut || nextReport < cutFrom {
				clients[i].report(allowances[i], vms)
			}
		}
		clock.Advance(call.at - clock.Since(start))
		clients[call.vm].identity, clients[call.vm].down = call.identity, call.vm < cut && call.at >= cutFrom
		admission := allowances[call.vm].Admit(t.Context(), clients[call.vm], "a", call.tokens)
		switch {
		case admission.Admitted && call.again:
			r.late[call.identity] = true
		case admission.Admitted:
			r.admitted[call.identity] = true
		case !call.again && returning:
			call.at, call.vm, call.again = call.at+min(admission.RetryAfter, longestWait), random.IntN(vms), true
			i, _ := slices.BinarySearchFunc(calls, call, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
			calls = slices.Insert(calls, i, call)
			continue
		}
		if admission.Admitted {
			r.spent = append(r.spent, spending{call.at, call.tokens, call.again})
		}
	}
}

func (c *claimClient) report(a *drtokenpool.Allowances, vms int) {
	for _, s := range a.Spendings() {
		a.SetGrant(s.Account, c.pool.Report(c.vm, s))
	}
	a.RecordControllerReply(vms)
}

// share returns the part of the ideal bucket's requests of a size, at VMs from the given
// one on, that were admitted at their first call.
func (r *replay) share(tokens float64, fromVM int) float64 {
	ideal, met := 0.0, 0.0
	for _, a := range r.arrivals {
		if a.tokens != tokens || a.vm < fromVM || !r.ideal[a.identity] {
			continue
		}
		ideal++
		if r.admitted[a.identity] {
			met++
		}
	}
	return met / max(ideal, 1)
}

// most returns the largest number of tokens spent in a window.
func (r *replay) most(window time.Duration) float64 {
	most, inside, first := 0.0, 0.0, 0
	for _, x := range r.spent {
		inside += x.tokens
		for ; r.spent[first].at <= x.at-window; first++ {
			inside -= r.spent[first].tokens
		}
		most = max(most, inside)
	}
	return most
}

// Guards against tokens that go to other requests than those that come within the
// account's rate while it sends six times its rate. One bucket for the whole fleet, in the
// order of arrival, tells which requests do.
func TestSurgeServesRequestsWithinRate(t *testing.T) {
	is := is.New(t)
	r := newReplay(100)
	r.play(t, 100, 0, false)
	r.logShares(t)
	is.True(r.share(smallCall, 0) >= 0.9)
	is.True(r.share(mediumCall, 0) >= 0.7)
	is.True(r.share(largeCall, 0) >= 0.8)
	is.True(r.most(8*time.Second) <= 8*replayRate+replayBurst)
}

// Guards against clients that come back and push out the requests of others: of what is
// spent, late ones get little more than their part.
func TestSurgeServesFirstCallsBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	r := newReplay(100)
	r.play(t, 100, 0, true)
	r.logShares(t)
	is.True(r.share(smallCall, 0) >= 0.85)
	is.True(r.share(mediumCall, 0) >= 0.45)
	is.True(r.share(largeCall, 0) >= 0.8)
	is.True(len(r.late) > 0)
	is.True(r.lateTokens(replayLength) <= 0.13*r.most(time.Hour))
	is.True(r.most(8*time.Second) <= 8*replayRate+replayBurst)
}

// Guards against the same while a third of the VMs cannot reach the controller, against a
// limit that is then exceeded by more than a tenth, and against one that is half used.
func TestSurgeWithThirdOfVMsCutOff(t *testing.T) {
	is := is.New(t)
	r := newReplay(100)
	r.play(t, 100, 33, true)
	r.logShares(t)
	is.True(r.share(smallCall, 33) >= 0.8)
	is.True(r.share(mediumCall, 33) >= 0.35)
	is.True(r.share(largeCall, 33) >= 0.8)
	is.True(r.most(8*time.Second) <= (8*replayRate+replayBurst)*1.1)
	is.True(r.most(time.Hour) >= 0.95*replayRate*replayLength.Seconds())
}

// Guards against a large fleet that spends more than the limit, or much less, while half of
// its VMs cannot reach their only controller.
func TestSurgeWithHalfOfVMsCutOff(t *testing.T) {
	is := is.New(t)
	r := newReplay(400)
	r.play(t, 400, 200, true)
	r.logShares(t)
	is.True(r.most(8*time.Second) <= (8*replayRate+replayBurst)*1.1)
	is.True(r.most(time.Hour) >= 0.95*replayRate*replayLength.Seconds())
}

// lateTokens returns the tokens that second calls got before a time.
func (r *replay) lateTokens(before time.Duration) float64 {
	total := 0.0
	for _, x := range r.spent {
		if x.late && x.at < before {
			total += x.tokens
		}
	}
	return total
}

func (r *replay) logShares(t *testing.T) {
	t.Helper()
	t.Logf("share of the ideal set: small %.2f, medium %.2f, large %.2f; %d admitted at once, %d late; most %.0f, all %.0f",
		r.share(smallCall, 0), r.share(mediumCall, 0), r.share(largeCall, 0), len(r.admitted), len(r.late),
		r.most(8*time.Second), r.most(time.Hour))
}
