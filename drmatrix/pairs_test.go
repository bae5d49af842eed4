package drmatrix

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	pairSeed  = 20261204
	pairCount = 16

	// The streams of one run, pairStreams on each of 3 VMs, ask for 2160
	// tokens. This is about twice what the lowered limit allows while they run.
	pairStreams = 12
	pairRate    = 100.0
	pairBurst   = 300.0
	// loanExpiry is the time until tokens lent under the earlier limit have
	// expired.
	loanExpiry = 1500 * time.Millisecond
	// pairTimeout is the deadline of the streams. It bounds the time in which
	// tokens accrue.
	pairTimeout = 8 * time.Second
)

// pair holds the indexes of two faults that are injected at the same time, on two
// VMs.
type pair struct{ first, second int }

// pairs draws two different faults. It leaves out the poison request, which
// TestPoisonRequest covers, and the withdrawn key, which ends all requests.
var pairs = rapid.Custom(func(t *rapid.T) pair {
	usable := rapid.IntRange(0, len(faults)-1).Filter(func(i int) bool {
		return faults[i].column != poisonColumn && faults[i].column != "key withdrawn"
	})
	first := usable.Draw(t, "first")
	return pair{first, usable.Filter(func(i int) bool { return i != first }).Draw(t, "second")}
})

// Guards against failures that need two faults at the same time: an answer that
// belongs to another request, a false "not-run", a second execution of a keyed
// call, too many replicas, too much memory, and more tokens than the account's
// rate and burst allow.
func TestFaultPairs(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for i := range pairCount {
		p := pairs.Example(pairSeed + i)
		a, b := faults[p.first], faults[p.second]
		name := strings.ReplaceAll(fmt.Sprintf("%d-%s-and-%s", i, a.column, b.column), " ", "-")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runPair(newSystem(t, "fjordsnor"), a, b)
		})
	}
}

func runPair(s *system, a, b fault) {
	vms, model := s.VMs(), s.pickModel(false)
	streamCompletion(vms[0], callerKey, model, "warm", 4, requestTimeout, nil)
	s.lowerLimit()
	before, began := s.generatedTokens(), time.Now()
	var all sync.WaitGroup
	for i, v := range vms {
		for j := range pairStreams {
			all.Go(func() { s.streamAndCheck(v, model, fmt.Sprintf("pair %d %d", i, j)) })
		}
		all.Go(func() { s.callAndCheck(v, fmt.Sprintf("pair-%d", i)) })
	}
	all.Go(func() {
		time.Sleep(200 * time.Millisecond)
		first := a.start(s, vms[2])
		second := b.start(s, vms[1])
		first()
		second()
	})
	all.Wait()
	if err := s.checkEngines(); err != nil {
		s.t.Error(err)
	}
	allowed := pairBurst + pairRate*time.Since(began).Seconds()
	if n := s.generatedTokens() - before; float64(n) > allowed {
		s.t.Errorf("%d tokens were generated, %g are allowed", n, allowed)
	}
	s.closeAll()
}

func (s *system) streamAndCheck(vm *drserve.VM, model, prompt string) {
	a := streamCompletion(vm, callerKey, model, prompt, streamTokens, pairTimeout, nil)
	if err := a.checkCompletion(model, prompt, streamTokens); err != nil {
		s.t.Errorf("%s: %v", vm.Settings.VM, err)
	}
}

func (s *system) callAndCheck(vm *drserve.VM, key string) {
	s.resendAndCheck(key, callService(vm, "/bookings", callerKey, key, 5*time.Second))
}

// lowerLimit lowers the account's limit to one that the streams exceed, and waits
// until it is in force on all VMs and earlier loans have expired.
func (s *system) lowerLimit() {
	o, ok := s.objects.Selector("passengers")
	if !ok {
		s.t.Fatal("the selector with the account's limit is gone")
	}
	o.Rate, o.Burst = pairRate, pairBurst
	r := s.submit(s.VMs()[0], dradmin.Change{ID: "limit", BasedOn: s.configOffset(), Author: "matrix", Puts: []dradmin.ObjectDocument{{
		ObjectName: dradmin.ObjectName{Kind: string(drconfig.KindSelector), Name: o.Name}, Object: drconfig.EncodeObject(o),
	}}})
	if !r.Accepted {
		s.t.Fatal(r.Problems)
	}
	s.awaitInForce(r.Offset)
	time.Sleep(loanExpiry)
}

// generatedTokens returns the number of tokens that all engines generated so far.
func (s *system) generatedTokens() int {
	n := 0
	for _, e := range s.platform.Engines {
		n += e.Counts().Tokens
	}
	return n
}

// Guards against cells without test and reason, entries whose protocol or step is
// misspelled, and a table that differs from the scenarios of TestCells.
func TestTable(t *testing.T) {
	is := is.New(t)
	steps := make(map[Row]bool)
	for _, r := range Rows() {
		steps[r] = true
		for _, c := range Columns() {
			cell := Find(r, c)
			if len(cell.Tests) == 0 && cell.Reason == "" {
				t.Errorf("%v, %s: neither test nor reason", r, c)
			}
		}
	}
	for _, e := range coverageEntries {
		found := false
		for r := range steps {
			found = found || e.protocol == r.Protocol && (e.step == "" || e.step == r.Step)
		}
		if !found {
			t.Errorf("the entry for protocol %s, step %s matches no row", e.protocol, e.step)
		}
	}
	is.Equal(len(scenarios), len(excludedColumnsByStep))
	for _, s := range scenarios {
		excluded, ok := excludedColumnsByStep[Row{s.protocol, s.step}]
		is.True(ok)
		is.Equal(excluded, s.excludedColumns)
	}
}

// Guards against a test that is reported as passed or left out although it did not
// end, as after a crash of the test process.
func TestResults(t *testing.T) {
	is := is.New(t)
	r, err := ReadResults(strings.NewReader(`{"Action":"run","Package":"x/drp","Test":"TestA"}
{"Action":"run","Package":"x/drp","Test":"TestB/c"}
{"Action":"pass","Package":"x/drp","Test":"TestB/c"}
`))
	is.NoErr(err)
	is.Equal(r, Results{"drp.TestA": "fail", "drp.TestB/c": "pass"})
	_, outcomes := r.describe([]string{"drp.TestB/c", "drp.TestC"})
	is.Equal(outcomes, "pass, not run")
	is.True(Write(&strings.Builder{}, r) != nil)
}
