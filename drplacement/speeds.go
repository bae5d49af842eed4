package drplacement

import (
	"sync"
	"time"
)

// speedWeight is the weight of the newest load in the moving average: it
// follows a slowed weight store within a few loads.
const speedWeight = 0.4

// loadSpeeds estimates load times from the loads that were seen.
type loadSpeeds struct {
	mu             sync.Mutex
	secondsPerByte [2][checkpointSources]float64 // seconds, models and adapters
}

func newLoadSpeeds() *loadSpeeds { return &loadSpeeds{} }

func kindIndex(key modelKey) int {
	if key.adapter != "" {
		return 1
	}
	return 0
}

func (s *loadSpeeds) observe(key modelKey, source checkpointSource, bytes int64, took time.Duration) {
	if bytes <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.secondsPerByte[kindIndex(key)][source]
	v := took.Seconds() / float64(bytes)
	if *p == 0 {
		*p = v
		return
	}
	*p += speedWeight * (v - *p)
}

// estimate returns the expected load time, 0 if no load was seen yet: a wake-up
// is refused only on evidence.
func (s *loadSpeeds) estimate(key modelKey, source checkpointSource, bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.secondsPerByte[kindIndex(key)][source] * float64(bytes) * float64(time.Second))
}
