package drplacement

import (
	"context"
	"slices"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Causes of unloads.
const (
	causeIdle    = "idle"
	causeMemory  = "memory"
	causeNoRight = "no-right"
)

// order sends an order. An error with verdict NotRun means that it has no
// effect; after another error it may take effect until its doubt ends.
func (k *keeper) order(ctx context.Context, ky key, o drengine.Order) error {
	o.Fence = k.fence
	if !k.fencing {
		if err := k.stateIntent(ctx, ky, o); err != nil {
			return err
		}
	}
	call, cancel := k.p.timeout(ctx, orderTimeout)
	defer cancel()
	err := k.engine.Order(call, o)
	if err != nil && drerror.Of(err) != drerror.NotRun {
		d := doubt{model: ky.model, until: k.now().Add(quarantine)}
		if o.Op == drengine.Load {
			d.bytes = o.Bytes
		}
		k.doubts[o.Replica] = d
	}
	if err != nil {
		k.p.note(drtimeline.Event{
			Name: drtimeline.OrderFailed, Reason: drerror.ReasonOf(err).String(), Detail: "op=" + string(o.Op),
		}, k.runner, ky)
	}
	return err
}

// stateIntent appends the intent that must precede an order to an engine that
// ignores fencing, and checks lease and ownership directly before the order.
func (k *keeper) stateIntent(ctx context.Context, ky key, o drengine.Order) error {
	down := drerror.New(drerror.NotRun, drerror.LogUnavailable,
		"runner %q ignores fencing and loads nothing while the log is down", k.runner)
	if k.p.logDown() || k.now().Before(k.appendAfter) {
		return down
	}
	offset, err := k.p.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Intent{Intent: &drpb.PlacementIntent{
		Runner: k.runner, Fence: k.fence, Replica: o.Replica, Model: ky.model, Adapter: ky.adapter,
		Bytes: o.Bytes, Unload: o.Op == drengine.Unload,
	}}})
	if err != nil {
		// If the record appears later, settleDoubts ends it.
		k.appendAfter = k.now().Add(tick)
		return down
	}
	if k.p.Clock.Since(k.p.Journal.Confirmed()) >= lease {
		return down
	}
	// Read after the lease was checked, so that the ledger is as recent.
	accepted := k.p.Ledger.Owner(k.runner).Fence == k.fence
	if !accepted || !slices.ContainsFunc(k.p.Ledger.InDoubt(k.runner), func(in Intent) bool { return in.Offset == offset }) {
		return drerror.New(drerror.NotRun, drerror.Conflict, "intent for runner %q was superseded", k.runner)
	}
	return nil
}

// settleDoubts ends the doubts whose time has passed, and the intents whose
// orders can have no further effect.
func (k *keeper) settleDoubts(ctx context.Context) {
	for id, d := range k.doubts {
		// A state that was requested later shows what the order did.
		if k.stateAt.After(d.until) {
			delete(k.doubts, id)
		}
	}
	for _, in := range k.intents {
		if _, doubted := k.doubts[in.Replica]; in.Fence == k.fence && doubted {
			continue
		}
		if in.Fence != k.fence && !k.p.View.Gone(in.VM) {
			continue // its sender must confirm
		}
		if in.Fence != k.fence && k.now().Before(k.start) {
			continue
		}
		if !k.append(ctx, giveUpOrDone(k, in)) {
			return
		}
	}
	k.takeIntents()
}

// unload orders the unload of a replica, unless the order was sent recently or
// a load of the same replica may still arrive after it.
func (k *keeper) unload(ctx context.Context, r drengine.Replica, cause string) {
	if at, ok := k.unloads[r.ID]; ok && k.now().Sub(at) < quarantine {
		return
	}
	if _, doubted := k.doubts[r.ID]; doubted {
		return
	}
	ky := key{r.Model, r.Adapter}
	o := drengine.Order{Op: drengine.Unload, Replica: r.ID, Model: r.Model, Bytes: r.Bytes}
	if r.Adapter != "" {
		o.Model, o.Base = r.Adapter, r.Model
	}
	err := k.order(ctx, ky, o)
	if err == nil || drerror.Of(err) != drerror.NotRun {
		k.unloads[r.ID] = k.now()
		k.p.note(drtimeline.Event{Name: drtimeline.UnloadOrdered, Reason: cause, Detail: "replica=" + r.ID}, k.runner, ky)
	}
}
