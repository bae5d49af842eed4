package drtokenshare

import "time"

// loan is the holder's record of tokens that it lent. Amounts are in tokens.
type loan struct {
	lentAt  time.Time
	expires time.Time
	// outstanding is the number of tokens that the borrower may still use.
	outstanding float64
	// spent is the number of tokens that were used and may be refunded. The
	// first of them were used at firstSpentAt, which is zero until then.
	spent        float64
	firstSpentAt time.Time
	// lastSequence is the sequence of the last report that was applied.
	lastSequence uint64
}

// spend moves tokens from outstanding to spent.
func (l *loan) spend(tokens float64, now time.Time) {
	if l.spent == 0 && l.firstSpentAt.IsZero() {
		l.firstSpentAt = now
	}
	l.outstanding -= tokens
	l.spent += tokens
}
