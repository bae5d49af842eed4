// Package drcontroller runs the controller of the fleet, which loads models
// into runners and grants token allowances. It also keeps each VM's view of the
// fleet in sync with the controller and the store.
package drcontroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drtask"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
	"github.com/dotterelridge/dotterelridge/drwarmup"
	"github.com/dotterelridge/dotterelridge/drzone"
)

const (
	// minPlanPause is the minimum pause between two plans.
	minPlanPause = 10 * time.Millisecond
	// planRestFactor is the pause after a plan as a multiple of the time that
	// the plan took. It leaves most of the processor to requests.
	planRestFactor = 8
	// maxBroadcastVMs is the number of VMs up to which every VM gets a reply
	// with each change of the runner table at once. In a larger fleet only the
	// VMs that wait for a model do.
	maxBroadcastVMs = 32
	// maxPlanInterval is how long the controller waits for a change before it
	// plans anyway.
	maxPlanInterval = 100 * time.Millisecond
	// replyBatchDelay delays a reply so that changes in quick succession go out
	// together.
	replyBatchDelay = 3 * time.Millisecond
	// maxEntryLag is the maximum age of a runner's entry when the controller
	// reads it: the interval at which runners write it, the delay of the store
	// and a margin.
	maxEntryLag = 4 * time.Second
	// vmForgetTimeout is the time after its last report at which a VM is
	// removed.
	vmForgetTimeout = 10 * time.Second
)

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Clock   drfleetview.Clock
	Engines drscheduler.Engines
	Metrics *drmetric.Metrics
	// Holder is the name of this VM. It is sent with each order.
	Holder string
	// Zone is the availability zone of this VM.
	Zone string
	// Processor is the part of a core that this process may use.
	Processor float64
	// Term is the fencing token of the lease. Holds reports whether the lease
	// is still valid; it is called before each order.
	Term  uint64
	Holds func() bool
	// Validity, if not nil, returns how long the lease is valid. The other VMs
	// are told, so that they can replace this controller at once when it lapses.
	Validity func() drlease.Validity
	// Inherited is the state that the previous controller passed on in the
	// lease.
	Inherited drlease.Handover
	// OrderPause is the time for which this controller sends no orders if its
	// VM was the controller before another one had a short term in between. A
	// late order of the other could otherwise cross with its own.
	OrderPause time.Duration
	// ColdBound says how many requests a cold runner bears.
	ColdBound drwarmup.Bound
}

// Controller plans and executes loads and replies to the reports of the VMs
// while its VM holds the lease. It is safe for concurrent use.
type Controller struct {
	ControllerConfig
	view *drfleetview.View
	pool *drtokenpool.Pool
	// crashes counts the runners that each request has crashed.
	crashes *drcrash.Tally
	table   *tableSender
	pieces  *pieceQueue
	// planRequests holds a token if a plan was requested.
	planRequests chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu            sync.Mutex
	vms           map[string]*vm
	copies        [copyHolders]copyHolder // VMs that keep a copy of the streams
	running       runningTotals
	tokens        tokensByRunner
	runnerStates  map[string]*runnerState
	demands       map[drscheduler.Demand]*demand
	storeLoads    loadRate
	startedAt     time.Time
	backlogs      map[string]modelBacklog // by service, as of its last plan
	places        map[string]places       // the same
	loads         loadIndex
	questions     []question     // runners to ask for their state, the most urgent first
	asking        int            // questions that await their answers
	limitsVersion int64          // version of the deployment whose limits the pool uses, -1 for none
	outages       drzone.Outages // as of the last plan
	drainRevision uint64         // the same
	warmups       *drwarmup.Budget

	// unloadWait is the wait after an unload, and loadDelay the wait after the
	// expected end of a load.
	unloadWait, loadDelay drscheduler.OrderWait
}

// NewController starts a controller that reads and updates the view of its VM.
// Close stops it.
func NewController(c ControllerConfig, v *drfleetview.View) *Controller {
	controller := &Controller{
		ControllerConfig: c, view: v, pool: drtokenpool.NewPool(c.Clock), crashes: drcrash.NewTally(c.Clock), planRequests: make(chan struct{}, 1),
		vms: make(map[string]*vm), running: newRunningTotals(), tokens: make(tokensByRunner), runnerStates: make(map[string]*runnerState), demands: make(map[drscheduler.Demand]*demand),
		backlogs: make(map[string]modelBacklog), places: make(map[string]places), warmups: drwarmup.NewBudget(c.Clock.Uptime()), table: newTableSender(v), pieces: newPieceQueue(c.Clock),
		storeLoads: loadRate{createdAt: c.Clock.Now()}, startedAt: c.Clock.Now(), limitsVersion: -1,
	}
	if !drlease.FirstOfEra(c.Term) {
		controller.pool.AssumeHistory()
	}
	if handover := c.Inherited; len(handover.Levels) > 0 {
		controller.pool.Inherit(drtokenpool.Inheritance{
			Levels: handover.Levels, Age: handoverAge(handover, c.Clock.Now()), VMs: handover.VMs,
		})
	}
	controller.inheritVersions()
	// VMs may report before the first plan, so the pool needs the limits now.
	if d, _ := v.Deployment(); d != nil {
		controller.setLimits(d)
	}
	controller.ctx, controller.cancel = context.WithCancel(context.Background())
	controller.wg.Go(func() { drtask.Run(controller.ctx, c.Clock, "plan-loop", controller.planLoop) })
	return controller
}

// handoverAge returns the time since a former controller counted what it has handed over.
// The times of day of two VMs may differ, or be set meanwhile, so this VM's uptime bounds it.
func handoverAge(h drlease.Handover, now time.Time) time.Duration {
	return min(max(now.Round(0).Sub(h.Counted), h.LeastAge), h.MostAge)
}

// Close stops planning and waits until the orders in progress have returned.
func (c *Controller) Close() {
	c.cancel()
	c.wg.Wait()
}

// requestPlan makes planLoop plan as soon as its pause is over. It does not
// block.
func (c *Controller) requestPlan() { signal(c.planRequests) }

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

// plan plans each service that has an engine and starts the resulting swaps.
func (c *Controller) plan() {
	d, _ := c.view.Deployment()
	if d == nil || !c.Holds() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limits, outages, drains := c.setLimits(d), c.noteOutages(), c.noteDrains()
	if limits || outages || drains {
		c.wakeAllVMs()
	}
	now := c.Clock.Now()
	c.updateRunnersAndVMs(now)
	if c.mustPauseOrders(now) {
		return
	}
	for i := range d.Services {
		service := &d.Services[i]
		if service.Engine == nil {
			continue
		}
		c.storeLoads.perSecond = service.Engine.LoadsPerSecond
		// Adapters are planned first: they load in milliseconds, but a runner
		// that loads a model refuses them.
		s := c.schedulerState(service, now)
		for _, swap := range drscheduler.PlanAdapters(s) {
			c.startAdapterSwap(swap)
		}
		c.refreshAdapterSwaps(&s)
		c.backlogs[service.Name] = modelBacklog{
			count: len(s.Backlogs), stored: s.Stored, engine: service.Engine, copiesKnown: c.copiesKnown(service.Name, now),
		}
		for _, swap := range drscheduler.Plan(s) {
			c.startSwap(service, swap, now)
		}
	}
}

// mustPauseOrders reports whether this controller must not send orders yet, because
// its VM and another one would seem to take turns.
func (c *Controller) mustPauseOrders(now time.Time) bool {
	takesTurns := c.Inherited.HistoryLost || slices.Contains(c.Inherited.RecentHolders, c.Holder)
	return takesTurns && now.Sub(c.startedAt) < c.OrderPause
}

// noteDrains reports whether a runner has begun to drain since the last plan.
func (c *Controller) noteDrains() (changed bool) {
	before := c.drainRevision
	c.drainRevision = c.view.DrainRevision()
	return c.drainRevision != before
}

// setLimits passes the rate limits of a deployment to the pool unless the pool
// already has the limits of this version.
func (c *Controller) setLimits(d *drfleet.Deployment) (changed bool) {
	if d.Version == c.limitsVersion {
		return false
	}
	c.limitsVersion = d.Version
	c.pool.SetLimits(limitsOf(d))
	return true
}

// limitsOf returns the limits by client account. Accounts without a rate are
// left out.
func limitsOf(d *drfleet.Deployment) map[string]drtokenpool.Limit {
	limits := make(map[string]drtokenpool.Limit)
	for _, a := range d.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = drtokenpool.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits
}

// updateRunnersAndVMs resets the state of runners that have restarted, queries
// the runners whose state is uncertain and removes VMs that have stopped
// reporting. The caller holds mu.
func (c *Controller) updateRunnersAndVMs(now time.Time) {
	runners := c.view.Runners("")
	c.loads = c.makeLoadIndex(runners)
	c.questions = c.questions[:0]
	for _, r := range runners {
		s := c.runnerStates[r.ID]
		if s == nil || s.started != r.Started {
			s = newRunnerState(r.Started)
			c.runnerStates[r.ID] = s
		}
		if !s.needsReport && s.swap == nil && now.Sub(s.lastSwapAt) > maxEntryLag && c.view.Contradicted(r.ID) {
			s.needsReport, s.lastSwapAt = true, now
		}
		if s.mayAsk(now) && c.hasEngine(r) {
			c.questions = append(c.questions, question{r, s})
		}
	}
	c.orderQuestions()
	c.askRunners()
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

// hasEngine reports whether the runner's service loads models on the orders of
// the controller. It must not be called before the view has a deployment.
func (c *Controller) hasEngine(r *drfleet.Runner) bool {
	d, _ := c.view.Deployment()
	service := d.Service(r.Service)
	return service != nil && service.Engine != nil
}
