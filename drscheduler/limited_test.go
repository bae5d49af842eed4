package drscheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// Guards against a busy model whose requests are refused because its only runner takes few
// requests, while another runner has a copy of it and holds less used models; and against
// further replicas on runners that take few.
func TestPlanMovesBusyModelsOffLimitedRunners(t *testing.T) {
	is := is.New(t)
	limited := newRunner("r1", []string{"hot"}, nil)
	limited.Limit = 2
	alsoLimited := newRunner("r2", nil, []string{"hot"})
	alsoLimited.Limit = 2
	s := newState(newEngine("hot", "idle", "used", "alsoUsed"), []drscheduler.Backlog{newBacklog("hot")},
		limited, alsoLimited, newRunner("r3", []string{"idle", "used", "alsoUsed"}, []string{"hot"}))
	s.Rate = map[string]float64{"hot": 9, "idle": 1, "used": 20, "alsoUsed": 20}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Load, "hot")
	is.Equal(got[0].Runner.ID, "r3")
	is.Equal(got[0].Why, drscheduler.Limited)

	s.Rate["idle"] = 20 // worth more than what moves
	is.Equal(len(drscheduler.Plan(s)), 0)
}

// Guards against a model that is not loaded elsewhere because a runner loads it that has
// named a limit since. On a played day its requests were refused for 8 s.
func TestPlanDoesNotCountLoadsOfLimitedRunners(t *testing.T) {
	is := is.New(t)
	limited, loading := newRunner("r1", []string{"hot"}, nil), newRunner("r2", nil, []string{"hot"})
	loading.Busy, loading.Loading = true, "hot"
	limited.Limit, loading.Limit = 2, 2
	s := newState(newEngine("hot", "idle"), []drscheduler.Backlog{newBacklog("hot")},
		limited, loading, newRunner("r3", []string{"idle"}, []string{"hot"}))
	s.Rate = map[string]float64{"hot": 9, "idle": 1}
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Runner.ID, "r3")
}
