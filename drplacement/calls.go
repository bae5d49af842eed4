package drplacement

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// usable returns the rights under which a model can be loaded, oldest first.
func (p *Place) usable(model string) []Right {
	var rs []Right
	for _, r := range p.Ledger.Rights(model) {
		b, ok := p.backend(r.Runner)
		if !r.Excess && ok && !b.Leaving {
			rs = append(rs, r)
		}
	}
	return rs
}

// callWake calls the owner of a runner; directly if that is this VM.
func (p *Place) callWake(ctx context.Context, w *drpb.PlacementWake) (*drpb.PlacementWakeReply, error) {
	own := p.Ledger.Owner(w.Runner)
	if own.VM == "" {
		return nil, notOwned(w.Runner)
	}
	ctx, cancel := p.timeout(ctx, time.Duration(w.HoldMs)*time.Millisecond+callTimeout+appendTimeout)
	defer cancel()
	if own.VM == p.View.Self().VM {
		return p.owner.wake(ctx, w)
	}
	var r drpb.PlacementWakeReply
	return &r, p.Caller.Call(ctx, own.VM, methodWake, w, &r)
}

func notOwned(runner string) error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "runner %q has no owner", runner)
}

func (p *Place) callYield(ctx context.Context, y *drpb.PlacementYield) error {
	own := p.Ledger.Owner(y.Runner)
	if own.VM == "" {
		return notOwned(y.Runner)
	}
	if own.VM == p.View.Self().VM {
		return p.owner.yield(y)
	}
	ctx, cancel := p.timeout(ctx, callTimeout)
	defer cancel()
	return p.Caller.Call(ctx, own.VM, methodYield, y, &drpb.PlacementYieldReply{})
}

func (p *Place) callResidency(ctx context.Context, vm string, q *drpb.PlacementResidency) (*drpb.PlacementResidencyReply, error) {
	if vm == p.View.Self().VM {
		return p.owner.report(ctx, q), nil
	}
	ctx, cancel := p.timeout(ctx, time.Duration(q.HoldMs)*time.Millisecond+callTimeout)
	defer cancel()
	var r drpb.PlacementResidencyReply
	return &r, p.Caller.Call(ctx, vm, methodResidency, q, &r)
}

// callDemand asks the home of a model for a right. If the home cannot be
// reached, this VM acts in its place after a random pause, in which another
// VM may have done so.
func (p *Place) callDemand(ctx context.Context, d *drpb.PlacementDemand) error {
	if p.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, model %q gets no further right", d.Model)
	}
	home := p.planner.home(d.Model)
	if home != "" && home != p.View.Self().VM {
		call, cancel := p.timeout(ctx, callTimeout+appendTimeout)
		err := p.Caller.Call(call, home, methodDemand, d, &drpb.PlacementDemandReply{})
		cancel()
		if !unreachable(err) {
			return err
		}
		if err := p.Clock.Sleep(ctx, jitter(demandJitter)); err != nil {
			return err
		}
	}
	return p.planner.demand(ctx, d)
}

// unreachable reports whether a call failed before its handler answered.
func unreachable(err error) bool {
	if err == nil {
		return false
	}
	switch drerror.ReasonOf(err) {
	case drerror.Unavailable, drerror.Deadline, drerror.Internal, drerror.Unimplemented, drerror.Draining:
		return true
	default:
		return false
	}
}

// wakeNewest wakes a model under its newest right without waiting.
func (p *Place) wakeNewest(ctx context.Context, model string) {
	if rs := p.usable(model); len(rs) > 0 {
		_, _ = p.callWake(ctx, &drpb.PlacementWake{Runner: rs[len(rs)-1].Runner, Model: model})
	}
}
