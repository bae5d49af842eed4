// Package drtokenpool enforces the token rate and burst of each client account
// over all VMs together. The controller's Pool grants tokens to VMs in advance;
// each VM's Allowances spends them without asking, asks the controller for single
// requests that exceed its grant, and uses a local bucket while no controller
// answers.
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
	// grantDuration is how long the tokens granted to a VM in advance should last
	// at its recent rate.
	grantDuration = 400 * time.Millisecond
	// rateWindow is the averaging time of the VM's rate that sizes its grants.
	rateWindow = time.Second
	// shareWindow is the averaging time of the spending that determines a VM's
	// fraction of an account. It is longer than rateWindow because a VM of a
	// large fleet gets less than one request of an account per second.
	// evenSplitFraction of the account is divided evenly among its VMs; only the
	// rest follows their spending.
	shareWindow       = 8 * time.Second
	evenSplitFraction = 0.5
	// grantShareFactor times a VM's share of the requested tokens, within
	// minGrantFraction and maxGrantFraction, is the fraction of the account's
	// level that one grant may take, so that tokens are left for other VMs.
	grantShareFactor = 2
	minGrantFraction = 0.02
	maxGrantFraction = 0.5
	// scarceDuration is how long the tokens of an account must last at its rate;
	// with fewer the account counts as saturated.
	scarceDuration = 400 * time.Millisecond
	// demandTimeout is how long after its last report the requests of a VM
	// count as demand.
	demandTimeout = 2 * time.Second
	// unknownLevelFraction is the fraction of the burst that an account starts
	// with after an unknown history: a former controller has spent of it, but
	// handed over no level.
	unknownLevelFraction = 0.25
	// maxHandoverAge bounds the age of inherited levels. The age compares the
	// clocks of two VMs, which may differ.
	maxHandoverAge = 4 * time.Second
	// maxSilentTime is how long a VM that does not report may go on spending its
	// fraction of the rate. After that it refuses requests because it can no
	// longer confirm its configuration, or it has been removed by Forget.
	maxSilentTime = 6 * time.Second
	// refusalWindow is the averaging time of the rate of refused tokens.
	refusalWindow = time.Second
	// maxRetryAfter bounds the retry-after time that a refused client is given.
	maxRetryAfter = 5 * time.Second
)

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

// Inheritance is what a former controller has recorded.
type Inheritance struct {
	// Levels are the tokens left by account, as of Age ago.
	Levels map[string]float64
	Age    time.Duration
	// VMs is the number of VMs that reported to it, 0 if unknown.
	VMs int
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
	absent vmUsage
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

// vmUsage is one VM's use of an account.
type vmUsage struct {
	granted, spent float64 // since the VM's process started
	requested      float64 // since the VM's process started, refused requests included
	unasked        float64 // since the VM's process started, see Spending
	// requestedRate and unaskedRate are in tokens per second, averaged over
	// rateWindow.
	requestedRate, unaskedRate float64
	shareRate                  float64 // tokens per second, averaged over shareWindow
	reportedAt                 time.Time
	// share is the fraction of the account that the VM was last told to use
	// while no controller answers.
	share float64
	// reserved is the number of tokens set aside for what the VM may have spent
	// without reporting it, up to reservedUntil.
	reserved      float64
	reservedUntil time.Time
}

// NewPool returns a pool without accounts. Call Inherit, if a former controller
// handed over its levels, and then SetLimits before using it.
func NewPool(c drclock.Clock) *Pool {
	return &Pool{clock: c, accounts: make(map[string]*account), refused: newRefusals()}
}

// Inherit sets what a former controller has recorded. It must be called before the
// first SetLimits, which uses up the levels.
func (p *Pool) Inherit(i Inheritance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.Age = min(max(i.Age, 0), maxHandoverAge)
	p.inherited = i
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

// AssumeHistory makes accounts without an inherited level start with a part of their
// burst: a former controller has granted tokens of them, but not handed over how many
// are left. It must be called before the first SetLimits.
func (p *Pool) AssumeHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyUnknown = true
}

// newAccount returns an account with its starting level, the full burst if it has never
// been used. After a change of the controller that is the last recorded level, without
// a refill for the time since: the tokens of that time count as spent, because VMs
// spend without a controller too and those that have ended cannot report it.
func (p *Pool) newAccount(name string, l Limit) *account {
	now := p.clock.Now()
	a := &account{limit: l, level: l.Burst, refilledAt: now, vms: make(map[string]*vmUsage)}
	if p.historyUnknown {
		a.level *= unknownLevelFraction
	}
	a.absent.reportedAt, a.lateRefilledAt = now, now
	if level, ok := p.inherited.Levels[name]; ok {
		a.level = min(level, l.Burst)
		a.unreportedSpending, a.reportDeadline = p.inherited.Age.Seconds()*l.Rate, now.Add(maxSilentTime)
	}
	return a
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
	p.inherited.Levels, p.historyUnknown = nil, false // accounts that are added later are new
}

// refill brings the level up to date: it deducts the tokens to set aside for VMs
// that do not report and adds the rate since the last refill, up to the burst. The
// caller holds p.mu.
func (p *Pool) refill(a *account) {
	now := p.clock.Now()
	for _, u := range a.vms {
		if u.share == 0 {
			a.level -= u.reserveEvenPart(a.limit.Rate/float64(len(a.vms)), now)
			continue
		}
		a.level -= u.reserveWhileSilent(a.limit.Rate, max(a.level, 0), now)
	}
	a.absent.share = p.absentShare(a)
	a.level -= a.absent.reserveWhileSilent(a.limit.Rate, max(a.level, 0), now)
	a.level = min(a.level+now.Sub(a.refilledAt).Seconds()*a.limit.Rate, a.limit.Burst)
	a.refilledAt = now
}

// absentShare returns the fraction of an account that belongs to the VMs that reported
// to a former controller and have not reported to this one.
func (p *Pool) absentShare(a *account) float64 {
	if p.inherited.VMs == 0 {
		return 0
	}
	return max(1-float64(len(a.vms))/float64(p.inherited.VMs), 0)
}

// Spending is what a VM has used of an account since its process started, in
// tokens.
type Spending struct {
	Account   string
	Spent     float64
	Granted   float64
	Requested float64 // of all requests, refused ones included
	// Unasked counts the requests that the VM refused without asking the
	// controller, because the account was saturated.
	Unasked float64
}

// Grant tells a VM how many tokens of an account it may spend.
type Grant struct {
	Granted float64 // total since the VM's process started
	// Share is the fraction of the account that the VM may use while no
	// controller answers, 0 if nothing has been spent recently.
	Share float64
	// Level is the number of tokens left in the pool, at least 0.
	Level float64
	// Saturated is set if few tokens are left. The VM then limits its calls
	// about single requests, because in a flood they would load the controller
	// without yielding more tokens. RetryAfter is how long refused clients
	// should wait.
	Saturated  bool
	RetryAfter time.Duration
}

// Report records a VM's spending and returns its new grant. Tokens that the VM spent
// beyond its grant, as it does while it reaches no controller, are deducted from the
// account. An account without limit gets no tokens.
func (p *Pool) Report(vm string, s Spending) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[s.Account]
	if !ok {
		return Grant{Granted: s.Granted} // the VM has a newer configuration
	}
	now := p.clock.Now()
	p.refill(a)
	s.Requested = max(s.Requested, s.Spent)
	u := a.usage(vm, s, now)
	if s.Spent < u.spent || s.Requested < u.requested {
		*u = vmUsage{granted: s.Granted, spent: s.Spent, requested: s.Requested, unasked: s.Unasked, reportedAt: now} // the VM's process has restarted
	}
	u.updateRates(s, now)
	a.charge(u.settle(s.Spent), now)
	a.grant(u, now)
	u.share = a.share(u)
	g := Grant{Granted: u.granted, Share: u.share, Level: max(a.level, 0)}
	if g.Saturated = a.saturated(); g.Saturated {
		g.RetryAfter = a.retryAfter(0, now)
	}
	return g
}

// grant moves tokens from the level to the VM's grant for what it is likely to need
// until its next reports, or back if it has more. Scarce tokens are kept in the pool,
// where the next request at any VM can get them; a VM then needs a grant only for what
// it cannot ask for.
func (a *account) grant(u *vmUsage, now time.Time) {
	needed, spare := u.requestedRate*grantDuration.Seconds(), 2.0
	if a.saturated() {
		needed, spare = u.unaskedRate*grantDuration.Seconds(), 1
	}
	unused := u.granted - u.spent
	if added := min(needed-unused, a.level*a.grantFraction(u, now)); added > 0 {
		u.granted += added
		a.level -= added
	} else if surplus := unused - spare*needed; surplus > 0 && u.requestedRate > 0 {
		u.granted -= surplus / 2
		a.level = min(a.level+surplus/2, a.limit.Burst)
	}
}

// grantFraction returns the fraction of the level that one grant to a VM may take.
func (a *account) grantFraction(u *vmUsage, now time.Time) float64 {
	total := a.requestedRate(now)
	if total <= 0 {
		return minGrantFraction
	}
	return min(max(grantShareFactor*u.requestedRate/total, minGrantFraction), maxGrantFraction)
}

// requestedRate returns the rate of the tokens that all VMs were asked for.
func (a *account) requestedRate(now time.Time) float64 {
	sum := 0.0
	for _, u := range a.vms {
		if now.Sub(u.reportedAt) < demandTimeout {
			sum += u.requestedRate
		}
	}
	return sum
}

// saturated reports whether so few tokens are left in the pool that they must be given
// out one request at a time.
func (a *account) saturated() bool { return a.level < a.limit.Rate*scarceDuration.Seconds() }

// reserveWhileSilent returns the tokens to set aside, besides those of earlier
// calls, for what a VM that does not report may have spent up to now: its share of
// the rate and, the first time after its last report, its share of poolLevel.
// Nothing is set aside for the first controllerTimeout after that report, nor for
// the time later than maxSilentTime after it.
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

// reserveEvenPart does what reserveWhileSilent does for a VM that was told no share,
// because nothing had been spent of the account. It spends an even part of the rate, and
// at first as much as that yields in initialBurstTime.
func (u *vmUsage) reserveEvenPart(rate float64, now time.Time) float64 {
	first := u.reservedUntil.Before(u.reportedAt)
	even := vmUsage{share: 1, reportedAt: u.reportedAt, reservedUntil: u.reservedUntil}
	tokens := even.reserveWhileSilent(rate, 0, now)
	if first && tokens > 0 {
		tokens += rate * initialBurstTime.Seconds()
	}
	u.reserved += tokens
	u.reservedUntil = even.reservedUntil
	return tokens
}

// settle raises the grant to cover what the VM spent beyond it and returns the
// tokens to deduct from the account: that excess less the tokens already set
// aside. The result is negative if too many were set aside.
func (u *vmUsage) settle(spent float64) float64 {
	excess := max(spent-u.granted, 0)
	u.granted += excess
	owed := excess - u.reserved
	u.reserved = 0
	return owed
}

// share returns the fraction of the account that a VM may use while no controller
// answers: partly by its recent spending, partly an even split among the VMs that
// report. It is 0 while nothing has been spent.
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

// usage returns the state of a VM. A VM that is not known yet starts with the
// totals that it reports.
func (a *account) usage(vm string, s Spending, now time.Time) *vmUsage {
	u, ok := a.vms[vm]
	if !ok {
		u = &vmUsage{granted: s.Granted, spent: s.Spent, requested: s.Requested, unasked: s.Unasked, reportedAt: now}
		a.vms[vm] = u
	}
	return u
}

// updateRates records the VM's new totals and updates the averages of their rates. It
// does nothing if no time has passed since the last report.
func (u *vmUsage) updateRates(s Spending, now time.Time) {
	elapsed := now.Sub(u.reportedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	u.requestedRate += min(elapsed/rateWindow.Seconds(), 1) * ((s.Requested-u.requested)/elapsed - u.requestedRate)
	u.unaskedRate += min(elapsed/rateWindow.Seconds(), 1) * ((s.Unasked-u.unasked)/elapsed - u.unaskedRate)
	u.shareRate += min(elapsed/shareWindow.Seconds(), 1) * ((s.Spent-u.spent)/elapsed - u.shareRate)
	u.spent, u.requested, u.unasked, u.reportedAt = s.Spent, s.Requested, s.Unasked, now
}

// ErrUnknownAccount means that the pool has no limit for the client account, for
// example because the VM has a newer configuration than the controller.
var ErrUnknownAccount = errors.New("the controller has no token limit for the client account")

// Reservation is the answer to a request for the tokens of one request. Saturated is
// as in Grant; RetryAfter and Refill are set only if Granted is not.
type Reservation struct {
	Granted   bool
	Saturated bool
	// Repeated is set if the request was refused shortly before.
	Repeated   bool
	RetryAfter time.Duration
	// Refill is how long a request of the same size that arrives later would be
	// denied, too, because the tokens are not there yet.
	Refill time.Duration
}

// Reserve deducts tokens for one request of which nothing else is known. The only error
// is ErrUnknownAccount.
func (p *Pool) Reserve(vm, name string, tokens float64) (Reservation, error) {
	return p.Claim(vm, name, Claim{Tokens: tokens})
}

// Claim deducts tokens for one request that exceeds the VM's grant. Requests that come
// for the first time, or come back within their objective, get them in the order of the
// calls. Those that come back later get lateShare of the rate, and what the others leave.
// The only error is ErrUnknownAccount.
func (p *Pool) Claim(vm, name string, c Claim) (Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, found := p.accounts[name]
	if !found {
		return Reservation{}, fmt.Errorf("%w: %q", ErrUnknownAccount, name)
	}
	now := p.clock.Now()
	p.refill(a)
	standing := p.standing(c, now)
	if need := a.need(c, standing, now); a.level < need {
		a.recordRefusal(c.Tokens, now)
		p.refused.add(c.Identity, now)
		refill := time.Duration((need - a.level) / max(a.limit.Rate, 1) * float64(time.Second))
		return Reservation{
			Saturated: a.saturated(), Repeated: standing.repeated, RetryAfter: a.returnTime(c, refill, now), Refill: reuseTime(c, refill, standing),
		}, nil
	}
	p.refused.remove(c.Identity)
	a.spendClaim(c, standing)
	if u := a.vms[vm]; u != nil {
		u.granted += c.Tokens
	}
	return Reservation{Granted: true, Repeated: standing.repeated}, nil
}

// recordRefusal adds refused tokens to the decaying average of their rate.
func (a *account) recordRefusal(tokens float64, now time.Time) {
	a.refusedRate *= math.Exp(-now.Sub(a.refusedAt).Seconds() / refusalWindow.Seconds())
	a.refusedRate += tokens / refusalWindow.Seconds()
	a.refusedAt = now
}

// retryAfter returns how long a refused client should wait before it retries: at
// least wait, the time until the tokens are refilled, up to maxRetryAfter. It is
// longer while the account sends more than its rate, because new requests then
// spend the refilled tokens and an early retry would be refused again.
func (a *account) retryAfter(wait time.Duration, now time.Time) time.Duration {
	refusedRate := max(a.refusedRate, a.requestedRate(now)-a.limit.Rate)
	excess := min(refusedRate/max(a.limit.Rate, 1), 1)
	surge := time.Duration(excess * float64(maxRetryAfter))
	return min(max(wait, surge), maxRetryAfter)
}

// Forget removes a VM that has left the fleet. The tokens granted to it count as
// spent.
func (p *Pool) Forget(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		delete(a.vms, vm)
	}
}
