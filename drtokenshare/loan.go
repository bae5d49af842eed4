package drtokenshare

import "time"

// loan is the holder's record of tokens that it lent.
type loan struct {
	lentAt  time.Time
	expires time.Time
	// outstanding counts the tokens that the borrower may still use.
	outstanding float64
	// spent counts the tokens that were used and may be refunded, spentAt
	// when the first of them were used.
	spent        float64
	firstSpentAt time.Time
	// lastSequence is that of the last report.
	lastSequence uint64
}

// spend moves tokens from live to spent.
func (l *loan) spend(tokens float64, now time.Time) {
	if l.spent == 0 && l.firstSpentAt.IsZero() {
		l.firstSpentAt = now
	}
	l.outstanding -= tokens
	l.spent += tokens
}
