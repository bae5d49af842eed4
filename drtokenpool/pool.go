// Package drtokenpool enforces the token rate and burst of each client account
// over all VMs together. The controller's Pool grants tokens to VMs in advance;
// each VM's Allowances spends them without asking, asks the controller for single
// requests that exceed its grant, and uses a local bucket while no controller
// answers.
package drtokenpool

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// scarceDuration is how long the tokens of an account must last at its rate;
// with fewer the account counts as saturated.
const scarceDuration = 400 * time.Millisecond

// Limit is the rate and burst of a client account, in tokens.
type Limit struct {
	Rate  float64 // per second
	Burst float64
}

// Pool holds one token bucket per client account for the whole fleet. It runs on
// the controller and is safe for concurrent use.
type Pool struct {
	clock     drclock.Clock
	mu        sync.Mutex
	accounts  map[string]*account
	inherited Inheritance
	refused   *refusals
	// historyUnknown is set until the first SetLimits if accounts may have been
	// spent of before, by amounts that nobody knows.
	historyUnknown bool
}

// account is the token bucket of one client account. The level is in tokens and
// negative if the account is overdrawn.
type account struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	vms        map[string]*vmUsage
	// absent stands for the VMs that reported to a former controller and have not
	// reported to this one. They may be spending, as those that fell silent.
	// formerVMs is how many VMs reported to the former controller.
	absent    vmUsage
	formerVMs int
	// unreportedSpending is the number of tokens that VMs may have spent between
	// the last record of a former controller and the start of this one. They are
	// paid for already, because the bucket is not refilled for that time. So
	// spending that VMs report before reportDeadline is deducted from them
	// first. What remains then was spent by VMs that are gone.
	unreportedSpending float64
	reportDeadline     time.Time
	// refusedRate is the rate of refused tokens as of refusedAt, in tokens per
	// second, averaged over refusalWindow.
	refusedRate float64
	refusedAt   time.Time
	// lateLevel is the number of tokens set aside for late repeats as of
	// lateRefilledAt.
	lateLevel      float64
	lateRefilledAt time.Time
}

// NewPool returns a pool without accounts. Call Inherit, if a former controller
// handed over its levels, and then SetLimits before using it.
func NewPool(c drclock.Clock) *Pool {
	return &Pool{clock: c, accounts: make(map[string]*account), refused: newRefusals()}
}

// Levels returns the tokens left in each account, negative if it is overdrawn.
// Tokens that were granted to VMs are not included.
func (p *Pool) Levels() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	levels := make(map[string]float64, len(p.accounts))
	for name, a := range p.accounts {
		p.refill(a)
		levels[name] = a.level
	}
	return levels
}

// charge deducts tokens that a VM spent without a grant, first from
// unreportedSpending and then from the level. Negative tokens raise the level.
func (a *account) charge(tokens float64, now time.Time) {
	if tokens > 0 && now.Before(a.reportDeadline) {
		covered := min(tokens, a.unreportedSpending)
		a.unreportedSpending -= covered
		tokens -= covered
	}
	a.level -= tokens
}

// SetLimits replaces the limits of all accounts. Accounts that are not in limits
// are dropped, and new ones start with the inherited level, if any.
func (p *Pool) SetLimits(limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range limits {
		a, ok := p.accounts[name]
		if !ok {
			p.accounts[name] = p.newAccount(name, l)
			continue
		}
		p.refill(a)
		a.limit = l
		a.level = min(a.level, l.Burst)
	}
	for name := range p.accounts {
		if _, ok := limits[name]; !ok {
			delete(p.accounts, name)
		}
	}
	p.inherited, p.historyUnknown = Inheritance{}, false // accounts that are added later are new
}

// refill brings the level up to date: it deducts the tokens to set aside for VMs
// that do not report and adds the rate since the last refill, up to the burst. The
// caller holds p.mu.
func (p *Pool) refill(a *account) {
	now := p.clock.Now()
	for _, u := range a.vms {
		a.level -= u.reserveWhileSilent(a.limit.Rate, max(a.level, 0), now)
	}
	a.absent.share = a.absentShare()
	a.level -= a.absent.reserveWhileSilent(a.limit.Rate, max(a.level, 0), now)
	a.level = min(a.level+now.Sub(a.refilledAt).Seconds()*a.limit.Rate, a.limit.Burst)
	a.refilledAt = now
}

// saturated reports whether so few tokens are left in the pool that they must be given
// out one request at a time.
func (a *account) saturated() bool { return a.level < a.limit.Rate*scarceDuration.Seconds() }

// Forget removes a VM that has left the fleet. The tokens granted to it count as
// spent.
func (p *Pool) Forget(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		delete(a.vms, vm)
	}
}
