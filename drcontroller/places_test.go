package drcontroller

import (
	"context"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// updateVersion changes the software version of a listed runner, whatever the controller learns
// of the runner meanwhile.
func (w *controllerFixture) updateVersion(runner, version string) {
	w.view.UpdateRunner(runner, 0, func(r drfleet.Runner) drfleet.Runner {
		r.Version = version
		return r
	})
}

// Guards against a model that counts as loaded for streams of one software version although
// runners of another hold it, also for streams that are bound to zones.
func TestControllerLoadsModelsForVersion(t *testing.T) {
	for _, zones := range [][]string{nil, {home}} {
		is := is.New(t)
		w := newControllerFixture(t)
		w.addRunnerAtHome()
		w.updateVersion("r2", "v2")
		request := wantOfModelA(1, 0)
		request.Wants[0].Replica.Version, request.Wants[0].Replica.Zones = "v2", zones
		w.controller.Sync(context.Background(), "vm2", 1, request)
		eventually(t, "a is loaded at v2", func() bool { return slices.Contains(w.engines.loadedModels("r2"), "a") })
		listed, _ := w.view.Runner("r2")
		is.Equal(listed.Zone, home) // what is planned with must not be listed
		replica := decodeReplica(request.GetWants()[0].GetReplica())
		is.Equal(decodeReplica(encodeReplica(replica)), replica)
	}
}

// Guards against a runner that is taken for another place than the requests that it may serve.
func TestPlacesOfMixedVersions(t *testing.T) {
	is := is.New(t)
	old := &drfleet.Runner{ID: "1", Service: "llm", Zone: "a", Version: "v1"}
	v := viewOf(old)
	single := placesOf(v, "llm")
	is.Equal(single.of(old), "a")
	is.Equal(single.allowed(drfleet.Zones{}, "v1"), drfleet.Zones{})
	newer := &drfleet.Runner{ID: "2", Service: "llm", Zone: "b", Version: "v2"}
	v.OfferRunner(newer, drfleetview.FromRunner)
	mixed := placesOf(v, "llm")
	is.True(!mixed.allowed(drfleet.Zones{}, "").Bind())
	is.True(mixed.allowed(drfleet.Zones{}, "v2").Allow(mixed.of(newer)))
	is.True(!mixed.allowed(drfleet.Zones{}, "v2").Allow(mixed.of(old)))
	is.True(mixed.allowed(drfleet.ZonesOf("a"), "").Allow(mixed.of(old)))
	is.True(!mixed.allowed(drfleet.ZonesOf("a"), "v2").Allow(mixed.of(newer)))
	is.Equal(mixed.within(old).Zone, mixed.of(old))
	is.Equal(old.Zone, "a")
}

// Guards against use that counts for replicas of a model at another software version than that
// of the runners at which it was, and against use by version while all have one.
func TestUseIsThatOfItsVersion(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	w.addRunnerAtHome()
	state := func() drscheduler.State {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		d, _ := w.view.Deployment()
		return w.controller.schedulerState(d.Service("llm"), w.controller.Clock.Now())
	}
	requests := uint64(0)
	eventually(t, "the use counts", func() bool {
		requests += 10
		w.controller.Sync(context.Background(), "vm2", 1, &drpb.FleetSyncRequest{Uses: []*drpb.FleetUse{
			{Runner: "r1", Replicas: []*drpb.FleetReplicaUse{{Model: "a", Running: 3, Requests: 3 * requests}}},
			{Runner: "r2", Replicas: []*drpb.FleetReplicaUse{{Model: "a", Running: 1, Requests: requests}}},
		}})
		return state().Work["a"] > 0
	})
	is.Equal(len(state().AtVersion), 0)
	old, _ := w.view.Runner("r2")
	w.updateVersion("r2", "v2")
	s, at := state(), placesOf(w.view, "llm")
	use := func(version string) drscheduler.Use {
		return s.AtVersion[drscheduler.Demand{Model: "a", Zones: at.allowed(drfleet.Zones{}, version)}]
	}
	is.True(s.Work["a"] > 0)
	is.True(math.Abs(use(old.Version).Work-0.75*s.Work["a"]) < 1e-9)
	is.True(math.Abs(use("v2").Rate-0.25*s.Rate["a"]) < 1e-9)
}
