package drtokenshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// account is the borrowing side of one client account on this VM: it borrows
// tokens from the holders of the account's shares and gives them to requests in
// order of arrival.
type account struct {
	limiter *Limiter
	name    string
	wakeup  chan struct{}

	mu          sync.Mutex
	limit       drconfig.Limit
	loans       []*borrowedLoan // oldest first, with tokens left
	unreported  []*borrowedLoan // with changes to report to their holders
	waiters     []*waiter
	lenders     map[process]*lender
	demand      demand
	pumping     bool
	reportedAt  time.Time
	lastReplyAt time.Time // last reply of a holder; not of this VM's own one while it is recentlyOpened
	sequence    uint64
	fixedBucket *bucket // for EqualShares
}

func newAccount(l *Limiter, name string) *account {
	return &account{
		limiter: l, name: name,
		wakeup:  make(chan struct{}, 1),
		lenders: make(map[process]*lender),
	}
}

// reserve waits for tokens for at most wait, or for noReplyWait if that is longer
// and no holder replies within wait.
func (a *account) reserve(ctx context.Context, tokens float64, limit drconfig.Limit, now time.Time, wait, noReplyWait time.Duration) (*Reservation, error) {
	a.mu.Lock()
	a.demand.add(tokens, now)
	queued := a.queuedTokens()
	// Refuse at once: even if this VM got the whole burst and rate of the account,
	// the requests ahead would use up the tokens that arrive within the wait.
	if len(a.waiters) > 0 && queued+tokens > limit.Burst+limit.Rate*wait.Seconds() {
		a.mu.Unlock()
		return nil, a.overRateError(tokens, queued+tokens-limit.Burst, limit)
	}
	w := &waiter{tokens: tokens, deadline: now.Add(wait), granted: make(chan *Reservation, 1)}
	a.waiters = append(a.waiters, w)
	a.grantWaiters(now)
	a.startPump()
	a.mu.Unlock()
	select {
	case r := <-w.granted:
		return r, nil
	default:
	}
	if r := a.await(ctx, w, wait); r != nil {
		return r, nil
	}
	if noReplyWait > wait && ctx.Err() == nil && a.extend(w, now, noReplyWait) {
		if r := a.await(ctx, w, noReplyWait-wait); r != nil {
			return r, nil
		}
	}
	return a.withdraw(ctx, w, limit)
}

// await waits for the reservation of w. It returns nil if there is none within wait
// or before ctx ends.
func (a *account) await(ctx context.Context, w *waiter, wait time.Duration) *Reservation {
	t := a.limiter.config.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-w.granted:
		return r
	case <-t.C():
	case <-ctx.Done():
	}
	return nil
}

// extend moves the deadline of a waiter that arrived at now to noReplyWait after its
// arrival. It returns false and changes nothing if a holder has replied since.
func (a *account) extend(w *waiter, now time.Time, noReplyWait time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastReplyAt.After(now) {
		return false
	}
	w.deadline = now.Add(noReplyWait)
	return true
}

// withdraw removes a waiter from the queue and returns the refusal, or the
// reservation if the waiter was granted in the meantime.
func (a *account) withdraw(ctx context.Context, w *waiter, limit drconfig.Limit) (*Reservation, error) {
	a.mu.Lock()
	select {
	case r := <-w.granted:
		a.mu.Unlock()
		return r, nil
	default:
	}
	// The estimate is taken before the waiter is removed, because tokens that no
	// waiter needs are given back then.
	estimate := a.estimateTokens(a.limiter.config.Clock.Now())
	ahead := 0.0
	for i, other := range a.waiters {
		if other == w {
			a.waiters = slices.Delete(a.waiters, i, i+1)
			break
		}
		ahead += other.tokens
	}
	a.grantWaiters(a.limiter.config.Clock.Now())
	available := a.availableTokens()
	a.mu.Unlock()
	a.wakePump()
	if err := ctx.Err(); err != nil {
		reason := drerror.ReasonOf(context.Cause(ctx))
		if reason != drerror.Deadline {
			reason = drerror.CallerGone
		}
		return nil, drerror.Wrap(drerror.NotRun, reason, err, "waiting for tokens")
	}
	if estimate+epsilon >= ahead+w.tokens {
		a.limiter.config.Meter.RefusedInRate(a.name)
	}
	return nil, a.overRateError(w.tokens, ahead+w.tokens-available, limit)
}

// estimateTokens estimates the tokens that are left on this VM and with all holders,
// including those that do not answer. The caller holds a.mu.
func (a *account) estimateTokens(now time.Time) float64 {
	sum := a.availableTokens()
	for _, l := range a.lenders {
		sum += l.estimate(a.limit.Rate, a.limit.Burst, now)
	}
	return sum
}

// overRateError returns the refusal of a request for which tokens are missing.
// Its Retry-After is the time in which the rate yields the missing tokens.
func (a *account) overRateError(tokens, missing float64, limit drconfig.Limit) error {
	e := drerror.New(drerror.NotRun, drerror.OverRate,
		"client account %q is over its rate of %.0f tokens/s: %.0f tokens did not become available in time", a.name, limit.Rate, tokens)
	if limit.Rate <= 0 {
		return e
	}
	seconds := max(missing, tokens/ShareCount) / limit.Rate
	return e.WithRetryAfter(max(time.Millisecond, time.Duration(seconds*float64(time.Second))))
}

// queuedTokens returns the tokens that all waiters need. The caller holds a.mu.
func (a *account) queuedTokens() float64 {
	sum := 0.0
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

// availableTokens returns the borrowed tokens that no request has used. The caller
// holds a.mu.
func (a *account) availableTokens() float64 {
	sum := 0.0
	for _, l := range a.loans {
		sum += l.left
	}
	return sum
}

// grantWaiters gives tokens to waiters in order of arrival. It stops at the first
// waiter that needs more than is available, so that small requests don't overtake
// large ones. The caller holds a.mu.
func (a *account) grantWaiters(now time.Time) {
	a.expireLoans(now)
	available := a.availableTokens()
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if w.tokens > available+epsilon {
			return
		}
		a.waiters = a.waiters[1:]
		if now.After(w.deadline) {
			// The waiter's timer is about to fire, or the process was paused.
			continue
		}
		available -= w.tokens
		w.granted <- a.takeTokens(w.tokens)
	}
}

// takeTokens uses tokens of the oldest loans, which expire first. The caller has
// checked that enough are available.
func (a *account) takeTokens(tokens float64) *Reservation {
	r := &Reservation{account: a, tokens: tokens}
	for tokens > 0 && len(a.loans) > 0 {
		l := a.loans[0]
		n := min(tokens, l.left)
		l.left -= n
		l.used += n
		tokens -= n
		r.parts = append(r.parts, loanPart{l, n})
		a.queueReport(l)
		if l.left <= 0 {
			a.loans = a.loans[1:]
		}
	}
	return r
}

// expireLoans marks as unused the tokens of loans that have expired, of all loans if
// the limit was lowered, and of loans older than idleLoanAge if no request waits.
// The holders get them back with the next report.
func (a *account) expireLoans(now time.Time) {
	limit, _ := a.limiter.config.Limits.Limit(a.name)
	lowered := limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst
	a.limit = limit
	a.loans = slices.DeleteFunc(a.loans, func(l *borrowedLoan) bool {
		idle := len(a.waiters) == 0 && now.Sub(l.sentAt) >= idleLoanAge
		if !lowered && !idle && !l.expired(now) {
			return false
		}
		l.unused += l.left
		l.left = 0
		a.queueReport(l)
		return true
	})
}

// queueReport queues a loan for the next report to its holder.
func (a *account) queueReport(l *borrowedLoan) {
	if !l.reportQueued {
		l.reportQueued = true
		a.unreported = append(a.unreported, l)
	}
}

// refund gives unused tokens of a settled reservation back to the holders, those
// from the last loan first.
func (a *account) refund(parts []loanPart, unused float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range slices.Backward(parts) {
		n := min(unused, p.tokens)
		p.loan.refund += n
		a.queueReport(p.loan)
		if unused -= n; unused <= 0 {
			break
		}
	}
	a.startPump()
}

// wakePump makes the pump run its next round at once.
func (a *account) wakePump() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}
