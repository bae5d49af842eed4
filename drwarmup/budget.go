// Package drwarmup decides which VMs may send requests to runners that are cold. Such a
// runner bears few requests a second from all VMs together. The controller gives permits
// for single requests to the VMs whose requests wait for what the runner holds; they end
// by themselves, so that a VM that is cut off or suspended has none. drwarmup does no
// input or output.
package drwarmup

import (
	"maps"
	"time"
)

// PermitTime is how long after it was given a permit ends. It is the time in which
// permits are on their way and used.
const PermitTime = 250 * time.Millisecond

// refillTime is a time in which the level of each runner rises to its limit.
const refillTime = time.Minute

// Bound says how many requests a cold runner bears in one second:
// rate x Overage + Slack, if rate is the requests per second that it states.
type Bound struct {
	Overage, Slack float64
}

// requests returns how many requests a runner bears in one second.
func (b Bound) requests(rate float64) float64 { return rate*b.Overage + b.Slack }

// usable returns the permits per second and the permits at once that keep a bound. The
// requests of one second use permits that were given in that second or PermitTime before.
func (b Bound) usable(rate float64) (perSecond, atOnce float64) {
	atOnce = max(b.Slack, 1)
	perSecond = min(rate, (b.requests(rate)-atOnce)/(1+PermitTime.Seconds()))
	return perSecond, atOnce
}

// Incarnation is one incarnation of a runner.
type Incarnation struct {
	Runner  string
	Started int64
}

// Budget gives the permits of one controller for all runners. All times are uptimes, which
// also pass while the VM is suspended. Not safe for concurrent use.
type Budget struct {
	bound Bound
	// opensAt is when the permits of former controllers have ended.
	opensAt time.Duration
	levels  map[Incarnation]level
}

// level is the number of permits that may be given at once, as of a time.
type level struct {
	permits float64
	at      time.Duration
}

// NewBudget returns the budget of a controller that begins now. The controllers before it
// give no more permits.
func NewBudget(bound Bound, now time.Duration) *Budget {
	return &Budget{bound: bound, opensAt: now + PermitTime, levels: make(map[Incarnation]level)}
}

// Available returns how many permits for a runner that bears a rate of requests per second
// could be given now.
func (b *Budget) Available(runner Incarnation, rate float64, now time.Duration) int {
	return int(b.current(runner, rate, now).permits)
}

// Give gives up to a number of permits for a runner, and returns how many. They end
// PermitTime from now.
func (b *Budget) Give(runner Incarnation, rate float64, wanted int, now time.Duration) int {
	l := b.current(runner, rate, now)
	given := max(min(wanted, int(l.permits)), 0)
	l.permits -= float64(given)
	b.levels[runner] = l
	return given
}

// current returns the level of a runner, which rises from nothing once former permits
// have ended.
func (b *Budget) current(runner Incarnation, rate float64, now time.Duration) level {
	l, known := b.levels[runner]
	if !known {
		l.at = b.opensAt
	}
	if now <= l.at {
		return l
	}
	perSecond, atOnce := b.bound.usable(rate)
	if perSecond <= 0 {
		return level{at: now}
	}
	return level{min(l.permits+perSecond*(now-l.at).Seconds(), atOnce), now}
}

// Forget drops the runners that were given no permits for long. They have their full level
// again, as runners that are not known.
func (b *Budget) Forget(now time.Duration) {
	maps.DeleteFunc(b.levels, func(_ Incarnation, l level) bool { return now-l.at > refillTime })
}
