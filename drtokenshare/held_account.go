package drtokenshare

import "time"

// heldAccount is the state of a holder for one account.
type heldAccount struct {
	bucket *bucket
	// activeShares shares are refilled. Shares above them are refilled from since
	// on, when the loans of the previous holder have expired: until then its
	// loans are part of the burst.
	activeShares, heldShares int
	activateAt               time.Time
	openedAt                 time.Time
}

// update takes note of the number of shares held and returns the active ones.
func (h *heldAccount) update(held int, now time.Time) int {
	if held > h.heldShares {
		h.activateAt = now.Add(loanLifetime + loanMargin)
	}
	h.heldShares = held
	if held < h.activeShares || !now.Before(h.activateAt) {
		h.activeShares = held
	}
	return h.activeShares
}
