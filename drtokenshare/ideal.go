package drtokenshare

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Ideal is one central bucket that sees every request of an account without
// delay. Comparing with it tells whether a request that was refused was
// within the account's rate. It is not safe for concurrent use.
type Ideal struct {
	limit drconfig.Limit
	level float64
	at    time.Time
}

// NewIdeal returns a full bucket.
func NewIdeal(limit drconfig.Limit, now time.Time) *Ideal {
	return &Ideal{limit: limit, level: limit.Burst, at: now}
}

// Admit reports whether a request for tokens that arrives at now would get
// them within wait, in order of arrival, and takes them if so.
func (i *Ideal) Admit(now time.Time, tokens float64, wait time.Duration) bool {
	if d := now.Sub(i.at); d > 0 {
		i.level = min(i.limit.Burst, i.level+i.limit.Rate*d.Seconds())
		i.at = now
	}
	if tokens > i.limit.Burst || i.level+i.limit.Rate*wait.Seconds() < tokens {
		return false
	}
	i.level -= tokens
	return true
}

// Refund gives back tokens that a request did not use.
func (i *Ideal) Refund(tokens float64) { i.level = min(i.limit.Burst, i.level+tokens) }
