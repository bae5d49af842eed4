package drbalancer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drprompt"
)

const engineSlots = 16

// engines returns candidates in the zone of the VM with the given loads, which other VMs
// have reported.
func engines(loads ...int) []drbalancer.Candidate {
	var cs []drbalancer.Candidate
	for i, l := range loads {
		c := candidate(fmt.Sprint("r", i), "a", l, 0)
		c.Elsewhere = l
		cs = append(cs, c)
	}
	return cs
}

func engineRequest(call *drfleet.Call) drbalancer.Request {
	return drbalancer.Request{Zone: "a", Engine: true, Slots: engineSlots, Call: call, Prompt: drprompt.Of(call)}
}

// digest is a request with a long beginning that it shares with others.
func digest(i int) *drfleet.Call {
	return &drfleet.Call{Model: "m", Prompt: []drfleet.Part{
		{ID: "system", Tokens: 3000}, {ID: "match", Tokens: 3000}, {ID: fmt.Sprint(i), Tokens: 2500},
	}}
}

// chosen counts the engines that n VMs choose on the same news.
func chosen(n int, candidates []drbalancer.Candidate, call func(i int) *drfleet.Call) map[string]int {
	counts := make(map[string]int)
	for i := range n {
		counts[drbalancer.Choose(engineRequest(call(i)), candidates, true).Runner.ID]++
	}
	return counts
}

func question(int) *drfleet.Call { return &drfleet.Call{Model: "m"} }

// Guards against a herd: many VMs with the same old news must not all send to the engine
// that was the least busy, nor forget that it was.
func TestVMsWithTheSameNewsSpread(t *testing.T) {
	is := is.New(t)
	counts := chosen(1000, engines(6, 10, 10, 10), question)
	is.True(counts["r0"] > 250 && counts["r0"] < 600)
	for _, id := range []string{"r1", "r2", "r3"} {
		is.True(counts[id] > 100)
	}
}

// Guards against a queue at an engine whose slots are all taken while another has free
// ones, as when one of the engines is slow and its requests last longer.
func TestFullEngineComesLast(t *testing.T) {
	is := is.New(t)
	counts := chosen(1000, engines(40, 8, 8), question)
	is.True(counts["r0"] < 50)
	is.Equal(drbalancer.Choose(engineRequest(question(0)), engines(60), true).Runner.ID, "r0")
}

// Guards against reading a long common beginning on every engine: all VMs prefer the same
// one for it, although it is a little busier.
func TestCommonBeginningGoesToOneEngine(t *testing.T) {
	is := is.New(t)
	loads := []int{2, 2, 2, 2}
	for id, n := range chosen(400, engines(loads...), digest) {
		if n < 200 {
			continue
		}
		is.True(n > 380)
		for i := range loads {
			if fmt.Sprint("r", i) == id {
				loads[i] = 8
			}
		}
		is.True(chosen(400, engines(loads...), digest)[id] > 300)
		return
	}
	t.Fatal("no engine is preferred")
}

// Guards against a saving that sends requests to an engine that is full, fails requests
// or has just failed this one, although it holds the prompt.
func TestSavingGivesWay(t *testing.T) {
	is := is.New(t)
	holding := func(load int, failing float64) []drbalancer.Candidate {
		cs := engines(load, 1, 1)
		cs[0].KeptTokens, cs[0].Failing = 6000, failing
		return cs
	}
	random := func(i int) *drfleet.Call {
		return &drfleet.Call{Model: "m", Prompt: []drfleet.Part{{ID: fmt.Sprint(i), Tokens: 6000}}}
	}
	is.True(chosen(200, holding(6, 0), random)["r0"] > 180)
	is.True(chosen(200, holding(engineSlots, 0), random)["r0"] < 20)
	is.True(chosen(200, holding(1, 0.2), random)["r0"] < 20)
	request := engineRequest(random(0))
	request.Tried = map[string]bool{"r0": true}
	is.True(drbalancer.Choose(request, holding(1, 0), true).Runner.ID != "r0")
}

// Guards against log lines that do not say what was weighed.
func TestChoiceStatesItsEstimate(t *testing.T) {
	is := is.New(t)
	cs := engines(4)
	cs[0].KeptTokens = 8500
	e := drbalancer.Choose(engineRequest(digest(1)), cs, true).Estimate
	is.Equal(e.KeptTokens, 8500)
	is.True(e.Wait > 0 && e.Saved > 0 && e.Delay() == e.Wait-e.Saved)
}

// Guards against short requests that wait behind a long prompt of which only the news of
// unread tokens tells: the engine with it runs fewer requests.
func TestUnreadPromptsCount(t *testing.T) {
	is := is.New(t)
	cs := engines(2, 6, 6)
	cs[0].UnreadTokens = 12_000
	is.True(chosen(1000, cs, question)["r0"] < 100)
}

// Guards against mixing: while few of the tokens are in long prompts, these go to one
// engine whatever the model, and the short ones mostly to the others. Where most are long
// they must not crowd together.
func TestLongPromptsAreKeptApart(t *testing.T) {
	is := is.New(t)
	spread := func(share float64, tokens int) map[string]int {
		counts := make(map[string]int)
		for i := range 1000 {
			call := &drfleet.Call{Model: fmt.Sprint("m", i), Prompt: []drfleet.Part{{ID: "p", Tokens: tokens / 3}, {ID: "q", Tokens: tokens / 3 * 2}}}
			request := engineRequest(call)
			request.LongShare = share
			counts[drbalancer.Choose(request, engines(2, 2, 2, 2), true).Runner.ID]++
		}
		return counts
	}
	long, short := spread(0.2, 9000), spread(0.2, 600)
	is.Equal(len(long), 1)
	for id := range long {
		is.True(short[id] < 50)
	}
	is.True(len(spread(0.5, 9000)) == 2)
	is.Equal(len(spread(0.95, 9000)), 4)
	is.Equal(len(spread(0, 9000)), 4)
}

// Guards against a request that is sent where the running ones need the memory, so that
// one of them is preempted, because the engine holds its prompt or has free slots.
func TestMemoryNearlyUsedUp(t *testing.T) {
	is := is.New(t)
	cs := engines(3, 8, 8)
	cs[0].KeptTokens, cs[0].RunningTokens = 6000, 185_000
	counts := make(map[string]int)
	for i := range 200 {
		request := engineRequest(digest(i))
		request.PromptMemory = 190_000
		counts[drbalancer.Choose(request, cs, true).Runner.ID]++
	}
	is.True(counts["r0"] < 20)
}
