package drtokenshare

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// startPump starts the pump if it is needed, or wakes it if it is running. The
// caller holds a.mu.
func (a *account) startPump() {
	if a.pumping {
		a.wakePump()
		return
	}
	if a.isIdle() {
		return
	}
	a.pumping = a.limiter.goUnlessClosed(a.pump)
}

// isIdle reports whether the pump has nothing to do. The caller holds a.mu.
func (a *account) isIdle() bool {
	return len(a.waiters) == 0 && len(a.loans) == 0 && len(a.unreported) == 0
}

// pump is the account's background loop: it borrows tokens while requests wait and
// reports their use to the holders. It ends when the account is idle or the limiter
// is closed.
func (a *account) pump() {
	c := a.limiter.config.Clock
	for {
		a.mu.Lock()
		now := c.Now()
		a.grantWaiters(now)
		if a.isIdle() {
			a.pumping = false
			a.mu.Unlock()
			return
		}
		wait := reportInterval
		if a.limiter.config.Policy == EqualShares {
			wait = min(wait, a.pumpEqualShares(now))
		} else {
			wait = min(wait, a.borrow(now))
			a.flushReports(now)
		}
		a.mu.Unlock()
		t := c.NewTimer(wait)
		select {
		case <-t.C():
		case <-a.wakeup:
		case <-a.limiter.ctx.Done():
			t.Stop()
			a.mu.Lock()
			a.pumping = false
			a.mu.Unlock()
			return
		}
		t.Stop()
	}
}

// tokensToBorrow returns the tokens to borrow now: those that the waiting requests
// and the expected demand of the next demandSpan need, up to the burst, less those
// available and those in unanswered requests younger than hedgeAfter. It returns 0 if
// no request waits. The caller holds a.mu.
func (a *account) tokensToBorrow(now time.Time) float64 {
	if len(a.waiters) == 0 {
		return 0
	}
	n := min(a.limit.Burst, a.queuedTokens()+a.demand.expectedWithin(demandSpan, now)) - a.availableTokens()
	for _, l := range a.lenders {
		if !l.requestedAt.IsZero() && now.Sub(l.requestedAt) < hedgeAfter {
			n -= l.requested
		}
	}
	return n
}

// borrow sends borrow requests to the holders that probably have tokens, this VM's own
// holder first, and returns the time until the next round. The caller holds a.mu.
func (a *account) borrow(now time.Time) time.Duration {
	a.refreshLenders()
	need := a.tokensToBorrow(now)
	if len(a.waiters) == 0 {
		return reportInterval
	}
	type candidate struct {
		process
		*lender
		estimate float64
	}
	var candidates []candidate
	for p, l := range a.lenders {
		e := l.estimate(a.limit.Rate, a.limit.Burst, now)
		// A holder is not asked until it probably has what it refills in
		// minBackoff, unless less is needed.
		minUseful := min(need, a.limit.Rate*float64(l.shares)/ShareCount*minBackoff.Seconds())
		if l.ready(now) && e >= minUseful-epsilon {
			candidates = append(candidates, candidate{p, l, e})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		self := a.limiter.config.View.Self().VM
		if (x.vm == self) != (y.vm == self) {
			if x.vm == self {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.estimate, x.estimate), cmp.Compare(x.vm, y.vm))
	})
	for _, c := range candidates {
		if need <= epsilon {
			break
		}
		n := min(need, max(c.estimate, 1))
		c.requested, c.requestedAt = n, now
		need -= n
		a.sendBorrow(c.process, c.lender, n, now)
	}
	missing := max(0, a.waiters[0].tokens-a.availableTokens())
	poll := maxPoll
	if a.limit.Rate > 0 {
		poll = time.Duration(min(maxPoll.Seconds(), missing/a.limit.Rate) * float64(time.Second))
	}
	return max(minPoll, poll)
}

// refreshLenders updates the lenders to the current holders of the account's shares.
// A former holder stays until its unanswered request has ended.
func (a *account) refreshLenders() {
	holders := a.limiter.config.Shares.holders(a.name)
	current := make(map[process]bool, len(holders))
	for _, h := range holders {
		current[h.process] = true
		l := a.lenders[h.process]
		if l == nil {
			l = &lender{}
			a.lenders[h.process] = l
		}
		l.shares = h.shares
	}
	for p, l := range a.lenders {
		if !current[p] && l.requestedAt.IsZero() {
			delete(a.lenders, p)
		}
	}
}

// sendBorrow starts one borrow request and returns at once. The reply adds the loan,
// if any, and grants waiters. The caller holds a.mu.
func (a *account) sendBorrow(p process, from *lender, tokens float64, sentAt time.Time) {
	l := a.limiter
	started := l.goUnlessClosed(func() {
		reply, err := a.callBorrow(p, tokens)
		now := l.config.Clock.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		if ownHolder := l.config.Holder; err == nil && (ownHolder == nil || p != ownHolder.self || !ownHolder.recentlyOpened(a.name)) {
			a.lastReplyAt = now
		}
		from.recordReply(reply.GetTokens(), reply.GetLevel(), int(reply.GetShares()), err == nil, now)
		if err == nil && reply.GetTokens() > 0 {
			l.config.Meter.Borrowed(a.name, reply.GetTokens())
			borrowed := &borrowedLoan{
				holder: process{p.vm, reply.GetIncarnation()}, id: reply.GetLoan(),
				sentAt: sentAt, left: reply.GetTokens(),
			}
			a.loans = append(a.loans, borrowed)
			slices.SortStableFunc(a.loans, func(x, y *borrowedLoan) int { return x.sentAt.Compare(y.sentAt) })
		}
		a.grantWaiters(now)
		a.startPump()
	})
	if !started {
		from.requested, from.requestedAt = 0, time.Time{}
	}
}

// callBorrow asks a holder for tokens. The holder on this VM is asked without a call.
func (a *account) callBorrow(p process, tokens float64) (*drpb.BorrowReply, error) {
	l := a.limiter
	if h := l.config.Holder; h != nil && p == h.self {
		return h.borrow(a.name, tokens), nil
	}
	ctx, cancel := drclock.WithTimeout(l.ctx, l.config.Clock, callTimeout)
	defer cancel()
	var reply drpb.BorrowReply
	err := l.config.Caller.Call(ctx, p.vm, methodBorrow, &drpb.BorrowRequest{Account: a.name, Tokens: tokens}, &reply)
	if err != nil {
		return nil, err
	}
	return &reply, nil
}

// flushReports reports the used, unused and refunded tokens of loans to their holders,
// at most once per reportInterval. A lost report is not repeated: it costs the unused
// and refunded tokens, and the loan expires by itself. The caller holds a.mu.
func (a *account) flushReports(now time.Time) {
	if len(a.unreported) == 0 || now.Sub(a.reportedAt) < reportInterval {
		return
	}
	a.reportedAt = now
	requests := make(map[process]*drpb.ReturnRequest)
	for _, l := range a.unreported {
		r := requests[l.holder]
		if r == nil {
			r = &drpb.ReturnRequest{Account: a.name, Incarnation: l.holder.incarnation}
			requests[l.holder] = r
		}
		a.sequence++
		a.limiter.config.Meter.Returned(a.name, l.unused+l.refund)
		r.Parts = append(r.Parts, &drpb.ReturnPart{
			Loan: l.id, Sequence: a.sequence, Unused: l.unused, Used: l.used, Refund: l.refund,
		})
		l.unused, l.used, l.refund, l.reportQueued = 0, 0, 0, false
	}
	a.unreported = nil
	for p, r := range requests {
		a.limiter.goUnlessClosed(func() { a.sendReport(p, r) })
	}
}

// sendReport sends one report to a holder. Close does not cancel it, so that unused
// tokens get back to their holders.
func (a *account) sendReport(p process, r *drpb.ReturnRequest) {
	l := a.limiter
	if h := l.config.Holder; h != nil && p == h.self {
		h.acceptReturn(r)
		return
	}
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(l.ctx), l.config.Clock, callTimeout)
	defer cancel()
	// The error is ignored: a lost report loses tokens and never duplicates them.
	_ = l.config.Caller.Call(ctx, p.vm, methodReturn, r, &drpb.ReturnReply{})
}

// pumpEqualShares is one round of the pump with the policy EqualShares: it grants
// waiters from this VM's fixed part of the limit and returns the time until the next
// round. The caller holds a.mu.
func (a *account) pumpEqualShares(now time.Time) time.Duration {
	limit, _ := a.limiter.config.Limits.Limit(a.name)
	fraction := 1 / float64(max(1, len(a.limiter.config.View.Members())))
	if a.fixedBucket == nil {
		a.fixedBucket = newBucket(limit, fraction, now)
	}
	b := a.fixedBucket
	b.update(limit, fraction, now)
	for _, l := range a.unreported {
		a.sequence++
		b.applyReport(report{l.id, a.sequence, l.unused, l.used, l.refund}, now)
		l.unused, l.used, l.refund, l.reportQueued = 0, 0, 0, false
	}
	a.unreported = nil
	if len(a.waiters) == 0 {
		return reportInterval
	}
	missing := a.waiters[0].tokens - a.availableTokens()
	if b.level+epsilon >= missing {
		if id, n := b.lend(max(missing, epsilon*2), now); n > 0 {
			a.loans = append(a.loans, &borrowedLoan{id: id, sentAt: now, left: n})
		}
		a.grantWaiters(now)
		return minPoll
	}
	return max(minPoll, time.Duration((missing-b.level)/max(limit.Rate*fraction, epsilon)*float64(time.Second)))
}
