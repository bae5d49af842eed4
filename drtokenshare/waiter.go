package drtokenshare

import "time"

// waiter is a request in the queue for tokens. The channel granted has room for its
// one reservation, so that granting never blocks. After the deadline the request is
// skipped.
type waiter struct {
	tokens   float64
	deadline time.Time
	granted  chan *Reservation
}
