package drtokenshare

import "time"

// heldAccount is a holder's state for one account of which it holds shares.
type heldAccount struct {
	bucket *bucket
	// activeShares of the heldShares are refilled and lent. The others become
	// active at activateAt, when the loans of their previous holders have
	// expired: until then those loans are part of the burst.
	activeShares, heldShares int
	activateAt               time.Time
	openedAt                 time.Time // when this VM began to hold the account
}

// update sets the number of shares held and returns the number of active ones.
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
