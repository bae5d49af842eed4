package drbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
)

func candidate(id, zone string, load int, failing float64) drbalancer.Candidate {
	return drbalancer.Candidate{Runner: &drfleet.Runner{ID: id, Zone: zone, Slots: 6}, Load: load, Failing: failing}
}

func choose(request drbalancer.Request, candidates ...drbalancer.Candidate) string {
	if request.Call == nil {
		request.Call = &drfleet.Call{}
	}
	c := drbalancer.Choose(request, candidates, true)
	if c == nil {
		return ""
	}
	return c.Runner.ID
}

// Guards against requests that queue at a full runner in the VM's own zone while
// a runner in another zone has free slots, as in a plain service at peak load.
func TestFullRunnerIsAvoided(t *testing.T) {
	is := is.New(t)
	request := drbalancer.Request{Zone: "a"}
	is.Equal(choose(request, candidate("near", "a", 9, 0), candidate("far", "b", 2, 0)), "far")
	is.Equal(choose(request, candidate("near", "a", 1, 0), candidate("far", "b", 1, 0)), "near")
}

// Guards against preferring a runner that fails part of its requests although
// its health check passes, and against refusing requests when it is the only
// one left.
func TestFailingRunnerIsAvoided(t *testing.T) {
	is := is.New(t)
	bad := candidate("bad", "a", 0, 0.5)
	is.Equal(choose(drbalancer.Request{Zone: "a"}, bad, candidate("good", "b", 3, 0)), "good")
	is.Equal(choose(drbalancer.Request{Zone: "a"}, bad), "bad")
}

// Guards against a second attempt on the runner that has just failed while
// another one is left, and against a tried runner if the caller excludes them.
func TestTriedRunnerComesLast(t *testing.T) {
	is := is.New(t)
	request := drbalancer.Request{Zone: "a", Tried: map[string]bool{"r1": true}}
	is.Equal(choose(request, candidate("r1", "a", 0, 0), candidate("r2", "b", 5, 0)), "r2")
	is.Equal(choose(request, candidate("r1", "a", 0, 0)), "r1")
	is.True(drbalancer.Choose(drbalancer.Request{Call: &drfleet.Call{}, Tried: request.Tried}, []drbalancer.Candidate{candidate("r1", "a", 0, 0)}, false) == nil)
}

// Guards against prefilling a session's prompt again on another runner: its
// requests must stay on one runner, unless that one is far busier.
func TestSessionStaysAtItsRunner(t *testing.T) {
	is := is.New(t)
	call := &drfleet.Call{Prompt: []drfleet.Part{{ID: "p", Tokens: 2500}, {ID: "s1", Tokens: 3800}}}
	request := drbalancer.Request{Zone: "a", Engine: true, Call: call}
	preferred := choose(request, candidate("r1", "a", 0, 0), candidate("r2", "a", 0, 0), candidate("r3", "a", 0, 0))
	loads := map[string]int{preferred: 10}
	is.Equal(choose(request, candidate("r1", "a", loads["r1"], 0), candidate("r2", "a", loads["r2"], 0),
		candidate("r3", "a", loads["r3"], 0)), preferred)
	loads[preferred] = 100
	is.True(choose(request, candidate("r1", "a", loads["r1"], 0), candidate("r2", "a", loads["r2"], 0),
		candidate("r3", "a", loads["r3"], 0)) != preferred)
}

// Guards against a hash by which all sessions prefer the same runner.
func TestSessionsSpread(t *testing.T) {
	is := is.New(t)
	counts := make(map[string]int)
	for i := range 300 {
		call := &drfleet.Call{Prompt: []drfleet.Part{{ID: fmt.Sprint(i), Tokens: 1000}}}
		counts[choose(drbalancer.Request{Engine: true, Call: call}, candidate("r1", "", 0, 0), candidate("r2", "", 0, 0), candidate("r3", "", 0, 0))]++
	}
	for _, n := range counts {
		is.True(n > 60)
	}
	is.Equal(len(counts), 3)
}

// Guards against retries that multiply the load while every runner fails: of 100
// failing requests only the burst and the share may be retried.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	b := drbalancer.NewBudget(drbalancer.BudgetConfig{Clock: clock, Share: 0.1, Floor: 1, Burst: 5})
	retries := 0
	for range 100 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	is.True(retries <= 15)
	b.Set(drbalancer.BudgetConfig{Clock: clock, Share: 0.1, Floor: 0, Burst: 0.5})
	is.True(!b.Retry())
}
