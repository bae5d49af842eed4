package drtokenshare

import "time"

// borrowedLoan is the borrower's record of a loan.
type borrowedLoan struct {
	holder process
	id     uint64
	sentAt time.Time
	left   float64
	// Not yet reported to the holder.
	used, unused, refund float64
	reportQueued         bool
}

// expired reports whether the tokens must no longer be used.
func (l *borrowedLoan) expired(now time.Time) bool { return now.Sub(l.sentAt) >= loanLifetime }
