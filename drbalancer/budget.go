package drbalancer

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// BudgetConfig bounds retries to a share of requests plus a constant rate, as a
// token bucket.
type BudgetConfig struct {
	Clock drclock.Clock
	// Share is the fraction of requests that may be retried.
	Share float64
	// Floor is the rate, in retries per second, that is granted regardless of
	// requests, so that retries stay possible when traffic is low.
	Floor float64
	// Burst is the most retries that can accumulate while few are used.
	Burst float64
}

// Budget bounds the retries of a service, so that they do not multiply the load
// while runners fail. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	config     BudgetConfig
	available  float64
	refilledAt time.Time
}

// NewBudget returns a budget with config.Burst retries available.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, available: config.Burst, refilledAt: config.Clock.Now()}
}

// Set changes the bounds. Retries available beyond the new Burst are lost.
func (b *Budget) Set(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	b.available = min(b.available, config.Burst)
}

// Request counts the first attempt of a request, which adds Share to the budget.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.config.Share, b.config.Burst)
}

// refill adds the retries that Floor grants for the time since the last call.
// The caller holds mu.
func (b *Budget) refill() {
	now := b.config.Clock.Now()
	b.available = min(b.available+now.Sub(b.refilledAt).Seconds()*b.config.Floor, b.config.Burst)
	b.refilledAt = now
}

// Retry takes one retry from the budget, and reports false if none is left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
