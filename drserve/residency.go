package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// residency adapts placement to the router.
type residency struct {
	place   *drplacement.Placement
	engines *engines
	// woken is called after a wake-up, so that the queue of the model does
	// not wait for its next refresh.
	woken func(model string)
}

// Runners implements drrouter.Residency.
func (r residency) Runners(model, adapter string) []drrouter.Runner {
	var rs []drrouter.Runner
	for _, s := range r.place.Residency().Loaded(model, adapter) {
		r.engines.name(s.Address, s.Runner)
		rs = append(rs, drrouter.Runner{
			VM: s.Runner, Address: s.Address, Zone: s.Zone, Instance: s.Instance, Version: s.Version,
			Capacity: s.Capacity, Running: s.Running, Waiting: s.Waiting,
		})
	}
	return rs
}

// Wake implements drrouter.Waker.
func (r residency) Wake(ctx context.Context, model, adapter string, deadline time.Time) (drrouter.Runner, error) {
	l, err := r.place.Waker().Wake(ctx, model, adapter, deadline)
	if err != nil {
		return drrouter.Runner{}, err
	}
	r.engines.name(l.Address, l.Runner)
	r.woken(model)
	for _, x := range r.Runners(model, adapter) {
		if x.VM == l.Runner {
			return x, nil
		}
	}
	return drrouter.Runner{VM: l.Runner, Address: l.Address}, nil
}
