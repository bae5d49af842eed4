package drcrash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// withParts returns a request of its own with parts in its prompt.
func withParts(request int, parts ...string) drcrash.Identity {
	i := drcrash.Identity{Request: drrequest.NewFingerprint("a", fmt.Sprint(request), nil)}
	for _, p := range parts {
		i.Parts = append(i.Parts, drrequest.NewPartFingerprint(p))
	}
	return i
}

// syncFor lets all VMs report for a time.
func (f *fleet) syncFor(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		f.clock.Advance(100 * time.Millisecond)
		f.sync(false)
	}
}

// refuses reports whether any VM refuses a request.
func (f *fleet) refuses(request drcrash.Identity) bool {
	return slices.ContainsFunc(f.ledgers, func(l *drcrash.Ledger) bool {
		_, blocked := l.Blocked(request)
		return blocked
	})
}

// Guards against requests, no two alike, that crash one runner after another because
// of a part that their prompts share, and against refusing sound requests with their
// other parts.
func TestPartOfDifferentRequestsIsBlocked(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		is.True(!f.refuses(withParts(100, "system", "deadly")))
		f.crash(i, fmt.Sprint("r", i), withParts(i, "system", "deadly"))
		f.ledgers[3].RecordServed(withParts(0, "system")) // no crash was seen there
		f.syncFor(600 * time.Millisecond)
	}
	f.syncFor(time.Second)
	is.True(f.refuses(withParts(101, "other", "deadly")))
	is.True(!f.refuses(withParts(102, "system")))
}

// Guards against refusing what ran beside the cause: parts on fewer of the runners,
// reported before or after the cause was known, and single requests.
func TestBystandersAreNotBlocked(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	bystander, late := withParts(50, "rare"), withParts(60, "late")
	for i := range 2 * drcrash.MaxCrashes {
		runner := fmt.Sprint("r", i)
		if i > 0 {
			f.crash(1, runner, bystander, withParts(i, "rare"))
		}
		f.crash(0, runner, withParts(200+i, "deadly"))
		f.syncFor(100 * time.Millisecond)
	}
	f.syncFor(2 * time.Second)
	is.True(f.refuses(withParts(300, "deadly")))
	is.True(!f.refuses(bystander))
	for i := range 2 * drcrash.MaxCrashes {
		f.crash(2, fmt.Sprint("r", i), late, withParts(400+i, "late"))
	}
	f.syncFor(2 * time.Second)
	is.True(!f.refuses(late))
	is.True(!f.refuses(withParts(500, "rare")))
}

// Guards against refusing all requests with a part for long if the deadly one came
// with it in all requests of the time: one try of each tells them apart.
func TestTryTellsPartsApart(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.crash(i, fmt.Sprint("r", i), withParts(i, "system", "deadly"))
	}
	f.syncFor(2 * time.Second)
	is.True(f.refuses(withParts(100, "system")))
	runs := make(map[string]int)
	for second := range 30 {
		f.syncFor(time.Second)
		for _, part := range []string{"system", "deadly"} {
			request := withParts(200+second, part)
			if f.ledgers[0].Refuses(request) {
				continue
			}
			if runs[part]++; part == "deadly" {
				f.crash(0, fmt.Sprint("s", second), request)
			} else {
				f.ledgers[0].RecordServed(request)
			}
		}
	}
	is.Equal(runs["deadly"], 1)
	is.True(runs["system"] > 20)
	is.True(!f.refuses(withParts(100, "system")))
	is.True(f.refuses(withParts(101, "deadly")))
}

// Guards against blaming a part for one request that crashes its runners, and against
// refusing a service's common part because a new controller hears of old crashes
// before it hears of successes.
func TestCommonPartIsNotBlocked(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range 2 * drcrash.MaxCrashes {
		f.crash(0, fmt.Sprint("r", i), withParts(1, "system"))
	}
	f.syncFor(3 * time.Second)
	is.True(!f.refuses(withParts(2, "system")))
	for i := range 2 * drcrash.MaxCrashes {
		f.crash(0, fmt.Sprint("s", i), withParts(i, "common"))
	}
	f.ledgers[3].RecordServed(withParts(0, "common"))
	f.changeController()
	for i := range f.ledgers {
		f.report(i, true)
		is.True(!f.refuses(withParts(100, "common")))
	}
	f.syncFor(3 * time.Second)
	is.True(!f.refuses(withParts(100, "common")))
}

// Guards against refusing requests anew, without a further crash, after a block that
// nobody needed any more has ended.
func TestLiftedBlockNeedsNewCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.crash(i, fmt.Sprint("r", i), withParts(i, "system", "deadly"))
	}
	f.syncFor(2 * time.Second)
	is.True(f.refuses(withParts(100, "system"))) // for a short time, as it may be either
	for range 40 {
		f.syncFor(time.Second)
	}
	is.True(!f.refuses(withParts(101, "system")))
}

// Guards against lifting a former controller's block, and blaming another part, because
// the new controller has heard of a part of the crashes only. Hunted day
// tainted-controllers, seed 1015490697045 of snorrute-grown, broke so.
func TestPartOfEvidenceLiftsNoBlock(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range 2 * drcrash.MaxCrashes {
		f.crash(i%2, fmt.Sprint("r", i), withParts(i, "beside", "deadly"))
	}
	f.ledgers[3].RecordServed(withParts(0, "beside"))
	f.syncFor(3 * time.Second)
	is.True(f.refuses(withParts(100, "deadly")))
	is.True(!f.refuses(withParts(101, "beside")))
	f.clock.Advance(11 * time.Second) // nobody speaks for the other part any more
	f.changeController()
	for i := range drcrash.MaxCrashes {
		f.crash(2, fmt.Sprint("s", i), withParts(50+i, "beside"))
	}
	f.report(0, true)
	f.report(2, true)
	f.syncFor(3 * time.Second)
	is.True(f.refuses(withParts(102, "deadly")))
}
