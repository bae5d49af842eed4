package drtokenshare

import "time"

// lender is what a VM knows about a holder that it borrows from.
type lender struct {
	shares int
	// level is the number of tokens at time at, as last reported.
	level       float64
	reportedAt  time.Time
	hasReported bool
	// requested is the amount of the unanswered request, sent at askedAt.
	requested   float64
	requestedAt time.Time
	// backoff is the time to wait before the next request, after pausedAt.
	backoff      time.Duration
	backoffSince time.Time
}

// estimate returns the tokens that the holder probably has. A holder that
// has not reported yet is assumed to be full, so that it gets asked.
func (l *lender) estimate(rate, burst float64, now time.Time) float64 {
	fraction := float64(l.shares) / ShareCount
	if !l.hasReported {
		return burst * fraction
	}
	return min(burst*fraction, l.level+rate*fraction*now.Sub(l.reportedAt).Seconds())
}

// ready reports whether the holder may be asked now.
func (l *lender) ready(now time.Time) bool {
	return l.requestedAt.IsZero() && now.Sub(l.backoffSince) >= l.backoff
}

// recordReply takes note of an answer; ok is false if there was none.
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
