package drtokenpool

import (
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// refusalWindow is the averaging time of the rate of refused tokens.
	refusalWindow = time.Second
	// maxRetryAfter bounds the retry-after time that a refused client is given.
	maxRetryAfter = 5 * time.Second
)

// ErrUnknownAccount means that the pool has no limit for the client account, for
// example because the VM has a newer configuration than the controller.
var ErrUnknownAccount = errors.New("the controller has no token limit for the client account")

// Reservation is the answer to a request for the tokens of one request. Saturated is
// as in Grant; RetryAfter and Refill are set only if Granted is not.
type Reservation struct {
	Granted   bool
	Saturated bool
	// Repeated is set if the request was refused shortly before.
	Repeated   bool
	RetryAfter time.Duration
	// Refill is how long a request of the same size that arrives later would be
	// denied, too, because the tokens are not there yet.
	Refill time.Duration
}

// Reserve deducts tokens for one request of which nothing else is known. The only error
// is ErrUnknownAccount.
func (p *Pool) Reserve(vm, name string, tokens float64) (Reservation, error) {
	return p.Claim(vm, name, Claim{Tokens: tokens})
}

// Claim deducts tokens for one request that exceeds the VM's grant. Requests that come
// for the first time, or come back within their objective, get them in the order of the
// calls. Those that come back later get lateShare of the rate, and what the others leave.
// The only error is ErrUnknownAccount.
func (p *Pool) Claim(vm, name string, c Claim) (Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, found := p.accounts[name]
	if !found {
		return Reservation{}, fmt.Errorf("%w: %q", ErrUnknownAccount, name)
	}
	now := p.clock.Now()
	p.refill(a)
	standing := p.standing(c, now)
	if need := a.need(c, standing, now); a.level < need {
		a.recordRefusal(c.Tokens, now)
		p.refused.add(c.Identity, now)
		refill := time.Duration((need - a.level) / max(a.limit.Rate, 1) * float64(time.Second))
		return Reservation{
			Saturated: a.saturated(), Repeated: standing.repeated, RetryAfter: a.returnTime(c, refill, now), Refill: reuseTime(c, refill, standing),
		}, nil
	}
	p.refused.remove(c.Identity)
	a.spendClaim(c, standing)
	if u := a.vms[vm]; u != nil {
		u.granted += c.Tokens
	}
	return Reservation{Granted: true, Repeated: standing.repeated}, nil
}

// recordRefusal adds refused tokens to the decaying average of their rate.
func (a *account) recordRefusal(tokens float64, now time.Time) {
	a.refusedRate *= math.Exp(-now.Sub(a.refusedAt).Seconds() / refusalWindow.Seconds())
	a.refusedRate += tokens / refusalWindow.Seconds()
	a.refusedAt = now
}

// retryAfter returns how long a refused client should wait before it retries: at
// least wait, the time until the tokens are refilled, up to maxRetryAfter. It is
// longer while the account sends more than its rate, because new requests then
// spend the refilled tokens and an early retry would be refused again.
func (a *account) retryAfter(wait time.Duration, now time.Time) time.Duration {
	refusedRate := max(a.refusedRate, a.requestedRate(now)-a.limit.Rate)
	excess := min(refusedRate/max(a.limit.Rate, 1), 1)
	surge := time.Duration(excess * float64(maxRetryAfter))
	return min(max(wait, surge), maxRetryAfter)
}
