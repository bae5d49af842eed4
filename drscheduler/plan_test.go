package drscheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

var start = time.Unix(1000, 0)

// newEngine returns an engine configuration with memory for three of the given
// models, each of which takes 60,000 MB.
func newEngine(models ...string) *drfleet.Engine {
	engine := &drfleet.Engine{
		WeightMemory: 200_000, AdapterSlots: 2, LoadsPerSecond: 3, Models: make(map[string]drfleet.Model),
	}
	for _, m := range models {
		engine.Models[m] = drfleet.Model{
			Name: m, Size: 60_000, AdapterSize: 100,
			FromStore: 6 * time.Second, FromDisk: 500 * time.Millisecond, FromMemory: 400 * time.Millisecond,
		}
	}
	return engine
}

// newRunner returns a runner that holds some models and has the weights of
// others on its disk.
func newRunner(id string, holds, onDisk []string) drscheduler.Runner {
	runner := &drfleet.Runner{ID: id, OnDisk: onDisk}
	for _, m := range holds {
		runner.Replicas = append(runner.Replicas, drfleet.Replica{Model: m})
	}
	return drscheduler.Runner{Runner: runner}
}

// newState returns a state in which the models on the runners' disks count as
// stored.
func newState(engine *drfleet.Engine, backlogs []drscheduler.Backlog, runners ...drscheduler.Runner) drscheduler.State {
	s := drscheduler.State{
		Now: start, Engine: engine, Runners: runners, Backlogs: backlogs, Stored: make(drscheduler.Copies),
		Work: make(map[string]float64), Rate: make(map[string]float64), StoreLoads: 4,
	}
	for _, r := range runners {
		for _, m := range r.OnDisk {
			s.Stored.Add(m, r.Zone)
		}
	}
	return s
}

// newBacklog returns one request that waits for a model, with 1 s left until it
// misses its latency objective.
func newBacklog(model string) drscheduler.Backlog {
	return drscheduler.Backlog{Model: model, Waiting: 1, ObjectiveLeft: time.Second, DeadlineLeft: 10 * time.Second}
}

// Guards against a load from the weight store, which blocks a runner for
// seconds, while another runner has the weights on its disk.
func TestPlanPrefersDisk(t *testing.T) {
	is := is.New(t)
	e := newEngine("a", "b")
	got := drscheduler.Plan(newState(e, []drscheduler.Backlog{newBacklog("a")},
		newRunner("r1", nil, nil), newRunner("r2", []string{"b"}, []string{"a"})))
	is.Equal(len(got), 1)
	is.Equal(got[0].Runner.ID, "r2")
	is.True(!got[0].FromStore)
}

// Guards against a load from the weight store while the only runner with the
// weights is busy with another order. Waiting for that runner takes a fraction
// of the time.
func TestPlanWaitsForBusyRunnerWithWeights(t *testing.T) {
	is := is.New(t)
	busy := newRunner("r2", nil, []string{"a"})
	busy.Busy, busy.Loading = true, "b"
	got := drscheduler.Plan(newState(newEngine("a", "b"), []drscheduler.Backlog{newBacklog("a")}, newRunner("r1", nil, nil), busy))
	is.Equal(len(got), 0)
}

// Guards against a load from the weight store while the only runner with the
// weights cannot accept orders and is therefore missing from State.Runners.
func TestPlanCountsCopiesOnOtherRunners(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("a"), []drscheduler.Backlog{newBacklog("a")}, newRunner("r1", nil, nil))
	is.Equal(len(drscheduler.Plan(s)), 1)
	s.Stored.Add("a", "")
	is.Equal(len(drscheduler.Plan(s)), 0)
}

// Guards against more loads from the weight store than its rate limit permits.
func TestPlanKeepsStoreRate(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("a", "b", "c"), []drscheduler.Backlog{newBacklog("a"), newBacklog("b"), newBacklog("c")},
		newRunner("r1", nil, nil), newRunner("r2", nil, nil), newRunner("r3", nil, nil))
	s.StoreLoads = 2
	is.Equal(len(drscheduler.Plan(s)), 2)
}

// Guards against a load that exceeds a runner's memory, which crashes the
// runner. The memory of adapters counts too.
func TestPlanMakesRoom(t *testing.T) {
	is := is.New(t)
	e := newEngine("a", "b", "c", "d")
	r := newRunner("r1", []string{"b", "c", "d"}, []string{"a"})
	s := newState(e, []drscheduler.Backlog{newBacklog("a")}, r)
	s.Rate = map[string]float64{"b": 3, "c": 1, "d": 2}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Unload, []string{"c"}) // the model with the lowest request rate

	e.WeightMemory = 180_100
	twoModels := newRunner("r1", []string{"b", "c"}, []string{"a"})
	twoModels.Replicas[0].Adapters = []string{"a1", "a2"}
	got = drscheduler.Plan(newState(e, []drscheduler.Backlog{newBacklog("a")}, twoModels))
	is.Equal(len(got[0].Unload), 1)
}

// Guards against evicting a model that has running or waiting requests, which
// would abort or delay them, or one that was just loaded.
func TestPlanSparesModelsInUse(t *testing.T) {
	is := is.New(t)
	r := newRunner("r1", []string{"b", "c", "d"}, []string{"a"})
	r.Running = map[string]int{"b": 1}
	r.LoadedAt = map[string]time.Time{"c": start.Add(-100 * time.Millisecond)}
	s := newState(newEngine("a", "b", "c", "d"), []drscheduler.Backlog{newBacklog("a"), newBacklog("d")}, r)
	is.Equal(len(drscheduler.Plan(s)), 0)
	s.Now = start.Add(5 * time.Second)
	is.Equal(drscheduler.Plan(s)[0].Unload, []string{"c"})
}

// Requests for two idle models wait at one runner that can load only one now.
// The model whose requests can still meet their latency objective must be
// loaded before the one whose requests have missed it.
func TestPlanServesTimelyFirst(t *testing.T) {
	is := is.New(t)
	late := newBacklog("a")
	late.ObjectiveLeft, late.Waiting = -time.Second, 2
	got := drscheduler.Plan(newState(newEngine("a", "b"), []drscheduler.Backlog{late, newBacklog("b")},
		newRunner("r1", nil, []string{"a", "b"})))
	is.Equal(len(got), 1)
	is.Equal(got[0].Load, "b")
}

// Guards against a second load of a model that another runner already loads.
func TestPlanCountsLoading(t *testing.T) {
	is := is.New(t)
	busy := newRunner("r1", nil, []string{"a"})
	busy.Busy, busy.Loading = true, "a"
	got := drscheduler.Plan(newState(newEngine("a"), []drscheduler.Backlog{newBacklog("a")}, busy, newRunner("r2", nil, []string{"a"})))
	is.Equal(len(got), 0)
}

// Demand moves to a model with one replica. The model must get a second replica
// before its runner is overloaded.
func TestPlanAddsReplicasOfBusyModels(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("a", "b"), nil, newRunner("r1", []string{"a"}, nil), newRunner("r2", []string{"b"}, []string{"a"}))
	s.Work, s.Rate = map[string]float64{"a": 0.6}, map[string]float64{"a": 30}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Runner.ID, "r2")
	is.Equal(got[0].Load, "a")
}

// Guards against streams that are lost with the only runner that holds their model at its
// software version, although another runner of the version has room for it; and against a load
// for that in place of models that are used, of models that are little used, or with the last
// loads from the weight store.
func TestPlanKeepsSecondReplicaAtVersion(t *testing.T) {
	is := is.New(t)
	state := func() drscheduler.State {
		s := newState(newEngine("a", "b", "c", "d"), nil, inZone("r1", "z.v1", []string{"a"}, []string{"a"}),
			inZone("r2", "z.v1", []string{"b", "c", "d"}, nil), inZone("r3", "z.v2", []string{"a"}, nil), inZone("r4", "z.v2", []string{"b"}, nil))
		s.Work, s.Rate = map[string]float64{"a": 0.4}, map[string]float64{"a": 8}
		s.AtVersion = map[drscheduler.Demand]drscheduler.Use{
			{Model: "a", Zones: drfleet.ZonesOf("z.v1")}: {Work: 0.35, Rate: 7}, {Model: "a", Zones: drfleet.ZonesOf("z.v2")}: {Work: 0.05, Rate: 1},
		}
		return s
	}
	plan := drscheduler.Plan(state())
	is.Equal(runnersOf(plan, "a"), []string{"r2"})
	is.Equal(plan[0].Why, drscheduler.AtVersion)
	used := state()
	used.Rate["b"], used.Rate["c"], used.Rate["d"] = 4, 4, 4
	is.Equal(len(drscheduler.Plan(used)), 0)
	reserved := state()
	reserved.StoreLoads = 2
	is.Equal(len(drscheduler.Plan(reserved)), 0)
	for work, loaded := range map[float64][]string{0.2: {"r2"}, 0.08: nil} {
		little := state()
		little.AtVersion[drscheduler.Demand{Model: "a", Zones: drfleet.ZonesOf("z.v1")}] = drscheduler.Use{Work: work, Rate: 4}
		is.Equal(runnersOf(drscheduler.Plan(little), "a"), loaded)
	}
}

// Guards against loading more adapters than a runner has slots for, and against
// unloading an adapter that is in use.
func TestPlanAdaptersKeepsPlaces(t *testing.T) {
	is := is.New(t)
	r := newRunner("r1", []string{"a"}, nil)
	r.Replicas[0].Adapters = []string{"a1", "a2"}
	r.RunningAdapter = map[drscheduler.AdapterKey]int{{Model: "a", Adapter: "a1"}: 1}
	w := newBacklog("a")
	w.Adapter = "a3"
	got := drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))
	is.Equal(len(got), 1)
	is.Equal(*got[0].Unload, drscheduler.AdapterKey{Model: "a", Adapter: "a2"})

	r.RunningAdapter[drscheduler.AdapterKey{Model: "a", Adapter: "a2"}] = 1
	is.Equal(len(drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))), 0)
}

// Guards against adapter orders to a runner that refuses them because it loads
// a model, and against a second load of an adapter that is already being
// loaded.
func TestPlanAdaptersWaitsForRunner(t *testing.T) {
	is := is.New(t)
	w := newBacklog("a")
	w.Adapter = "a1"
	r := newRunner("r1", []string{"a"}, nil)
	r.Busy = true
	is.Equal(len(drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))), 0)
	r.Busy, r.LoadingAdapters = false, []drscheduler.AdapterKey{{Model: "a", Adapter: "a1"}}
	is.Equal(len(drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))), 0)
}

// Two adapters are requested one after the other at a runner without a free
// slot. Each load must unload a different adapter, or the second load exceeds
// the runner's slots.
func TestPlanAdaptersNeedsVictimEach(t *testing.T) {
	is := is.New(t)
	r := newRunner("r1", []string{"a"}, nil)
	r.Replicas[0].Adapters = []string{"a1", "a2"}
	r.UsedAdapter = map[drscheduler.AdapterKey]time.Time{{Model: "a", Adapter: "a2"}: start.Add(-time.Second)}
	w := newBacklog("a")
	w.Adapter = "a3"
	first := drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))
	is.Equal(*first[0].Unload, drscheduler.AdapterKey{Model: "a", Adapter: "a1"})

	r.LoadingAdapters, r.UnloadingAdapters = []drscheduler.AdapterKey{first[0].Load}, []drscheduler.AdapterKey{*first[0].Unload}
	w.Adapter = "a4"
	second := drscheduler.PlanAdapters(newState(newEngine("a"), []drscheduler.Backlog{w}, r))
	is.Equal(len(second), 1)
	is.True(second[0].Unload != nil)
	is.Equal(*second[0].Unload, drscheduler.AdapterKey{Model: "a", Adapter: "a2"})
}
