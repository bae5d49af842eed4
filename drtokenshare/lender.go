package drtokenshare

import "time"

// lender is what a borrower knows about a holder of shares of one account.
type lender struct {
	shares int
	// level is the number of tokens in the holder's bucket at reportedAt. It is
	// valid if hasReported is set.
	level       float64
	reportedAt  time.Time
	hasReported bool
	// requested is the number of tokens in the unanswered borrow request, which
	// was sent at requestedAt. Both are zero if there is none.
	requested   float64
	requestedAt time.Time
	// backoff is the least time between backoffSince and the next borrow request.
	backoff      time.Duration
	backoffSince time.Time
}

// estimate returns the tokens that the holder probably has by its last level and the
// refill since. The bucket of a holder that has not replied yet is assumed to be
// full, so that the holder is asked.
func (l *lender) estimate(rate, burst float64, now time.Time) float64 {
	fraction := float64(l.shares) / ShareCount
	if !l.hasReported {
		return burst * fraction
	}
	return min(burst*fraction, l.level+rate*fraction*now.Sub(l.reportedAt).Seconds())
}

// ready reports whether the holder may be sent a borrow request now.
func (l *lender) ready(now time.Time) bool {
	return l.requestedAt.IsZero() && now.Sub(l.backoffSince) >= l.backoff
}

// recordReply records the reply to a borrow request; ok is false if the call failed.
// The backoff grows if the call failed or the holder lent less than half of the
// requested tokens, and ends otherwise.
func (l *lender) recordReply(lent, level float64, shares int, ok bool, now time.Time) {
	requested := l.requested
	l.requested, l.requestedAt = 0, time.Time{}
	if ok {
		l.level, l.reportedAt, l.hasReported = level, now, true
		if shares > 0 {
			l.shares = shares
		}
	}
	if ok && lent*2 >= requested {
		l.backoff = 0
		return
	}
	l.backoff = min(maxBackoff, max(minBackoff, 2*l.backoff))
	l.backoffSince = now
}
