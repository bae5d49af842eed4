// Package drtokenpool keeps client accounts within their rate and burst over all
// VMs together. The controller's Pool hands out allowances that the VMs'
// Allowances spend without asking.
package drtokenpool

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// grantDuration is how long an allowance should last at the VM's recent rate.
	grantDuration = 400 * time.Millisecond
	// rateWindow is the time over which a VM's rate is averaged.
	rateWindow = time.Second
	// shareWindow is the time over which a VM's spending is averaged to tell its
	// part: a VM of a large fleet has less than one request of an account a
	// second. evenShare is what of the account is divided evenly besides.
	shareWindow       = 8 * time.Second
	evenSplitFraction = 0.5
	// maxGrantFraction bounds one hand-out to a share of what is left, so that
	// another VM finds tokens too.
	maxGrantFraction = 0.1
	// idleLendFraction is the part of the tokens that VMs hold idle which the pool
	// admits requests of other VMs against.
	idleLendFraction = 0.5
	// initialLevelFraction is the part of the burst that an account starts with if no
	// former controller passed on what was left of it.
	initialLevelFraction = 0.25
	// maxHandoverAge bounds the time between the last count of a former
	// controller and the start of the next; clocks of VMs may differ.
	maxHandoverAge = 4 * time.Second
	// maxSilentTime is how long a VM that does not report may go on spending its
	// part of the rate: after that it can no longer confirm its configuration
	// and refuses requests, or has been forgotten.
	maxSilentTime = 6 * time.Second
	// refusalWindow is the time over which refused tokens are averaged.
	refusalWindow = time.Second
	// maxRetryAfter bounds how long a client is asked to wait.
	maxRetryAfter = 5 * time.Second
)

// Limit is the rate and burst of a client account, in tokens.
type Limit struct {
	Rate  float64 // per second
	Burst float64
}

// Pool holds the tokens of the client accounts of a fleet. It is safe for
// concurrent use.
type Pool struct {
	clock    drclock.Clock
	mu       sync.Mutex
	accounts map[string]*account
	// inheritedLevels are the levels of a former controller, and the time since.
	inheritedLevels map[string]float64
	inheritedAge    time.Duration
}

type account struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	vms        map[string]*vmUsage
	// unreportedSpending is what the VMs may have spent between the last count of a
	// former controller and the start of this one. It covers what they report
	// until reportedBy; the rest belongs to VMs that are gone.
	unreportedSpending float64
	reportDeadline     time.Time
	// refusedRate is the average rate of tokens that were refused, in tokens per
	// second.
	refusedRate float64
	refusedAt   time.Time
}

// vmUsage is a VM's part of an account.
type vmUsage struct {
	granted, spent float64 // since the VM's process started
	rate           float64 // tokens per second
	shareRate      float64 // the same, averaged over shareWindow
	reportedAt     time.Time
	// share is the part of the rate that the VM was told last.
	share float64
	// reserved are the tokens set aside for the VM while it is silent, up to
	// reservedAt.
	reserved      float64
	reservedUntil time.Time
}

// NewPool returns a pool without accounts.
func NewPool(c drclock.Clock) *Pool {
	return &Pool{clock: c, accounts: make(map[string]*account)}
}

// Inherit takes the levels that a former controller counted some time ago. It
// is called before SetLimits.
func (p *Pool) Inherit(levels map[string]float64, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inheritedLevels, p.inheritedAge = levels, min(max(age, 0), maxHandoverAge)
}

// Levels returns what is left of each account.
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

// newAccount returns an account as it starts. After a change of the controller the
// level is the last one counted: the rate of the time since then counts as
// spent, because VMs spend without a controller too and those that have ended
// cannot report it.
func (p *Pool) newAccount(name string, l Limit) *account {
	now := p.clock.Now()
	a := &account{limit: l, level: l.Burst * initialLevelFraction, refilledAt: now, vms: make(map[string]*vmUsage)}
	if level, ok := p.inheritedLevels[name]; ok {
		a.level = min(level, l.Burst)
		a.unreportedSpending, a.reportDeadline = p.inheritedAge.Seconds()*l.Rate, now.Add(maxSilentTime)
	}
	return a
}

// charge takes tokens that VMs spent on their own.
func (a *account) charge(tokens float64, now time.Time) {
	if tokens > 0 && now.Before(a.reportDeadline) {
		covered := min(tokens, a.unreportedSpending)
		a.unreportedSpending -= covered
		tokens -= covered
	}
	a.level -= tokens
}

// SetLimits takes the limits of all accounts with a limit.
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
	p.inheritedLevels = nil // an account that comes later starts anew
}

func (p *Pool) refill(a *account) {
	now := p.clock.Now()
	for _, u := range a.vms {
		a.level -= u.reserveWhileSilent(a.limit.Rate, max(a.level, 0), now)
	}
	a.level = min(a.level+now.Sub(a.refilledAt).Seconds()*a.limit.Rate, a.limit.Burst)
	a.refilledAt = now
}

// Grant is what a VM may spend for an account.
type Grant struct {
	Granted float64 // in all, since the VM's process started
	// Share is the VM's part of the account's recent spending, 0 if unknown.
	Share float64
	// Level is what no VM has been granted.
	Level float64
}

// Report takes what a VM has spent and been granted since its process started,
// and returns what it may spend in all. Tokens that the VM spent beyond its
// grant, which it does while it reaches no controller, are charged.
func (p *Pool) Report(vm, name string, spent, granted float64) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[name]
	if !ok {
		return Grant{Granted: granted} // the VM knows a newer configuration
	}
	p.refill(a)
	u := a.usage(vm, spent, granted, p.clock.Now())
	if spent < u.spent {
		*u = vmUsage{granted: granted, spent: spent, reportedAt: p.clock.Now()} // its process has restarted
	}
	u.updateRate(spent, p.clock.Now())
	a.charge(u.settle(spent), p.clock.Now())
	shortfall := u.rate*grantDuration.Seconds() - (u.granted - u.spent)
	if added := min(shortfall, a.level*maxGrantFraction); added > 0 {
		u.granted += added
		a.level -= added
	} else if surplus := u.granted - u.spent - 2*u.rate*grantDuration.Seconds(); surplus > 0 && u.rate > 0 {
		u.granted -= surplus / 2
		a.level = min(a.level+surplus/2, a.limit.Burst)
	}
	u.share = a.share(u)
	return Grant{Granted: u.granted, Share: u.share, Level: max(a.level, 0)}
}

// reserveWhileSilent sets aside what a silent VM may spend without the controller until
// now: its part of the rate, and at first of the account's level.
func (u *vmUsage) reserveWhileSilent(rate, poolLevel float64, now time.Time) float64 {
	from := u.reportedAt.Add(controllerTimeout)
	if u.reservedUntil.After(from) {
		from = u.reservedUntil
	}
	until := now
	if end := u.reportedAt.Add(maxSilentTime); until.After(end) {
		until = end
	}
	if !until.After(from) {
		return 0
	}
	tokens := until.Sub(from).Seconds() * rate * u.share
	if u.reservedUntil.Before(u.reportedAt) {
		tokens += poolLevel * u.share
	}
	u.reserved += tokens
	u.reservedUntil = until
	return tokens
}

// settle charges tokens that the VM spent beyond its grant, of which some may
// have been set aside. It returns the tokens to take from the account.
func (u *vmUsage) settle(spent float64) float64 {
	excess := max(spent-u.granted, 0)
	u.granted += excess
	owed := excess - u.reserved
	u.reserved = 0
	return owed
}

// share returns the holder's part of the account: of its recent spending, and
// of what is divided evenly. It is 0 while nothing has been spent.
func (a *account) share(u *vmUsage) float64 {
	total := 0.0
	for _, other := range a.vms {
		total += other.shareRate
	}
	if total <= 0 {
		return 0
	}
	return (1-evenSplitFraction)*u.shareRate/total + evenSplitFraction/float64(len(a.vms))
}

// idleTokens returns the tokens that VMs hold and have not spent.
func (a *account) idleTokens() float64 {
	sum := 0.0
	for _, u := range a.vms {
		sum += max(u.granted-u.spent, 0)
	}
	return sum
}

func (a *account) usage(vm string, spent, granted float64, now time.Time) *vmUsage {
	u, ok := a.vms[vm]
	if !ok {
		u = &vmUsage{granted: granted, spent: spent, reportedAt: now}
		a.vms[vm] = u
	}
	return u
}

// updateRate averages the VM's rate over rateWindow.
func (u *vmUsage) updateRate(spent float64, now time.Time) {
	elapsed := now.Sub(u.reportedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := (spent - u.spent) / elapsed
	u.rate += min(elapsed/rateWindow.Seconds(), 1) * (rate - u.rate)
	u.shareRate += min(elapsed/shareWindow.Seconds(), 1) * (rate - u.shareRate)
	u.spent, u.reportedAt = spent, now
}

// ErrUnknownAccount means that the pool has no limit of the client account.
var ErrUnknownAccount = errors.New("the client account has no limit here")

// Reserve takes tokens for one request that exceeds a VM's allowance. If there
// are too few, it returns when there will be enough. The error is
// ErrUnknownAccount.
func (p *Pool) Reserve(vm, name string, tokens float64) (ok bool, retryAfter time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, found := p.accounts[name]
	if !found {
		return false, 0, fmt.Errorf("%w: %q", ErrUnknownAccount, name)
	}
	p.refill(a)
	// A request above the burst is admitted from a full bucket, which it
	// overdraws; otherwise it would never run.
	// Tokens that other VMs hold idle are lent: they come back with their next
	// reports.
	available := a.level + a.idleTokens()*idleLendFraction
	if need := min(tokens, a.limit.Burst); available < need {
		a.recordRefusal(tokens, p.clock.Now())
		wait := time.Duration((need - available) / max(a.limit.Rate, 1) * float64(time.Second))
		return false, a.retryAfter(wait), nil
	}
	a.level -= tokens
	if u := a.vms[vm]; u != nil {
		u.granted += tokens
	}
	return true, 0, nil
}

// recordRefusal averages the rate of refused tokens over surgeWindow.
func (a *account) recordRefusal(tokens float64, now time.Time) {
	a.refusedRate *= math.Exp(-now.Sub(a.refusedAt).Seconds() / refusalWindow.Seconds())
	a.refusedRate += tokens / refusalWindow.Seconds()
	a.refusedAt = now
}

// retryAfter returns when a refused client should come back. While an account
// asks for more than its rate, tokens that come in are spent by new requests,
// and a client that came back at once would be refused again.
func (a *account) retryAfter(wait time.Duration) time.Duration {
	excess := min(a.refusedRate/max(a.limit.Rate, 1), 1)
	surge := time.Duration(excess * float64(maxRetryAfter))
	return min(max(wait, surge), maxRetryAfter)
}

// Forget drops a VM that is gone. What it held stays spent.
func (p *Pool) Forget(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		delete(a.vms, vm)
	}
}
