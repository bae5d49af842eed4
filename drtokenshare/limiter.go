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

// Config configures a Limiter. Fields without a comment are required.
type Config struct {
	Clock  drclock.Clock
	View   drmember.View
	Shares *Shares
	Limits Limits
	Caller drpeer.Caller
	// Holder lends the shares of this VM without a call. If it is nil, they are
	// borrowed through Caller like those of other VMs.
	Holder *Holder
	Policy Policy // the zero value is Lending
	// Meter counts borrowed and returned tokens and refusals; nil counts nothing.
	Meter Meter
}

// Limiter admits the requests that arrive at one entry VM, using tokens that it
// borrows from the holders of each account's shares. It is safe for concurrent use.
type Limiter struct {
	config   Config
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns a limiter without borrowed tokens. It starts to borrow for an account
// with the account's first request. Call Close when it is no longer used.
func New(c Config) *Limiter {
	if c.Meter == nil {
		c.Meter = noMeter{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{config: c, ctx: ctx, cancel: cancel, accounts: make(map[string]*account)}
}

// Close stops borrowing and waits for running calls to end. Waiting requests are
// refused when their wait ends, new ones at once.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.group.Wait()
}

// Reserve reserves tokens of a client account for one request. It waits for them for
// at most maxWait, or maxNoReplyWait if no holder replies, and for a fraction of the
// time until deadline; a zero deadline means none. Errors are *drerror.Error with
// verdict NotRun: OverRate if the tokens did not become available in time or exceed
// the burst, NotAllowed if the account has no limit, MalformedRequest if tokens is
// negative or NaN, Draining after Close, and Deadline or CallerGone if ctx ended.
func (l *Limiter) Reserve(ctx context.Context, name string, tokens float64, deadline time.Time) (*Reservation, error) {
	limit, ok := l.config.Limits.Limit(name)
	if !ok {
		return nil, drerror.New(drerror.NotRun, drerror.NotAllowed, "client account %q has no token limit", name)
	}
	if !(tokens >= 0) {
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "cannot reserve %g tokens: the number must be 0 or more", tokens)
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

// localLimit returns the rate and burst that this VM gets if no other VM uses any: an
// equal part with EqualShares, the whole limit with Lending.
func (l *Limiter) localLimit(limit drconfig.Limit) drconfig.Limit {
	if l.config.Policy == EqualShares {
		n := float64(max(1, len(l.config.View.Members())))
		return drconfig.Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
	}
	return limit
}

// account returns the state of an account, creating it if needed, or false if the
// limiter is closed.
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

// goUnlessClosed runs f in a goroutine that Close waits for. It returns false
// without running f if the limiter is closed.
func (l *Limiter) goUnlessClosed(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.group.Go(f)
	return true
}
