package drcontroller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Reserve takes tokens for one request of a VM. The error is that of the pool.
func (c *Controller) Reserve(vm string, m *drpb.FleetReserveRequest) (*drpb.FleetReserveReply, error) {
	ok, retryAfter, err := c.pool.Reserve(vm, m.GetAccount(), m.GetTokens())
	if err != nil {
		return nil, err
	}
	return &drpb.FleetReserveReply{Granted: ok, RetryAfterMs: uint32(retryAfter.Milliseconds())}, nil
}

// Sync takes a VM's report and answers with what changed. It waits for a
// change as long as the VM asks for.
func (c *Controller) Sync(ctx context.Context, name string, incarnation uint64, m *drpb.FleetSyncRequest) *drpb.FleetSyncReply {
	received := c.Clock.Uptime()
	c.await(ctx, c.take(name, incarnation, m), m)
	reply := &drpb.FleetSyncReply{Leading: c.Holds(), Term: c.Term}
	after := m.GetRevision()
	if m.GetTerm() != c.Term {
		after, reply.Whole = 0, true
	}
	changes, revision := c.view.Changes(after)
	reply.Revision = revision
	for _, ch := range changes {
		if !ch.Gone || !reply.Whole {
			reply.Runners = append(reply.Runners, encodeRunner(ch))
		}
	}
	record, version, at := c.view.DeploymentRecord()
	if version > m.GetDeployment() {
		reply.Deployment = record
	}
	_, runnersAge, _ := c.view.Ages()
	now := c.Clock.Uptime()
	reply.HeldMs = uint32(milliseconds(now - received))
	reply.DeploymentAgeMs = uint32(milliseconds(now - at))
	reply.RunnersAgeMs = uint32(milliseconds(runnersAge))
	c.fill(name, m, reply)
	return reply
}

// take stores a VM's report.
func (c *Controller) take(name string, incarnation uint64, m *drpb.FleetSyncRequest) *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	v, known := c.vms[name]
	if !known || v.incarnation != incarnation {
		if known {
			c.dropUses(v)
		}
		v = newVM(incarnation)
		c.vms[name] = v
	}
	first := v.heard.IsZero()
	v.processor = m.GetProcessor()
	v.heard, v.wants, v.wantsAt = now, m.GetWants(), now
	c.takeUses(v, m, first, now)
	if len(v.wants) > 0 {
		c.prod()
	}
	return v
}

// await waits until the VM's table is out of date in what matters to it, or its
// time is up.
func (c *Controller) await(ctx context.Context, v *vm, m *drpb.FleetSyncRequest) {
	if m.GetTerm() != c.Term || m.GetWaitMs() == 0 {
		return
	}
	t := c.Clock.NewTimer(time.Duration(m.GetWaitMs()) * time.Millisecond)
	defer t.Stop()
	for {
		changed := c.changes()
		if c.outdated(m) {
			_ = c.Clock.Sleep(ctx, syncPause)
			return
		}
		select {
		case <-v.wake:
		case <-changed:
		case <-t.C():
			return
		case <-ctx.Done():
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// changes returns a channel that is closed with the next change of the view, or
// nil if there are too many VMs to wake each time.
func (c *Controller) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.vms) > broadcastVMs {
		return nil
	}
	return c.view.Changed()
}

// outdated reports whether a VM should have an answer at once.
func (c *Controller) outdated(m *drpb.FleetSyncRequest) bool {
	_, version, _ := c.view.DeploymentRecord()
	if version > m.GetDeployment() {
		return true
	}
	if c.view.Revision() == m.GetRevision() {
		return false
	}
	c.mu.Lock()
	few := len(c.vms) <= broadcastVMs
	c.mu.Unlock()
	return few || slices.ContainsFunc(m.GetWants(), func(w *drpb.FleetWant) bool {
		return c.view.Holds(decodeReplica(w.GetReplica()))
	})
}

// wakeAll has waiting reports looked at again.
func (c *Controller) wakeAll() {
	for _, v := range c.vms {
		wakeVM(v)
	}
}

// wakeWanting does so for the VMs that want a model. The caller holds mu.
func (c *Controller) wakeWanting(model string) {
	for _, v := range c.vms {
		if slices.ContainsFunc(v.wants, func(w *drpb.FleetWant) bool { return w.GetReplica().GetModel() == model }) {
			wakeVM(v)
		}
	}
}

func wakeVM(v *vm) {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// fill adds loads, forecasts and grants to a reply.
func (c *Controller) fill(name string, m *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	for _, s := range m.GetSpendings() {
		g := c.pool.Report(name, s.GetAccount(), s.GetSpent(), s.GetGranted())
		reply.Grants = append(reply.Grants, &drpb.FleetGrant{Account: s.GetAccount(), Granted: g.Granted, Share: g.Share, Level: g.Level})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.fillLoads(name, reply)
	for _, w := range m.GetWants() {
		p := w.GetReplica()
		reply.Forecasts = append(reply.Forecasts, &drpb.FleetForecast{
			Replica: p, ExpectedMs: uint32(milliseconds(c.forecast(p.GetModel(), now))),
		})
	}
	vms := c.countVMs(now)
	reply.MostProcessor = c.mostProcessor()
	reply.Vms = uint32(vms)
	reply.NextWaitMs = uint32(milliseconds(time.Duration(vms) * syncPerVM))
}

// countVMs returns the number of VMs that report. The caller holds mu.
func (c *Controller) countVMs(now time.Time) int {
	n := 0
	for _, v := range c.vms {
		if now.Sub(v.heard) <= vmSilence {
			n++
		}
	}
	return n
}

// mostProcessor returns the largest part of a core that any VM may use. The
// caller holds mu.
func (c *Controller) mostProcessor() float64 {
	most := 0.0
	for _, v := range c.vms {
		most = max(most, v.processor)
	}
	return most
}

// Handover returns what the next controller needs.
func (c *Controller) Handover() drlease.Handover {
	c.mu.Lock()
	vms, most := c.countVMs(c.Clock.Now()), c.mostProcessor()
	c.mu.Unlock()
	return drlease.Handover{VMs: vms, MostProcessor: most, Levels: c.pool.Levels(), Counted: c.Clock.Now()}
}

func (c *Controller) fillLoads(name string, reply *drpb.FleetSyncReply) {
	own := c.vms[name]
	for _, id := range slices.Sorted(maps.Keys(c.runners)) {
		others := c.totals.runners[id]
		if own != nil {
			others -= own.running[id]
		}
		failing := uint32(c.runners[id].outcomes.failing() * 100)
		if others > 0 || failing > 0 {
			reply.Loads = append(reply.Loads, &drpb.FleetLoad{
				Runner: id, Running: uint32(max(others, 0)), FailingPercent: failing,
			})
		}
	}
}

// forecast returns the time until a model is probably there.
func (c *Controller) forecast(model string, now time.Time) time.Duration {
	for _, s := range c.runners {
		if s.swap != nil && s.swap.Load == model {
			return max(s.doneAt.Sub(now), 0)
		}
	}
	engines := max(len(c.runners), 1)
	return time.Duration(c.wanted+engines) * swapTime / time.Duration(engines)
}

// swapTime is the usual time of a swap from disk.
const swapTime = 800 * time.Millisecond
