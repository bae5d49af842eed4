package drcrash

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// record holds the crashes of one request.
type record struct {
	runners map[string]struct{}
	lastAt  time.Time
}

// records holds the crashes by request. A request's record is dropped recordTTL
// after its last crash.
type records map[drrequest.Fingerprint]*record

// add records a crash and reports whether it was unknown.
func (r records) add(crash Crash, now time.Time) bool {
	x, ok := r[crash.Request]
	if !ok {
		r.makeRoom()
		x = &record{runners: make(map[string]struct{})}
		r[crash.Request] = x
	}
	if _, known := x.runners[crash.Runner]; known {
		return false
	}
	x.runners[crash.Runner], x.lastAt = struct{}{}, now
	return true
}

// makeRoom drops the older half of the records if there are too many.
func (r records) makeRoom() {
	if len(r) < maxRecords {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(r), func(a, b drrequest.Fingerprint) int { return r[a].lastAt.Compare(r[b].lastAt) })
	for _, request := range byAge[:len(byAge)/2] {
		delete(r, request)
	}
}

// dropExpired drops the records whose last crash was recordTTL ago.
func (r records) dropExpired(now time.Time) {
	maps.DeleteFunc(r, func(_ drrequest.Fingerprint, x *record) bool { return now.Sub(x.lastAt) > recordTTL })
}
