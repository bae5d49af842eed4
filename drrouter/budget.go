package drrouter

import (
	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// retryShare is the part of requests that may be retried. A higher share
	// would multiply the load on a fleet that is failing from overload.
	retryShare = 0.1
	// retryFloor in retries/s keeps retries possible when traffic is low.
	retryFloor = 1.0
	// retryBurst bounds the retries saved up in quiet times.
	retryBurst = 20.0
)

func newBudget(clock drclock.Clock) *drbalancer.Budget {
	return drbalancer.NewBudget(drbalancer.BudgetConfig{Clock: clock, Share: retryShare, Floor: retryFloor, Burst: retryBurst})
}
