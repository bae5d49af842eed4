package drwarmup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// fleet is a few VMs and their controllers around one cold runner. Each VM sends whenever
// it may, so the sum over all VMs shows what the permits allow at most.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	rate    drwarmup.Rate
	runner  drwarmup.Incarnation
	budget  *drwarmup.Budget // of the present controller
	vms     []*vm
	replies []reply
	sent    []time.Duration
	// holdUntil is until when VMs keep their permits, because their requests are on the
	// way to the runner, so that many use them at once.
	holdUntil time.Duration
}

// vm is one entry VM.
type vm struct {
	permits     drwarmup.Permits
	frozenUntil time.Duration
	cutOff      bool
}

// reply is a controller's reply that is on its way.
type reply struct {
	to       *vm
	permits  int
	end, due time.Duration
}

func newFleet(seed uint64, rate drwarmup.Rate) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 36)), rate: rate, runner: drwarmup.Incarnation{Runner: "r", Started: 1}}
	f.budget = drwarmup.NewBudget(f.now)
	for range 1 + f.random.IntN(8) {
		f.vms = append(f.vms, &vm{})
	}
	return f
}

// ask sends a VM's report, which reaches the controller after a while and may be held
// there. The VM counts the end of its permits from when it sent the report plus the time
// for which it was held, which is before the permits were given.
func (f *fleet) ask(v *vm) {
	way := time.Duration(max(f.random.IntN(80)-40, 0)) * time.Millisecond
	given := f.budget.Give(f.runner, f.rate, 1+f.random.IntN(12), f.now)
	delay := time.Duration(max(f.random.IntN(900)-600, 0)) * time.Millisecond
	f.replies = append(f.replies, reply{v, given, f.now - way + drwarmup.PermitTime, f.now + delay})
}

// step makes one random event happen.
func (f *fleet) step() {
	f.now += time.Duration(f.random.IntN(60)) * time.Millisecond
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(40) {
	case 0:
		v.frozenUntil = f.now + time.Duration(f.random.IntN(2000))*time.Millisecond
	case 1:
		v.cutOff = !v.cutOff
	case 2:
		*v = vm{} // restarted
	case 3:
		f.budget = drwarmup.NewBudget(f.now)
	case 5, 6, 7:
		if f.now >= f.holdUntil {
			f.holdUntil = f.now + time.Duration(f.random.IntN(260))*time.Millisecond
		}
	case 4:
		f.budget.Forget(f.now)
	default:
		if !v.cutOff && f.now >= v.frozenUntil {
			f.ask(v)
		}
	}
	f.deliver()
	if f.now < f.holdUntil {
		return
	}
	for _, v := range f.vms {
		for f.now >= v.frozenUntil && v.permits.Take(f.runner, f.now) {
			f.sent = append(f.sent, f.now)
		}
	}
}

func (f *fleet) deliver() {
	f.replies = slices.DeleteFunc(f.replies, func(r reply) bool {
		if r.due <= f.now {
			r.to.permits.Add(f.runner, r.permits, r.end)
		}
		return r.due <= f.now
	})
}

// busiestWindow returns the largest number of requests that were sent in one window.
func (f *fleet) busiestWindow(window time.Duration) int {
	busiest, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first] <= at-window {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// Guards against a cold runner that gets more requests than it bears, and crashes: because
// VMs are frozen with permits, cut off or restarted, replies arrive late, or the controller
// changes while permits of the former one are under way.
func TestColdRunnerGetsWhatItBears(t *testing.T) {
	const orders = 100_000
	served := 0
	for seed := range uint64(orders) {
		bound := drwarmup.Bound{Window: time.Second, Overage: 1 + float64(seed%3)/2, Slack: float64(seed % 7)}
		if seed%2 == 1 {
			bound = drwarmup.LimitBound
		}
		rate := drwarmup.Rate{PerSecond: float64(1 + seed%25), Bound: bound}
		f := newFleet(seed, rate)
		for range 70 {
			f.step()
		}
		borne := rate.PerSecond*bound.Window.Seconds()*bound.Overage + bound.Slack
		if most := f.busiestWindow(bound.Window); float64(most) > borne {
			t.Fatalf("seed %d: %d requests in %s, %v borne", seed, most, bound.Window, borne)
		}
		served += len(f.sent)
	}
	if served < orders {
		t.Errorf("only %d requests were sent", served)
	}
}
