package drversion

import (
	"math"
	"slices"
	"time"
)

const (
	// Retention is how long a History keeps what served.
	Retention = time.Minute
	// maxVersions is how many versions of one service are told apart at a time.
	maxVersions = 32
	// MaxLag is how long after a change of what serves it counts for the choice of a version. A
	// VM that knew the table of runners so long ago knows all by which streams have begun.
	MaxLag = 2 * time.Second
	// MaxBeginLag is how old the table of a VM may be that begins a stream.
	MaxBeginLag = 4 * time.Second
)

// History says which versions have served each service lately. It is not safe for concurrent
// use. Times are uptimes of this VM.
type History struct {
	services map[string]*service
	// since is the uptime from which on the History is complete, if begun is set.
	since time.Duration
	begun bool
	// confirmed is the uptime as of which the last observation is what serves, if known is set.
	confirmed time.Duration
	known     bool
}

// service is the history of one service.
type service struct {
	// versions gives each version its bit in masks.
	versions []string
	runners  []runnersAt
	// holders has no entry for a replica that no runner has held since mixedSince. Before that
	// there was only one version, or it is not known who held what.
	holders    map[Replica][]holdersAt
	mixedSince time.Duration
	mixed      bool
	// since is the uptime from which on the history is complete, if that is later than the
	// History's.
	since time.Duration
}

func newService() *service {
	return &service{holders: make(map[Replica][]holdersAt), since: always}
}

// runnersAt is the number of runners of each version, by its bit, from an uptime on.
type runnersAt struct {
	since  time.Duration
	counts []int
}

// holdersAt is the set of versions that hold a replica from an uptime on.
type holdersAt struct {
	since time.Duration
	mask  uint32
}

// NewHistory returns a History that knows nothing.
func NewHistory() *History { return &History{services: make(map[string]*service)} }

// Begin says that the next observations are complete from an uptime on. Later calls change
// nothing.
func (h *History) Begin(now time.Duration) {
	if !h.begun {
		h.begun, h.since = true, now
	}
}

// always is an uptime before all others.
const always = time.Duration(math.MinInt64 / 2)

// CoverAll says that nothing has served before the first observation.
func (h *History) CoverAll() { h.begun, h.since = true, always }

// Confirm says that the last observations are what serves as of an uptime. If that was so last
// more than MaxLag before, what came and went in between is not known: the history of a service
// that has changed begins anew.
func (h *History) Confirm(at, now time.Duration) {
	if h.known && at-h.confirmed > MaxLag {
		for _, s := range h.services {
			if s.changedSince(h.confirmed) {
				s.restart(now)
			}
		}
	}
	h.confirmed, h.known = max(h.confirmed, at), true
}

// changedSince reports whether what matters to the choice of a version has changed after an
// uptime. The number of runners does not while all have the same version.
func (s *service) changedSince(from time.Duration) bool {
	if !s.mixed || len(s.runners) == 0 {
		return false
	}
	if s.runners[len(s.runners)-1].since > from {
		return true
	}
	for _, known := range s.holders {
		if n := len(known); n > 0 && known[n-1].since > from {
			return true
		}
	}
	return false
}

// restart forgets all but the last observations, as if they were the first.
func (s *service) restart(now time.Duration) {
	s.since = now
	s.runners = []runnersAt{{now, s.runners[len(s.runners)-1].counts}}
	for r, known := range s.holders {
		if n := len(known); n > 0 && known[n-1].mask != 0 {
			s.holders[r] = []holdersAt{{now, known[n-1].mask}}
		} else {
			delete(s.holders, r)
		}
	}
	if s.mixed = s.count() > 1; s.mixed {
		s.mixedSince = now
	} else {
		clear(s.holders)
	}
}

// InStep reports whether this VM knows all by which streams may have begun up to now.
func (h *History) InStep(now time.Duration) bool { return h.known && now-h.confirmed <= MaxLag }

// Covered returns for how long up to now the History is complete, at most Retention.
func (h *History) Covered(now time.Duration) time.Duration {
	if !h.begun {
		return 0
	}
	return min(now-h.completeSince(), Retention)
}

// completeSince returns the uptime from which on the history of all services is complete.
func (h *History) completeSince() time.Duration {
	since := h.since
	for _, s := range h.services {
		since = max(since, s.since)
	}
	return since
}

// Observe records what serves a service from now on.
func (h *History) Observe(name string, now time.Duration, snapshot Snapshot) {
	s := h.services[name]
	if s == nil {
		s = newService()
		h.services[name] = s
	}
	s.observe(now, snapshot)
	s.prune(now - Retention)
}

func (s *service) observe(now time.Duration, snapshot Snapshot) {
	counts := make([]int, len(s.versions), maxVersions)
	for _, v := range snapshot.versions() {
		i := s.bit(v)
		if i >= len(counts) {
			counts = append(counts, 0)
		}
		counts[i] = snapshot.Runners[v]
	}
	s.addRunners(now, counts)
	if !s.mixed && s.count() > 1 {
		s.mixed, s.mixedSince = true, now
	}
	if s.mixed {
		s.observeHolders(now, snapshot)
	}
}

// addRunners records numbers of runners, unless they are those that are known.
func (s *service) addRunners(now time.Duration, counts []int) {
	if n := len(s.runners); n > 0 && slices.Equal(trimmed(s.runners[n-1].counts), trimmed(counts)) {
		return
	}
	s.runners = append(s.runners, runnersAt{now, counts})
}

// trimmed returns counts without the zeros at their end.
func trimmed(counts []int) []int {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

// observeHolders records which versions hold each replica, where that has changed.
func (s *service) observeHolders(now time.Duration, snapshot Snapshot) {
	for r := range s.holders {
		if _, held := snapshot.Holders[r]; !held {
			s.addHolders(r, holdersAt{since: now})
		}
	}
	for r, versions := range snapshot.Holders {
		mask := uint32(0)
		for _, v := range versions {
			mask |= 1 << s.bit(v)
		}
		s.addHolders(r, holdersAt{now, mask})
	}
}

func (s *service) addHolders(r Replica, at holdersAt) {
	known := s.holders[r]
	if n := len(known); n > 0 && known[n-1].mask == at.mask || n == 0 && at.mask == 0 {
		return
	}
	s.holders[r] = append(known, at)
}

// bit returns the bit of a version, and gives it one if it has none. Beyond maxVersions the
// last one stands for all others.
func (s *service) bit(version string) int {
	if i := slices.Index(s.versions, version); i >= 0 {
		return i
	}
	if len(s.versions) == maxVersions {
		return maxVersions - 1
	}
	s.versions = append(s.versions, version)
	return len(s.versions) - 1
}

// count returns the number of versions that have served.
func (s *service) count() int {
	n := 0
	for i := range s.versions {
		if s.served(i) {
			n++
		}
	}
	return n
}

// served reports whether the version of a bit has served.
func (s *service) served(i int) bool {
	return slices.ContainsFunc(s.runners, func(r runnersAt) bool { return i < len(r.counts) && r.counts[i] > 0 })
}

// prune forgets what was over before an uptime. If only one version is left, the holders are
// forgotten, too.
func (s *service) prune(before time.Duration) {
	for len(s.runners) > 1 && s.runners[1].since <= before {
		s.runners = s.runners[1:]
	}
	if s.mixed && s.count() <= 1 {
		s.mixed = false
		clear(s.holders)
	}
	for r, known := range s.holders {
		for len(known) > 1 && known[1].since <= before {
			known = known[1:]
		}
		s.holders[r] = known
		if len(known) == 1 && known[0].mask == 0 && known[0].since <= before {
			delete(s.holders, r)
		}
	}
}
