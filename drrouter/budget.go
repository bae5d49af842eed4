package drrouter

import (
	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// retryShare is the fraction of requests that may be retried. A larger one
	// would multiply the load on a fleet that fails from overload.
	retryShare = 0.1
	// retryFloor is the rate, in retries per second, that is allowed regardless
	// of traffic, so that retries stay possible when few requests arrive.
	retryFloor = 1.0
	// retryBurst is the most retries that can accumulate while few are used.
	retryBurst = 20.0
)

// newBudget returns the retry budget of a Router or Services.
func newBudget(clock drclock.Clock) *drbalancer.Budget {
	return drbalancer.NewBudget(drbalancer.BudgetConfig{Clock: clock, Share: retryShare, Floor: retryFloor, Burst: retryBurst})
}
