// Package drwarmup decides which VMs may send requests to runners that bear few requests a
// second from all VMs together: those that are cold, and those that have named a limit. The
// controller gives permits for single requests to the VMs whose requests wait for what the
// runner holds; they end by themselves, so that a VM that is cut off or suspended has none.
// drwarmup does no input or output.
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

// Bound says how many requests a runner bears in any span of the length Window:
// rate x Window x Overage + Slack, if rate is the requests per second that it states.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// Within returns the bound b with no more overage and slack than other.
func (b Bound) Within(other Bound) Bound {
	return Bound{Window: b.Window, Overage: min(b.Overage, other.Overage), Slack: min(b.Slack, other.Slack)}
}

// LimitBound is the bound of runners that have named a limit.
var LimitBound = Bound{Window: 4 * time.Second, Overage: 1.25, Slack: 2}

// Rate is how many requests a runner bears.
type Rate struct {
	PerSecond float64
	Bound     Bound
}

// requests returns how many requests a runner bears in a window.
func (r Rate) requests() float64 {
	return r.PerSecond*r.Bound.Window.Seconds()*r.Bound.Overage + r.Bound.Slack
}

// usable returns the permits per second and the permits at once that keep the bound. The
// requests of a window use permits that were given in it or PermitTime before.
func (r Rate) usable() (perSecond, atOnce float64) {
	atOnce = max(r.Bound.Slack, 1)
	perSecond = min(r.PerSecond, (r.requests()-atOnce)/(r.Bound.Window+PermitTime).Seconds())
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
func NewBudget(now time.Duration) *Budget {
	return &Budget{opensAt: now + PermitTime, levels: make(map[Incarnation]level)}
}

// Available returns how many permits for a runner could be given now.
func (b *Budget) Available(runner Incarnation, rate Rate, now time.Duration) int {
	return int(b.current(runner, rate, now).permits)
}

// Give gives up to a number of permits for a runner, and returns how many. They end
// PermitTime from now.
func (b *Budget) Give(runner Incarnation, rate Rate, wanted int, now time.Duration) int {
	l := b.current(runner, rate, now)
	given := max(min(wanted, int(l.permits)), 0)
	l.permits -= float64(given)
	b.levels[runner] = l
	return given
}

// current returns the level of a runner, which rises from nothing once former permits
// have ended.
func (b *Budget) current(runner Incarnation, rate Rate, now time.Duration) level {
	l, known := b.levels[runner]
	if !known {
		l.at = b.opensAt
	}
	if now <= l.at {
		return l
	}
	perSecond, atOnce := rate.usable()
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
