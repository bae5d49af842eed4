package drscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// Rare models are asked for all the time, so that the only other runner with a copy
// of a busy model swaps them without a rest. Guards against a busy model whose
// requests queue for as long as that lasts.
func TestPlanPutsQueuesBeforeRareModels(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("hot", "rare", "idle"), []drscheduler.Backlog{newBacklog("rare")},
		newRunner("r1", []string{"hot"}, nil), newRunner("r2", []string{"hot"}, nil),
		newRunner("r3", []string{"idle"}, []string{"hot", "rare"}))
	s.Rate = map[string]float64{"hot": 55}
	s.Work = map[string]float64{"hot": 1.25} // busy, but its requests do not queue
	is.Equal(drscheduler.Plan(s)[0].Load, "rare")
	s.Work["hot"] = 1.35
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Load, "hot")
	is.Equal(got[0].Why, drscheduler.Queued)
}

// A queue counts as utilization until it is worked off. Guards against a queue that
// takes all runners at once from models that requests wait for.
func TestPlanAddsOneReplicaOfQueueAtATime(t *testing.T) {
	is := is.New(t)
	loading := newRunner("r2", nil, []string{"hot"})
	loading.Busy, loading.Loading = true, "hot"
	s := newState(newEngine("hot", "rare"), []drscheduler.Backlog{newBacklog("rare")},
		newRunner("r1", []string{"hot"}, nil), loading, newRunner("r3", nil, []string{"hot", "rare"}))
	s.Rate, s.Work = map[string]float64{"hot": 55}, map[string]float64{"hot": 5}
	is.Equal(drscheduler.Plan(s)[0].Load, "rare")
}

// Demand moves to a model that no other runner has a copy of. Guards against
// requests that queue for longer than a load from the weight store takes, and
// against such a load while a runner with a copy is merely busy, or while models
// that requests wait for need the store.
func TestPlanLoadsQueuedModelFromStore(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("hot", "idle"), nil, newRunner("r1", []string{"hot"}, []string{"hot"}), newRunner("r2", []string{"idle"}, []string{"idle"}))
	s.Rate, s.Work = map[string]float64{"hot": 55}, map[string]float64{"hot": 1}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Runner.ID, "r2")
	is.True(got[0].FromStore)

	s.StoreLoads = 1
	is.Equal(len(drscheduler.Plan(s)), 0)
	s.StoreLoads = 4
	s.Work["hot"] = 0.6
	is.Equal(len(drscheduler.Plan(s)), 0)

	s.Work["hot"] = 1
	busy := newRunner("r3", nil, []string{"hot"})
	busy.Busy, busy.Loading = true, "idle"
	s.Runners = append(s.Runners, busy)
	is.Equal(len(drscheduler.Plan(s)), 0)
}

// All runners with a copy of a queued model hold models in as much use. Guards
// against a queue that waits for them, and against one that displaces what is used
// more.
func TestPlanWeighsQueuedModelAgainstBusyOnes(t *testing.T) {
	is := is.New(t)
	busy := newRunner("r2", []string{"busy"}, []string{"hot"})
	busy.Running = map[string]int{"busy": 3}
	s := newState(newEngine("hot", "busy", "idle"), nil,
		newRunner("r1", []string{"hot"}, nil), busy, newRunner("r3", []string{"idle"}, nil))
	s.Engine.WeightMemory = 60_000
	s.Work = map[string]float64{"hot": 1, "busy": 0.4}
	s.Rate = map[string]float64{"hot": 50, "busy": 60}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Runner.ID, "r3")
	is.True(got[0].FromStore)

	s.Rate["busy"] = 30 // less than queues: its runner will do once it is idle
	is.Equal(len(drscheduler.Plan(s)), 0)
	s.Runners[1].Running = nil
	got = drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Unload, []string{"busy"})
}

// replayedRunner is a runner that carries out the swaps of a replay.
type replayedRunner struct {
	holds     []string
	loading   string
	busyUntil time.Time
}

// replay plans in intervals of 50 ms for a number of runners that have copies of
// all models, and carries the swaps out. Before each plan, demand changes the state.
// It returns the models that the runners hold in the end, with one entry a replica.
func replay(s drscheduler.State, runners []*replayedRunner, length time.Duration, demand func(at time.Duration, s *drscheduler.State)) []string {
	var copies []string
	for m := range s.Engine.Models {
		copies = append(copies, m)
	}
	for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
		s.Now, s.Runners = start.Add(at), nil
		for i, r := range runners {
			if r.loading != "" && !s.Now.Before(r.busyUntil) {
				r.holds, r.loading = append(r.holds, r.loading), ""
			}
			n := newRunner(fmt.Sprint("r", i), r.holds, copies)
			n.Busy, n.Loading = r.loading != "", r.loading
			s.Runners = append(s.Runners, n)
		}
		demand(at, &s)
		for _, swap := range drscheduler.Plan(s) {
			var i int
			_, _ = fmt.Sscanf(swap.Runner.ID, "r%d", &i)
			r := runners[i]
			r.holds = slices.DeleteFunc(slices.Clone(r.holds), func(m string) bool { return slices.Contains(swap.Unload, m) })
			r.loading, r.busyUntil = swap.Load, s.Now.Add(swap.Expected)
		}
	}
	var held []string
	for _, r := range runners {
		held = append(held, r.holds...)
	}
	return held
}

// Demand moves from one model to another within a second while a new rare model is
// asked for every 50 ms, and a sixth of the runners is gone. Guards against a hot
// model that rare models keep from its replicas, and against rare models that are
// not loaded because of the hot one.
func TestPlanFollowsDemandBesideRareModels(t *testing.T) {
	is := is.New(t)
	models := []string{"before", "after"}
	for i := range 60 {
		models = append(models, fmt.Sprint("rare", i))
	}
	engine := newEngine(models...)
	var runners []*replayedRunner
	for i := range 10 {
		r := &replayedRunner{holds: []string{fmt.Sprint("rare", i), fmt.Sprint("rare", 10+i)}}
		if i < 4 {
			r.holds = append(r.holds, "before")
		}
		if i == 4 {
			r.holds = append(r.holds, "after")
		}
		runners = append(runners, r)
	}
	held := make(map[string]bool)
	waiting := make(map[string]time.Duration) // since when
	longest := time.Duration(0)
	s := newState(engine, nil)
	got := replay(s, runners, 6*time.Second, func(at time.Duration, s *drscheduler.State) {
		s.Work, s.Rate = map[string]float64{"before": 3, "after": 0.1}, map[string]float64{"before": 100, "after": 1}
		if at > time.Second {
			s.Work, s.Rate = map[string]float64{"before": 0.1, "after": 3}, map[string]float64{"before": 20, "after": 80}
		}
		clear(held)
		for _, r := range runners {
			for _, m := range r.holds {
				held[m] = true
			}
		}
		waiting[fmt.Sprint("rare", int(at/(50*time.Millisecond))*7%60)] = at
		s.Backlogs = nil
		for m, since := range waiting {
			if held[m] {
				longest = max(longest, at-since)
				delete(waiting, m)
				continue
			}
			w := newBacklog(m)
			w.ObjectiveLeft = since + 2500*time.Millisecond - at
			s.Backlogs = append(s.Backlogs, w)
		}
	})
	after := 0
	for _, m := range got {
		if m == "after" {
			after++
		}
	}
	is.True(after >= 4)                      // 3 runners' time at 0.8 of each at most
	is.True(longest < 2500*time.Millisecond) // no rare model waits past its objective
	t.Logf("%d replicas, longest wait %s", after, longest)
}

// A model in much use has lost all runners but one. Guards against waiting until its
// requests queue there.
func TestPlanPutsBusyModelOfOneRunnerFirst(t *testing.T) {
	is := is.New(t)
	s := newState(newEngine("hot", "rare"), []drscheduler.Backlog{newBacklog("rare")},
		newRunner("r1", []string{"hot"}, nil), newRunner("r2", nil, []string{"hot", "rare"}))
	s.Rate, s.Work = map[string]float64{"hot": 25}, map[string]float64{"hot": 0.5}
	is.Equal(drscheduler.Plan(s)[0].Load, "hot")
	s.Work["hot"] = 0.4
	is.Equal(drscheduler.Plan(s)[0].Load, "rare")
}
