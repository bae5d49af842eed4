package drtokenpool

import "time"

const (
	// grantDuration is how long the tokens granted to a VM in advance should last
	// at its recent rate.
	grantDuration = 400 * time.Millisecond
	// grantShareFactor times a VM's share of the requested tokens, within
	// minGrantFraction and maxGrantFraction, is the fraction of the account's
	// level that one grant may take, so that tokens are left for other VMs.
	grantShareFactor = 2
	minGrantFraction = 0.02
	maxGrantFraction = 0.5
	// demandTimeout is how long after its last report the requests of a VM
	// count as demand.
	demandTimeout = 2 * time.Second
)

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
	// Share is the fraction of the account that the VM would use now if no controller
	// answered, as it was last told; 0 if it was told none.
	Share float64
}

// Grant tells a VM how many tokens of an account it may spend.
type Grant struct {
	Granted float64 // total since the VM's process started
	// Share is the fraction of the account that the VM may use while no
	// controller answers, 0 if the controller has no limit for the account.
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
	a.updateShare(u, s.Share, now)
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
