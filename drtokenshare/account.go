package drtokenshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// account borrows tokens of one client account and gives them to requests in
// order of arrival.
type account struct {
	limiter *Limiter
	name    string
	poke    chan struct{}

	mu       sync.Mutex
	limit    drconfig.Limit
	lots     []*lot // oldest first, with tokens left
	pending  []*lot // with something to report
	waiters  []*waiter
	sources  map[process]*source
	demand   demand
	pumping  bool
	reported time.Time
	heardAt  time.Time // of the last answer of a holder that is not refilling
	sequence uint64
	fixed    *bucket // for EqualShares
}

func newAccount(l *Limiter, name string) *account {
	return &account{
		limiter: l, name: name,
		poke:    make(chan struct{}, 1),
		sources: make(map[process]*source),
	}
}

// reserve waits for tokens, at most for wait, or for silent if no holder answers.
func (a *account) reserve(ctx context.Context, tokens float64, limit drconfig.Limit, now time.Time, wait, silent time.Duration) (*Reservation, error) {
	a.mu.Lock()
	a.demand.add(tokens, now)
	queued := a.queued()
	// Even with the whole burst and the whole rate of the fleet, the requests
	// ahead would use up what arrives within the wait.
	if len(a.waiters) > 0 && queued+tokens > limit.Burst+limit.Rate*wait.Seconds() {
		a.mu.Unlock()
		return nil, a.overRate(tokens, queued+tokens-limit.Burst, limit)
	}
	w := &waiter{tokens: tokens, until: now.Add(wait), granted: make(chan *Reservation, 1)}
	a.waiters = append(a.waiters, w)
	a.grant(now)
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
	if silent > wait && ctx.Err() == nil && a.extend(w, now, silent) {
		if r := a.await(ctx, w, silent-wait); r != nil {
			return r, nil
		}
	}
	return a.giveUp(ctx, w, limit)
}

// await waits for a grant; nil if there was none within wait.
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

// extend lets a waiter that arrived at now wait for longer, if no holder has
// answered since.
func (a *account) extend(w *waiter, now time.Time, silent time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heardAt.After(now) {
		return false
	}
	w.until = now.Add(silent)
	return true
}

// giveUp withdraws a waiter, unless it was granted in the meantime.
func (a *account) giveUp(ctx context.Context, w *waiter, limit drconfig.Limit) (*Reservation, error) {
	a.mu.Lock()
	select {
	case r := <-w.granted:
		a.mu.Unlock()
		return r, nil
	default:
	}
	// Before the waiter is removed, because unneeded tokens are given back then.
	held := a.held(a.limiter.config.Clock.Now())
	ahead := 0.0
	for i, o := range a.waiters {
		if o == w {
			a.waiters = slices.Delete(a.waiters, i, i+1)
			break
		}
		ahead += o.tokens
	}
	a.grant(a.limiter.config.Clock.Now())
	have := a.available()
	a.mu.Unlock()
	a.wake()
	if err := ctx.Err(); err != nil {
		reason := drerror.ReasonOf(context.Cause(ctx))
		if reason != drerror.Deadline {
			reason = drerror.CallerGone
		}
		return nil, drerror.Wrap(drerror.NotRun, reason, err, "waiting for tokens")
	}
	if held+epsilon >= ahead+w.tokens {
		a.limiter.config.Meter.RefusedInRate(a.name)
	}
	return nil, a.overRate(w.tokens, ahead+w.tokens-have, limit)
}

// held estimates the tokens that are left here and with all holders, also with
// those that do not answer. It is called with a.mu held.
func (a *account) held(now time.Time) float64 {
	sum := a.available()
	for _, s := range a.sources {
		sum += s.estimate(a.limit.Rate, a.limit.Burst, now)
	}
	return sum
}

// overRate returns the refusal of a request that lacks tokens. Retry-After is
// the time in which the rate makes up for what is missing.
func (a *account) overRate(tokens, missing float64, limit drconfig.Limit) error {
	e := drerror.New(drerror.NotRun, drerror.OverRate,
		"client account %q is over its rate of %.0f tokens/s: no %.0f tokens in time", a.name, limit.Rate, tokens)
	if limit.Rate <= 0 {
		return e
	}
	seconds := max(missing, tokens/ShareCount) / limit.Rate
	return e.WithRetryAfter(max(time.Millisecond, time.Duration(seconds*float64(time.Second))))
}

func (a *account) queued() float64 {
	sum := 0.0
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

func (a *account) available() float64 {
	sum := 0.0
	for _, l := range a.lots {
		sum += l.left
	}
	return sum
}

// grant serves waiters in order while there are tokens. It is called with
// a.mu held.
func (a *account) grant(now time.Time) {
	a.expire(now)
	have := a.available()
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if w.tokens > have+epsilon {
			return
		}
		a.waiters = a.waiters[1:]
		if now.After(w.until) {
			// Its timer is about to fire, or the process was paused.
			continue
		}
		have -= w.tokens
		w.granted <- a.take(w.tokens)
	}
}

// take uses tokens of the oldest lots.
func (a *account) take(tokens float64) *Reservation {
	r := &Reservation{account: a, tokens: tokens}
	for tokens > 0 && len(a.lots) > 0 {
		l := a.lots[0]
		n := min(tokens, l.left)
		l.left -= n
		l.used += n
		tokens -= n
		r.parts = append(r.parts, part{l, n})
		a.report(l)
		if l.left <= 0 {
			a.lots = a.lots[1:]
		}
	}
	return r
}

// expire sets aside the tokens that must not be used any more, that a lower
// limit took back, or that no request has needed for a while.
func (a *account) expire(now time.Time) {
	limit, _ := a.limiter.config.Limits.Limit(a.name)
	lowered := limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst
	a.limit = limit
	a.lots = slices.DeleteFunc(a.lots, func(l *lot) bool {
		idle := len(a.waiters) == 0 && now.Sub(l.sentAt) >= idleLoan
		if !lowered && !idle && !l.expired(now) {
			return false
		}
		l.unused += l.left
		l.left = 0
		a.report(l)
		return true
	})
}

// report notes that a lot has something to report to its holder.
func (a *account) report(l *lot) {
	if !l.pending {
		l.pending = true
		a.pending = append(a.pending, l)
	}
}

// refund gives tokens of settled reservations back to their holders.
func (a *account) refund(parts []part, unused float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range slices.Backward(parts) {
		n := min(unused, p.tokens)
		p.lot.refund += n
		a.report(p.lot)
		if unused -= n; unused <= 0 {
			break
		}
	}
	a.startPump()
}

// wake makes the pump look again.
func (a *account) wake() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}
