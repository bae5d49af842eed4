package drversion

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// maxHolderChanges is how many changes of who holds a replica a record has for one service.
const maxHolderChanges = 4096

// Record returns the history up to now for another VM: all of it with ages instead of uptimes.
// It is small unless versions are mixed.
func (h *History) Record(now time.Duration) *drpb.FleetVersions {
	m := &drpb.FleetVersions{CoveredMs: inMs(h.Covered(now))}
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		m.Services = append(m.Services, h.services[name].record(name, now))
	}
	return m
}

func inMs(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func (s *service) record(name string, now time.Duration) *drpb.FleetServiceVersions {
	m := &drpb.FleetServiceVersions{Service: name, Versions: s.versions, Mixed: s.mixed}
	if s.mixed {
		m.MixedMs = inMs(now - s.mixedSince)
	}
	for _, r := range s.runners {
		at := &drpb.FleetVersionRunners{AgeMs: inMs(now - r.since)}
		for _, n := range r.counts {
			at.Runners = append(at.Runners, uint32(n))
		}
		m.Runners = append(m.Runners, at)
	}
	for _, r := range slices.Sorted(maps.Keys(s.holders)) {
		for _, at := range s.holders[r] {
			if len(m.Holders) < maxHolderChanges {
				m.Holders = append(m.Holders, &drpb.FleetVersionHolders{Replica: uint32(r), AgeMs: inMs(now - at.since), Versions: at.mask})
			}
		}
	}
	return m
}

// Merge adds what a record says of the time before this History began. at is the uptime at
// which the record was made, or somewhat later. It reports whether that was of use.
func (h *History) Merge(m *drpb.FleetVersions, at time.Duration) bool {
	since := at - time.Duration(m.GetCoveredMs())*time.Millisecond
	if m.GetCoveredMs() == 0 || h.begun && since >= h.completeSince() {
		return false
	}
	for _, sm := range m.GetServices() {
		h.mergeService(sm, at)
	}
	h.begun, h.since = true, since
	for _, s := range h.services {
		s.since = always // a service that the record lacks has had no runners
	}
	return true
}

func (h *History) mergeService(m *drpb.FleetServiceVersions, at time.Duration) {
	own := h.services[m.GetService()]
	merged := newService()
	merged.mixed, merged.mixedSince = m.GetMixed(), at-fromMs(m.GetMixedMs())
	for _, v := range m.GetVersions() {
		merged.bit(v)
	}
	for _, r := range m.GetRunners() {
		counts := make([]int, len(merged.versions))
		for i := range counts {
			if i < len(r.GetRunners()) {
				counts[i] = int(r.GetRunners()[i])
			}
		}
		merged.runners = append(merged.runners, runnersAt{at - fromMs(r.GetAgeMs()), counts})
	}
	for _, x := range m.GetHolders() {
		r := Replica(x.GetReplica())
		merged.holders[r] = append(merged.holders[r], holdersAt{at - fromMs(x.GetAgeMs()), x.GetVersions()})
	}
	if own != nil {
		merged.follow(own)
	}
	h.services[m.GetService()] = merged
}

func fromMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// follow adds what another history says from its first observation on, in place of what is
// known of that time.
func (s *service) follow(later *service) {
	s.forgetFrom(later.firstObserved())
	bits := make([]int, len(later.versions))
	for i, v := range later.versions {
		bits[i] = s.bit(v)
	}
	for _, r := range later.runners {
		counts := make([]int, len(s.versions))
		for i, n := range r.counts {
			counts[bits[i]] = n
		}
		s.addRunners(r.since, counts)
	}
	if !s.mixed && (later.mixed || s.count() > 1) {
		s.mixed, s.mixedSince = true, later.firstObserved()
	}
	s.followHolders(later, bits)
}

// followHolders adds who held what according to a later history. If that did not record it,
// its only version held all.
func (s *service) followHolders(later *service, bits []int) {
	if !s.mixed {
		return
	}
	for r, known := range later.holders {
		for _, at := range known {
			mask := uint32(0)
			for i, b := range bits {
				if at.mask&(1<<i) != 0 {
					mask |= 1 << b
				}
			}
			s.addHolders(r, holdersAt{at.since, mask})
		}
	}
	for r := range s.holders {
		if _, held := later.holders[r]; !held && later.mixed {
			s.addHolders(r, holdersAt{since: later.mixedSince})
		}
	}
}

// forgetFrom forgets what has changed since an uptime.
func (s *service) forgetFrom(from time.Duration) {
	s.runners = slices.DeleteFunc(s.runners, func(r runnersAt) bool { return r.since >= from })
	for r, known := range s.holders {
		s.holders[r] = slices.DeleteFunc(known, func(h holdersAt) bool { return h.since >= from })
	}
}

// firstObserved returns the uptime of the first observation.
func (s *service) firstObserved() time.Duration {
	if len(s.runners) == 0 {
		return 0
	}
	return s.runners[0].since
}
