package drplacement

import (
	"sync"
	"time"
)

// speedWeight is the weight of the newest load in the moving average: it
// follows a slowed weight store within a few loads.
const speedWeight = 0.4

// speeds estimates load times from the loads that were seen.
type speeds struct {
	mu      sync.Mutex
	perByte [2][sources]float64 // seconds, models and adapters
}

func newSpeeds() *speeds { return &speeds{} }

func kindOf(k key) int {
	if k.adapter != "" {
		return 1
	}
	return 0
}

func (s *speeds) observe(k key, from source, bytes int64, took time.Duration) {
	if bytes <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.perByte[kindOf(k)][from]
	v := took.Seconds() / float64(bytes)
	if *p == 0 {
		*p = v
		return
	}
	*p += speedWeight * (v - *p)
}

// estimate returns the expected load time, 0 if no load was seen yet: a wake-up
// is refused only on evidence.
func (s *speeds) estimate(k key, from source, bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.perByte[kindOf(k)][from] * float64(bytes) * float64(time.Second))
}
