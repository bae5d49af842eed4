package drversion

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Basis -linecomment

// Basis is what an answer about the version of a stream rests on.
type Basis int

// Bases of answers. Recorded: a VM has seen it. Single: only one version has served. Derived: the
// same version follows from the id at each time at which the stream may have begun. With
// Ambiguous and Unknown there is none: several versions are possible, or the history does not
// reach back far enough.
const (
	Recorded  Basis = iota // recorded
	Single                 // single
	Derived                // derived
	Ambiguous              // ambiguous
	Unknown                // unknown
)

// Sure reports whether there is an answer.
func (b Basis) Sure() bool { return b == Recorded || b == Single || b == Derived }

// AnyMixed reports whether several versions of any service have served lately.
func (h *History) AnyMixed() bool {
	for name := range h.services {
		if h.Mixed(name) {
			return true
		}
	}
	return false
}

// Mixed reports whether several versions of a service have served lately.
func (h *History) Mixed(name string) bool {
	s := h.services[name]
	return s != nil && s.count() > 1
}

// KnowsLag reports whether this VM knows of all services of several versions what served MaxLag
// ago.
func (h *History) KnowsLag(now time.Duration) bool {
	return !h.AnyMixed() || h.completeSince() <= now-MaxLag
}

// MayBegin reports whether streams of a service may begin at this VM: its table is no older than
// MaxBeginLag, and while versions are mixed it knows what served MaxLag ago.
func (h *History) MayBegin(name string, now time.Duration) bool {
	if h.known && now-h.confirmed > MaxBeginLag {
		return false
	}
	return !h.Mixed(name) || max(h.since, h.services[name].since) <= now-MaxLag
}

// Choose returns the version at which a stream with an id begins now: by what served MaxLag
// ago, so that other VMs have learned of it, or by what serves now if that version does not, or
// does not hold the replica. bound is false if any may: because only one serves, or none that
// holds the replica.
func (h *History) Choose(name, id string, r Replica, now time.Duration) (version string, bound bool) {
	if !h.Mixed(name) {
		return "", false
	}
	s := h.services[name]
	newest := s.newest(r)
	i := s.choice(s.stateAt(now-MaxLag, r), id)
	if i < 0 || !slices.Contains(s.eligible(newest), i) {
		i = s.choice(newest, id)
	}
	if i < 0 {
		return "", false
	}
	return s.versions[i], true
}

// Began returns the version at which a stream with an id began, up to age ago. Without an id
// it is known only if there was but one that could. A VM whose table is older than MaxLag does
// not know.
func (h *History) Began(name, id string, r Replica, age, now time.Duration) (version string, basis Basis) {
	from := now - age - MaxLag - MaxBeginLag
	s := h.services[name]
	if !h.begun || !h.InStep(now) || s == nil || s.count() == 0 || max(h.since, s.since) > from {
		return "", Unknown
	}
	if s.count() == 1 {
		return s.versions[slices.IndexFunc(s.versions, func(v string) bool { return s.served(s.bit(v)) })], Single
	}
	choice := -1
	for _, st := range s.statesIn(from, now, r) {
		for _, i := range s.choices(st, id) {
			if choice >= 0 && i != choice {
				return "", Ambiguous
			}
			choice = i
		}
	}
	if choice < 0 {
		return "", Unknown
	}
	return s.versions[choice], Derived
}

// state is what matters to the choice of a version for a replica: the numbers of runners by the
// bits of their versions, and the versions that hold the replica.
type state struct {
	counts []int
	mask   uint32
}

// span is a time from since up to until, both included.
type span struct{ since, until time.Duration }

// meets reports whether two spans have an instant in common.
func (p span) meets(q span) bool { return p.since <= q.until && q.since <= p.until }

// statesIn returns the states of a replica in a span, also those that lasted for no time: a VM
// may have learned of two changes at once and another one of each.
func (s *service) statesIn(from, now time.Duration, r Replica) []state {
	whole := span{from, now}
	var states []state
	for i, x := range s.runners {
		counted := span{x.since, now}
		if i+1 < len(s.runners) {
			counted.until = s.runners[i+1].since
		}
		if i == 0 {
			counted.since = min(counted.since, from)
		}
		if !counted.meets(whole) {
			continue
		}
		for _, h := range s.masksIn(now, r) {
			if h.meets(counted) && h.meets(whole) {
				states = append(states, state{x.counts, h.mask})
			}
		}
	}
	return states
}

// maskSpan is the set of versions that held a replica in a span.
type maskSpan struct {
	span
	mask uint32
}

// masksIn returns the versions that held a replica over all of the time up to now. Before
// versions were mixed all did.
func (s *service) masksIn(now time.Duration, r Replica) []maskSpan {
	if !s.mixed {
		return []maskSpan{{span{-Retention, now}, ^uint32(0)}}
	}
	masks := []maskSpan{{span{-Retention, s.mixedSince}, ^uint32(0)}}
	since, mask := s.mixedSince, uint32(0)
	for _, h := range s.holders[r] {
		masks = append(masks, maskSpan{span{since, h.since}, mask})
		since, mask = h.since, h.mask
	}
	return append(masks, maskSpan{span{since, now}, mask})
}

// choices returns the versions at which a stream could begin in a state, one unless it has no
// id.
func (s *service) choices(st state, id string) []int {
	if id == "" {
		return s.eligible(st)
	}
	if i := s.choice(st, id); i >= 0 {
		return []int{i}
	}
	return nil
}

// choice returns the bit of the version at which a stream begins in a state, -1 if none serves
// that holds its replica. Each version has its part of the ids, in the order of the versions'
// names, so that a change of the numbers moves few streams.
func (s *service) choice(st state, id string) int {
	eligible := s.eligible(st)
	total := 0
	for _, i := range eligible {
		total += st.counts[i]
	}
	left := fraction(id) * float64(total)
	for _, i := range eligible {
		if left -= float64(st.counts[i]); left < 0 {
			return i
		}
	}
	return -1
}

// eligible returns the bits of the versions that serve in a state and hold the replica, in the
// order of their names.
func (s *service) eligible(st state) []int {
	var eligible []int
	for i, n := range st.counts {
		if n > 0 && st.mask&(1<<i) != 0 {
			eligible = append(eligible, i)
		}
	}
	slices.SortFunc(eligible, func(a, b int) int { return cmp.Compare(s.versions[a], s.versions[b]) })
	return eligible
}

// stateAt returns the state of a replica at an uptime, the first one that is known if that was
// later.
func (s *service) stateAt(at time.Duration, r Replica) state {
	st := state{mask: ^uint32(0)}
	for _, x := range s.runners {
		if st.counts == nil || x.since <= at {
			st.counts = x.counts
		}
	}
	if !s.mixed || at < s.mixedSince {
		return st
	}
	st.mask = 0
	for _, h := range s.holders[r] {
		if h.since <= at {
			st.mask = h.mask
		}
	}
	return st
}

// newest returns the present state of a replica.
func (s *service) newest(r Replica) state {
	st := state{mask: ^uint32(0)}
	if n := len(s.runners); n > 0 {
		st.counts = s.runners[n-1].counts
	}
	if s.mixed {
		st.mask = 0
		if known := s.holders[r]; len(known) > 0 {
			st.mask = known[len(known)-1].mask
		}
	}
	return st
}
