package drcontroller

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// home is the zone of runner r2 in these tests; r1, which holds the models, is in another.
const home = "home"

func (w *controllerFixture) addRunnerAtHome() {
	w.engines.mu.Lock()
	w.engines.runners["r2"] = &fakeRunner{onDisk: []string{"a", "b"}, orders: 1}
	w.engines.mu.Unlock()
	w.view.OfferRunner(&drfleet.Runner{ID: "r2", Service: "llm", Zone: home}, drfleetview.FromRunner)
}

// Guards against a model that counts as loaded for requests although it is held outside
// their homes, and against use at home that the plan does not see.
func TestControllerLoadsModelsAtHome(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	w.addRunnerAtHome()
	request := wantOfModelA(1, 0)
	request.Wants[0].Replica.Zones = []string{home}
	w.controller.Sync(context.Background(), "vm2", 1, request)
	eventually(t, "a is loaded at home", func() bool { return slices.Contains(w.engines.loadedModels("r2"), "a") })

	use := func(requests uint64) *drpb.FleetSyncRequest {
		return &drpb.FleetSyncRequest{Uses: []*drpb.FleetUse{{Runner: "r2", Replicas: []*drpb.FleetReplicaUse{
			{Model: "a", Zones: []string{home}, Running: 3, Requests: requests}, {Model: "a", Running: 1, Requests: 2 * requests},
		}}}}
	}
	w.controller.Sync(context.Background(), "vm2", 1, use(10))
	w.controller.Sync(context.Background(), "vm2", 1, use(20))
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	d, _ := w.view.Deployment()
	s := w.controller.schedulerState(d.Service("llm"), w.controller.Clock.Now())
	atHome := s.AtHome[drscheduler.Demand{Model: "a", Zones: drfleet.ZonesOf(home)}]
	is.True(atHome.Rate > 0)
	is.True(atHome.Work > 0)
	is.True(s.Rate["a"] > 1.5*atHome.Rate) // the others', without homes
}

// Guards against permits for a runner outside the homes of the requests that wait, and
// against none because that one is warm.
func TestPermitsAreForRunnersAtHome(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	w.view.OfferRunner(&drfleet.Runner{ID: "r3", Service: "llm", Zone: home, Beat: 1, Cold: time.Minute,
		Replicas: []drfleet.Replica{{Model: "a"}}}, drfleetview.FromRunner)
	request := wantOfModelA(9, 0)
	request.Wants[0].Replica.Zones = []string{home}
	request.Term = w.controller.Term
	given := func() []string {
		var runners []string
		for _, p := range w.controller.Sync(context.Background(), "vm2", 1, request).GetPermits() {
			runners = append(runners, p.GetRunner().GetRunner())
		}
		return runners
	}
	eventually(t, "there are permits", func() bool {
		runners := given()
		for _, r := range runners {
			is.Equal(r, "r3")
		}
		return len(runners) > 0
	})
}

// Guards against a VM and a controller that mean different requests by the same report.
func TestZonesOfRequestsAreReported(t *testing.T) {
	is := is.New(t)
	for _, zones := range []drfleet.Zones{{}, drfleet.ZonesOf("a"), drfleet.ZonesOf("a", "b")} {
		replica := drfleetview.Replica{Service: "s", Model: "m", Adapter: "x", Zones: zones}
		is.Equal(decodeReplica(encodeReplica(replica)), replica)
		_, backlog := decodeWant(encodeWants([]drfleetview.DemandSummary{{Replica: replica}})[0])
		is.Equal(backlog.Zones, zones)
		use := encodeUses([]drfleetview.RunnerUse{{Replicas: []drfleetview.ReplicaUse{{Replica: replica}}}})[0]
		is.Equal(decodeZones(use.GetReplicas()[0].GetZones()), zones)
	}
}
