package drtokenshare

import "time"

// waiter is a request that waits for tokens.
type waiter struct {
	tokens   float64
	deadline time.Time
	granted  chan *Reservation
}
