package drtokenpool

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// controllerTimeout is how long a VM relies on its grants after the
	// controller last answered; then it spends its part of the rate: that of
	// the recent spending, or an equal one.
	controllerTimeout = time.Second
	// initialBurstTime is how much of its part of the rate, in time, a new process may
	// save up, and what it starts with. All VMs may start at the same time, just
	// after their former processes spent the burst.
	initialBurstTime = 500 * time.Millisecond
	// slackFraction is the part of the permitted slack that the VMs may use
	// together while no controller answers. VMs are small, so that a bucket of
	// their part of the rate alone holds less than one request.
	slackFraction = 0.6
	// assumedVMs is the number of VMs before any controller has told it; a
	// high number keeps the sum of the shares within the rate.
	assumedVMs = 64
)

// Reserver asks the controller for tokens of one request. It is not ok if the
// controller cannot be reached.
type Reserver interface {
	Reserve(ctx context.Context, account string, tokens float64) (granted bool, retryAfter time.Duration, ok bool)
}

// Allowances are what one VM may admit. They are safe for concurrent use.
type Allowances struct {
	clock drclock.Clock

	mu                  sync.Mutex
	accounts            map[string]*allowance
	lastControllerReply time.Time
	vmCount             int
	slack               float64
}

type allowance struct {
	limit          Limit
	spent, granted float64
	// share is this VM's part of the fleet's recent spending, 0 if unknown.
	share float64
	// poolLevel is what no VM had been granted when the controller last answered.
	poolLevel float64
	// localLevel is this VM's bucket while no controller answers, which it is if
	// alone is set.
	localLevel      float64
	localRefilledAt time.Time
	usesLocalBucket bool
	// deniedUntil spares the controller requests that it would deny too.
	deniedUntil    time.Time
	smallestDenied float64 // tokens of the smallest denied request
	retryAfter     time.Duration
}

// NewAllowances returns an empty set.
func NewAllowances(c drclock.Clock) *Allowances {
	return &Allowances{clock: c, accounts: make(map[string]*allowance), vmCount: assumedVMs}
}

// SetLimits takes the limits of all accounts with a limit.
func (s *Allowances) SetLimits(limits map[string]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		a, ok := s.accounts[name]
		if !ok {
			s.accounts[name] = &allowance{limit: l}
			continue
		}
		if a.limit != l {
			a.limit = l
			a.deniedUntil = time.Time{}
		}
	}
	for name := range s.accounts {
		if _, ok := limits[name]; !ok {
			delete(s.accounts, name)
		}
	}
}

// Spending is what a VM has spent and been granted for an account.
type Spending struct {
	Account        string
	Spent, Granted float64
}

// Spendings returns what was spent since the process started.
func (s *Allowances) Spendings() []Spending {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Spending
	for name, a := range s.accounts {
		out = append(out, Spending{name, a.spent, a.granted})
	}
	return out
}

// SetGrant takes what an account may spend.
func (s *Allowances) SetGrant(account string, g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.accounts[account]; ok {
		a.granted, a.share, a.poolLevel = g.Granted, g.Share, g.Level
	}
}

// RecordControllerReply notes that the controller answered, and how many VMs it knows.
func (s *Allowances) RecordControllerReply(vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastControllerReply, s.vmCount = s.clock.Now(), max(vms, 1)
	for _, a := range s.accounts {
		a.usesLocalBucket = false
	}
}

// SetSlack sets the tokens by which an account may exceed its limit in a while.
func (s *Allowances) SetSlack(tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slack = tokens
}

// AssumeVMs takes a number of VMs that a former controller knew, unless a present
// one has told it.
func (s *Allowances) AssumeVMs(vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastControllerReply.IsZero() && vms > 0 {
		s.vmCount = vms
	}
}

// VMs returns the number of VMs that the controller knew last.
func (s *Allowances) VMs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vmCount
}

// Admission is the outcome of Admit.
type Admission struct {
	Admitted bool
	Basis    Basis
	// RetryAfter is when a refused client should come back.
	RetryAfter time.Duration
}

// Admit spends tokens of an account, by grant, by asking the controller, or
// from this VM's share if the controller does not answer.
func (s *Allowances) Admit(ctx context.Context, r Reserver, account string, tokens float64) Admission {
	if a, decided := s.admitLocally(account, tokens); decided {
		return a
	}
	granted, retryAfter, reached := r.Reserve(ctx, account, tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, found := s.accounts[account]
	switch {
	case !found:
		return Admission{Admitted: true, Basis: ByNoLimit}
	case !reached:
		return s.admitFromLocalBucket(a, tokens)
	case granted:
		a.spent += tokens
		a.granted += tokens
		return Admission{Admitted: true, Basis: ByController}
	}
	now := s.clock.Now()
	if a.deniedUntil.Before(now) || tokens < a.smallestDenied {
		a.smallestDenied = tokens
	}
	a.deniedUntil, a.retryAfter = now.Add(min(retryAfter, maxDenialReuse)), retryAfter
	return Admission{Basis: ByController, RetryAfter: retryAfter}
}

// maxDenialReuse bounds how long a denial is repeated without asking again. A large
// account earns the tokens of a request in some 10 ms.
const maxDenialReuse = 15 * time.Millisecond

// admitLocally decides without the controller if it can.
func (s *Allowances) admitLocally(account string, tokens float64) (admission Admission, decided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.accounts[account]
	if !found {
		return Admission{Admitted: true, Basis: ByNoLimit}, true
	}
	if entry.spent+tokens <= entry.granted {
		entry.spent += tokens
		return Admission{Admitted: true, Basis: ByGrant}, true
	}
	now := s.clock.Now()
	if now.Before(entry.deniedUntil) && tokens >= entry.smallestDenied {
		return Admission{Basis: ByRepeatedRefusal, RetryAfter: entry.retryAfter}, true
	}
	if now.Sub(s.lastControllerReply) > controllerTimeout {
		return s.admitFromLocalBucket(entry, tokens), true
	}
	return Admission{}, false
}

// admitFromLocalBucket admits tokens from this VM's part of the account: of what was left
// when the controller last answered, and of the rate since. A request larger
// than what can be saved up overdraws it.
func (s *Allowances) admitFromLocalBucket(a *allowance, tokens float64) Admission {
	share := 1 / float64(s.vmCount)
	if a.share > 0 {
		share = a.share
	}
	rate := a.limit.Rate * share
	initial, capacity := rate*initialBurstTime.Seconds(), rate*initialBurstTime.Seconds()
	if a.share > 0 {
		slack := s.slack * slackFraction * share
		initial, capacity = a.poolLevel*share+slack, a.limit.Burst*share+slack
	}
	now := s.clock.Now()
	if !a.usesLocalBucket {
		a.usesLocalBucket, a.localLevel, a.localRefilledAt = true, initial, now
	}
	a.localLevel = min(a.localLevel+now.Sub(a.localRefilledAt).Seconds()*rate, capacity)
	a.localRefilledAt = now
	if need := min(tokens, capacity); a.localLevel < need {
		wait := time.Duration((need - a.localLevel) / math.Max(rate, 1) * float64(time.Second))
		return Admission{Basis: ByShare, RetryAfter: min(wait, maxRetryAfter)}
	}
	a.localLevel -= tokens
	a.spent += tokens
	return Admission{Admitted: true, Basis: ByShare}
}
