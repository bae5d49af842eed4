package drcrash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// record holds the crashes with one possible cause, a request or a part of prompts.
type record struct {
	runners set
	// excused are the runners whose crashes were reported before a success with the
	// cause. They count no more.
	excused set
	// requests are the different requests that ran on them.
	requests map[drrequest.Fingerprint]struct{}
	// depth is the greatest position of a part in its prompts.
	depth  int
	lastAt time.Time
	// suspectSince is when the record had so many crashes that the VMs were asked
	// for successes, zero before.
	suspectSince time.Time
}

// records holds the crashes by possible cause. A record is dropped recordTTL after
// its last crash.
type records map[drrequest.Fingerprint]*record

// add records a crash under one of its possible causes, at a position in the prompt.
func (r records) add(cause drrequest.Fingerprint, crash Crash, depth int, now time.Time) {
	x, ok := r[cause]
	if !ok {
		r.makeRoom()
		x = &record{runners: make(set), excused: make(set), requests: make(map[drrequest.Fingerprint]struct{})}
		r[cause] = x
	}
	if _, excused := x.excused[crash.Runner]; excused {
		return
	}
	x.depth = max(x.depth, depth)
	if len(x.requests) < maxRecords {
		x.requests[crash.Request] = struct{}{}
	}
	if _, known := x.runners[crash.Runner]; known {
		return
	}
	x.runners[crash.Runner], x.lastAt = struct{}{}, now
	if len(x.runners) >= MaxCrashes-1 && x.suspectSince.IsZero() {
		x.suspectSince = now
	}
}

// excuse drops the crashes of a cause that has succeeded. The same ones may be reported
// once more, by VMs that find out later that a runner has ended.
func (r records) excuse(cause drrequest.Fingerprint) {
	x, ok := r[cause]
	if !ok {
		return
	}
	if len(x.excused) >= maxRecords {
		clear(x.excused)
	}
	maps.Copy(x.excused, x.runners)
	clear(x.runners)
	clear(x.requests)
	x.suspectSince = time.Time{}
}

// makeRoom drops the older half of the records if there are too many.
func (r records) makeRoom() {
	if len(r) < maxRecords {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(r), func(a, b drrequest.Fingerprint) int { return r[a].lastAt.Compare(r[b].lastAt) })
	for _, cause := range byAge[:len(byAge)/2] {
		delete(r, cause)
	}
}

// dropExpired drops the records whose last crash was recordTTL ago.
func (r records) dropExpired(now time.Time) {
	maps.DeleteFunc(r, func(_ drrequest.Fingerprint, x *record) bool { return now.Sub(x.lastAt) > recordTTL })
}

// suspects returns the causes that VMs are to report successes of.
func (r records) suspects() []drrequest.Fingerprint {
	var list []drrequest.Fingerprint
	for part, x := range r {
		if !x.suspectSince.IsZero() {
			list = append(list, part)
		}
	}
	return list
}

// rule says which records of crashes make a cause: with how many different requests,
// and how long after VMs were asked for successes.
type rule struct {
	minRequests int
	wait        time.Duration
}

// explanation tells which causes have crashed which runners.
type explanation struct {
	// spans holds the causes, with how long requests with them are refused at first.
	spans map[drrequest.Fingerprint]time.Duration
	// runners are those that the causes have crashed.
	runners set
}

// set is a set of runner incarnations.
type set = map[string]struct{}

// explain returns the causes that best explain the crashes, besides those of runners
// that have another explanation. What ran beside a cause was on some of the same
// runners. So the record with the most runners is taken first, and then what has
// crashed enough other runners. Records of exactly the same runners are taken
// together, unless the first was blocked alone before. A cause waits until VMs
// have had the time to report successes, and with it those that come after it. What a
// former controller has blocked explains its crashes first.
func (r records) explain(rule rule, explained set, blocked blocks, now time.Time) explanation {
	e := explanation{spans: make(map[drrequest.Fingerprint]time.Duration), runners: make(set)}
	maps.Copy(e.runners, explained)
	for cause, b := range blocked {
		if x := r[cause]; x != nil && b.adopted {
			maps.Copy(e.runners, x.runners)
		}
	}
	for {
		cause, crashes := r.likeliestCause(rule, e.runners, blocked)
		if crashes < MaxCrashes || now.Sub(r[cause].suspectSince) < rule.wait {
			return e
		}
		e.spans[cause] = firstSpan
		for _, other := range r.inseparable(rule, cause, e) {
			if blocked[cause] == nil || blocked[other] != nil {
				e.spans[cause], e.spans[other] = ambiguousSpan, ambiguousSpan
			}
		}
		maps.Copy(e.runners, r[cause].runners)
	}
}

// likeliestCause returns the candidate with the most unexplained crashes. Between equals
// it takes one that is blocked: its crashes were known first. Then it takes the one with
// the fewest requests: a part of many is on all runners by chance. Last, it takes the
// later one in the prompt, which fewer requests share.
func (r records) likeliestCause(rule rule, explained set, blocked blocks) (cause drrequest.Fingerprint, crashes int) {
	var best *record
	for other, x := range r {
		if !x.isCandidate(rule) {
			continue
		}
		n := x.unexplained(explained)
		if best == nil || cmp.Or(n-crashes, blocked.compare(other, cause), len(best.requests)-len(x.requests), x.depth-best.depth) > 0 {
			cause, best, crashes = other, x, n
		}
	}
	return cause, crashes
}

// inseparable returns the other candidates that have crashed the same unexplained
// runners as a cause.
func (r records) inseparable(rule rule, cause drrequest.Fingerprint, e explanation) []drrequest.Fingerprint {
	var others []drrequest.Fingerprint
	beyondCause := maps.Clone(e.runners)
	maps.Copy(beyondCause, r[cause].runners)
	crashes := r[cause].unexplained(e.runners)
	for part, x := range r {
		if part != cause && x.isCandidate(rule) && x.unexplained(e.runners) == crashes && x.unexplained(beyondCause) == 0 {
			others = append(others, part)
		}
	}
	return others
}

// isCandidate reports whether a record has enough runners and requests to be a cause.
func (x *record) isCandidate(rule rule) bool {
	return len(x.runners) >= MaxCrashes && len(x.requests) >= rule.minRequests
}

// unexplained counts the runners of a record that have no other explanation.
func (x *record) unexplained(explained set) int {
	n := 0
	for runner := range x.runners {
		if _, ok := explained[runner]; !ok {
			n++
		}
	}
	return n
}
