package drfleetview

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinLimitRate is the least number of requests a second that a runner with a limit
	// gets while requests wait for it. Without any, nobody would hear that it takes more
	// again.
	MinLimitRate = 0.25
	// newsTime is how long a VM reports that a runner names no limit any more, since the
	// limit ended or since it last heard otherwise.
	newsTime = 5 * time.Second
)

// Limit is what an incarnation of a runner has said of the requests that it takes.
type Limit struct {
	Incarnation
	// Rate is the number of requests a second over all VMs, 0 if any number is taken.
	Rate float64
	// Age and MaxAge are the shortest and the longest time since it may have said so.
	Age, MaxAge time.Duration
	// Awaited is set if requests of this VM wait for what the runner holds.
	Awaited bool
}

// limit is the newest known statement of a runner about its limit. The zero value is none.
type limit struct {
	started int64
	rate    float64
	// earliest and latest are the uptimes between which it was said.
	earliest, latest time.Duration
	known            bool
	// newsAt is the uptime at which rate last changed, or was last contradicted by an
	// older statement.
	newsAt time.Duration
}

// OfferAnswer records what an incarnation of a runner has said in an answer that has just
// arrived, to a request that was sent at an uptime: that it takes a number of requests a
// second over all VMs, or with 0 any number. It may have said so at any time since then. The
// result is that of OfferLimit.
func (v *View) OfferAnswer(i Incarnation, rate float64, sent time.Duration) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Uptime()
	if e, ok := v.runners[i.Runner]; ok && e.limit.known && e.limit.started == i.Started && e.limit.rate == rate {
		e.limit.latest = now // it may have said so again after what is known, whenever the request was sent
	}
	return v.offerLimit(i, rate, sent, now)
}

// OfferLimit records that an incarnation of a runner has said, at an uptime, that it takes
// a number of requests a second over all VMs, or with 0 any number. It returns false if
// that changes nothing: the runner is not listed or of another incarnation, or what is
// known was said later or is the same.
func (v *View) OfferLimit(i Incarnation, rate float64, at time.Duration) (changed bool) {
	return v.OfferLimitBetween(i, rate, at, at)
}

// OfferLimitBetween is OfferLimit for what was said between two uptimes. If it cannot be told
// whether that or what is known was said later, the lower limit counts.
func (v *View) OfferLimitBetween(i Incarnation, rate float64, earliest, latest time.Duration) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.offerLimit(i, rate, earliest, latest)
}

// offerLimit is OfferLimitBetween. The caller holds mu.
func (v *View) offerLimit(i Incarnation, rate float64, earliest, latest time.Duration) (changed bool) {
	e, ok := v.runners[i.Runner]
	if !ok || e.runner.Started != i.Started {
		return false
	}
	before := e.limitRate()
	known := e.limit.known && e.limit.started == i.Started
	if !known && rate == 0 {
		return false
	}
	uptime := v.clock.Uptime()
	if rate != before {
		e.limit.newsAt = uptime
	}
	if !known || e.limit.yieldsTo(rate, earliest, latest) {
		if known && rate == before {
			latest = max(latest, e.limit.latest)
		}
		e.limit = limit{started: i.Started, rate: rate, earliest: earliest, latest: latest, known: true, newsAt: e.limit.newsAt}
	}
	v.bounded.note(e, uptime)
	if e.limit.rate == before {
		return false
	}
	v.notify()
	return true
}

// yieldsTo reports whether a statement that was made between two uptimes replaces a known one.
// One that is repeated by other VMs must not seem newer each time, so that of equal ones the
// earliest uptime decides.
func (l *limit) yieldsTo(rate float64, earliest, latest time.Duration) bool {
	switch {
	case rate == l.rate:
		return earliest > l.earliest
	case rate > 0 && (l.rate == 0 || rate < l.rate):
		return latest >= l.earliest
	default:
		return earliest >= l.latest
	}
}

// limitRate returns the number of requests a second that the runner takes over all VMs, 0
// if it has named no limit.
func (e *entry) limitRate() float64 {
	if e.limit.started != e.runner.Started {
		return 0
	}
	return e.limit.rate
}

// hasLimitNews reports whether other VMs are to be told what the runner has said of its
// limit, even if that is that it has none.
func (e *entry) hasLimitNews(uptime time.Duration) bool {
	return e.limit.known && e.limit.started == e.runner.Started && uptime-e.limit.newsAt < newsTime
}

// Limits returns the limits of the listed runners, and the newest statements that there is
// none, those that requests wait for first, then the newest.
func (v *View) Limits() []Limit {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.clock.Uptime()
	var list []Limit
	for e := range v.bounded.holding("", uptime) {
		if e.limitRate() > 0 || e.hasLimitNews(uptime) {
			list = append(list, Limit{IncarnationOf(e.runner), e.limit.rate, uptime - e.limit.latest, uptime - e.limit.earliest, v.isAwaited(e)})
		}
	}
	slices.SortFunc(list, compareLimits)
	return list
}

// compareLimits puts the limits of runners that requests wait for first, then the newest.
func compareLimits(a, b Limit) int {
	switch {
	case a.Awaited && !b.Awaited:
		return -1
	case b.Awaited && !a.Awaited:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Runner, b.Runner))
}

// isAwaited reports whether requests of this VM wait for what a runner holds. The caller
// holds mu.
func (v *View) isAwaited(e *entry) bool {
	for replica := range v.waitersByReplica {
		if v.serves(e, replica) {
			return true
		}
	}
	return false
}

// LimitOf returns what the listed incarnation of a runner has said of its limit, and false
// if that is nothing.
func (v *View) LimitOf(i Incarnation) (Limit, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[i.Runner]
	if !ok || e.removed || e.runner.Started != i.Started || !e.limit.known || e.limit.started != i.Started {
		return Limit{}, false
	}
	uptime := v.clock.Uptime()
	return Limit{Incarnation: i, Rate: e.limit.rate, Age: uptime - e.limit.latest, MaxAge: uptime - e.limit.earliest}, true
}

// LimitedCount returns the number of listed runners of a service that have named a limit.
func (v *View) LimitedCount(service string) int {
	return v.count(service, func(e *entry) bool { return e.limitRate() > 0 })
}
