package drplacement

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// usableRights returns the rights under which a model can be loaded, oldest first.
func (p *Placement) usableRights(model string) []Right {
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
func (p *Placement) callWake(ctx context.Context, request *drpb.PlacementWake) (*drpb.PlacementWakeReply, error) {
	own := p.Ledger.Owner(request.Runner)
	if own.VM == "" {
		return nil, noOwnerError(request.Runner)
	}
	ctx, cancel := p.timeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+callTimeout+appendTimeout)
	defer cancel()
	if own.VM == p.View.Self().VM {
		return p.owner.wake(ctx, request)
	}
	var r drpb.PlacementWakeReply
	return &r, p.Caller.Call(ctx, own.VM, methodWake, request, &r)
}

func noOwnerError(runner string) error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "runner %q has no owner", runner)
}

func (p *Placement) callYield(ctx context.Context, request *drpb.PlacementYield) error {
	own := p.Ledger.Owner(request.Runner)
	if own.VM == "" {
		return noOwnerError(request.Runner)
	}
	if own.VM == p.View.Self().VM {
		return p.owner.yield(request)
	}
	ctx, cancel := p.timeout(ctx, callTimeout)
	defer cancel()
	return p.Caller.Call(ctx, own.VM, methodYield, request, &drpb.PlacementYieldReply{})
}

func (p *Placement) callResidency(ctx context.Context, vm string, request *drpb.PlacementResidency) (*drpb.PlacementResidencyReply, error) {
	if vm == p.View.Self().VM {
		return p.owner.waitForStatuses(ctx, request), nil
	}
	ctx, cancel := p.timeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+callTimeout)
	defer cancel()
	var r drpb.PlacementResidencyReply
	return &r, p.Caller.Call(ctx, vm, methodResidency, request, &r)
}

// callDemand asks the home of a model for a right. If the home cannot be
// reached, this VM acts in its place after a random pause, in which another
// VM may have done so.
func (p *Placement) callDemand(ctx context.Context, request *drpb.PlacementDemand) error {
	if p.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, model %q gets no further right", request.Model)
	}
	home := p.planner.homeVM(request.Model)
	if home != "" && home != p.View.Self().VM {
		call, cancel := p.timeout(ctx, callTimeout+appendTimeout)
		err := p.Caller.Call(call, home, methodDemand, request, &drpb.PlacementDemandReply{})
		cancel()
		if !unreachable(err) {
			return err
		}
		if err := p.Clock.Sleep(ctx, jitter(demandJitter)); err != nil {
			return err
		}
	}
	return p.planner.demand(ctx, request)
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
func (p *Placement) wakeNewest(ctx context.Context, model string) {
	if rs := p.usableRights(model); len(rs) > 0 {
		_, _ = p.callWake(ctx, &drpb.PlacementWake{Runner: rs[len(rs)-1].Runner, Model: model})
	}
}
