package drgateway

// admission holds what a request owes to the limiter and the queue. The request
// settles it once, when it ends.
type admission struct {
	reservation Reservation
	release     func(served float64)
	usedTokens  float64 // tokens
}

func (b *admission) settle() {
	defer func() {
		if b.reservation != nil {
			b.reservation.Settle(b.usedTokens)
		}
	}()
	if b.release != nil {
		b.release(b.usedTokens)
	}
}
