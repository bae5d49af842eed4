package drtokenshare

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// startPump starts the pump if there is something to do and none runs. It is
// called with a.mu held.
func (a *account) startPump() {
	if a.pumping {
		a.wake()
		return
	}
	if a.idle() {
		return
	}
	a.pumping = a.limiter.run(a.pump)
}

func (a *account) idle() bool {
	return len(a.waiters) == 0 && len(a.lots) == 0 && len(a.pending) == 0
}

// pump borrows tokens while requests wait, and reports what became of them.
func (a *account) pump() {
	c := a.limiter.config.Clock
	for {
		a.mu.Lock()
		now := c.Now()
		a.grant(now)
		if a.idle() {
			a.pumping = false
			a.mu.Unlock()
			return
		}
		wait := reportInterval
		if a.limiter.config.Policy == EqualShares {
			wait = min(wait, a.pumpFixed(now))
		} else {
			wait = min(wait, a.borrow(now))
			a.flush(now)
		}
		a.mu.Unlock()
		t := c.NewTimer(wait)
		select {
		case <-t.C():
		case <-a.poke:
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

// need returns the tokens to borrow now: what the waiting requests lack and
// the demand of the near future, as far as it is not on its way already.
func (a *account) need(now time.Time) float64 {
	if len(a.waiters) == 0 {
		return 0
	}
	n := min(a.limit.Burst, a.queued()+a.demand.in(demandSpan, now)) - a.available()
	for _, s := range a.sources {
		if !s.askedAt.IsZero() && now.Sub(s.askedAt) < hedgeAfter {
			n -= s.asked
		}
	}
	return n
}

// borrow sends borrow requests and returns when to look again.
func (a *account) borrow(now time.Time) time.Duration {
	a.refreshSources()
	need := a.need(now)
	if len(a.waiters) == 0 {
		return reportInterval
	}
	type candidate struct {
		process
		*source
		estimate float64
	}
	var cs []candidate
	for p, s := range a.sources {
		e := s.estimate(a.limit.Rate, a.limit.Burst, now)
		// A holder is not asked for less than it refills in a pause, unless
		// that is all that is needed.
		worth := min(need, a.limit.Rate*float64(s.shares)/ShareCount*minPause.Seconds())
		if s.ready(now) && e >= worth-epsilon {
			cs = append(cs, candidate{p, s, e})
		}
	}
	slices.SortFunc(cs, func(x, y candidate) int {
		own := a.limiter.config.View.Self().VM
		if (x.vm == own) != (y.vm == own) {
			if x.vm == own {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.estimate, x.estimate), cmp.Compare(x.vm, y.vm))
	})
	for _, c := range cs {
		if need <= epsilon {
			break
		}
		n := min(need, max(c.estimate, 1))
		c.asked, c.askedAt = n, now
		need -= n
		a.ask(c.process, c.source, n, now)
	}
	lack := max(0, a.waiters[0].tokens-a.available())
	poll := maxPoll
	if a.limit.Rate > 0 {
		poll = time.Duration(min(maxPoll.Seconds(), lack/a.limit.Rate) * float64(time.Second))
	}
	return max(minPoll, poll)
}

// refreshSources follows changes of holders.
func (a *account) refreshSources() {
	hs := a.limiter.config.Shares.holders(a.name)
	current := make(map[process]bool, len(hs))
	for _, h := range hs {
		current[h.process] = true
		s := a.sources[h.process]
		if s == nil {
			s = &source{}
			a.sources[h.process] = s
		}
		s.shares = h.shares
	}
	for p, s := range a.sources {
		if !current[p] && s.askedAt.IsZero() {
			delete(a.sources, p)
		}
	}
}

// ask sends one borrow request without waiting for the answer. Own shares
// are asked in the same way, without a call.
func (a *account) ask(p process, s *source, tokens float64, sentAt time.Time) {
	l := a.limiter
	started := l.run(func() {
		reply, err := a.call(p, tokens)
		now := l.config.Clock.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		if own := l.config.Holder; err == nil && (own == nil || p != own.self || !own.refilling(a.name)) {
			a.heardAt = now
		}
		s.answered(reply.GetTokens(), reply.GetLevel(), int(reply.GetShares()), err == nil, now)
		if err == nil && reply.GetTokens() > 0 {
			l.config.Meter.Borrowed(a.name, reply.GetTokens())
			o := &lot{
				holder: process{p.vm, reply.GetIncarnation()}, loan: reply.GetLoan(),
				sentAt: sentAt, left: reply.GetTokens(),
			}
			a.lots = append(a.lots, o)
			slices.SortStableFunc(a.lots, func(x, y *lot) int { return x.sentAt.Compare(y.sentAt) })
		}
		a.grant(now)
		a.startPump()
	})
	if !started {
		s.asked, s.askedAt = 0, time.Time{}
	}
}

func (a *account) call(p process, tokens float64) (*drpb.BorrowReply, error) {
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

// flush reports to holders what became of their loans. A report that is lost
// costs the unused tokens; it is not repeated, since the loan ends by itself.
func (a *account) flush(now time.Time) {
	if len(a.pending) == 0 || now.Sub(a.reported) < reportInterval {
		return
	}
	a.reported = now
	requests := make(map[process]*drpb.ReturnRequest)
	for _, l := range a.pending {
		r := requests[l.holder]
		if r == nil {
			r = &drpb.ReturnRequest{Account: a.name, Incarnation: l.holder.incarnation}
			requests[l.holder] = r
		}
		a.sequence++
		a.limiter.config.Meter.Returned(a.name, l.unused+l.refund)
		r.Parts = append(r.Parts, &drpb.ReturnPart{
			Loan: l.loan, Sequence: a.sequence, Unused: l.unused, Used: l.used, Refund: l.refund,
		})
		l.unused, l.used, l.refund, l.pending = 0, 0, 0, false
	}
	a.pending = nil
	for p, r := range requests {
		a.limiter.run(func() { a.sendReport(p, r) })
	}
}

func (a *account) sendReport(p process, r *drpb.ReturnRequest) {
	l := a.limiter
	if h := l.config.Holder; h != nil && p == h.self {
		h.takeBack(r)
		return
	}
	ctx, cancel := drclock.WithTimeout(context.WithoutCancel(l.ctx), l.config.Clock, callTimeout)
	defer cancel()
	// A lost report only loses tokens.
	_ = l.config.Caller.Call(ctx, p.vm, methodReturn, r, &drpb.ReturnReply{})
}

// pumpFixed serves waiters from this VM's fixed part and returns when to look
// again.
func (a *account) pumpFixed(now time.Time) time.Duration {
	limit, _ := a.limiter.config.Limits.Limit(a.name)
	part := 1 / float64(max(1, len(a.limiter.config.View.Members())))
	if a.fixed == nil {
		a.fixed = newBucket(limit, part, now)
	}
	b := a.fixed
	b.update(limit, part, now)
	for _, l := range a.pending {
		a.sequence++
		b.report(report{l.loan, a.sequence, l.unused, l.used, l.refund}, now)
		l.unused, l.used, l.refund, l.pending = 0, 0, 0, false
	}
	a.pending = nil
	if len(a.waiters) == 0 {
		return reportInterval
	}
	lack := a.waiters[0].tokens - a.available()
	if b.level+epsilon >= lack {
		if id, n := b.lend(max(lack, epsilon*2), now); n > 0 {
			a.lots = append(a.lots, &lot{loan: id, sentAt: now, left: n})
		}
		a.grant(now)
		return minPoll
	}
	return max(minPoll, time.Duration((lack-b.level)/max(limit.Rate*part, epsilon)*float64(time.Second)))
}
