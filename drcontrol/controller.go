// Package drcontrol runs the controller of a fleet, which loads models and
// hands out token allowances, and keeps each VM's view in touch with it and
// with the store.
package drcontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drplan"
	"github.com/dotterelridge/dotterelridge/drquota"
	"github.com/dotterelridge/dotterelridge/drview"
)

const (
	// planPause is the least time between two plans.
	planPause = 10 * time.Millisecond
	// planRest is how many times as long as a plan takes the controller rests
	// after it, so that planning leaves the processor to requests.
	planRest = 8
	// broadcastVMs is the number of VMs up to which each VM learns of each
	// change at once; beyond it only those that wait for a model do.
	broadcastVMs = 32
	// planInterval is the time after which a plan is made without a cause.
	planInterval = 100 * time.Millisecond
	// syncPause lets changes that come together go out in one reply.
	syncPause = 3 * time.Millisecond
	// descriptionLag is how old a runner's own description may be when it is
	// read: its interval, the way through the store, and a margin.
	descriptionLag = 4 * time.Second
	// vmForgotten is how long after its last report a VM is forgotten.
	vmForgotten = 10 * time.Second
)

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Clock   drview.Clock
	Engines drplan.Engines
	Metrics *drmetric.Metrics
	// Holder is this VM's name, sent with orders.
	Holder string
	// Term is the fencing token of the lease. Holds reports whether the lease
	// is still valid, and is asked before each order.
	Term  uint64
	Holds func() bool
	// QuietUntil is when the first order may be sent.
	QuietUntil time.Time
}

// Controller plans and carries out loads, and answers the VMs' reports, while
// its VM holds the lease. It is safe for concurrent use.
type Controller struct {
	ControllerConfig
	view *drview.View
	pool *drquota.Pool
	wake chan struct{}
	ctx  context.Context
	end  context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	vms     map[string]*vm
	totals  totals
	runners map[string]*runnerState
	demands map[string]*demand
	loads   loadRate
	wanted  int   // models that requests waited for at the last plan
	limits  int64 // version of the deployment whose limits the pool has
}

// NewController starts a controller over the view of its VM.
func NewController(c ControllerConfig, v *drview.View) *Controller {
	k := &Controller{
		ControllerConfig: c, view: v, pool: drquota.NewPool(c.Clock), wake: make(chan struct{}, 1),
		vms: make(map[string]*vm), totals: newTotals(), runners: make(map[string]*runnerState), demands: make(map[string]*demand),
		loads: loadRate{since: c.Clock.Now()}, limits: -1,
	}
	k.ctx, k.end = context.WithCancel(context.Background())
	k.wg.Go(k.planLoop)
	return k
}

// Close stops planning and waits for the orders that are under way.
func (c *Controller) Close() {
	c.end()
	c.wg.Wait()
}

// prod has a plan made soon.
func (c *Controller) prod() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) planLoop() {
	for c.ctx.Err() == nil {
		changed := c.view.Changed()
		began := c.Clock.Now()
		c.plan()
		if c.Clock.Sleep(c.ctx, max(planPause, planRest*c.Clock.Since(began))) != nil {
			return
		}
		t := c.Clock.NewTimer(planInterval)
		select {
		case <-c.wake:
		case <-changed:
		case <-t.C():
		case <-c.ctx.Done():
		}
		t.Stop()
	}
}

// plan makes one plan for each service with engines and begins its swaps.
func (c *Controller) plan() {
	d, _ := c.view.Deployment()
	if d == nil || !c.Holds() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.setLimits(d) {
		c.wakeAll()
	}
	now := c.Clock.Now()
	c.followRunners(now)
	if now.Before(c.QuietUntil) {
		return
	}
	for i := range d.Services {
		service := &d.Services[i]
		if service.Engine == nil {
			continue
		}
		c.loads.perSecond = service.Engine.LoadsPerSecond
		// Adapters go first: they load in milliseconds, but not while the
		// runner loads a model.
		for _, swap := range drplan.PlanAdapters(c.state(service, now)) {
			c.beginAdapter(swap)
		}
		s := c.state(service, now)
		c.wanted = len(s.Wants)
		for _, swap := range drplan.Plan(s) {
			c.begin(service, swap, now)
		}
	}
}

// setLimits gives the pool the limits of a new deployment.
func (c *Controller) setLimits(d *drfleet.Deployment) (changed bool) {
	if d.Version == c.limits {
		return false
	}
	c.limits = d.Version
	c.pool.SetLimits(limitsOf(d))
	return true
}

func limitsOf(d *drfleet.Deployment) map[string]drquota.Limit {
	limits := make(map[string]drquota.Limit)
	for _, a := range d.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = drquota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits
}

// followRunners notes new incarnations and asks those in doubt for a report.
func (c *Controller) followRunners(now time.Time) {
	for _, r := range c.view.Runners("") {
		s := c.runners[r.ID]
		if s == nil || s.started != r.Started {
			s = newRunnerState(r.Started)
			c.runners[r.ID] = s
		}
		if !s.doubtful && s.swap == nil && now.Sub(s.swappedAt) > descriptionLag && c.view.Contradicted(r.ID) {
			s.doubtful, s.swappedAt = true, now
		}
		if s.doubtful && !s.asking && s.swap == nil && len(s.coming) == 0 && !now.Before(s.retryAt) && c.hasEngine(r) {
			s.retryAt, s.asking = now.Add(reportPause), true
			c.wg.Go(func() { c.ask(r, s) })
		}
	}
	for id, v := range c.vms {
		if now.Sub(v.heard) > vmSilence {
			c.dropUses(v)
		}
		if now.Sub(v.heard) > vmForgotten {
			delete(c.vms, id)
			c.pool.Forget(id)
			log.WithFields(log.Fields{"event": "vm-forgotten", "vm": id, "term": c.Term}).Info("")
		}
	}
}

func (c *Controller) hasEngine(r *drfleet.Runner) bool {
	d, _ := c.view.Deployment()
	service := d.Service(r.Service)
	return service != nil && service.Engine != nil
}

// Reserve takes tokens for one request of a VM.
func (c *Controller) Reserve(vm string, m *drpb.FleetReserveRequest) *drpb.FleetReserveReply {
	ok, retryAfter := c.pool.Reserve(vm, m.GetAccount(), m.GetTokens())
	return &drpb.FleetReserveReply{Granted: ok, RetryAfterMs: uint32(retryAfter.Milliseconds())}
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
		reply.Grants = append(reply.Grants, &drpb.FleetGrant{Account: s.GetAccount(), Granted: g.Granted, Share: g.Share})
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
	for _, v := range c.vms {
		reply.MostProcessor = max(reply.MostProcessor, v.processor)
	}
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

// VMs returns the number of VMs that report to the controller.
func (c *Controller) VMs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countVMs(c.Clock.Now())
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
