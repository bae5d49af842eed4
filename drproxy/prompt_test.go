package drproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// promptExchange is a request with a prompt of two parts at an engine.
func promptExchange(s *Server, engine *drfleet.Engine, affinity bool) *exchange {
	x := &exchange{
		server: s, route: &drfleet.Route{Kind: drfleet.Stream, Affinity: affinity}, service: &drfleet.Service{Name: "llm", Engine: engine},
		call: &drfleet.Call{Model: "m", OutputTokens: 80, Prompt: []drfleet.Part{{ID: "p", Tokens: 500}, {ID: "q", Tokens: 100}}},
	}
	x.setPrompt()
	return x
}

// Guards against savings at an engine that has restarted, and against weighing prompts
// where the configuration does not say that engines keep them.
func TestKeptPromptsFollowTheTable(t *testing.T) {
	is := is.New(t)
	s := newTestServer()
	engine := &drfleet.Engine{Slots: 16, PromptMemory: 100_000}
	x := promptExchange(s, engine, true)
	kept := func() int { return x.candidates()[0].KeptTokens }
	r := &drfleet.Runner{ID: "r1", Service: "llm", Started: 1, Replicas: []drfleet.Replica{{Model: "m"}}}
	s.View.OfferRunner(r, drfleetview.FromRunner)
	is.Equal(kept(), 0)
	x.recordPrompt(r)
	is.Equal(kept(), 600)

	restarted := *r
	restarted.Started = 2
	s.View.OfferRunner(&restarted, drfleetview.FromRunner)
	is.Equal(kept(), 0)
	is.Equal(s.prompts.Len(), 0)

	is.Equal(len(promptExchange(s, engine, false).prompt.Prefixes), 0)
	is.Equal(len(promptExchange(s, &drfleet.Engine{Slots: 16}, true).prompt.Prefixes), 0)
}

// Guards against log lines without what was weighed, and against fields of it on requests
// for which nothing was.
func TestServedLineSaysWhatWasWeighed(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	is.Equal(len(x.weighed()), 0)
	x.estimate = drbalancer.Estimate{Wait: 12 * time.Millisecond, KeptTokens: 3000, Saved: 78 * time.Millisecond}
	f := x.weighed()
	is.Equal(f["expected-wait"], 12*time.Millisecond)
	is.Equal(f["kept-tokens"], 3000)
	is.Equal(f["saving"], 78*time.Millisecond)
}
