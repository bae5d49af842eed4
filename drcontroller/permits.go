package drcontroller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// permitRecheck is how often the controller looks whether it can give permits to a VM
// whose requests wait for a bounded runner.
const permitRecheck = 50 * time.Millisecond

// maxPermitForecast bounds the estimated time until requests have permits.
const maxPermitForecast = time.Minute

// givePermits gives a VM permits for the bounded runners for which its requests wait. They
// count from received, the uptime at which the VM's report arrived, so that the VM, which
// counts from when it sent the report, lets them end no later. The time is read before the
// lease is checked: if this VM is suspended in between, the permits end with the lease.
// There are none once ctx, that of the report, has ended: nobody reads the reply. A closed
// controller gives none, because its lease may have been released by then.
func (c *Controller) givePermits(ctx context.Context, vm string, request *drpb.FleetSyncRequest, received time.Duration) []*drpb.FleetPermit {
	now := c.Clock.Uptime()
	if ctx.Err() != nil || c.ctx.Err() != nil || !c.Holds() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var permits []*drpb.FleetPermit
	for _, w := range request.GetWants() {
		waiting := int(w.GetWaiting())
		for _, b := range c.boundedRunners(w, request) {
			given := c.warmups.Give(b.Warming(), c.borneBy(b), waiting, now)
			if given == 0 {
				continue
			}
			waiting -= given
			log.WithFields(log.Fields{"event": "permits-given", "runner": b.Runner, "started": b.Started, "permits": given,
				"rate": b.Rate, "cold": b.Cold, "vm": vm, "term": c.Term}).Debug("")
			permits = append(permits, &drpb.FleetPermit{
				Runner: encodeIncarnation(b.Incarnation), Permits: uint32(given), LeftMs: uint32(milliseconds(now - received + drwarmup.PermitTime)),
			})
		}
	}
	c.warmups.Forget(now)
	return permits
}

// canGivePermits reports whether givePermits would give any.
func (c *Controller) canGivePermits(request *drpb.FleetSyncRequest) bool {
	now := c.Clock.Uptime()
	for _, w := range request.GetWants() {
		for _, b := range c.boundedRunners(w, request) {
			if c.availablePermits(b, now) > 0 {
				return true
			}
		}
	}
	return false
}

// boundedRunners returns the bounded runners that could take the requests of a VM that wait
// for a replica. Those that want nothing of the VM for a time are left out.
func (c *Controller) boundedRunners(want *drpb.FleetWant, request *drpb.FleetSyncRequest) []drfleetview.BoundedRunner {
	bounded := c.view.BoundedRunners(decodeReplica(want.GetReplica()))
	return slices.DeleteFunc(bounded, func(b drfleetview.BoundedRunner) bool {
		return slices.ContainsFunc(request.GetPauses(), func(p *drpb.FleetPause) bool { return decodeIncarnation(p.GetRunner()) == b.Incarnation })
	})
}

func (c *Controller) availablePermits(b drfleetview.BoundedRunner, now time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmups.Available(b.Warming(), c.borneBy(b), now)
}

// borneBy returns how many requests a bounded runner bears.
func (c *Controller) borneBy(b drfleetview.BoundedRunner) drwarmup.Rate {
	rate := drwarmup.Rate{PerSecond: b.Rate, Bound: drwarmup.LimitBound}
	switch {
	case b.Both:
		rate.Bound = c.ColdBound.Within(drwarmup.LimitBound)
	case b.Cold:
		rate.Bound = c.ColdBound
	}
	return rate
}

// recheckPermits returns a channel that receives a value after permitRecheck if requests of
// the VM wait for a bounded runner, nil if not, and a function that releases it.
func (c *Controller) recheckPermits(request *drpb.FleetSyncRequest) (recheck <-chan time.Time, stop func() bool) {
	for _, w := range request.GetWants() {
		if c.view.HasBoundedRunner(decodeReplica(w.GetReplica())) {
			t := c.Clock.NewTimer(permitRecheck)
			return t.C(), t.Stop
		}
	}
	return nil, func() bool { return true }
}

// forecastPermits estimates the mean time until the requests that wait for a replica on
// bounded runners have permits, those of all VMs. The time of the last one would refuse all
// of them. ok is false if no bounded runner holds the replica. The caller holds mu.
func (c *Controller) forecastPermits(want *drpb.FleetWant, now time.Time) (after time.Duration, ok bool) {
	rate, warmAfter := 0.0, time.Duration(0)
	for _, b := range c.view.BoundedRunners(decodeReplica(want.GetReplica())) {
		rate += b.Rate
		if !b.Cold {
			warmAfter = maxPermitForecast
		}
		warmAfter = max(warmAfter, b.ColdLeft)
	}
	if rate <= 0 {
		return 0, false
	}
	waiting := max(c.waitingFor(want.GetReplica(), now), int(want.GetWaiting()))
	return min(warmAfter, time.Duration(float64(waiting)/rate/2*float64(time.Second))), true
}

// waitingFor returns the number of requests of all reporting VMs that wait for a replica in
// some of its zones. The caller holds mu.
func (c *Controller) waitingFor(replica *drpb.FleetReplica, now time.Time) int {
	wanted, waiting := decodeReplica(replica), 0
	for _, v := range c.vms {
		if now.Sub(v.lastReportAt) > vmReportTimeout {
			continue
		}
		for _, w := range v.wants {
			other := decodeReplica(w.GetReplica())
			shared := wanted.Zones.Overlap(other.Zones)
			other.Zones = wanted.Zones
			if shared && other == wanted {
				waiting += int(w.GetWaiting())
			}
		}
	}
	return waiting
}

// applyPermits adds the permits in a reply to a report that this VM sent at an uptime.
func (n *Node) applyPermits(reply *drpb.FleetSyncReply, sent time.Duration) {
	for _, p := range reply.GetPermits() {
		n.View.GivePermits(decodeIncarnation(p.GetRunner()), int(p.GetPermits()), sent+time.Duration(p.GetLeftMs())*time.Millisecond)
	}
}
