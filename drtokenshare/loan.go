package drtokenshare

import "time"

// loan is the holder's record of tokens that it lent.
type loan struct {
	made    time.Time
	expires time.Time
	// live counts the tokens that the borrower may still use.
	live float64
	// spent counts the tokens that were used and may be refunded, spentAt
	// when the first of them were used.
	spent   float64
	spentAt time.Time
	// sequence is that of the last report.
	sequence uint64
}

// spend moves tokens from live to spent.
func (l *loan) spend(tokens float64, now time.Time) {
	if l.spent == 0 && l.spentAt.IsZero() {
		l.spentAt = now
	}
	l.live -= tokens
	l.spent += tokens
}
