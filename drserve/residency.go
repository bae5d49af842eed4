package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// residencyAdapter adapts drplacement.Placement to drrouter.Residency and
// drrouter.Waker. It tells the engine clients which runner each address belongs to.
type residencyAdapter struct {
	placement *drplacement.Placement
	engines   *engineClients
	// onWake is called when Wake has got a model loaded, so that the window of
	// its queue is updated before the next refresh.
	onWake func(model string)
}

// Runners implements drrouter.Residency. It returns the runners on which the model
// with the adapter is loaded.
func (r residencyAdapter) Runners(model, adapter string) []drrouter.Runner {
	var runners []drrouter.Runner
	for _, s := range r.placement.Residency().Loaded(model, adapter) {
		r.engines.setRunnerName(s.Address, s.Runner)
		runners = append(runners, drrouter.Runner{
			VM: s.Runner, Address: s.Address, Zone: s.Zone, Instance: s.Instance, Version: s.Version,
			Capacity: s.Capacity, Running: s.Running, Waiting: s.Waiting,
		})
	}
	return runners
}

// Wake implements drrouter.Waker. It waits until a replica is loaded. The returned
// runner has no zone, capacity and load if no engine report shows it as loaded yet.
func (r residencyAdapter) Wake(ctx context.Context, model, adapter string, deadline time.Time) (drrouter.Runner, error) {
	loaded, err := r.placement.Waker().Wake(ctx, model, adapter, deadline)
	if err != nil {
		return drrouter.Runner{}, err
	}
	r.engines.setRunnerName(loaded.Address, loaded.Runner)
	r.onWake(model)
	for _, runner := range r.Runners(model, adapter) {
		if runner.VM == loaded.Runner {
			return runner, nil
		}
	}
	return drrouter.Runner{VM: loaded.Runner, Address: loaded.Address}, nil
}
