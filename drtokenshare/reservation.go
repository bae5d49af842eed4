package drtokenshare

import "sync"

// Reservation is a number of tokens that a request has been admitted with.
type Reservation struct {
	account *account
	tokens  float64
	parts   []loanPart
	once    sync.Once
}

// loanPart is the part of a reservation that came from one loan.
type loanPart struct {
	loan   *borrowedLoan
	tokens float64
}

// Tokens returns the number of tokens reserved.
func (r *Reservation) Tokens() float64 { return r.tokens }

// Settle gives back what the request did not use. A request never uses more
// than it reserved. Only the first call counts.
func (r *Reservation) Settle(used float64) {
	r.once.Do(func() {
		unused := r.tokens - max(0, used)
		if unused <= 0 {
			return
		}
		r.account.refund(r.parts, unused)
	})
}
