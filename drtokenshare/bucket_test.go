package drtokenshare

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"

	"google.golang.org/protobuf/proto"
)

var epoch = time.Unix(1000, 0)

// fullBucket returns a full bucket of 1000 tokens with a rate of 100/s, and the time
// up to which it has been refilled.
func fullBucket() (*bucket, time.Time) {
	b := newBucket(drconfig.Limit{Rate: 100, Burst: 1000}, 1, epoch)
	now := epoch.Add(10 * time.Second)
	b.refill(now)
	return b, now
}

// Guards against tokens that are created by raising a limit, and against a level above
// the burst after lowering it.
func TestLimitChange(t *testing.T) {
	is := is.New(t)
	b, now := fullBucket()
	b.update(drconfig.Limit{Rate: 10, Burst: 100}, 1, now)
	is.Equal(b.level, 100.0)
	b.update(drconfig.Limit{Rate: 1000, Burst: 10_000}, 1, now)
	is.Equal(b.level, 100.0)
	// The time before the bucket learns of the change is refilled at the lower rate.
	now = now.Add(time.Second)
	b.update(drconfig.Limit{Rate: 1, Burst: 10_000}, 1, now)
	is.Equal(b.level, 101.0)
}

// Guards against admissions over the burst: a lent token must not be refilled while
// the borrower may still use it.
func TestLoanLowersCapacity(t *testing.T) {
	is := is.New(t)
	b, now := fullBucket()
	_, n := b.lend(600, now)
	is.Equal(n, 600.0)
	b.refill(now.Add(loanLifetime))
	is.Equal(b.level, 400.0)
	b.refill(now.Add(loanLifetime + loanMargin + time.Second))
	is.Equal(b.level, 500.0)
}

// Guards against a repeated or reordered report that gives tokens back twice.
func TestRepeatedReport(t *testing.T) {
	is := is.New(t)
	b, now := fullBucket()
	id, _ := b.lend(600, now)
	r := report{loan: id, sequence: 2, unused: 200, used: 100}
	for range 3 {
		b.applyReport(r, now)
	}
	b.applyReport(report{loan: id, sequence: 1, unused: 300}, now)
	is.Equal(b.level, 600.0)
	is.Equal(b.lent, 300.0)
}

// Guards against a refund of tokens that would have overflowed the bucket if they had
// never been reserved. Here half of the 1000 refunded tokens would have overflowed.
func TestRefundOfOverflow(t *testing.T) {
	is := is.New(t)
	b, now := fullBucket()
	id, _ := b.lend(1000, now)
	b.applyReport(report{loan: id, sequence: 1, used: 1000}, now)
	now = now.Add(5 * time.Second)
	b.refill(now)
	is.Equal(b.level, 500.0)
	other, _ := b.lend(500, now)
	b.applyReport(report{loan: other, sequence: 1, used: 500}, now)
	// Without the first loan the bucket would have been full, and would hold 500 now.
	b.applyReport(report{loan: id, sequence: 2, refund: 1000}, now)
	is.Equal(b.level, 500.0)
}

// Guards against borrowed tokens that are used after loanLifetime, for example because
// the borrower was paused: by then the holder has refilled them.
func TestLoanExpiresAtBorrower(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(epoch)
	f := &fleet{limits: map[string]drconfig.Limit{"a": testLimit}}
	l := New(Config{Clock: clock, Limits: f, Shares: NewShares(), View: &vm{fleet: f}})
	defer l.Close()
	a, _ := l.account("a")
	a.pumping = true // nothing is borrowed in this test
	a.loans = []*borrowedLoan{{sentAt: clock.Now(), left: 100}}
	_, err := l.Reserve(context.Background(), "a", 50, time.Time{})
	is.NoErr(err)
	clock.Advance(loanLifetime)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = l.Reserve(ctx, "a", 50, time.Time{})
	is.True(err != nil)
}

// Guards against VMs that disagree about the holder of a share, and against a stale
// change that takes a share from its holder.
func TestSharesAcceptance(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	apply := func(offset uint64, c *drpb.ShareChange) {
		b, err := proto.Marshal(&drpb.ShareEntry{Changes: []*drpb.ShareChange{c}})
		is.NoErr(err)
		s.Apply(drlog.Record{Offset: offset, Data: b})
	}
	change := func(vm string, incarnation, basedOn uint64, release bool) *drpb.ShareChange {
		return &drpb.ShareChange{Account: "a", Share: 1, Vm: vm, Incarnation: incarnation, BasedOn: basedOn, Release: release}
	}
	processX := process{"x", 1}
	apply(1, change("x", 1, 0, false))
	apply(2, change("y", 1, 0, false)) // lost the race against the change at offset 1
	is.Equal(s.heldCount("a", processX), 1)
	apply(3, change("y", 1, 1, true)) // not the holder
	apply(4, change("x", 0, 1, false))
	is.Equal(s.heldCount("a", processX), 1)
	apply(5, change("x", 2, 1, false))
	is.Equal(s.heldCount("a", processX), 0)
	apply(6, change("x", 2, 5, true))
	apply(7, change("y", 1, 6, false))

	restored := NewShares()
	is.NoErr(restored.Restore(7, s.Snapshot()))
	is.Equal(restored.holder("a", 1), shareHolder{process{"y", 1}, 7})
	is.Equal(restored.heldCount("a", process{"y", 1}), 1)
	is.Equal(restored.Snapshot(), s.Snapshot())
	s.Apply(drlog.Record{Offset: 8, Data: []byte("not protobuf")})
	is.True(restored.Restore(8, []byte("not protobuf")) != nil)
}

// Guards against tokens that are created by invalid numbers in reports of other VMs,
// such as NaN, infinity or negative amounts.
func FuzzReport(f *testing.F) {
	f.Add(uint64(1), uint64(1), 100.0, 1.0, 2.0, 3.0)
	f.Add(uint64(1), uint64(2), math.Inf(1), math.NaN(), -5.0, math.MaxFloat64)
	f.Fuzz(func(t *testing.T, loan, sequence uint64, tokens, unused, used, refund float64) {
		b, now := fullBucket()
		b.lend(tokens, now)
		for range 2 {
			b.applyReport(report{loan, sequence, unused, used, refund}, now)
			if !(b.level+b.lent <= 1000+epsilon) || !(b.level >= 0) || !(b.lent >= -epsilon) {
				t.Fatalf("level %g and lent %g are negative or exceed the burst", b.level, b.lent)
			}
		}
	})
}
