package drplacement

import (
	"sync"
	"time"
)

// speedWeight is the weight of the newest load in the moving average of load
// times. At 0.4 the average follows a weight store that has become slower
// within a few loads.
const speedWeight = 0.4

// loadSpeeds estimates load times by a moving average over earlier loads on any
// runner of this VM. It is safe for concurrent use.
type loadSpeeds struct {
	mu             sync.Mutex
	secondsPerByte [2][checkpointSources]float64 // by kindIndex and source; 0 before the first load
}

func newLoadSpeeds() *loadSpeeds { return &loadSpeeds{} }

// kindIndex returns 0 for models and 1 for adapters.
func kindIndex(key modelKey) int {
	if key.adapter != "" {
		return 1
	}
	return 0
}

// observe adds the duration of a finished load to the average.
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

// estimate returns the expected load time. It is 0 before the first load, so
// that no wake-up is refused without a known load time.
func (s *loadSpeeds) estimate(key modelKey, source checkpointSource, bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.secondsPerByte[kindIndex(key)][source] * float64(bytes) * float64(time.Second))
}
