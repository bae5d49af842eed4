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
	// minPlanPause is the least time between two plans.
	minPlanPause = 10 * time.Millisecond
	// planRestFactor is how many times as long as a plan takes the controller rests
	// after it, so that planning leaves the processor to requests.
	planRestFactor = 8
	// maxBroadcastVMs is the number of VMs up to which each VM learns of each
	// change at once; beyond it only those that wait for a model do.
	maxBroadcastVMs = 32
	// maxPlanInterval is the time after which a plan is made without a cause.
	maxPlanInterval = 100 * time.Millisecond
	// replyBatchDelay lets changes that come together go out in one reply.
	replyBatchDelay = 3 * time.Millisecond
	// maxEntryLag is how old a runner's own description may be when it is
	// read: its interval, the way through the store, and a margin.
	maxEntryLag = 4 * time.Second
	// vmForgetTimeout is how long after its last report a VM is forgotten.
	vmForgetTimeout = 10 * time.Second
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
	// NoOrdersBefore is when the first order may be sent.
	NoOrdersBefore time.Time
}

// Controller plans and carries out loads, and answers the VMs' reports, while
// its VM holds the lease. It is safe for concurrent use.
type Controller struct {
	ControllerConfig
	view         *drfleetview.View
	pool         *drtokenpool.Pool
	planRequests chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu            sync.Mutex
	vms           map[string]*vm
	running       runningTotals
	runnerStates  map[string]*runnerState
	demands       map[string]*demand
	storeLoads    loadRate
	backlogCount  int   // models that requests waited for at the last plan
	limitsVersion int64 // version of the deployment whose limits the pool has
}

// NewController starts a controller over the view of its VM.
func NewController(c ControllerConfig, v *drfleetview.View) *Controller {
	controller := &Controller{
		ControllerConfig: c, view: v, pool: drtokenpool.NewPool(c.Clock), planRequests: make(chan struct{}, 1),
		vms: make(map[string]*vm), running: newTotals(), runnerStates: make(map[string]*runnerState), demands: make(map[string]*demand),
		storeLoads: loadRate{createdAt: c.Clock.Now()}, limitsVersion: -1,
	}
	if handover := c.Inherited; len(handover.Levels) > 0 {
		controller.pool.Inherit(handover.Levels, c.Clock.Now().Round(0).Sub(handover.Counted))
	}
	// VMs may report before the first plan.
	if d, _ := v.Deployment(); d != nil {
		controller.setLimits(d)
	}
	controller.ctx, controller.cancel = context.WithCancel(context.Background())
	controller.wg.Go(controller.planLoop)
	return controller
}

// Close stops planning and waits for the orders that are under way.
func (c *Controller) Close() {
	c.cancel()
	c.wg.Wait()
}

// requestPlan has a plan made soon.
func (c *Controller) requestPlan() {
	select {
	case c.planRequests <- struct{}{}:
	default:
	}
}

func (c *Controller) planLoop() {
	for c.ctx.Err() == nil {
		changed := c.view.Changed()
		began := c.Clock.Now()
		c.plan()
		if c.Clock.Sleep(c.ctx, max(minPlanPause, planRestFactor*c.Clock.Since(began))) != nil {
			return
		}
		t := c.Clock.NewTimer(maxPlanInterval)
		select {
		case <-c.planRequests:
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
		c.wakeAllVMs()
	}
	now := c.Clock.Now()
	c.updateRunnersAndVMs(now)
	if now.Before(c.NoOrdersBefore) {
		return
	}
	for i := range d.Services {
		service := &d.Services[i]
		if service.Engine == nil {
			continue
		}
		c.storeLoads.perSecond = service.Engine.LoadsPerSecond
		// Adapters go first: they load in milliseconds, but not while the
		// runner loads a model.
		s := c.schedulerState(service, now)
		for _, swap := range drscheduler.PlanAdapters(s) {
			c.startAdapterSwap(swap)
		}
		c.refreshAdapterSwaps(&s)
		c.backlogCount = len(s.Backlogs)
		for _, swap := range drscheduler.Plan(s) {
			c.startSwap(service, swap, now)
		}
	}
}

// setLimits gives the pool the limits of a new deployment.
func (c *Controller) setLimits(d *drfleet.Deployment) (changed bool) {
	if d.Version == c.limitsVersion {
		return false
	}
	c.limitsVersion = d.Version
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

// updateRunnersAndVMs notes new incarnations and asks those in doubt for a report.
func (c *Controller) updateRunnersAndVMs(now time.Time) {
	for _, r := range c.view.Runners("") {
		s := c.runnerStates[r.ID]
		if s == nil || s.started != r.Started {
			s = newRunnerState(r.Started)
			c.runnerStates[r.ID] = s
		}
		if !s.needsReport && s.swap == nil && now.Sub(s.lastSwapAt) > maxEntryLag && c.view.Contradicted(r.ID) {
			s.needsReport, s.lastSwapAt = true, now
		}
		if s.needsReport && !s.querying && s.swap == nil && len(s.loadingAdapters) == 0 && !now.Before(s.retryAt) && c.hasEngine(r) {
			s.retryAt, s.querying = now.Add(reportRetryPause), true
			c.wg.Go(func() { c.queryRunner(r, s) })
		}
	}
	for id, v := range c.vms {
		if now.Sub(v.lastReportAt) > vmReportTimeout {
			c.subtractUses(v)
		}
		if now.Sub(v.lastReportAt) > vmForgetTimeout {
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
