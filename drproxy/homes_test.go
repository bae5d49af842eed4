package drproxy

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drzone"
)

// newHomesServer returns a server with a runner of an engine in each of two regions, which
// hold a model. Requests must stay in the region north.
func newHomesServer(t *testing.T) *Server {
	t.Helper()
	s := newTestServer()
	s.Wire, s.Crashes, s.Regions = explainWire{}, drcrash.NewLedger(s.Clock), map[string]string{"z1": "north", "z2": "south", "z3": "north"}
	d, err := drfleet.NewDeployment(drfleet.Config{
		Version: 1, Routes: []drfleet.Route{{Name: "ask", Host: "host", Prefix: "/a/", Kind: drfleet.Stream, Public: true, Attempts: 1,
			Homes: []string{"north"}, Targets: []drfleet.Target{{Service: "llm", Weight: 1}}}},
		Services: []drfleet.Service{{Name: "llm", ColdRate: 5, ColdStart: time.Second,
			Engine: &drfleet.Engine{Slots: 4, Models: map[string]drfleet.Model{"m": {Name: "m"}}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.View.OfferDeployment(d, nil)
	for id, zone := range map[string]string{"home": "z1", "away": "z2"} {
		s.View.OfferRunner(&drfleet.Runner{ID: id, Service: "llm", Zone: zone, Started: 1, Replicas: []drfleet.Replica{{Model: "m"}}}, drfleetview.FromRunner)
	}
	return s
}

// candidatesOf returns the IDs of the runners that a request is offered.
func candidatesOf(t *testing.T, s *Server) []string {
	t.Helper()
	e, err := s.Explain(strings.NewReader("GET /a/ HTTP/1.1\r\nHost: host\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, c := range e.Candidates {
		ids = append(ids, c.Runner)
	}
	return ids
}

// Guards against a request whose homes have only a cold runner, and that is not offered it
// because another one is warm outside its homes.
func TestColdRunnerAtHomeIsOffered(t *testing.T) {
	is := is.New(t)
	s := newHomesServer(t)
	is.Equal(candidatesOf(t, s), []string{"home"})
	s.View.OfferRunner(&drfleet.Runner{ID: "home", Service: "llm", Zone: "z1", Started: 1, Beat: 1, Cold: time.Minute,
		Replicas: []drfleet.Replica{{Model: "m"}}}, drfleetview.FromRunner)
	is.Equal(len(candidatesOf(t, s)), 0) // without a permit
	s.View.GivePermits(drfleetview.Incarnation{Runner: "home", Started: 1}, 1, s.Clock.Uptime()+time.Minute)
	is.Equal(candidatesOf(t, s), []string{"home"})
}

// Guards against a request that waits although the runners in its homes take requests for a
// while until their zone closes, because others are in service outside its homes.
func TestClosingZoneAtHomeIsOffered(t *testing.T) {
	is := is.New(t)
	s := newHomesServer(t)
	s.View.SetZoneDrain(time.Minute)
	s.View.ConfirmDeployment(s.Clock.Uptime())
	s.View.OfferOutages(drzone.New(1, map[string]int64{"z1": 0}))
	is.Equal(candidatesOf(t, s), []string{"home"})
}
