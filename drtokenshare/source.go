package drtokenshare

import "time"

// source is what a VM knows about a holder that it borrows from.
type source struct {
	shares int
	// level is the number of tokens at time at, as last reported.
	level float64
	at    time.Time
	known bool
	// asked is the amount of the unanswered request, sent at askedAt.
	asked   float64
	askedAt time.Time
	// pause is the time to wait before the next request, after pausedAt.
	pause    time.Duration
	pausedAt time.Time
}

// estimate returns the tokens that the holder probably has. A holder that
// has not reported yet is assumed to be full, so that it gets asked.
func (s *source) estimate(rate, burst float64, now time.Time) float64 {
	part := float64(s.shares) / ShareCount
	if !s.known {
		return burst * part
	}
	return min(burst*part, s.level+rate*part*now.Sub(s.at).Seconds())
}

// ready reports whether the holder may be asked now.
func (s *source) ready(now time.Time) bool {
	return s.askedAt.IsZero() && now.Sub(s.pausedAt) >= s.pause
}

// answered takes note of an answer; ok is false if there was none.
func (s *source) answered(got, level float64, shares int, ok bool, now time.Time) {
	asked := s.asked
	s.asked, s.askedAt = 0, time.Time{}
	if ok {
		s.level, s.at, s.known = level, now, true
		if shares > 0 {
			s.shares = shares
		}
	}
	if ok && got*2 >= asked {
		s.pause = 0
		return
	}
	s.pause = min(maxPause, max(minPause, 2*s.pause))
	s.pausedAt = now
}
