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
	// repeatReserve is how long the tokens that a repeated request must leave
	// would last at the account's rate.
	repeatReserve = 100 * time.Millisecond
)

// Claim asks for the tokens of one request.
type Claim struct {
	Tokens float64
	// Identity is the same for a request and for its repeats, 0 if unknown.
	Identity uint64
	// Age is the time since the request arrived at its VM, 0 if unknown.
	Age time.Duration
}

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
	if a.level >= a.limit.Rate*contendedDuration.Seconds() {
		return 0
	}
	return arrivalWindow - age
}

// need returns the tokens that must be left for the claim to be granted. A claim above
// the burst is granted from a full bucket and overdraws it; otherwise it could never be
// granted. A repeat gets what requests that come for the first time leave.
func (a *account) need(c Claim, repeated bool) float64 {
	need := c.Tokens
	if repeated {
		need += a.limit.Rate * repeatReserve.Seconds()
	}
	return min(need, a.limit.Burst)
}

// reuseTime returns how long a denial also holds for later requests of the same size,
// given the time until the tokens are refilled. Requests whose age is known are decided
// later than they arrive, by up to arrivalWindow.
func reuseTime(c Claim, refill time.Duration, repeated bool) time.Duration {
	if repeated {
		return 0
	}
	if c.Age > 0 {
		refill -= arrivalWindow
	}
	return max(refill, 0)
}
