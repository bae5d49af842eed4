package drcrash

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// successes holds when requests with a possible cause last succeeded.
type successes struct {
	ttl time.Duration
	at  map[drrequest.Fingerprint]time.Time
}

func newSuccesses(ttl time.Duration) successes {
	return successes{ttl: ttl, at: make(map[drrequest.Fingerprint]time.Time)}
}

func (s successes) add(cause drrequest.Fingerprint, now time.Time) {
	if len(s.at) >= maxRecords {
		s.dropOlder()
	}
	s.at[cause] = now
}

// has reports whether a request with the cause has succeeded within the TTL.
func (s successes) has(cause drrequest.Fingerprint, now time.Time) bool {
	at, served := s.at[cause]
	return served && now.Sub(at) <= s.ttl
}

func (s successes) dropExpired(now time.Time) {
	maps.DeleteFunc(s.at, func(_ drrequest.Fingerprint, at time.Time) bool { return now.Sub(at) > s.ttl })
}

// dropOlder drops the older half.
func (s successes) dropOlder() {
	times := slices.SortedFunc(maps.Values(s.at), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(s.at, func(_ drrequest.Fingerprint, at time.Time) bool { return !at.After(middle) })
}
