package drscheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// Guards against models that are missed when their availability zone goes out of service,
// because they are loaded elsewhere only once requests wait for them; against the wrong
// order if not all can be loaded at once; and against giving up a model with more
// requests for one of them.
func TestModelsOfZoneOutOfServiceAreLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	out := newRunner("out", []string{"rare", "often", "idle"}, []string{"rare", "often", "idle"})
	out.Runner, out.OutOfService = out.WithDraining(), true
	e := newEngine("rare", "often", "idle", "kept")
	e.WeightMemory = e.Models["kept"].Size
	s := newState(e, nil, out, newRunner("free", nil, nil), newRunner("full", []string{"kept"}, []string{"kept"}))
	s.Rate = map[string]float64{"rare": 1, "often": 5, "kept": 9}
	s.StoreLoads = 5
	s.Stored = drscheduler.Copies{"kept": {""}}
	swaps := drscheduler.Plan(s)
	is.Equal(len(swaps), 1)
	is.Equal(swaps[0].Load, "often")
	is.Equal(swaps[0].Runner.ID, "free")
	is.Equal(swaps[0].Why, drscheduler.Relocated)
	s.StoreLoads = 0
	is.Equal(len(drscheduler.Plan(s)), 0)
	s.StoreLoads, s.Runners[0].OutOfService = 5, false // it just drains
	is.Equal(len(drscheduler.Plan(s)), 0)
}
