package drcontroller

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// permitRecheck is how often the controller looks whether it can give permits to a VM
// whose requests wait for a cold runner.
const permitRecheck = 50 * time.Millisecond

// givePermits gives a VM permits for the cold runners for which its requests wait. They
// count from received, the uptime at which the VM's report arrived, so that the VM, which
// counts from when it sent the report, lets them end no later. The time is read before the
// lease is checked: if this VM is suspended in between, the permits end with the lease.
func (c *Controller) givePermits(vm string, request *drpb.FleetSyncRequest, received time.Duration) []*drpb.FleetPermit {
	now := c.Clock.Uptime()
	if !c.Holds() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var permits []*drpb.FleetPermit
	for _, w := range request.GetWants() {
		waiting := int(w.GetWaiting())
		for _, cold := range c.view.ColdRunners(decodeReplica(w.GetReplica())) {
			given := c.warmups.Give(cold.Warming(), cold.Rate, waiting, now)
			if given == 0 {
				continue
			}
			waiting -= given
			log.WithFields(log.Fields{"event": "permits-given", "runner": cold.Runner, "started": cold.Started, "permits": given,
				"vm": vm, "term": c.Term}).Debug("")
			permits = append(permits, &drpb.FleetPermit{
				Runner: encodeIncarnation(cold.Incarnation), Permits: uint32(given), LeftMs: uint32(milliseconds(now - received + drwarmup.PermitTime)),
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
		for _, cold := range c.view.ColdRunners(decodeReplica(w.GetReplica())) {
			if c.availablePermits(cold, now) > 0 {
				return true
			}
		}
	}
	return false
}

func (c *Controller) availablePermits(cold drfleetview.ColdRunner, now time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmups.Available(cold.Warming(), cold.Rate, now)
}

// recheckPermits returns a channel that receives a value after permitRecheck if requests of
// the VM wait for a cold runner, nil if not, and a function that releases it.
func (c *Controller) recheckPermits(request *drpb.FleetSyncRequest) (recheck <-chan time.Time, stop func() bool) {
	for _, w := range request.GetWants() {
		if len(c.view.ColdRunners(decodeReplica(w.GetReplica()))) > 0 {
			t := c.Clock.NewTimer(permitRecheck)
			return t.C(), t.Stop
		}
	}
	return nil, func() bool { return true }
}

// forecastPermits estimates the time until all requests of a VM that wait for a replica on
// cold runners have permits. ok is false if no cold runner holds the replica.
func (c *Controller) forecastPermits(want *drpb.FleetWant) (after time.Duration, ok bool) {
	rate, left := 0.0, time.Duration(0)
	for _, cold := range c.view.ColdRunners(decodeReplica(want.GetReplica())) {
		rate += cold.Rate
		left = max(left, cold.Left)
	}
	if rate <= 0 {
		return 0, false
	}
	return min(left, time.Duration(float64(want.GetWaiting())/rate*float64(time.Second))), true
}

// applyPermits adds the permits in a reply to a report that this VM sent at an uptime.
func (n *Node) applyPermits(reply *drpb.FleetSyncReply, sent time.Duration) {
	for _, p := range reply.GetPermits() {
		n.View.GivePermits(decodeIncarnation(p.GetRunner()), int(p.GetPermits()), sent+time.Duration(p.GetLeftMs())*time.Millisecond)
	}
}
