package drtokenshare

import "time"

// holding is the state of a holder for one account.
type holding struct {
	bucket *bucket
	// active shares are refilled. Shares above them are refilled from since
	// on, when the loans of the previous holder have expired: until then its
	// loans are part of the burst.
	active, held int
	since        time.Time
	opened       time.Time
}

// update takes note of the number of shares held and returns the active ones.
func (e *holding) update(held int, now time.Time) int {
	if held > e.held {
		e.since = now.Add(loanLifetime + loanMargin)
	}
	e.held = held
	if held < e.active || !now.Before(e.since) {
		e.active = held
	}
	return e.active
}
