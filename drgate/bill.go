package drgate

// bill holds what a request owes to the limiter and the queue. It is settled
// once, by whichever path the request ends.
type bill struct {
	reservation Reservation
	release     func(served float64)
	used        float64 // tokens
	settled     bool
}

func (b *bill) settle() {
	if b.settled {
		return
	}
	b.settled = true
	defer func() {
		if b.reservation != nil {
			b.reservation.Settle(b.used)
		}
	}()
	if b.release != nil {
		b.release(b.used)
	}
}
