package drtokenshare

import "time"

// borrowedLoan is the borrower's record of a loan. Amounts are in tokens.
type borrowedLoan struct {
	holder process
	id     uint64
	sentAt time.Time // when the borrow request was sent
	left   float64   // not used yet
	// used, unused and refund are the amounts to report to the holder next;
	// reportQueued is set while the loan is in account.unreported.
	used, unused, refund float64
	reportQueued         bool
}

// expired reports whether the borrower must not use the tokens any more.
func (l *borrowedLoan) expired(now time.Time) bool { return now.Sub(l.sentAt) >= loanLifetime }
