package drtokenshare

import (
	"math"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// bucket is a token bucket from which tokens are lent. Its level and the
// outstanding loans together never exceed its fraction of the burst. It is not safe
// for concurrent use.
type bucket struct {
	limit drconfig.Limit
	// fraction is the fraction of the limit that this bucket enforces, 0 to 1.
	fraction   float64
	level      float64
	lent       float64 // sum of the outstanding tokens of all loans
	refilledAt time.Time
	loans      map[uint64]*loan
	// loanIDs lists loans in the order in which they were made. The first
	// expiredCount of them have expired.
	loanIDs      []uint64
	expiredCount int
	lastLoanID   uint64
	peaks        peaks
}

// newBucket returns a bucket that is empty at now, so that a new holder never
// adds to tokens that an earlier one has lent.
func newBucket(limit drconfig.Limit, fraction float64, now time.Time) *bucket {
	return &bucket{limit: limit, fraction: fraction, refilledAt: now, loans: make(map[uint64]*loan)}
}

// update refills the bucket up to now and applies a new limit and fraction. The time
// up to now is refilled at the lower of the two rates, and a larger burst leaves the
// level as it is, so that raising a limit never creates tokens.
func (b *bucket) update(limit drconfig.Limit, fraction float64, now time.Time) {
	if limit != b.limit || fraction != b.fraction {
		b.advance(now, min(b.limit.Rate*b.fraction, limit.Rate*fraction))
		b.limit, b.fraction = limit, fraction
		b.level = min(b.level, b.freeCapacity())
	}
	b.refill(now)
}

// capacity returns the bucket's part of the burst, in tokens.
func (b *bucket) capacity() float64 { return b.limit.Burst * b.fraction }

// freeCapacity returns the highest level that the outstanding loans allow.
func (b *bucket) freeCapacity() float64 { return max(0, b.capacity()-b.lent) }

// refill adds tokens up to now. Each loan that expires before now is ended at its
// own time, because tokens are refilled in its place only from then on.
func (b *bucket) refill(now time.Time) {
	for b.expiredCount < len(b.loanIDs) {
		l := b.loans[b.loanIDs[b.expiredCount]]
		if l != nil && l.expires.After(now) {
			break
		}
		if l != nil {
			b.advance(l.expires, b.limit.Rate*b.fraction)
			b.lent = max(0, b.lent-l.outstanding)
			l.spend(l.outstanding, l.expires)
		}
		b.expiredCount++
	}
	b.advance(now, b.limit.Rate*b.fraction)
	b.dropOldLoans(now)
}

// dropOldLoans drops expired loans that are too old for a refund.
func (b *bucket) dropOldLoans(now time.Time) {
	n := 0
	for n < b.expiredCount {
		l := b.loans[b.loanIDs[n]]
		if l != nil && now.Sub(l.lentAt) < refundLifetime {
			break
		}
		delete(b.loans, b.loanIDs[n])
		n++
	}
	if n > 0 {
		b.loanIDs, b.expiredCount = b.loanIDs[n:], b.expiredCount-n
	}
}

// advance refills the bucket up to now at rate and records the level that it has
// reached. It does nothing if now is not later than the last refill.
func (b *bucket) advance(now time.Time, rate float64) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.level+rate*elapsed.Seconds(), b.freeCapacity())
		b.refilledAt = now
		b.peaks.record(now, b.level+b.lent)
	}
}

// lend debits up to tokens and returns the ID and amount of the loan, both 0 if the
// bucket is empty. The caller has refilled the bucket up to now.
func (b *bucket) lend(tokens float64, now time.Time) (uint64, float64) {
	amount := min(tokens, b.level)
	if !(amount > epsilon) { // also refuses NaN
		return 0, 0
	}
	b.level -= amount
	b.lent += amount
	b.lastLoanID++
	b.loans[b.lastLoanID] = &loan{lentAt: now, expires: now.Add(loanLifetime + loanMargin), outstanding: amount}
	b.loanIDs = append(b.loanIDs, b.lastLoanID)
	return b.lastLoanID, amount
}

// applyReport applies a borrower's report on a loan. Repeated, reordered and invalid
// reports and those on unknown loans change nothing. A refund is limited to the room
// that the bucket had at every moment since the tokens were used: tokens that would
// have overflowed in the meantime must not come back.
func (b *bucket) applyReport(r report, now time.Time) {
	l := b.loans[r.loan]
	if l == nil || r.sequence <= l.lastSequence || !r.valid() {
		return
	}
	l.lastSequence = r.sequence
	used := min(r.used, l.outstanding)
	b.lent -= used
	l.spend(used, now)
	unused := min(r.unused, l.outstanding)
	l.outstanding -= unused
	b.lent = max(0, b.lent-unused)
	b.level = min(b.level+unused, b.freeCapacity())
	// The rest of the unused tokens, and the refund, concern tokens that count as
	// spent already, because the loan has expired or they were reported as used.
	refund := min(r.refund+r.unused-unused, l.spent)
	if refund <= 0 {
		return
	}
	l.spent -= refund
	refund = min(refund, b.capacity()-max(b.level+b.lent, b.peaks.maxSince(l.firstSpentAt)))
	if refund > 0 {
		b.level = min(b.level+refund, b.freeCapacity())
		b.peaks.raiseSince(l.firstSpentAt, refund)
	}
}

// report says how many tokens of a loan a borrower has used, not used, or used and
// given back (refund) since its previous report. The sequence rises with each
// report.
type report struct {
	loan, sequence       uint64
	unused, used, refund float64
}

// valid reports whether all amounts are finite and not negative. They come from
// other VMs.
func (r report) valid() bool {
	for _, v := range []float64{r.unused, r.used, r.refund} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
