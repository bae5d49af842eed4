package drroute

import (
	"sync"
	"time"

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

// budget bounds retries to a share of requests plus a constant rate.
type budget struct {
	clock drclock.Clock
	mu    sync.Mutex
	level float64
	last  time.Time
}

func newBudget(c drclock.Clock) *budget {
	return &budget{clock: c, level: retryBurst, last: c.Now()}
}

// request counts a first attempt.
func (b *budget) request() { b.add(retryShare) }

func (b *budget) add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+n, retryBurst)
}

// retry takes one retry from the budget and reports whether there was one.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.level = min(b.level+now.Sub(b.last).Seconds()*retryFloor, retryBurst)
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
