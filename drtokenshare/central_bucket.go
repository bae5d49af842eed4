package drtokenshare

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// CentralBucket is one central bucket that sees every request of an account without
// delay. Comparing with it tells whether a request that was refused was
// within the account's rate. It is not safe for concurrent use.
type CentralBucket struct {
	limit      drconfig.Limit
	level      float64
	refilledAt time.Time
}

// NewCentralBucket returns a full bucket.
func NewCentralBucket(limit drconfig.Limit, now time.Time) *CentralBucket {
	return &CentralBucket{limit: limit, level: limit.Burst, refilledAt: now}
}

// Admit reports whether a request for tokens that arrives at now would get
// them within wait, in order of arrival, and takes them if so.
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

// Refund gives back tokens that a request did not use.
func (b *CentralBucket) Refund(tokens float64) { b.level = min(b.limit.Burst, b.level+tokens) }
