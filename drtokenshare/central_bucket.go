package drtokenshare

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// CentralBucket is a token bucket that sees every request of an account without delay.
// Tests and load runs use it as the reference: a refused request was within the
// account's rate if this bucket admits it. It is not safe for concurrent use.
type CentralBucket struct {
	limit      drconfig.Limit
	level      float64
	refilledAt time.Time
}

// NewCentralBucket returns a bucket that is full at now.
func NewCentralBucket(limit drconfig.Limit, now time.Time) *CentralBucket {
	return &CentralBucket{limit: limit, level: limit.Burst, refilledAt: now}
}

// Admit reports whether a request for tokens that arrives at now would get them
// within wait, in order of arrival, and deducts them if so. Calls must be made in
// order of arrival.
func (b *CentralBucket) Admit(now time.Time, tokens float64, wait time.Duration) bool {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*elapsed.Seconds())
		b.refilledAt = now
	}
	if tokens > b.limit.Burst || b.level+b.limit.Rate*wait.Seconds() < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Refund returns tokens that an admitted request did not use, up to the burst.
func (b *CentralBucket) Refund(tokens float64) { b.level = min(b.limit.Burst, b.level+tokens) }
