package drplacement

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// usableRights returns the rights to a model under which it may be loaded,
// oldest grant first: not in excess and on a listed runner that is not leaving
// its fleet.
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

// callWake asks the owner of a runner to load a model. If this VM is the owner,
// it calls its own handler directly. The time limit covers the hold time of the
// request and the append of an intent record.
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

// callDemand asks the home VM of a model for one more right. If the home VM
// cannot be reached, this VM plans the model itself. It first sleeps for up to
// demandJitter, so that of several VMs in this situation one can act before the
// others.
func (p *Placement) callDemand(ctx context.Context, request *drpb.PlacementDemand) error {
	if p.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, so model %q cannot be granted another replica", request.Model)
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

// wakeNewest asks for a load under the newest usable right of a model. It does
// not wait for the load and ignores errors.
func (p *Placement) wakeNewest(ctx context.Context, model string) {
	if rs := p.usableRights(model); len(rs) > 0 {
		_, _ = p.callWake(ctx, &drpb.PlacementWake{Runner: rs[len(rs)-1].Runner, Model: model})
	}
}
