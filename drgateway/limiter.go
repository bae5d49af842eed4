package drgateway

import (
	"context"
	"time"
)

// Limiter enforces the token limits of client accounts. It must be safe for
// concurrent use.
type Limiter interface {
	// Reserve takes tokens from the account and may wait for them, as the
	// limiter's policy allows. Deadline is that of the request. Errors have the
	// verdict NotRun and the reason OverRate.
	Reserve(ctx context.Context, account string, tokens float64, deadline time.Time) (Reservation, error)
}

// Reservation holds tokens until it is settled.
type Reservation interface {
	// Settle returns the reserved tokens that exceed used. The server calls it
	// exactly once.
	Settle(used float64)
}
