package drprompt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drprompt"
)

const capacity = 100_000 // tokens

func prompt(parts ...drfleet.Part) drprompt.Prompt {
	return drprompt.Of(&drfleet.Call{Model: "m", Prompt: parts})
}

func runner(started int64, models ...string) *drfleet.Runner {
	r := &drfleet.Runner{ID: "r1", Started: started}
	for _, m := range models {
		r.Replicas = append(r.Replicas, drfleet.Replica{Model: m})
	}
	return r
}

var (
	system  = drfleet.Part{ID: "system", Tokens: 3000}
	match   = drfleet.Part{ID: "match", Tokens: 2000}
	request = drfleet.Part{ID: "request", Tokens: 900}
	other   = drfleet.Part{ID: "other", Tokens: 700}
)

// Guards against counting a part whose predecessor is not held, or one that was read for
// another model or after another beginning.
func TestPartCountsOnlyAfterAllBeforeIt(t *testing.T) {
	is := is.New(t)
	x := drprompt.NewIndex(drclock.NewFake(time.Unix(0, 0)))
	r := runner(1, "m")
	x.Record(r, prompt(system, match, request), capacity)
	is.Equal(x.Kept(r, prompt(system, match, other), capacity), 5000)
	is.Equal(x.Kept(r, prompt(system, other, match), capacity), 3000)
	is.Equal(x.Kept(r, prompt(match, request), capacity), 0)
	is.Equal(x.Kept(r, drprompt.Of(&drfleet.Call{Model: "m", Adapter: "a1", Prompt: []drfleet.Part{system}}), capacity), 0)
}

// Guards against savings that a runner cannot give: its restart, the unloading of the
// model and its leaving drop what it held, and a late answer of the earlier incarnation
// brings nothing back.
func TestDroppedPromptsAreForgotten(t *testing.T) {
	is := is.New(t)
	x := drprompt.NewIndex(drclock.NewFake(time.Unix(0, 0)))
	p := prompt(system, request)
	x.Record(runner(1, "m"), p, capacity)
	x.Update(runner(1, "m", "n"))
	is.Equal(x.Kept(runner(1, "m"), p, capacity), 3900)
	is.Equal(x.Kept(runner(2, "m"), p, capacity), 0)
	x.Update(runner(1, "n"))
	is.Equal(x.Len(), 0)

	x.Record(runner(1, "m"), p, capacity)
	x.Update(runner(2, "m"))
	is.Equal(x.Len(), 0)

	x.Record(runner(2, "m"), p, capacity)
	x.Record(runner(1, "m"), prompt(other), capacity)
	is.Equal(x.Kept(runner(1, "m"), prompt(other), capacity), 0)
	x.Forget("r1")
	is.Equal(x.Len(), 0)
}

// Guards against trusting old knowledge: a prompt yields to the tokens that are read
// after it, and to time, unless it is used again.
func TestUnusedPromptsYield(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	x := drprompt.NewIndex(clock)
	r := runner(1, "m")
	x.Record(r, prompt(system, request), capacity)
	for i := range 40 {
		x.Record(r, prompt(drfleet.Part{ID: fmt.Sprint(i), Tokens: 3000}), capacity)
	}
	is.Equal(x.Kept(r, prompt(system, request), capacity), 0)
	for i := range 40 {
		x.Record(r, prompt(system, drfleet.Part{ID: fmt.Sprint(i), Tokens: 3000}), capacity)
	}
	is.Equal(x.Kept(r, prompt(system, request), capacity), 3000)
	clock.Advance(2 * time.Minute)
	is.Equal(x.Kept(r, prompt(system, request), capacity), 0)
}

// Guards against memory that grows with the number of prompts or runners.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	x := drprompt.NewIndex(drclock.NewFake(time.Unix(0, 0)))
	for i := range 20_000 {
		r := &drfleet.Runner{ID: fmt.Sprint("r", i%100), Started: 1}
		x.Record(r, prompt(drfleet.Part{ID: fmt.Sprint("p", i), Tokens: 10}), capacity)
	}
	is.True(x.Len() <= 8192)
}

// Guards against spreading the requests with a common beginning over all runners: the
// anchor is the part that most requests share, unless it is too short to be worth it.
func TestAnchor(t *testing.T) {
	is := is.New(t)
	greeting := drfleet.Part{ID: "greeting", Tokens: 20}
	is.Equal(prompt(system, match, request).Anchor(), prompt(system, other, request).Anchor())
	is.Equal(prompt(greeting, system, request).Anchor().Tokens, 3020)
	is.Equal(prompt(request).Anchor(), drprompt.Prefix{})
	is.Equal(prompt().Anchor(), drprompt.Prefix{})
	is.Equal(prompt(drfleet.Part{ID: "empty"}, request).Anchor(), drprompt.Prefix{})
}

// Guards against a share of long prompts that stays after they have ceased.
func TestMixForgets(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	m := drprompt.NewMix(clock)
	is.Equal(m.LongShare(), 0.0)
	m.Add(9000, 4000)
	for range 8 {
		m.Add(500, 500)
	}
	is.Equal(m.LongShare(), 0.5)
	clock.Advance(2 * time.Minute)
	m.Add(500, 500)
	is.True(m.LongShare() < 0.15)
}
