package drplacement

import (
	"context"
	"slices"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Causes of unloads, as recorded in events.
const (
	causeIdle    = "idle"
	causeMemory  = "memory"
	causeNoRight = "no-right"
)

// sendOrder sends an order to the engine. An error with verdict NotRun means
// that the order has no effect. After any other error it may take effect within
// orderEffectWindow and is kept in unresolvedOrders.
func (rc *runnerController) sendOrder(ctx context.Context, key modelKey, order drengine.Order) error {
	order.Fence = rc.fence
	if !rc.checksFencing {
		if err := rc.appendIntent(ctx, key, order); err != nil {
			return err
		}
	}
	call, cancel := rc.placement.timeout(ctx, orderTimeout)
	defer cancel()
	err := rc.engine.Order(call, order)
	if err != nil && drerror.VerdictOf(err) != drerror.NotRun {
		unresolved := unresolvedOrder{model: key.model, possibleUntil: rc.now().Add(orderEffectWindow)}
		if order.Op == drengine.Load {
			unresolved.bytes = order.Bytes
		}
		rc.unresolvedOrders[order.Replica] = unresolved
	}
	if err != nil {
		rc.placement.recordEvent(drtimeline.Event{
			Name: drtimeline.OrderFailed, Reason: drerror.ReasonOf(err).String(), Detail: "op=" + string(order.Op),
		}, rc.runner, key)
	}
	return err
}

// appendIntent appends the intent that must precede an order to an engine that
// does not check fencing tokens. As the last step before the order it checks
// that the lease still runs and that this VM still owns the runner.
func (rc *runnerController) appendIntent(ctx context.Context, key modelKey, order drengine.Order) error {
	down := drerror.New(drerror.NotRun, drerror.LogUnavailable,
		"runner %q does not check fencing tokens and gets no orders while the log is down", rc.runner)
	if rc.placement.logDown() || rc.now().Before(rc.nextAppendAt) {
		return down
	}
	offset, err := rc.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Intent{Intent: &drpb.PlacementIntent{
		Runner: rc.runner, Fence: rc.fence, Replica: order.Replica, Model: key.model, Adapter: key.adapter,
		Bytes: order.Bytes, Unload: order.Op == drengine.Unload,
	}}})
	if err != nil {
		// If the record appears in the log later, resolveOrders ends the
		// intent.
		rc.nextAppendAt = rc.now().Add(tick)
		return down
	}
	if rc.placement.Clock.Since(rc.placement.Journal.Confirmed()) >= lease {
		return down
	}
	// The ledger is read after the lease was checked, so that its content is at
	// least as recent as the lease.
	accepted := rc.placement.Ledger.Owner(rc.runner).Fence == rc.fence
	if !accepted || !slices.ContainsFunc(rc.placement.Ledger.Intents(rc.runner), func(in Intent) bool { return in.Offset == offset }) {
		return drerror.New(drerror.NotRun, drerror.Conflict, "intent for runner %q was superseded", rc.runner)
	}
	return nil
}

// resolveOrders drops the unresolved orders whose effect the engine state now
// shows, and ends the intents whose orders can have no further effect.
func (rc *runnerController) resolveOrders(ctx context.Context) {
	for id, d := range rc.unresolvedOrders {
		// A state that was requested after that time shows what the order did.
		if rc.stateAt.After(d.possibleUntil) {
			delete(rc.unresolvedOrders, id)
		}
	}
	for _, in := range rc.intents {
		if _, unresolved := rc.unresolvedOrders[in.Replica]; in.Fence == rc.fence && unresolved {
			continue
		}
		if in.Fence != rc.fence && !rc.placement.View.Gone(in.VM) {
			continue // the VM that sent the order still exists and must end the intent
		}
		if in.Fence != rc.fence && rc.now().Before(rc.ordersAllowedAt) {
			continue
		}
		if !rc.append(ctx, intentEndRecord(rc, in)) {
			return
		}
	}
	rc.refreshIntents()
}

// unload orders the unload of a replica. It does nothing if the same order was
// sent within orderEffectWindow, or if an order for the same replica is
// unresolved, because a load could arrive after the unload.
func (rc *runnerController) unload(ctx context.Context, replica drengine.Replica, cause string) {
	if at, ok := rc.unloadOrderedAt[replica.ID]; ok && rc.now().Sub(at) < orderEffectWindow {
		return
	}
	if _, unresolved := rc.unresolvedOrders[replica.ID]; unresolved {
		return
	}
	key := modelKey{replica.Model, replica.Adapter}
	o := drengine.Order{Op: drengine.Unload, Replica: replica.ID, Model: replica.Model, Bytes: replica.Bytes}
	if replica.Adapter != "" {
		o.Model, o.Base = replica.Adapter, replica.Model
	}
	err := rc.sendOrder(ctx, key, o)
	if err == nil || drerror.VerdictOf(err) != drerror.NotRun {
		rc.unloadOrderedAt[replica.ID] = rc.now()
		rc.placement.recordEvent(drtimeline.Event{Name: drtimeline.UnloadOrdered, Reason: cause, Detail: "replica=" + replica.ID}, rc.runner, key)
	}
}
