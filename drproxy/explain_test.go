package drproxy

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// explainWire is a Wire that takes any request for model m of host "host".
type explainWire struct{ stubWire }

func (explainWire) Call(*fasthttp.RequestHeader) (*drfleet.Call, error) {
	return &drfleet.Call{ID: "x", Host: "host", Path: "/a/", Model: "m", Prompt: []drfleet.Part{{ID: "p", Tokens: 500}, {ID: "q", Tokens: 100}}}, nil
}

// Guards against an explanation that counts as a request, leaves out why a runner is no
// candidate, or says nothing where the request would be refused.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := newTestServer()
	s.Wire, s.Crashes = explainWire{}, drcrash.NewLedger(s.Clock)
	explain := func() Explanation {
		e, err := s.Explain(strings.NewReader("GET /a/ HTTP/1.1\r\nHost: host\r\n\r\n"))
		is.NoErr(err)
		return e
	}
	is.True(strings.Contains(explain().Refusal, "no-configuration"))

	d, err := drfleet.NewDeployment(drfleet.Config{
		Version: 1, Routes: []drfleet.Route{{Name: "ask", Host: "host", Prefix: "/a/", Kind: drfleet.Stream, Public: true, Affinity: true, Attempts: 1,
			Targets: []drfleet.Target{{Service: "llm", Weight: 1}}}},
		Services: []drfleet.Service{{Name: "llm", Engine: &drfleet.Engine{Slots: 4, PromptMemory: 1000, Models: map[string]drfleet.Model{"m": {Name: "m"}}}}},
	})
	is.NoErr(err)
	s.View.OfferDeployment(d, nil)
	is.True(explain().Refusal != "")

	for _, id := range []string{"r1", "r2", "r3"} {
		s.View.OfferRunner(&drfleet.Runner{ID: id, Service: "llm", Zone: id, Started: 1, Replicas: []drfleet.Replica{{Model: "m"}}}, drfleetview.FromRunner)
	}
	s.View.Pause(drfleetview.Incarnation{Runner: "r2", Started: 1}, 7*time.Second)
	s.View.SetLoad("r3", 40, 0)
	e := explain()
	is.Equal(e.Refusal, "")
	is.Equal([]string{e.Route, e.Service}, []string{"ask", "llm"})
	is.Equal(len(e.Candidates), 2)
	is.Equal(e.Candidates[0].Runner, "r1")
	is.True(e.Candidates[0].Probability > 0.9)
	is.Equal(e.Candidates[1].Load, 40)
	is.Equal(len(e.Excluded), 1)
	is.Equal(e.Excluded[0].Runner, "r2")
	is.True(e.Excluded[0].PauseMS > 6000)
	for _, u := range s.View.Uses(true) {
		is.Equal(len(u.Replicas), 0)
	}

	_, err = s.Explain(strings.NewReader("no header"))
	is.True(err != nil)
}
