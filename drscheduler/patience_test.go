package drscheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// Requests for rare models that can wait for seconds are many, and a model with
// urgent requests is idle for a moment. Guards against its eviction for them, after
// which its requests queue at one runner, and against rare models that are not
// loaded in time because no other model is idle.
func TestPlanSparesModelsInUseFromPatientRequests(t *testing.T) {
	is := is.New(t)
	patient := newBacklog("rare")
	patient.ObjectiveLeft = 4 * time.Second
	s := newState(newEngine("hot", "rare"), []drscheduler.Backlog{patient},
		newRunner("r1", []string{"hot"}, []string{"rare"}), newRunner("r2", []string{"hot"}, nil))
	s.Engine.WeightMemory = 60_000
	s.Rate, s.Work = map[string]float64{"hot": 18}, map[string]float64{"hot": 0.36}
	is.Equal(len(drscheduler.Plan(s)), 0)

	s.Backlogs[0].ObjectiveLeft = time.Second
	got := drscheduler.Plan(s)
	is.Equal(len(got), 1)
	is.Equal(got[0].Unload, []string{"hot"})

	s.Backlogs[0].ObjectiveLeft = 4 * time.Second
	s.Backlogs = append(s.Backlogs, newBacklog("rare")) // one of many that waits for an adapter, say
	is.Equal(len(drscheduler.Plan(s)), 1)

	s.Backlogs = s.Backlogs[:1]
	s.Rate, s.Work = map[string]float64{"hot": 0.5}, map[string]float64{"hot": 0.01}
	is.Equal(len(drscheduler.Plan(s)), 1) // little used
}

// Rare models are asked for by requests that can wait, while demand grows for a
// model. Guards against runners with a copy of it that all swap rare models until
// its requests queue, and against rare models that wait past their objective.
func TestPlanPutsBusyModelsBeforePatientRequests(t *testing.T) {
	is := is.New(t)
	patient := newBacklog("rare")
	patient.ObjectiveLeft = 4 * time.Second
	s := newState(newEngine("hot", "rare"), []drscheduler.Backlog{patient},
		newRunner("r1", []string{"hot"}, nil), newRunner("r2", nil, []string{"hot", "rare"}))
	s.Rate, s.Work = map[string]float64{"hot": 20}, map[string]float64{"hot": 0.4}
	is.Equal(drscheduler.Plan(s)[0].Load, "hot")
	s.Backlogs[0].ObjectiveLeft = time.Second
	is.Equal(drscheduler.Plan(s)[0].Load, "rare")
}
