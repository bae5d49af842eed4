package drgateway

// bill holds what a request owes to the limiter and the queue. The request
// settles it once, when it ends.
type bill struct {
	reservation Reservation
	release     func(served float64)
	used        float64 // tokens
}

func (b *bill) settle() {
	defer func() {
		if b.reservation != nil {
			b.reservation.Settle(b.used)
		}
	}()
	if b.release != nil {
		b.release(b.used)
	}
}
