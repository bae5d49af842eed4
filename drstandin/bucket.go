package drstandin

import (
	"sync"
	"time"
)

// bucket limits events to rate per second with a burst of one second's worth.
type bucket struct {
	mu    sync.Mutex
	rate  float64
	level float64
	last  time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, level: max(rate, 1), last: time.Now()}
}

func (b *bucket) refill() {
	now := time.Now()
	b.level = min(b.level+now.Sub(b.last).Seconds()*b.rate, max(b.rate, 1))
	b.last = now
}

// take reports whether an event is within the rate.
func (b *bucket) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// reserve takes an event in any case and returns how long to wait for it.
func (b *bucket) reserve() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.level--
	if b.level >= 0 {
		return 0
	}
	return time.Duration(-b.level / b.rate * float64(time.Second))
}
