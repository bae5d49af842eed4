package drscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

var (
	north = drfleet.ZonesOf("n1", "n2", "n3")
	south = drfleet.ZonesOf("s1", "s2", "s3")
)

// inZone returns a runner that has copies of models on its disk and holds some of them.
func inZone(id, zone string, held, onDisk []string) drscheduler.Runner {
	r := newRunner(id, held, onDisk)
	r.Zone = zone
	return r
}

// at returns requests that wait for a model and must be served in some zones.
func at(model string, zones drfleet.Zones) drscheduler.Backlog {
	b := newBacklog(model)
	b.Zones = zones
	return b
}

// runnersOf returns the IDs of the runners that a plan loads a model into, in order.
func runnersOf(swaps []drscheduler.Swap, model string) []string {
	var ids []string
	for _, s := range swaps {
		if s.Load == model {
			ids = append(ids, s.Runner.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a model that counts as loaded for requests although it is held only
// outside their homes, against a load there, and against one replica for two homes.
func TestModelIsLoadedInEachHome(t *testing.T) {
	is := is.New(t)
	e := newEngine("a", "b")
	runners := []drscheduler.Runner{inZone("r1", "n1", nil, []string{"a"}), inZone("r2", "n2", nil, []string{"b"}),
		inZone("r3", "s1", nil, []string{"a"}), inZone("r4", "s2", nil, []string{"b"})}
	is.Equal(runnersOf(drscheduler.Plan(newState(e, []drscheduler.Backlog{at("a", north), at("a", south)}, runners...)), "a"), []string{"r1", "r3"})
	is.Equal(runnersOf(drscheduler.Plan(newState(e, []drscheduler.Backlog{at("a", south)}, runners...)), "a"), []string{"r3"})
	// One load serves requests with homes and those without.
	is.Equal(runnersOf(drscheduler.Plan(newState(e, []drscheduler.Backlog{newBacklog("a"), at("a", south)}, runners...)), "a"), []string{"r3"})

	runners[0] = inZone("r1", "n1", []string{"a"}, []string{"a"})
	is.Equal(runnersOf(drscheduler.Plan(newState(e, []drscheduler.Backlog{at("a", south)}, runners...)), "a"), []string{"r3"})
	is.Equal(len(drscheduler.Plan(newState(e, []drscheduler.Backlog{at("a", north)}, runners...))), 0)
	// A copy outside the homes is of no use.
	s := newState(e, []drscheduler.Backlog{at("a", south)}, runners[0], inZone("r5", "s1", nil, nil))
	swaps := drscheduler.Plan(s)
	is.Equal(runnersOf(swaps, "a"), []string{"r5"})
	is.True(swaps[0].FromStore)
}

// Guards against further replicas outside the homes of the requests that queue, and against
// some for requests without homes that other replicas have room for.
func TestReplicasRelieveTheHomeThatIsBusy(t *testing.T) {
	is := is.New(t)
	e := newEngine("a")
	s := newState(e, nil, inZone("r1", "n1", []string{"a"}, nil), inZone("r2", "s1", []string{"a"}, nil),
		inZone("r3", "n2", nil, []string{"a"}), inZone("r4", "s2", nil, []string{"a"}))
	s.AtHome = map[drscheduler.Demand]drscheduler.Use{{Model: "a", Zones: south}: {Work: 0.9, Rate: 9}}
	s.Work["a"], s.Rate["a"] = 0.05, 1
	is.Equal(runnersOf(drscheduler.Plan(s), "a"), []string{"r4"})
	s.AtHome, s.Work["a"] = nil, 0.95
	is.Equal(runnersOf(drscheduler.Plan(s), "a"), []string{"r3", "r4"})
}

// Guards against requests without homes that queue because the replicas that they share with
// others count as theirs alone.
func TestSharedReplicasCountOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine("a", "b")
	e.WeightMemory = e.Models["a"].Size
	s := newState(e, nil, inZone("r1", "n1", []string{"a"}, nil), inZone("r2", "s1", []string{"a"}, nil),
		inZone("r3", "n2", []string{"b"}, []string{"a"}), inZone("r4", "s2", []string{"b"}, []string{"a"}))
	s.AtHome = map[drscheduler.Demand]drscheduler.Use{{Model: "a", Zones: south}: {Work: 0.8, Rate: 8}}
	s.Work["a"], s.Rate["a"] = 0.8, 8
	is.Equal(runnersOf(drscheduler.Plan(s), "a"), []string{"r3", "r4"})
}

// Guards against the eviction of a home's only replica because other homes have some.
func TestEvictionRegardsHomes(t *testing.T) {
	is := is.New(t)
	e := newEngine("a", "b", "c")
	e.WeightMemory = e.Models["a"].Size
	s := newState(e, []drscheduler.Backlog{at("b", south)}, inZone("r1", "n1", []string{"a"}, []string{"a"}),
		inZone("r2", "s1", []string{"a"}, []string{"a", "b"}), inZone("r3", "s2", []string{"c"}, []string{"b", "c"}))
	s.AtHome = map[drscheduler.Demand]drscheduler.Use{{Model: "a", Zones: south}: {Work: 0.05, Rate: 2}}
	s.Rate["c"], s.Work["c"] = 1, 0.05
	is.Equal(runnersOf(drscheduler.Plan(s), "b"), []string{"r3"})
}

// Guards against an adapter that is loaded outside the homes, or counts as loaded there.
func TestAdapterIsLoadedAtHome(t *testing.T) {
	is := is.New(t)
	e := newEngine("a")
	e.AdapterSlots = 4
	b := at("a", south)
	b.Adapter = "x"
	away, home := inZone("r1", "n1", []string{"a"}, nil), inZone("r2", "s1", []string{"a"}, nil)
	away.Replicas[0].Adapters = []string{"x"}
	swaps := drscheduler.PlanAdapters(newState(e, []drscheduler.Backlog{b}, away, home))
	is.Equal(len(swaps), 1)
	is.Equal(swaps[0].Runner.ID, "r2")
	free := b
	free.Zones = drfleet.Zones{}
	is.Equal(len(drscheduler.PlanAdapters(newState(e, []drscheduler.Backlog{free}, away, home))), 0)
}

// randomFleet returns a state with runners in six zones and demand for some of their
// models, which may be served in one of the choices of zones.
func randomFleet(source *rand.Rand, choices ...drfleet.Zones) drscheduler.State {
	var models []string
	for i := range 4 + source.IntN(12) {
		models = append(models, fmt.Sprintf("m%02d", i))
	}
	pick := func(n int) []string {
		var picked []string
		for _, i := range source.Perm(len(models))[:min(n, len(models))] {
			picked = append(picked, models[i])
		}
		return picked
	}
	var runners []drscheduler.Runner
	for i := range 3 + source.IntN(15) {
		r := inZone(fmt.Sprintf("r%02d", i), north.Names()[source.IntN(3)], nil, nil)
		if source.IntN(2) == 0 {
			r.Zone = south.Names()[source.IntN(3)]
		}
		r.OnDisk = pick(source.IntN(4))
		for _, m := range r.OnDisk[:min(source.IntN(3), len(r.OnDisk))] {
			r.Replicas = append(r.Replicas, drfleet.Replica{Model: m})
		}
		r.Busy = source.IntN(6) == 0
		r.OutOfService = source.IntN(12) == 0
		if r.OutOfService {
			r.Runner = r.WithDraining()
		}
		if source.IntN(6) == 0 {
			r.Limit = 1 + source.Float64()
		}
		runners = append(runners, r)
	}
	var backlogs []drscheduler.Backlog
	for _, m := range pick(source.IntN(6)) {
		b := at(m, choices[source.IntN(len(choices))])
		b.Waiting, b.ObjectiveLeft = 1+source.IntN(9), time.Duration(source.IntN(20000)-2000)*time.Millisecond
		backlogs = append(backlogs, b)
	}
	s := newState(newEngine(models...), backlogs, runners...)
	s.StoreLoads, s.AtHome = source.IntN(6), make(map[drscheduler.Demand]drscheduler.Use)
	for _, m := range models {
		for _, zones := range choices {
			use := drscheduler.Use{Work: 1.5 * source.Float64() * source.Float64(), Rate: 8 * source.Float64()}
			switch {
			case source.IntN(3) == 0:
			case zones.Bind():
				s.AtHome[drscheduler.Demand{Model: m, Zones: zones}] = use
			default:
				s.Work[m], s.Rate[m] = use.Work, use.Rate
			}
		}
	}
	return s
}

const randomFleets = 4_000

// serves reports whether a load is of use for some demand.
func serves(s *drscheduler.State, swap drscheduler.Swap) bool {
	waits := slices.ContainsFunc(s.Backlogs, func(b drscheduler.Backlog) bool {
		return b.Model == swap.Load && b.Zones.Allow(swap.Runner.Zone)
	})
	if swap.Why == drscheduler.Wanted || swap.Why == drscheduler.Limited {
		return waits
	}
	for d := range s.AtHome {
		if d.Model == swap.Load && d.Zones.Allow(swap.Runner.Zone) {
			return true
		}
	}
	_, anywhere := s.Work[swap.Load]
	return anywhere
}

// Guards against loads where no request for the model may be served.
func TestEveryLoadServesSomeDemand(t *testing.T) {
	is := is.New(t)
	loads := make(map[drscheduler.Reason]int)
	for seed := range uint64(randomFleets) {
		s := randomFleet(rand.New(rand.NewPCG(seed, 1)), north, south, drfleet.ZonesOf("n1", "s1"), drfleet.Zones{})
		for _, swap := range drscheduler.Plan(s) {
			loads[swap.Why]++
			if !serves(&s, swap) {
				t.Fatalf("seed %d: %s is loaded into %s in zone %s (%s)", seed, swap.Load, swap.Runner.ID, swap.Runner.Zone, swap.Why)
			}
		}
	}
	for _, why := range []drscheduler.Reason{drscheduler.Wanted, drscheduler.Queued, drscheduler.Busy, drscheduler.Spread, drscheduler.Relocated, drscheduler.Limited} {
		is.True(loads[why] > 0) // the fleets have shown all kinds
	}
}

// Guards against homes that change the plan although all zones are homes, and against a
// change for requests without homes by others whose homes have no runners.
func TestHomesThatBindNothingChangeNothing(t *testing.T) {
	everywhere, nowhere := drfleet.ZonesOf(append(north.Names(), south.Names()...)...), drfleet.ZonesOf("w1")
	for seed := range uint64(randomFleets) {
		free := randomFleet(rand.New(rand.NewPCG(seed, 2)), drfleet.Zones{})
		want := fmt.Sprint(drscheduler.Plan(free))
		bound := free
		bound.Work, bound.Rate, bound.Backlogs = nil, nil, slices.Clone(free.Backlogs)
		bound.AtHome = make(map[drscheduler.Demand]drscheduler.Use)
		for m, work := range free.Work {
			bound.AtHome[drscheduler.Demand{Model: m, Zones: everywhere}] = drscheduler.Use{Work: work, Rate: free.Rate[m]}
		}
		for i := range bound.Backlogs {
			bound.Backlogs[i].Zones = everywhere
		}
		if got := fmt.Sprint(drscheduler.Plan(bound)); got != want {
			t.Fatalf("seed %d: all zones are homes: %s instead of %s", seed, got, want)
		}
		beside := free
		beside.AtHome = map[drscheduler.Demand]drscheduler.Use{{Model: "m00", Zones: nowhere}: {Work: 2, Rate: 20}}
		beside.Backlogs = append(slices.Clone(free.Backlogs), at("m01", nowhere))
		if got := fmt.Sprint(drscheduler.Plan(beside)); got != want {
			t.Fatalf("seed %d: others have homes without runners: %s instead of %s", seed, got, want)
		}
	}
}
