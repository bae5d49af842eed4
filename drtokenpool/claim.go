package drtokenpool

import (
	"context"
	"time"
)

const (
	// contendedDuration is how long the tokens of an account must last at its rate
	// for the order in which requests are decided not to matter.
	contendedDuration = 50 * time.Millisecond
	// arrivalWindow is the age at which requests for contended tokens are decided.
	// It covers the way from most VMs to the controller, so that a request that
	// arrived near the controller does not overtake an earlier one.
	arrivalWindow = 10 * time.Millisecond
	// lateReserve is how long the tokens that a late repeat must leave would last
	// at the account's rate. lateShare is the part of the rate that late repeats get
	// whatever others ask, so that they do not starve.
	lateReserve = 100 * time.Millisecond
	lateShare   = 0.1
	// minReturnObjective is the least objective within which a refused client can
	// come back, and returnShare the part of it after which it should.
	minReturnObjective = time.Second
	returnShare        = 0.6
)

// Claim asks for the tokens of one request.
type Claim struct {
	Tokens float64
	// Identity is the same for a request and for its repeats, 0 if unknown.
	Identity uint64
	// Age is the time since the request arrived at its VM, 0 if unknown.
	Age time.Duration
	// Objective is the time after its first arrival within which the request should
	// be answered, 0 if it has none.
	Objective time.Duration
}

// returnsInTime reports whether a client that is refused can come back within the
// objective.
func (c Claim) returnsInTime() bool { return c.Objective >= minReturnObjective }

// Claimer passes claims on an account to the controller. ok is false if the
// controller cannot be reached.
type Claimer interface {
	Claim(ctx context.Context, account string, claim Claim) (r Reservation, ok bool)
}

// HoldTime returns how long a claim on an account must wait before Claim decides it, so
// that contended tokens go to requests in the order in which they arrived at all VMs. It
// is 0 if the tokens are not contended or the age is unknown.
func (p *Pool) HoldTime(name string, age time.Duration) time.Duration {
	if age <= 0 || age >= arrivalWindow {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, found := p.accounts[name]
	if !found {
		return 0
	}
	p.refill(a)
	if a.level >= min(a.limit.Rate*contendedDuration.Seconds(), a.limit.Burst) {
		return 0
	}
	return arrivalWindow - age
}

// standing is what the pool knows about a claim: whether the request was refused
// shortly before, and whether its objective has passed meanwhile.
type standing struct{ repeated, late bool }

// standing returns that of a claim at a time. The caller holds p.mu.
func (p *Pool) standing(c Claim, now time.Time) standing {
	since, repeated := p.refused.since(c.Identity, now)
	return standing{repeated: repeated, late: repeated && c.Objective > 0 && now.Sub(since) > c.Objective}
}

// need returns the tokens that must be left for the claim to be granted. A claim above
// the burst is granted from a full bucket and overdraws it; otherwise it could never be
// granted. A late repeat beyond lateShare gets what requests in time leave.
func (a *account) need(c Claim, s standing, now time.Time) float64 {
	need := c.Tokens
	if s.late && !a.lateTokens(c.Tokens, now) {
		need += a.limit.Rate * lateReserve.Seconds()
	}
	return min(need, a.limit.Burst)
}

// lateTokens reports whether the tokens set aside for late repeats suffice. For a large
// request that is all that can be set aside; it leaves a debt.
func (a *account) lateTokens(tokens float64, now time.Time) bool {
	a.lateLevel = min(a.lateLevel+now.Sub(a.lateRefilledAt).Seconds()*a.limit.Rate*lateShare, a.limit.Burst*lateShare)
	a.lateRefilledAt = now
	return a.lateLevel >= min(tokens, a.limit.Burst*lateShare)
}

// spendClaim deducts the tokens of a granted claim.
func (a *account) spendClaim(c Claim, s standing) {
	a.level -= c.Tokens
	if s.late && a.lateLevel >= min(c.Tokens, a.limit.Burst*lateShare) {
		a.lateLevel -= c.Tokens
	}
}

// reuseTime returns how long a denial also holds for later requests of the same size,
// given the time until the tokens are refilled. Requests whose age is known are decided
// later than they arrive, by up to arrivalWindow.
func reuseTime(c Claim, refill time.Duration, s standing) time.Duration {
	if s.repeated {
		return 0
	}
	if c.Age > 0 {
		refill -= arrivalWindow
	}
	return max(refill, 0)
}

// returnTime returns how long the client of a refused claim should wait: the time until
// the tokens are refilled at least, and longer in a surge, but not beyond an objective
// within which it can be served yet.
func (a *account) returnTime(c Claim, refill time.Duration, now time.Time) time.Duration {
	wait := a.retryAfter(refill, now)
	if !c.returnsInTime() {
		return wait
	}
	return min(wait, max(refill, time.Duration(float64(c.Objective)*returnShare)))
}
