package drbalancer

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// BudgetConfig bounds retries to a share of requests plus a constant rate.
type BudgetConfig struct {
	Clock drclock.Clock
	// Share is the part of requests that may be retried.
	Share float64
	// Floor in retries/s keeps retries possible when traffic is low.
	Floor float64
	// Burst bounds the retries saved up in quiet times.
	Burst float64
}

// Budget bounds retries. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	config     BudgetConfig
	available  float64
	refilledAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, available: config.Burst, refilledAt: config.Clock.Now()}
}

// Set changes the bounds.
func (b *Budget) Set(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	b.available = min(b.available, config.Burst)
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.config.Share, b.config.Burst)
}

// Left reports whether the budget has a retry left.
func (b *Budget) Left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.available >= 1
}

// refill adds what came in since the last call. The caller holds mu.
func (b *Budget) refill() {
	now := b.config.Clock.Now()
	b.available = min(b.available+now.Sub(b.refilledAt).Seconds()*b.config.Floor, b.config.Burst)
	b.refilledAt = now
}

// Retry takes one retry if the budget has one left.
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
