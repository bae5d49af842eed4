package drtokenshare

import "time"

// lot is the borrower's record of a loan.
type lot struct {
	holder process
	loan   uint64
	sentAt time.Time
	left   float64
	// Not yet reported to the holder.
	used, unused, refund float64
	pending              bool
}

// expired reports whether the tokens must no longer be used.
func (l *lot) expired(now time.Time) bool { return now.Sub(l.sentAt) >= loanLifetime }
