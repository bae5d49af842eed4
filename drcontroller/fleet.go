package drcontroller

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

const (
	// vmReportTimeout is the time after a VM's last report for which its
	// waiting and running requests count.
	vmReportTimeout = 1500 * time.Millisecond
	// maxFormerVMsAge is how long VMs that reported to the former controller count as
	// part of the fleet without a report to this one: they may serve on their own for
	// that long.
	maxFormerVMsAge = 6 * time.Second
	// rateWindow is the time constant of the moving average of a model's
	// request rate. A rise is followed within risingRateWindow, because loads
	// take time, and a fall more slowly.
	rateWindow       = 8 * time.Second
	risingRateWindow = 2 * time.Second
	// workPerRequest is the time in seconds for which one request keeps an
	// engine from prefilling others.
	workPerRequest = 0.02
	// runningPerRunner is the number of running requests that fully utilizes a
	// runner that has slots for them. Slow models reach it at a lower request rate.
	runningPerRunner = 24
	// runningWindow is the time over which the number of running requests is
	// averaged.
	runningWindow = 2 * time.Second
	// maxCopiesUnknown is how long a new controller waits for reports of all
	// runners before it loads models from the weight store.
	maxCopiesUnknown = time.Second
	// maxUnheardFactor bounds the demand that is assumed of VMs that have stopped
	// reporting, because the clients of those that have ended go to others.
	maxUnheardFactor = 1.5
	// failureWindow is the time constant of the moving average of a runner's
	// failures.
	failureWindow = 3 * time.Second
)

// vm is the controller's record of one entry VM, from the VM's reports.
type vm struct {
	incarnation  uint64
	processor    float64
	lastReportAt time.Time
	// newest is its last report, which may be held.
	newest *drpb.FleetSyncRequest
	// charged is the number of the last report whose spendings were charged.
	charged         uint64
	wants           []*drpb.FleetWant
	wantsReceivedAt time.Time
	// pausedUntil is when the runners that want no requests of the VM take them again.
	pausedUntil     map[drfleetview.Incarnation]time.Time
	uses            map[replicaKey]replicaUse
	resultsByRunner map[string]resultCounters
	runningByRunner map[string]int
	tokens          tokensByRunner
	// used holds when the VM last sent requests for a model.
	used map[usedModel]time.Time
	// wakeups holds a token if the VM's pending report must be checked again,
	// for example because a model that the VM waits for was loaded.
	wakeups chan struct{}
}

// replicaKey identifies a model or adapter on one incarnation of a runner. The
// model is empty for a runner without an engine.
type replicaKey struct {
	runner         string
	started        int64
	model, adapter string
	zones          drfleet.Zones
}

// demand returns the demand that requests for the replica belong to.
func (k replicaKey) demand() drscheduler.Demand {
	return drscheduler.Demand{Model: k.model, Zones: k.zones}
}

// replicaUse is a VM's last reported use of a replica: the running requests and
// the cumulative number of requests.
type replicaUse struct {
	running  int
	requests uint64
}

// resultCounters are a VM's cumulative numbers of requests at a runner.
type resultCounters struct{ succeeded, failed uint64 }

func newVM(incarnation uint64) *vm {
	return &vm{
		incarnation: incarnation, uses: make(map[replicaKey]replicaUse), resultsByRunner: make(map[string]resultCounters),
		runningByRunner: make(map[string]int), tokens: make(tokensByRunner), used: make(map[usedModel]time.Time), wakeups: make(chan struct{}, 1),
	}
}

// runningTotals counts the running requests of all VMs.
type runningTotals struct {
	byRunner  map[string]int
	byModel   map[string]map[string]int                 // by runner ID and model
	byAdapter map[string]map[drscheduler.AdapterKey]int // by runner ID and adapter
	byDemand  map[drscheduler.Demand]int
}

func newRunningTotals() runningTotals {
	return runningTotals{
		byRunner: make(map[string]int), byModel: make(map[string]map[string]int),
		byAdapter: make(map[string]map[drscheduler.AdapterKey]int), byDemand: make(map[drscheduler.Demand]int),
	}
}

// add adds n, which may be negative, to the number of running requests on a
// replica.
func (t *runningTotals) add(key replicaKey, n int) {
	if n == 0 {
		return
	}
	t.byRunner[key.runner] += n
	if key.model == "" {
		return
	}
	if t.byModel[key.runner] == nil {
		t.byModel[key.runner], t.byAdapter[key.runner] = make(map[string]int), make(map[drscheduler.AdapterKey]int)
	}
	t.byModel[key.runner][key.model] += n
	t.byDemand[key.demand()] += n
	if key.adapter != "" {
		t.byAdapter[key.runner][drscheduler.AdapterKey{Model: key.model, Adapter: key.adapter}] += n
	}
}

// demand is the moving average of the requests for one model.
type demand struct {
	rate       float64 // requests per second, averaged over rateWindow
	recentRate float64 // averaged over risingRateWindow
	decayedAt  time.Time
	// averageRunning is the moving average of the number of running requests,
	// as of averagedAt.
	averageRunning float64
	averagedAt     time.Time
}

// averageIn adds the current number of running requests to the moving average.
func (d *demand) averageIn(running int, now time.Time) {
	weight := min(now.Sub(d.averagedAt).Seconds()/runningWindow.Seconds(), 1)
	d.averageRunning += weight * (float64(running) - d.averageRunning)
	d.averagedAt = now
}

// utilization returns the model's load as a share of the time of one runner, which
// has the given number of slots.
func (d *demand) utilization(slots int) float64 {
	return max(d.rate*workPerRequest, d.recentRate*workPerRequest, d.averageRunning/float64(min(slots, runningPerRunner)))
}

func (d *demand) add(n float64, now time.Time) {
	d.decay(now)
	d.rate += n / rateWindow.Seconds()
	d.recentRate += n / risingRateWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		d.recentRate *= math.Exp(-elapsed.Seconds() / risingRateWindow.Seconds())
		d.decayedAt = now
	}
}

// recentResults counts the requests of all VMs at one runner with exponential
// decay.
type recentResults struct {
	succeeded, failed float64
	decayedAt         time.Time
}

func (o *recentResults) add(succeeded, failed float64, now time.Time) {
	if elapsed := now.Sub(o.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / failureWindow.Seconds())
		o.succeeded *= factor
		o.failed *= factor
		o.decayedAt = now
	}
	o.succeeded += succeeded
	o.failed += failed
}

// failureShare returns the share of failed requests. With few requests it is
// biased towards 0.
func (o *recentResults) failureShare() float64 {
	const assumedSuccesses = 4 // keeps one failure among few requests from counting as a high share
	return o.failed / (o.succeeded + o.failed + assumedSuccesses)
}

// runnerState is the controller's state of one incarnation of a runner, in
// addition to the runner's entry in the view.
type runnerState struct {
	started int64
	// paused is set while plans count the runner as leaving; see asPlanned.
	paused bool
	// orderTurn holds a token while an order is being sent to the runner. Orders
	// are sent one after another, because each names the count of those before.
	orderTurn chan struct{}
	// swap is the swap in progress, or nil. expectedDoneAt is when its load
	// should be done.
	swap            *drscheduler.Swap
	expectedDoneAt  time.Time
	loadingAdapters []drscheduler.AdapterKey
	// unloadingAdapters are the adapters that are unloaded to make room for
	// loadingAdapters.
	unloadingAdapters []drscheduler.AdapterKey
	// epoch counts the reports that were applied. An order that was planned
	// before a report must not be sent after it.
	epoch    int
	querying bool
	// reported is set once the runner has reported its state to this controller.
	reported bool
	// needsReport is set while the state of the runner is uncertain. The runner
	// gets no orders until it has reported its state.
	needsReport bool
	// lastSwapAt is when the last swap of a model ended, or when a report was
	// last requested because the runner's entry contradicted the results of the
	// orders.
	lastSwapAt time.Time
	// retryAt is the earliest time for the next order or query after a failed
	// order or a query.
	retryAt       time.Time
	loadedAt      map[string]time.Time
	usedAdapter   map[drscheduler.AdapterKey]time.Time
	recentResults recentResults
}

func newRunnerState(started int64) *runnerState {
	return &runnerState{
		started: started, needsReport: true, orderTurn: make(chan struct{}, 1), loadedAt: make(map[string]time.Time),
		usedAdapter: make(map[drscheduler.AdapterKey]time.Time),
	}
}

// applyUses records the running requests that a VM reports and adds the
// increase of its request counts to the averages. The first report of a VM only
// sets the counts that later ones are compared with.
func (c *Controller) applyUses(v *vm, request *drpb.FleetSyncRequest, first bool, now time.Time) {
	if request.GetWhole() {
		c.subtractUses(v)
	}
	for _, u := range request.GetUses() {
		s := c.runnerStates[u.GetRunner()]
		known := s != nil && s.started == u.GetStarted()
		if before := v.resultsByRunner[u.GetRunner()]; known && !first {
			s.recentResults.add(counterIncrease(u.GetSucceeded(), before.succeeded), counterIncrease(u.GetFailed(), before.failed), now)
		}
		v.resultsByRunner[u.GetRunner()] = resultCounters{u.GetSucceeded(), u.GetFailed()}
		c.applyTokens(v, u)
		for _, p := range u.GetReplicas() {
			k := replicaKey{u.GetRunner(), u.GetStarted(), p.GetModel(), p.GetAdapter(), decodeZones(p.GetZones())}
			before := v.uses[k]
			c.running.add(k, int(p.GetRunning())-before.running)
			v.runningByRunner[k.runner] += int(p.GetRunning()) - before.running
			v.uses[k] = replicaUse{int(p.GetRunning()), p.GetRequests()}
			if r, ok := c.view.Runner(k.runner); ok && (p.GetRunning() > 0 || p.GetRequests() != before.requests) {
				v.recordUse(usedModel{r.Service, k.model}, now)
			}
			if known && !first {
				c.applyReplicaUse(s, k, p, counterIncrease(p.GetRequests(), before.requests), now)
			}
		}
	}
}

// subtractUses removes a VM's running requests from the totals. The request
// counts stay, for comparison with the VM's next report.
func (c *Controller) subtractUses(v *vm) {
	for k, u := range v.uses {
		c.running.add(k, -u.running)
		u.running = 0
		v.uses[k] = u
	}
	clear(v.runningByRunner)
	c.subtractTokens(v)
}

func (c *Controller) applyReplicaUse(s *runnerState, key replicaKey, use *drpb.FleetReplicaUse, requests float64, now time.Time) {
	if key.model == "" {
		return
	}
	if requests > 0 {
		c.demandOf(key.demand()).add(requests, now)
	}
	if key.adapter != "" && (requests > 0 || use.GetRunning() > 0) {
		s.usedAdapter[drscheduler.AdapterKey{Model: key.model, Adapter: key.adapter}] = now
	}
	if use.GetMissing() && !s.needsReport && s.swap == nil {
		if r, ok := c.view.Runner(key.runner); ok && r.Holds(key.model, key.adapter) {
			s.needsReport = true // the runner does not hold what the view says
		}
	}
}

// counterIncrease returns the increase of a counter. A lower value means that
// the counter has restarted from 0.
func counterIncrease(now, before uint64) float64 {
	if now < before {
		return float64(now)
	}
	return float64(now - before)
}

func (c *Controller) demandOf(key drscheduler.Demand) *demand {
	d, ok := c.demands[key]
	if !ok {
		d = &demand{decayedAt: c.Clock.Now()}
		c.demands[key] = d
	}
	return d
}

// schedulerState returns the input of a plan for a service. Runners whose state
// is uncertain or whose retryAt has not passed are left out. The caller holds
// mu.
func (c *Controller) schedulerState(service *drfleet.Service, now time.Time) drscheduler.State {
	state := drscheduler.State{
		Now: now, Engine: service.Engine, Work: make(map[string]float64), Rate: make(map[string]float64),
		AtHome: make(map[drscheduler.Demand]drscheduler.Use), Stored: make(drscheduler.Copies),
		StoreLoads: c.storeLoads.available(now),
	}
	slots, unheard, at := c.slotsOf(service.Name), c.unheardFactor(now), placesOf(c.view, service.Name)
	c.places[service.Name] = at
	for key, d := range c.demands {
		d.decay(now)
		d.averageIn(c.running.byDemand[key], now)
		use := drscheduler.Use{Work: d.utilization(slots) * unheard, Rate: d.rate}
		if key.Zones.Bind() {
			state.AtHome[drscheduler.Demand{Model: key.Model, Zones: at.allowed(key.Zones, "")}] = use
			continue
		}
		state.Rate[key.Model], state.Work[key.Model] = use.Rate, use.Work
	}
	state.AtVersion = c.useAtVersions(&state, service.Name, at)
	paused, outages := c.runnersPausedForMost(service.Name, now), c.view.Outages()
	for _, r := range c.view.Runners(service.Name) {
		if !r.Draining && !outages.Has(r.Zone) {
			for _, m := range slices.Concat(r.OnDisk, r.InMemory) {
				state.Stored.Add(m, at.of(r))
			}
		}
		tracked := c.runnerStates[r.ID]
		if tracked == nil || tracked.started != r.Started || tracked.needsReport || now.Before(tracked.retryAt) {
			continue
		}
		runner := drscheduler.Runner{
			Runner: at.within(c.asPlanned(r, tracked, paused)), Running: c.running.byModel[r.ID], RunningAdapter: c.running.byAdapter[r.ID], LoadedAt: tracked.loadedAt,
			UsedAdapter: tracked.usedAdapter, LoadingAdapters: tracked.loadingAdapters, UnloadingAdapters: tracked.unloadingAdapters,
			OutOfService: outages.Has(r.Zone), Limit: c.limitOf(r),
		}
		if tracked.swap != nil {
			runner.Busy, runner.Loading = true, tracked.swap.Load
		}
		state.Runners = append(state.Runners, runner)
	}
	if !c.copiesKnown(service.Name, now) {
		state.StoreLoads = 0
	}
	state.Backlogs = c.sumBacklogs(service.Name, at, now)
	return state
}

// slotsOf returns the fewest slots of a service's runners, or runningPerRunner if
// there are none.
func (c *Controller) slotsOf(service string) int {
	slots := runningPerRunner
	for _, r := range c.view.Runners(service) {
		if r.Slots > 0 {
			slots = min(slots, r.Slots)
		}
	}
	return slots
}

// unheardFactor returns the factor by which the demand that VMs report is extended
// to those that have only just stopped reporting. They may be cut off from the
// controller alone, and go on sending requests.
func (c *Controller) unheardFactor(now time.Time) float64 {
	heard := c.countReportingVMs(now)
	if heard == 0 {
		return 1
	}
	return min(float64(len(c.vms))/float64(heard), maxUnheardFactor)
}

// copiesKnown reports whether the runners of a service have told this controller
// which models they have local copies of. Entries that other VMs pass on lack
// that, so a model could be loaded from the weight store in vain. The caller holds
// mu.
func (c *Controller) copiesKnown(service string, now time.Time) bool {
	if now.Sub(c.startedAt) > maxCopiesUnknown {
		return true // what has not reported by now does not count
	}
	return !slices.ContainsFunc(c.view.Runners(service), func(r *drfleet.Runner) bool {
		s := c.runnerStates[r.ID]
		return !r.Draining && (s == nil || !s.reported)
	})
}

// refreshAdapterSwaps updates a state with the adapter swaps that have started
// since it was made.
func (c *Controller) refreshAdapterSwaps(s *drscheduler.State) {
	for i := range s.Runners {
		rs := c.runnerStates[s.Runners[i].ID]
		s.Runners[i].LoadingAdapters, s.Runners[i].UnloadingAdapters = rs.loadingAdapters, rs.unloadingAdapters
	}
}

// sumBacklogs sums the waiting requests of all VMs by model, adapter and zones. The times
// left are reduced by the age of the reports.
func (c *Controller) sumBacklogs(service string, at places, now time.Time) []drscheduler.Backlog {
	type waitingKey struct {
		drscheduler.Demand
		adapter string
	}
	byKey := make(map[waitingKey]*drscheduler.Backlog)
	var order []waitingKey
	for _, v := range c.vms {
		if now.Sub(v.lastReportAt) > vmReportTimeout {
			continue
		}
		for _, m := range v.wants {
			s, w := decodeWant(m)
			if s != service {
				continue
			}
			w.Zones = at.allowed(w.Zones, m.GetReplica().GetVersion())
			age := now.Sub(v.wantsReceivedAt)
			w.ObjectiveLeft -= age
			w.DeadlineLeft -= age
			key := waitingKey{drscheduler.Demand{Model: w.Model, Zones: w.Zones}, w.Adapter}
			if old := byKey[key]; old != nil {
				old.Waiting += w.Waiting
				if w.ObjectiveLeft > 0 && (old.ObjectiveLeft <= 0 || w.ObjectiveLeft < old.ObjectiveLeft) {
					old.ObjectiveLeft = w.ObjectiveLeft
				}
				old.DeadlineLeft = max(old.DeadlineLeft, w.DeadlineLeft)
				old.Urgency = min(old.Urgency, w.Urgency)
				continue
			}
			byKey[key] = &w
			order = append(order, key)
		}
	}
	var backlogs []drscheduler.Backlog
	for _, k := range order {
		backlogs = append(backlogs, *byKey[k])
	}
	return backlogs
}
