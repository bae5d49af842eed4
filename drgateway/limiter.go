package drgateway

import (
	"context"
	"time"
)

// Limiter enforces the token limits of client accounts.
type Limiter interface {
	// Reserve takes tokens from the account, waiting for them as policy
	// allows. Errors carry NotRun and OverRate.
	Reserve(ctx context.Context, account string, tokens float64, deadline time.Time) (Reservation, error)
}

// Reservation holds tokens until it is settled.
type Reservation interface {
	// Settle returns what was reserved beyond used. The gate calls it once.
	Settle(used float64)
}
