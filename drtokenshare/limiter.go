package drtokenshare

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// Config configures a Limiter.
type Config struct {
	Clock  drclock.Clock
	View   drmember.View
	Shares *Shares
	Limits Limits
	Caller drpeer.Caller
	// Holder lends the shares of this VM without a call.
	Holder *Holder
	Policy Policy
	// Meter takes measurements; nil drops them.
	Meter Meter
}

// Limiter admits requests on an entry VM. It is safe for concurrent use.
type Limiter struct {
	config   Config
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns a limiter without borrowed tokens.
func New(c Config) *Limiter {
	if c.Meter == nil {
		c.Meter = noMeter{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{config: c, ctx: ctx, cancel: cancel, accounts: make(map[string]*account)}
}

// Close stops borrowing and waits for calls to end. Requests that wait are
// refused at their own deadlines.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.group.Wait()
}

// Reserve takes tokens from the account's limit, waiting for a limited time.
// A zero deadline means none. Errors are *drerror.Error with verdict NotRun:
// OverRate if the tokens did not arrive in time or never can, NotAllowed if
// the account has no limit, Deadline or CallerGone if ctx ended.
func (l *Limiter) Reserve(ctx context.Context, name string, tokens float64, deadline time.Time) (*Reservation, error) {
	limit, ok := l.config.Limits.Limit(name)
	if !ok {
		return nil, drerror.New(drerror.NotRun, drerror.NotAllowed, "client account %q has no token limit", name)
	}
	if !(tokens >= 0) {
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "cannot reserve %g tokens", tokens)
	}
	if limit = l.localLimit(limit); tokens > limit.Burst+epsilon {
		return nil, drerror.New(drerror.NotRun, drerror.OverRate,
			"request needs %.0f tokens, more than the burst of %.0f tokens of client account %q; it can never be admitted",
			tokens, limit.Burst, name)
	}
	a, ok := l.account(name)
	if !ok {
		return nil, drerror.New(drerror.NotRun, drerror.Draining, "the entry VM is stopping")
	}
	now := l.config.Clock.Now()
	wait, noReplyWait := maxWait, maxNoReplyWait
	if !deadline.IsZero() {
		wait = max(0, min(wait, deadline.Sub(now)/waitDivisor))
		noReplyWait = max(0, min(noReplyWait, deadline.Sub(now)/noReplyWaitDivisor))
	}
	return a.reserve(ctx, tokens, limit, now, wait, noReplyWait)
}

// localLimit returns the limit that this VM can use in the best case.
func (l *Limiter) localLimit(limit drconfig.Limit) drconfig.Limit {
	if l.config.Policy == EqualShares {
		n := float64(max(1, len(l.config.View.Members())))
		return drconfig.Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
	}
	return limit
}

func (l *Limiter) account(name string) (*account, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, false
	}
	a := l.accounts[name]
	if a == nil {
		a = newAccount(l, name)
		l.accounts[name] = a
	}
	return a, true
}

// goUnlessClosed starts f unless the limiter is closed.
func (l *Limiter) goUnlessClosed(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.group.Go(f)
	return true
}
