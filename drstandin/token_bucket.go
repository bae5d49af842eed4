package drstandin

import (
	"sync"
	"time"
)

// tokenBucket is a rate limiter. It allows rate events per second and a burst of
// one second's events, but at least one. It is safe for concurrent use.
type tokenBucket struct {
	mu sync.Mutex
	// rate is the number of tokens added per second; one event costs one token.
	rate float64
	// tokens is negative while reserved events wait for their turn.
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: max(rate, 1), refilledAt: time.Now()}
}

// refill adds the tokens for the time since the last refill. b.mu must be held.
func (b *tokenBucket) refill() {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate, max(b.rate, 1))
	b.refilledAt = now
}

// allow reports whether an event may happen now, and if so spends a token.
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

// reserve always spends a token, and returns how long the caller must wait before
// the event may happen.
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
