package drtokenpool

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// controllerTimeout is the time after the controller's last reply at which a
	// VM stops asking it and admits requests that exceed its grant from a local
	// bucket. The bucket gets the VM's fraction of the account's recent spending,
	// or an equal fraction if that is unknown.
	controllerTimeout = time.Second
	// maxUnheardTime is how long a VM spends its fraction while a controller leads that it does
	// not reach. It is over before that controller gives the fraction to others, with the time
	// that a report may take to be answered.
	maxUnheardTime = maxSilentTime - time.Second
	// initialBurstTime sizes the local bucket of a process that knows no spending
	// yet: the bucket starts with, and holds at most, what the VM's fraction of
	// the rate yields in this time. It is short because all VMs may restart at
	// once, just after their former processes spent the burst.
	initialBurstTime = 500 * time.Millisecond
	// slackFraction is the fraction of the slack (see SetSlack) that all VMs
	// together may use at once while no controller answers; it is refilled over
	// slackWindow. VMs are small: without the slack, a bucket of one VM's
	// fraction holds less than one request.
	slackFraction = 0.5
	slackWindow   = 8 * time.Second
	// unansweredPause is how long a VM does not ask the controller again after
	// a call that it did not answer in time.
	unansweredPause = 250 * time.Millisecond
	// defaultSaturatedCalls is how many calls a second all VMs together make to the
	// controller about requests of saturated accounts until the controller states
	// how many it can answer, and minSaturatedCalls how many each VM may make at
	// least.
	defaultSaturatedCalls = 300.0
	minSaturatedCalls     = 1.0
	// retryAfterSpread bounds the random deviation of the retry-after times that
	// refused clients get, as a fraction, so that they do not return together.
	retryAfterSpread = 0.25
	// assumedVMs is the fleet size that a VM assumes until a controller reports
	// the real one. A high number keeps the sum of the local buckets within the
	// rate.
	assumedVMs = 64
)

// Reserver asks the controller for the tokens of one request. ok is false if
// the controller cannot be reached.
type Reserver interface {
	Reserve(ctx context.Context, account string, tokens float64) (r Reservation, ok bool)
}

// Allowances holds the tokens that one VM may spend, by client account. It is
// safe for concurrent use.
type Allowances struct {
	clock drclock.Clock

	mu                  sync.Mutex
	accounts            map[string]*allowance
	lastControllerReply time.Time
	leader              leader
	vmCount             int
	slack               float64
	// calls is the number of calls that may be made now about requests of
	// saturated accounts, as of callsAt. All VMs together make callRate a second.
	calls    float64
	callsAt  time.Time
	callRate float64
}

// leader is the controller that is known to lead: its term, 0 if there is none, since when
// this VM has known of it, and until when its lease lasts by what is known.
type leader struct {
	term         uint64
	since, until time.Time
}

// allowance is the state of one client account on this VM. Amounts are in
// tokens; spent, granted and requested count from the start of the process.
type allowance struct {
	limit                              Limit
	spent, granted, requested, unasked float64
	// share is this VM's fraction of the fleet's recent spending, 0 if unknown.
	share float64
	// poolLevel is the number of tokens that the controller had left to grant
	// when it last answered.
	poolLevel float64
	// saturated is set if the controller last said so; it is then not asked about
	// each request beyond the grant.
	saturated bool
	// localLevel is the number of tokens in the local bucket, from which requests
	// are admitted while no controller answers. It is valid if usesLocalBucket is
	// set.
	localLevel      float64
	localRefilledAt time.Time
	usesLocalBucket bool
	// slackSpent is the part of the slack that the local bucket has used up, as
	// of slackSpentAt. A controller that answers now and then does not give it
	// back; it returns over slackWindow.
	slackSpent   float64
	slackSpentAt time.Time
	// Until deniedUntil, requests of at least smallestDenied tokens are refused
	// without asking the controller, which would deny them too.
	deniedUntil    time.Time
	smallestDenied float64
	retryAfter     time.Duration
	// Until unansweredUntil, the controller is not asked, because it did not
	// answer the last call.
	unansweredUntil time.Time
}

// NewAllowances returns allowances without accounts: Admit admits every request
// until SetLimits is called.
func NewAllowances(c drclock.Clock) *Allowances {
	return &Allowances{clock: c, accounts: make(map[string]*allowance), vmCount: assumedVMs, callRate: defaultSaturatedCalls}
}

// SetLimits replaces the limits of all accounts. Accounts that are not in limits
// become unlimited and their counters are dropped.
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

// Spendings returns the spending of each account with a limit, in no particular
// order, for a report to the controller.
func (s *Allowances) Spendings() []Spending {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Spending
	for name, a := range s.accounts {
		out = append(out, Spending{Account: name, Spent: a.spent, Granted: a.granted, Requested: a.requested, Unasked: a.unasked, Share: a.share})
	}
	return out
}

// SetGrant applies the controller's grant for an account. It does nothing if the
// account has no limit on this VM.
func (s *Allowances) SetGrant(account string, g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return
	}
	a.granted, a.share, a.poolLevel, a.saturated = g.Granted, g.Share, g.Level, g.Saturated
	if g.Saturated {
		a.retryAfter = g.RetryAfter
	}
}

// RecordControllerReply records that the controller answered now and how many
// VMs it knows, and ends the use of local buckets.
func (s *Allowances) RecordControllerReply(vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastControllerReply, s.vmCount = s.clock.Now(), max(vms, 1)
	for _, a := range s.accounts {
		a.usesLocalBucket = false
	}
}

// RecordLeader records that the lease of the controller of a term lasts for a time by what the
// store says, or with term 0 that no controller holds it. A VM that reads that a controller leads
// and gets no replies from it must stop spending its fraction, which others get after a time.
func (s *Allowances) RecordLeader(term uint64, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if term != s.leader.term {
		s.leader = leader{term: term, since: now}
	}
	s.leader.until = now.Add(left)
}

// unheard returns for how long a controller that leads has not replied to this VM, 0 if none is
// known to lead. The caller holds s.mu.
func (s *Allowances) unheard(now time.Time) time.Duration {
	l := s.leader
	if l.term == 0 || !now.Before(l.until) {
		return 0
	}
	return min(now.Sub(l.since), now.Sub(s.lastControllerReply))
}

// SetSlack sets the number of tokens by which an account may exceed its limit
// during a controller outage. The VMs share it; the default is 0.
func (s *Allowances) SetSlack(tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slack = tokens
}

// SetCallRate sets how many calls a second about single requests of saturated accounts
// the controller answers for all VMs together. The more it answers, the more of the
// requests within an account's rate are the ones that are admitted. A rate of 0 stands for
// the default.
func (s *Allowances) SetCallRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond <= 0 {
		perSecond = defaultSaturatedCalls
	}
	s.callRate = perSecond
}

// AssumeVMs sets the fleet size that a former controller recorded. It does
// nothing once a controller has answered this process, or if vms is 0.
func (s *Allowances) AssumeVMs(vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastControllerReply.IsZero() && vms > 0 {
		s.vmCount = vms
	}
}

// VMs returns the fleet size by the last reply of a controller, or the assumed
// one.
func (s *Allowances) VMs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vmCount
}

// Admission is the result of Admit: whether the request was admitted, and on
// what basis.
type Admission struct {
	Admitted bool
	Basis    Basis
	// RetryAfter is how long a refused client should wait before it retries; it is
	// 0 if the request was admitted.
	RetryAfter time.Duration
	// Unheard is for how long the controller has not replied, set with ByExpiredShare.
	Unheard time.Duration
}

// Admit spends tokens of an account: from the grant if that suffices, else by
// asking the controller through r, or from the local bucket if the controller
// does not answer. It blocks for the call to the controller.
func (s *Allowances) Admit(ctx context.Context, r Reserver, account string, tokens float64) Admission {
	if a, decided := s.admitLocally(account, tokens); decided {
		return a
	}
	reservation, reached := r.Reserve(ctx, account, tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, found := s.accounts[account]
	now := s.clock.Now()
	switch {
	case !found:
		return Admission{Admitted: true, Basis: ByNoLimit}
	case !reached:
		a.unansweredUntil = now.Add(unansweredPause)
		return s.admitFromLocalBucket(a, tokens)
	case reservation.Granted:
		a.spent += tokens
		a.granted += tokens
		return Admission{Admitted: true, Basis: ByController}
	}
	return a.recordDenial(reservation, tokens, now)
}

// recordDenial keeps what the controller's denial of a request says about later ones, and
// returns the refusal. What it says about a repeated request holds for that one only.
func (a *allowance) recordDenial(r Reservation, tokens float64, now time.Time) Admission {
	a.saturated = r.Saturated
	if r.Repeated {
		return Admission{Basis: ByFirstComers, RetryAfter: spread(r.RetryAfter)}
	}
	if a.deniedUntil.Before(now) || tokens < a.smallestDenied {
		a.smallestDenied = tokens
	}
	a.deniedUntil, a.retryAfter = now.Add(min(r.Refill, maxDenialReuse)), r.RetryAfter
	return Admission{Basis: ByController, RetryAfter: spread(a.retryAfter)}
}

// spread returns a retry-after time with a random deviation.
func spread(retryAfter time.Duration) time.Duration {
	return time.Duration(float64(retryAfter) * (1 + retryAfterSpread*(2*rand.Float64()-1)))
}

// maxDenialReuse bounds how long a denial by the controller is reused for
// further requests. The rate of a large account yields the tokens of one
// request in about 10 ms, so an older denial may be wrong.
const maxDenialReuse = 15 * time.Millisecond

// admitLocally decides without a call to the controller; decided is false if the
// controller has to be asked.
func (s *Allowances) admitLocally(account string, tokens float64) (admission Admission, decided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.accounts[account]
	if !found {
		return Admission{Admitted: true, Basis: ByNoLimit}, true
	}
	entry.requested += tokens
	if entry.spent+tokens <= entry.granted {
		entry.spent += tokens
		return Admission{Admitted: true, Basis: ByGrant}, true
	}
	now := s.clock.Now()
	switch {
	case now.Sub(s.lastControllerReply) > controllerTimeout:
		return s.admitFromLocalBucket(entry, tokens), true
	case now.Before(entry.deniedUntil) && tokens >= entry.smallestDenied:
		return Admission{Basis: ByRepeatedRefusal, RetryAfter: spread(entry.retryAfter)}, true
	case now.Before(entry.unansweredUntil):
		return s.admitFromLocalBucket(entry, tokens), true
	case entry.saturated && !s.takeCall(now):
		entry.unasked += tokens
		return Admission{Basis: BySaturation, RetryAfter: spread(entry.retryAfter)}, true
	}
	return Admission{}, false
}

// takeCall takes one of the calls that this VM may make about requests of saturated
// accounts, and reports whether there was one. The caller holds s.mu.
func (s *Allowances) takeCall(now time.Time) bool {
	rate := max(s.callRate/float64(s.vmCount), minSaturatedCalls)
	s.calls = min(s.calls+now.Sub(s.callsAt).Seconds()*rate, rate)
	s.callsAt = now
	if s.calls < 1 {
		return false
	}
	s.calls--
	return true
}

// admitFromLocalBucket admits a request from the local bucket. The bucket starts
// with this VM's fraction of the tokens that were left when the controller last
// answered and is refilled with the same fraction of the rate. A request larger
// than the bucket is admitted when the bucket is full and overdraws it. Nothing is
// admitted once the controller may have given the fraction to others. The caller holds s.mu.
func (s *Allowances) admitFromLocalBucket(a *allowance, tokens float64) Admission {
	now := s.clock.Now()
	if unheard := s.unheard(now); unheard > maxUnheardTime {
		return Admission{Basis: ByExpiredShare, RetryAfter: spread(unansweredPause), Unheard: unheard}
	}
	share := 1 / float64(s.vmCount)
	if a.share > 0 {
		share = a.share
	}
	rate := a.limit.Rate * share
	initial, capacity := rate*initialBurstTime.Seconds(), rate*initialBurstTime.Seconds()
	slack := 0.0
	if a.share > 0 {
		initial, capacity = a.poolLevel*share, a.limit.Burst*share
		slack = a.refillSlack(s.slack*slackFraction*share, now)
	}
	if !a.usesLocalBucket {
		a.usesLocalBucket, a.localLevel, a.localRefilledAt = true, initial, now
	}
	a.localLevel = min(a.localLevel+now.Sub(a.localRefilledAt).Seconds()*rate, capacity)
	a.localRefilledAt = now
	if need := min(tokens, capacity+slack); a.localLevel+slack < need {
		wait := time.Duration((need - a.localLevel - slack) / math.Max(rate, 1) * float64(time.Second))
		return Admission{Basis: ByShare, RetryAfter: spread(min(wait, maxRetryAfter))}
	}
	a.localLevel -= tokens
	if a.localLevel < 0 && slack > 0 {
		used := min(-a.localLevel, slack)
		a.slackSpent += used
		a.localLevel += used
	}
	a.spent += tokens
	return Admission{Admitted: true, Basis: ByShare}
}

// refillSlack returns how much of the VM's part of the slack is left.
func (a *allowance) refillSlack(part float64, now time.Time) float64 {
	a.slackSpent = max(a.slackSpent-part*now.Sub(a.slackSpentAt).Seconds()/slackWindow.Seconds(), 0)
	a.slackSpentAt = now
	return max(part-a.slackSpent, 0)
}
