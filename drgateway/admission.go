package drgateway

// admission holds the limiter's reservation and the queue slot of a request. Each
// is nil until the request has obtained it. The request settles them once, when it
// ends.
type admission struct {
	reservation Reservation
	release     func(served float64)
	usedTokens  float64 // charged to the client account; 0 if nothing ran
}

// settle frees the queue slot and returns the unused tokens to the limiter. The
// reservation is settled even if release panics.
func (a *admission) settle() {
	defer func() {
		if a.reservation != nil {
			a.reservation.Settle(a.usedTokens)
		}
	}()
	if a.release != nil {
		a.release(a.usedTokens)
	}
}
