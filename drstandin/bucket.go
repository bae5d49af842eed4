package drstandin

import (
	"sync"
	"time"
)

// tokenBucket limits events to rate per second with a burst of one second's worth.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: max(rate, 1), refilledAt: time.Now()}
}

func (b *tokenBucket) refill() {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate, max(b.rate, 1))
	b.refilledAt = now
}

// allow reports whether an event is within the rate.
func (b *tokenBucket) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// reserve takes an event in any case and returns how long to wait for it.
func (b *tokenBucket) reserve() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
