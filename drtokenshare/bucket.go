package drtokenshare

import (
	"math"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// bucket is a token bucket from which tokens are lent. Its level and the live
// loans together never exceed its part of the burst. It is not safe for
// concurrent use.
type bucket struct {
	limit drconfig.Limit
	// part of the limit that this bucket has, 0 to 1.
	part  float64
	level float64
	lent  float64
	at    time.Time
	loans map[uint64]*loan
	// order lists loans by time; expired is the number that have expired.
	order    []uint64
	expired  int
	nextLoan uint64
	peaks    peaks
}

// newBucket returns an empty bucket.
func newBucket(limit drconfig.Limit, part float64, now time.Time) *bucket {
	return &bucket{limit: limit, part: part, at: now, loans: make(map[uint64]*loan)}
}

// update refills the bucket up to now and then puts a new limit and part into
// force. The time up to now is refilled at the lower rate, and a larger burst
// only makes room, so a raise never creates tokens.
func (b *bucket) update(limit drconfig.Limit, part float64, now time.Time) {
	if limit != b.limit || part != b.part {
		b.advance(now, min(b.limit.Rate*b.part, limit.Rate*part))
		b.limit, b.part = limit, part
		b.level = min(b.level, b.room())
	}
	b.refill(now)
}

func (b *bucket) capacity() float64 { return b.limit.Burst * b.part }

func (b *bucket) room() float64 { return max(0, b.capacity()-b.lent) }

// refill adds tokens up to now, ending loans at their times on the way.
func (b *bucket) refill(now time.Time) {
	for b.expired < len(b.order) {
		l := b.loans[b.order[b.expired]]
		if l != nil && l.expires.After(now) {
			break
		}
		if l != nil {
			b.advance(l.expires, b.limit.Rate*b.part)
			b.lent = max(0, b.lent-l.live)
			l.spend(l.live, l.expires)
		}
		b.expired++
	}
	b.advance(now, b.limit.Rate*b.part)
	b.forget(now)
}

// forget drops loans that can no longer be refunded.
func (b *bucket) forget(now time.Time) {
	n := 0
	for n < b.expired {
		l := b.loans[b.order[n]]
		if l != nil && now.Sub(l.made) < refundLifetime {
			break
		}
		delete(b.loans, b.order[n])
		n++
	}
	if n > 0 {
		b.order, b.expired = b.order[n:], b.expired-n
	}
}

func (b *bucket) advance(now time.Time, rate float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.level+rate*d.Seconds(), b.room())
		b.at = now
		b.peaks.note(now, b.level+b.lent)
	}
}

// lend debits up to tokens and returns the loan's id and amount. The caller
// has refilled the bucket.
func (b *bucket) lend(tokens float64, now time.Time) (uint64, float64) {
	amount := min(tokens, b.level)
	if !(amount > epsilon) { // also refuses NaN
		return 0, 0
	}
	b.level -= amount
	b.lent += amount
	b.nextLoan++
	b.loans[b.nextLoan] = &loan{made: now, expires: now.Add(loanLifetime + loanMargin), live: amount}
	b.order = append(b.order, b.nextLoan)
	return b.nextLoan, amount
}

// report books what became of a loan. Repeated and unknown reports change
// nothing. A refund is limited to what the bucket could have held at every
// moment since the tokens were used: tokens that would have overflowed in the
// meantime must not come back.
func (b *bucket) report(r report, now time.Time) {
	l := b.loans[r.loan]
	if l == nil || r.sequence <= l.sequence || !r.valid() {
		return
	}
	l.sequence = r.sequence
	used := min(r.used, l.live)
	b.lent -= used
	l.spend(used, now)
	unused := min(r.unused, l.live)
	l.live -= unused
	b.lent = max(0, b.lent-unused)
	b.level = min(b.level+unused, b.room())
	// What is left of the report concerns tokens that count as spent.
	refund := min(r.refund+r.unused-unused, l.spent)
	if refund <= 0 {
		return
	}
	l.spent -= refund
	refund = min(refund, b.capacity()-max(b.level+b.lent, b.peaks.since(l.spentAt)))
	if refund > 0 {
		b.level = min(b.level+refund, b.room())
		b.peaks.raise(l.spentAt, refund)
	}
}

// report says what became of a loan, in tokens.
type report struct {
	loan, sequence       uint64
	unused, used, refund float64
}

func (r report) valid() bool {
	for _, v := range []float64{r.unused, r.used, r.refund} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
