package drcrash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

var poison, innocent = drcrash.Identity{Request: drrequest.Fingerprint{1}}, drcrash.Identity{Request: drrequest.Fingerprint{2}}

// fleet is a controller's Tally with the Ledgers of its VMs.
type fleet struct {
	clock   *drclock.Fake
	tally   *drcrash.Tally
	term    uint64
	ledgers []*drcrash.Ledger
}

func newFleet(vms int) *fleet {
	f := &fleet{clock: drclock.NewFake(time.Unix(0, 0))}
	f.tally = drcrash.NewTally(f.clock)
	for range vms {
		f.ledgers = append(f.ledgers, drcrash.NewLedger(f.clock))
	}
	return f
}

// sync lets every VM report to the controller, in two rounds, so that each learns
// what all have reported.
func (f *fleet) sync(all bool) {
	for range 2 {
		for i := range f.ledgers {
			f.report(i, all)
		}
	}
}

// report lets one VM report to the controller.
func (f *fleet) report(vm int, all bool) {
	name := fmt.Sprint("vm", vm)
	f.tally.Add(name, f.ledgers[vm].TakeReport(all))
	verdict := f.tally.VerdictFor(name)
	verdict.Term = f.term
	f.ledgers[vm].SetVerdict(verdict)
}

// changeController lets another VM become the controller, which knows nothing.
func (f *fleet) changeController() {
	f.tally = drcrash.NewTally(f.clock)
	f.term++
}

// crash records that a runner has crashed with requests of one VM.
func (f *fleet) crash(vm int, runner string, requests ...drcrash.Identity) {
	for _, r := range requests {
		f.ledgers[vm].RecordCrash(drcrash.Crash{Identity: r, Runner: runner})
	}
}

// Guards against a request that crashes one runner after another because each time
// it comes to another VM.
func TestCrashesOfAllVMsCount(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		is.True(!f.ledgers[3].Refuses(poison))
		f.crash(i, fmt.Sprint("r", i), poison)
		f.sync(false)
	}
	for _, l := range f.ledgers {
		is.True(l.Refuses(poison))
		is.True(!l.Refuses(innocent))
	}
	f.changeController()
	f.sync(true)
	is.True(f.ledgers[3].Refuses(poison))
	f.clock.Advance(2 * time.Minute)
	f.sync(true)
	is.True(!f.ledgers[3].Refuses(poison))
	is.True(f.ledgers[0].Empty())
}

// Guards against blocking what a service mostly asks for: many requests with the
// same content run while its runners crash, and most succeed. One crash that
// several VMs see counts once.
func TestSuccessClears(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range 10 {
		runner := fmt.Sprint("r", i)
		for vm := range f.ledgers {
			f.crash(vm, runner, innocent)
		}
		f.sync(false)
		is.True(!f.ledgers[0].Refuses(innocent))
		f.ledgers[i%4].RecordServed(innocent)
		f.sync(false)
	}
}

// Guards against a ledger that grows without bound while runners crash for hours.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 20000 {
		f.crash(0, "r", drcrash.Identity{Request: drrequest.NewFingerprint("a", fmt.Sprint(i), nil)})
	}
	is.True(len(f.ledgers[0].TakeReport(true).Crashes) <= 4096)
}

// Guards against a request that reaches further runners after a change of the
// controller: the new one hears of its crashes from one VM after the other, and had
// told the first ones meanwhile to refuse nothing.
func TestBlockOutlivesController(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.crash(i, fmt.Sprint("r", i), poison)
	}
	f.sync(false)
	f.changeController()
	for i := range f.ledgers {
		f.report(i, true)
		for _, l := range f.ledgers {
			is.True(l.Refuses(poison))
		}
	}
	f.ledgers = f.ledgers[3:] // the VMs that saw the crashes are gone
	f.changeController()
	f.sync(true)
	is.True(f.ledgers[0].Refuses(poison))
}

// playHour has a request come to a VM each second for an hour, and returns how often
// it ran. crashes says whether it then crashes its runner.
func (f *fleet) playHour(crashes bool) (runs int) {
	for second := range int(time.Hour / time.Second) {
		vm := second % len(f.ledgers)
		f.clock.Advance(time.Second)
		if !f.ledgers[vm].Refuses(poison) {
			runs++
			if crashes {
				f.crash(vm, fmt.Sprint("r", second), poison)
			} else {
				f.ledgers[vm].RecordServed(poison)
			}
		}
		f.sync(false)
	}
	return runs
}

// Guards against a request that goes on coming and crashes three more runners each
// time that its block ends.
func TestBlockGrowsWithEachTry(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	is.Equal(f.playHour(true), drcrash.MaxCrashes+2) // tries after 1 and 9 minutes
	is.Equal(f.playHour(true), 1)                    // and after 73
}

// Guards against refusing a request for good once its runners have been mended.
func TestSuccessfulTryLiftsBlock(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.crash(i, fmt.Sprint("r", i), poison)
	}
	f.sync(false)
	refused := int(time.Hour/time.Second) - f.playHour(false)
	is.True(refused <= 60+len(f.ledgers)+1) // until the VM that may try it gets the next one
	is.True(f.ledgers[0].Empty())
}

// Guards against a verdict that was delayed on its way and undoes a later one.
func TestOlderVerdictIsIgnored(t *testing.T) {
	is := is.New(t)
	l := newFleet(1).ledgers[0]
	block := []drcrash.Block{{Cause: poison.Request, Left: time.Minute, Span: time.Minute}}
	l.SetVerdict(drcrash.Verdict{Term: 2, Revision: 3, Blocks: block})
	l.SetVerdict(drcrash.Verdict{Term: 2, Revision: 2})
	l.SetVerdict(drcrash.Verdict{Term: 1, Revision: 9})
	is.True(l.Refuses(poison))
	l.SetVerdict(drcrash.Verdict{Term: 3, Revision: 0})
	is.True(!l.Refuses(poison))
}

// Guards against refusing, for a minute, what many clients send alike because it ran on
// the runners that another request has crashed: it gets a try soon, or is not blocked.
func TestRequestBesideCauseIsNotBlocked(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.crash(0, fmt.Sprint("r", i), poison, innocent)
	}
	f.sync(false)
	is.True(f.ledgers[1].Refuses(poison))
	f.crash(1, "s", poison)
	f.sync(false)
	is.True(f.ledgers[2].Refuses(poison))
	is.True(!f.ledgers[2].Refuses(innocent))
}

// Guards against refusing a request that ran beside one that is blocked, on exactly the
// same runners, because another VM reported its crashes later.
func TestLaterReportOfSameRunnersBlocksNothing(t *testing.T) {
	is := is.New(t)
	for range 20 { // the order of the records is random
		f := newFleet(4)
		for i := range drcrash.MaxCrashes {
			f.crash(0, fmt.Sprint("r", i), poison)
		}
		f.sync(false)
		is.True(f.refuses(poison))
		for i := range drcrash.MaxCrashes {
			f.crash(1, fmt.Sprint("r", i), innocent)
		}
		f.sync(false)
		is.True(!f.refuses(innocent))
		is.True(f.refuses(poison))
	}
}

// Guards against refusing, for a minute, what many clients send alike because its crashes
// were reported before those of the request that caused them: it has just succeeded at
// another VM.
func TestServedRequestIsNotBlockedForLong(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range drcrash.MaxCrashes {
		f.ledgers[3].RecordServed(innocent)
		f.crash(0, fmt.Sprint("r", i), innocent)
		f.report(0, false)
		f.clock.Advance(100 * time.Millisecond)
	}
	f.syncFor(300 * time.Millisecond)
	is.True(!f.refuses(innocent))
}

// Guards against a request that goes on crashing runners because it succeeded before.
func TestFormerSuccessSpeaksForShortTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.ledgers[3].RecordServed(poison)
	runs := 0
	for range 20 {
		if !f.ledgers[1].Refuses(poison) {
			f.crash(1, fmt.Sprint("r", runs), poison)
			runs++
		}
		f.syncFor(time.Second)
	}
	is.True(runs <= 2*drcrash.MaxCrashes)
}

// Guards against refusing, for a minute, what many clients send alike because its crashes
// are reported once more after a success has cleared it: VMs that do not know yet that the
// runners have ended send it there. Seed 802005 of TestSoak refused all streams so.
func TestReportsAfterSuccessCountNoRunnerTwice(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.ledgers[3].RecordServed(innocent)
	for late := range 3 {
		for i := range drcrash.MaxCrashes {
			f.crash(late, fmt.Sprint("r", i), innocent)
		}
		f.syncFor(time.Second)
		is.True(!f.refuses(innocent))
	}
	for i := range drcrash.MaxCrashes { // without a success they count
		f.crash(0, fmt.Sprint("s", i), innocent)
	}
	f.syncFor(time.Second)
	is.True(f.refuses(innocent))
}

// Guards against VMs that are not told of a block that a new controller has heard of: they
// are told when the revision grows.
func TestAdoptedBlockIsNews(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.ledgers[0].SetVerdict(drcrash.Verdict{Blocks: []drcrash.Block{{Cause: poison.Request, Left: time.Minute, Span: time.Minute}}})
	f.changeController()
	f.report(1, true)
	for range 2 {
		f.report(0, true)
		is.Equal(f.tally.Revision(), f.ledgers[1].Revision()+1)
	}
}
