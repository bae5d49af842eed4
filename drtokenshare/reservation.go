package drtokenshare

import "sync"

// Reservation holds the tokens with which a request has been admitted.
type Reservation struct {
	account *account
	tokens  float64
	parts   []loanPart
	once    sync.Once
}

// loanPart is the number of tokens of a reservation that came from one loan.
type loanPart struct {
	loan   *borrowedLoan
	tokens float64
}

// Tokens returns the number of tokens reserved.
func (r *Reservation) Tokens() float64 { return r.tokens }

// Settle gives back the tokens that the request did not use: those reserved less
// used. A request never uses more than it reserved. Only the first call has an
// effect; it may be called from any goroutine.
func (r *Reservation) Settle(used float64) {
	r.once.Do(func() {
		unused := r.tokens - max(0, used)
		if unused <= 0 {
			return
		}
		r.account.refund(r.parts, unused)
	})
}
