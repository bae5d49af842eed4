package drrouter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Guards against two suspects on the same server at once, sent there by one VM
// or by two. A crash of the server could then not be attributed to one of them.
func TestSuspectsRunApart(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := drclock.NewFake(time.Unix(0, 0))
	n := &network{}
	a, b := n.addVM(c, "vm-a"), n.addVM(c, "vm-b")
	x, y := drrequest.Fingerprint{1}, drrequest.Fingerprint{2}
	rx, err := a.Begin(ctx, x, "s1", "i1")
	is.NoErr(err)
	_, err = a.Begin(ctx, y, "s1", "i1")
	is.NoErr(err)
	rx.Crash(ctx)

	rx, err = a.Begin(ctx, x, "s2", "")
	is.NoErr(err)
	is.True(rx != nil)
	for _, s := range []*Suspects{a, b} {
		ry, err := s.Begin(ctx, y, "s2", "")
		is.NoErr(err)
		is.True(ry == nil) // x is on trial on this server
		dup, err := s.Begin(ctx, x, "s3", "")
		is.NoErr(err)
		is.True(dup == nil) // x is running already
	}
	rx.Succeed()
	a.Close()
	ry, err := b.Begin(ctx, y, "s2", "")
	is.NoErr(err)
	is.True(ry != nil)
	ry.Crash(ctx)
	is.True(a.Check(y) != nil)
	is.True(b.Check(y) != nil)
	is.NoErr(a.Check(x))
	c.Advance(suspectTTL + time.Second)
	is.NoErr(a.Check(y))
}

// Guards against a second strike for a request that was sent again to a crashed
// instance before its crash was known, and against avoiding a crashed instance
// for ever.
func TestInstanceCrashesOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := drclock.NewFake(time.Unix(0, 0))
	s := (&network{}).addVM(c, "vm-a")
	x := drrequest.Fingerprint{1}
	for range 2 {
		r, err := s.Begin(ctx, x, "s1", "i1")
		is.NoErr(err)
		r.Crash(ctx)
		r.End()
		is.NoErr(s.Check(x))
	}
	is.True(s.RecentlyCrashed("s1", "i1"))
	is.True(s.RecentlyCrashed("s1", ""))
	is.True(!s.RecentlyCrashed("s1", "i2"))
	r, err := s.Begin(ctx, x, "s1", "i2")
	is.NoErr(err)
	r.Crash(ctx)
	is.True(s.Check(x) != nil)
	c.Advance(crashedInstanceTTL)
	is.True(!s.RecentlyCrashed("s1", "i2"))
	s.Observe(Notice{Kind: Strike, ID: "c9", VM: "vm-b", Backend: "s2", Instance: "i1"})
	is.True(s.RecentlyCrashed("s2", "i1")) // reported by another VM
}

// Guards against a crash that gives no strike to a request whose backend server had no
// known instance when it was sent: it could crash three of them.
func TestCrashOfUnknownInstanceCounts(t *testing.T) {
	x, y := drrequest.Fingerprint{1}, drrequest.Fingerprint{2}
	for _, reporter := range []string{"vm-a", "vm-b"} {
		is := is.New(t)
		ctx := context.Background()
		n := &network{}
		c := drclock.NewFake(time.Unix(0, 0))
		a, b := n.addVM(c, "vm-a"), n.addVM(c, "vm-b")
		unknown, err := a.Begin(ctx, x, "s1", "")
		is.NoErr(err)
		at := map[string]*Suspects{"vm-a": a, "vm-b": b}[reporter]
		known, err := at.Begin(ctx, y, "s1", "i1")
		is.NoErr(err)
		known.Crash(ctx)
		unknown.Crash(ctx)
		is.NoErr(a.Check(x))
		unknown.End()
		again, err := a.Begin(ctx, x, "s1", "i2")
		is.NoErr(err)
		is.True(again != nil)
		again.Crash(ctx)
		is.True(a.Check(x) != nil) // two crashes
	}
}

// Guards against a strike that is read from the log only after the request was
// cleared and makes it a suspect again, and against a restarted VM that ignores
// the strikes which it sent itself before the restart.
func TestLateStrikeDoesNotUndoClearance(t *testing.T) {
	is := is.New(t)
	s := (&network{}).addVM(drclock.NewFake(time.Unix(0, 0)), "vm-a")
	x := drrequest.Fingerprint{1}
	strike := Notice{Kind: Strike, ID: "c1", VM: "vm-a", Fingerprints: []drrequest.Fingerprint{x}}
	s.Observe(strike)
	is.True(s.activeRecord(x) != nil)
	s.Observe(Notice{Kind: Clear, VM: "vm-b", Fingerprints: []drrequest.Fingerprint{x}})
	s.Observe(strike)
	is.True(s.activeRecord(x) == nil)
}

// Guards against unbounded memory when many different requests crash servers.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := (&network{}).addVM(drclock.NewFake(time.Unix(0, 0)), "vm-a")
	for i := range maxSuspects + 100 {
		f := drrequest.NewFingerprint("a", fmt.Sprint(i), nil)
		s.Observe(Notice{Kind: Strike, ID: fmt.Sprint(i), VM: "vm-b", Fingerprints: []drrequest.Fingerprint{f}})
		s.Observe(Notice{Kind: Trial, ID: fmt.Sprint(i), VM: "vm-b", Fingerprints: []drrequest.Fingerprint{f}})
	}
	is.Equal(len(s.records), maxSuspects)
	is.Equal(s.byLastStrike.Len(), maxSuspects)
	is.True(len(s.trials) <= maxTrials)
}
