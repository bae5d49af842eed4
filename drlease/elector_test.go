package drlease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
)

const ttl = 2 * time.Second

func newElector(l drstore.Log, c *drclock.Fake, vm string) *drlease.Elector {
	return drlease.New(drlease.Config{Log: l, Uptime: c, VM: vm, Address: vm + ":1", Incarnation: 1, TTL: ttl})
}

// mustRead lets an elector read all new lease records without waiting.
func mustRead(t *testing.T, e *drlease.Elector) {
	t.Helper()
	_, err := e.Read(context.Background(), 0)
	is.New(t).NoErr(err)
}

// Guards against two VMs that hold the lease at the same time, and against a
// fencing token that does not increase.
func TestOneHolder(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
	mustRead(t, a)
	mustRead(t, b)
	is.NoErr(a.Acquire(ctx))
	is.True(errors.Is(b.Acquire(ctx), drstore.ErrConflict))
	mustRead(t, b)
	is.True(!b.Vacant())
	first, ok := a.Holds()
	is.True(ok)

	clock.Advance(ttl + 200*time.Millisecond)
	_, ok = a.Holds()
	is.True(!ok) // the lease lapses for its holder before another VM may acquire it
	is.True(b.Vacant())
	is.NoErr(b.Acquire(ctx))
	second, ok := b.Holds()
	is.True(ok)
	is.True(second > first)
	is.True(errors.Is(a.Renew(ctx, drlease.Handover{}), drstore.ErrConflict))
}

// Guards against a holder that still considers its lease valid after it was
// suspended, because the monotonic clock stands still during a suspension.
func TestSuspendedHolderLosesLease(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a := newElector(store, clock, "a")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	clock.Suspend(ttl)
	_, ok := a.Holds()
	is.True(!ok)
}

// Guards against a renewal whose response was lost. The holder must not count
// it as successful, and must recover from the conflict that the record causes
// later.
func TestLostRenewal(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a := newElector(store, clock, "a")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	clock.Advance(time.Second)
	store.SetFault(drstandin.ErrNoAnswer, true)
	is.True(a.Renew(ctx, drlease.Handover{}) != nil)
	store.SetFault(nil, false)
	is.True(errors.Is(a.Renew(ctx, drlease.Handover{}), drstore.ErrConflict))
	mustRead(t, a)
	is.NoErr(a.Renew(ctx, drlease.Handover{}))
	clock.Advance(ttl - time.Millisecond)
	_, ok := a.Holds()
	is.True(ok)
}

// Guards against waiting for the TTL after the holder has released the lease.
func TestReleaseMakesVacant(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	is.NoErr(a.Release(ctx, drlease.Handover{}, false))
	_, ok := a.Holds()
	is.True(!ok)
	mustRead(t, b)
	is.True(b.Vacant())
}

// Guards against a fencing token that starts over after the records of the
// lease have expired, because runners would refuse the lower token.
func TestTokenGrowsAfterExpiry(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a := newElector(store, clock, "a")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	is.NoErr(a.Renew(ctx, drlease.Handover{}))
	first, _ := a.Holds()
	store.Expire(drstore.Leases)
	b := newElector(store, clock, "b")
	mustRead(t, b)
	is.True(b.Vacant())
	is.NoErr(b.Acquire(ctx))
	second, _ := b.Holds()
	is.True(second > first)
}

// Guards against waiting for the TTL after the holder's process has restarted:
// the earlier process can no longer act.
func TestRestartedHolderNeedNotWait(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a := newElector(store, clock, "a")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	restarted := drlease.New(drlease.Config{Log: store, Uptime: clock, VM: "a", Incarnation: 2, TTL: ttl})
	mustRead(t, restarted)
	is.True(restarted.Vacant())
	is.NoErr(restarted.Acquire(ctx))
}

// Guards against a holder that is not followed although it leads: what an earlier process of
// its VM, or one that could not renew in time, has said counts only until its next record.
func TestDenialEndsWithNextRecord(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
	b.Deny(0)
	is.True(!b.Denied()) // it knows no lease
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	mustRead(t, b)
	l, _ := b.Newest()
	b.Deny(l.Term + 1)
	is.True(!b.Denied())
	b.Deny(l.Term)
	is.True(b.Denied())
	is.NoErr(a.Renew(ctx, drlease.Handover{}))
	mustRead(t, b)
	is.True(!b.Denied())
}

// Guards against a new controller that grants tokens which were already spent
// under the previous controller.
func TestHandoverReachesNextHolder(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	is.NoErr(a.Renew(ctx, drlease.Handover{VMs: 2, Levels: map[string]float64{"x": 7}, Counted: clock.Now()}))
	is.NoErr(a.Release(ctx, drlease.Handover{VMs: 3, Levels: map[string]float64{"x": -5}, Counted: clock.Now()}, true))
	mustRead(t, b)
	is.NoErr(b.Acquire(ctx))
	l, _ := b.Newest()
	is.True(l.AfterYield)
	is.Equal(l.VMs, 3)
	is.Equal(l.Levels["x"], -5.0)
	is.True(l.Counted.Equal(clock.Now()))
}

// Guards against a VM that polls the lease, or that keeps waiting after another
// VM has acquired it: a read that waits must return with the next record.
func TestReadWaitsForNextRecord(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
	changed, err := b.Read(ctx, 0)
	is.NoErr(err)
	is.True(!changed)
	is.Equal(b.VacantIn(), time.Duration(0))
	time.AfterFunc(20*time.Millisecond, func() { _ = a.Acquire(ctx) }) // the read by b fails the test if this fails
	changed, err = b.Read(ctx, 10*time.Second)
	is.NoErr(err)
	is.True(changed)
	is.True(b.VacantIn() > ttl)
	l, _ := b.Newest()
	is.Equal(l.VM, "a")
}

// Guards against a VM that waits a whole TTL after the loss of the holder, because
// it reads the lease only then and cannot tell how old the newest record is. What
// the holder told of it before must end the wait when the lease lapses, not earlier,
// and only if the lease was not renewed since.
func TestToldValidityEndsTheWait(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	a, b, c := newElector(store, clock, "a"), newElector(store, clock, "b"), newElector(store, clock, "c")
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	c.RecordValidity(a.Validity())
	clock.Advance(time.Second)
	is.NoErr(a.Renew(ctx, drlease.Handover{}))
	clock.Advance(300 * time.Millisecond)
	b.RecordValidity(a.Validity())
	clock.Advance(ttl - 400*time.Millisecond)
	mustRead(t, b)
	_, holds := a.Holds()
	is.True(holds)
	is.True(!b.Vacant())
	is.True(b.VacantIn() <= 300*time.Millisecond)
	clock.Advance(b.VacantIn())
	_, holds = a.Holds()
	is.True(!holds)
	is.True(b.Vacant())

	mustRead(t, c) // was told of an older record
	is.True(c.VacantIn() >= ttl)
}

// Guards against a VM that cannot know that it held the lease shortly before the
// last holder, which it must for as long as late orders may cross with new ones.
func TestRecentHoldersReachNextHolder(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	take := func(vm string) *drlease.Elector {
		e := newElector(store, clock, vm)
		mustRead(t, e)
		clock.Advance(e.VacantIn())
		is.NoErr(e.Acquire(ctx))
		return e
	}
	recent := func(e *drlease.Elector) []string {
		l, _ := e.Newest()
		return l.RecentHolders
	}
	is.Equal(len(recent(take("a"))), 0)
	is.Equal(recent(take("b")), []string{"a"})
	third := take("a")
	is.Equal(recent(third), []string{"a", "b"})
	is.NoErr(third.Renew(ctx, drlease.Handover{})) // held it long enough
	is.Equal(recent(take("c")), []string{"a"})

	store.Expire(drstore.Leases)
	l, _ := take("d").Newest()
	is.True(l.HistoryLost)
}

// Guards against an age of the handed over state that follows the time of day, which is set
// or differs between VMs: a successor's uptime bounds it, closely if the holder has told it
// of the record.
func TestAgeOfHandoverIsBounded(t *testing.T) {
	for _, told := range []bool{false, true} {
		is, ctx := is.New(t), context.Background()
		store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
		a, b := newElector(store, clock, "a"), newElector(store, clock, "b")
		mustRead(t, a)
		is.NoErr(a.Acquire(ctx))
		clock.Advance(300 * time.Millisecond)
		if told {
			b.RecordValidity(a.Validity())
		}
		clock.Suspend(700 * time.Millisecond) // b reads the lease late
		mustRead(t, b)
		clock.Suspend(ttl + 200*time.Millisecond)
		is.NoErr(b.Acquire(ctx))
		l, _ := b.Newest()
		is.Equal(l.LeastAge, ttl+200*time.Millisecond)
		is.True(l.MostAge >= ttl+1200*time.Millisecond)
		is.Equal(l.MostAge == ttl+1200*time.Millisecond, told)
	}
}

// Guards against two holders with one fencing token, or with tokens in the wrong order, because
// the store has lost the newest leases and given out their offsets again.
func TestLostLeasesGiveNoTokenTwice(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store, clock := drstandin.NewMemoryStore(), drclock.NewFake(time.Unix(100, 0))
	former, a, b := newElector(store, clock, "former"), newElector(store, clock, "a"), newElector(store, clock, "b")
	mustRead(t, former)
	is.NoErr(former.Acquire(ctx))
	is.NoErr(former.Release(ctx, drlease.Handover{}, false))
	mustRead(t, a)
	is.NoErr(a.Acquire(ctx))
	is.NoErr(a.Renew(ctx, drlease.Handover{}))
	first, _ := a.Holds()

	store.Restore(drstore.Leases, 2)
	clock.Advance(ttl + 200*time.Millisecond)
	mustRead(t, b)
	is.NoErr(b.Acquire(ctx))
	is.NoErr(b.Renew(ctx, drlease.Handover{})) // the log ends where a goes on
	second, ok := b.Holds()
	is.True(ok)
	is.True(second > first)
	is.True(errors.Is(a.Renew(ctx, drlease.Handover{}), drstore.ErrConflict))
	_, ok = a.Holds()
	is.True(!ok)
	mustRead(t, a)
	newest, _ := a.Newest()
	is.Equal(newest.VM, "b")
	mustRead(t, b)
	newest, _ = b.Newest()
	is.Equal(newest.VM, "b")
	is.True(errors.Is(b.Renew(ctx, drlease.Handover{}), nil))
}
