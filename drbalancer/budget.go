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
	mu     sync.Mutex
	config BudgetConfig
	level  float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, level: c.Burst, last: c.Clock.Now()}
}

// Set changes the bounds.
func (b *Budget) Set(c BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	b.level = min(b.level, c.Burst)
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.config.Share, b.config.Burst)
}

// Left reports whether the budget has a retry left.
func (b *Budget) Left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.level >= 1
}

// refill adds what came in since the last call. The caller holds mu.
func (b *Budget) refill() {
	now := b.config.Clock.Now()
	b.level = min(b.level+now.Sub(b.last).Seconds()*b.config.Floor, b.config.Burst)
	b.last = now
}

// Retry takes one retry if the budget has one left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
