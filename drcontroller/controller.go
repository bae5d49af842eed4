// Package drcontroller runs the controller of a fleet, which loads models and
// hands out token allowances, and keeps each VM's view in touch with it and
// with the store.
package drcontroller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
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
	Clock   drfleetview.Clock
	Engines drscheduler.Engines
	Metrics *drmetric.Metrics
	// Holder is this VM's name, sent with orders.
	Holder string
	// Term is the fencing token of the lease. Holds reports whether the lease
	// is still valid, and is asked before each order.
	Term  uint64
	Holds func() bool
	// Inherited is what the former controller passed on.
	Inherited drlease.Handover
	// QuietUntil is when the first order may be sent.
	QuietUntil time.Time
}

// Controller plans and carries out loads, and answers the VMs' reports, while
// its VM holds the lease. It is safe for concurrent use.
type Controller struct {
	ControllerConfig
	view *drfleetview.View
	pool *drtokenpool.Pool
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
func NewController(c ControllerConfig, v *drfleetview.View) *Controller {
	k := &Controller{
		ControllerConfig: c, view: v, pool: drtokenpool.NewPool(c.Clock), wake: make(chan struct{}, 1),
		vms: make(map[string]*vm), totals: newTotals(), runners: make(map[string]*runnerState), demands: make(map[string]*demand),
		loads: loadRate{since: c.Clock.Now()}, limits: -1,
	}
	if h := c.Inherited; len(h.Levels) > 0 {
		k.pool.Inherit(h.Levels, c.Clock.Now().Round(0).Sub(h.Counted))
	}
	// VMs may report before the first plan.
	if d, _ := v.Deployment(); d != nil {
		k.setLimits(d)
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
		s := c.state(service, now)
		for _, swap := range drscheduler.PlanAdapters(s) {
			c.beginAdapter(swap)
		}
		c.refreshAdapters(&s)
		c.wanted = len(s.Backlogs)
		for _, swap := range drscheduler.Plan(s) {
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

func limitsOf(d *drfleet.Deployment) map[string]drtokenpool.Limit {
	limits := make(map[string]drtokenpool.Limit)
	for _, a := range d.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = drtokenpool.Limit{Rate: a.Rate, Burst: a.Burst}
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
