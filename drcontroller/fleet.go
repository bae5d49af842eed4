package drcontroller

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

const (
	// vmReportTimeout is how long after its last report a VM's wants and running
	// requests count.
	vmReportTimeout = 1500 * time.Millisecond
	// rateWindow is the time over which the rate of a model's requests is
	// averaged.
	rateWindow = 8 * time.Second
	// workPerRequest is the share of a second that one request keeps an engine
	// from prefilling others.
	workPerRequest = 0.02
	// runningPerRunner is the number of running requests at which a runner is
	// fully used; slow models reach it at a lower rate.
	runningPerRunner = 24
	// runningWindow is the time over which running requests are averaged.
	runningWindow = 2 * time.Second
	// failingWindow is the time over which failures of a runner are averaged.
	failingWindow = 3 * time.Second
)

// vm is what the controller knows of one entry VM.
type vm struct {
	incarnation     uint64
	processor       float64
	lastReportAt    time.Time
	wants           []*drpb.FleetWant
	wantsReceivedAt time.Time
	uses            map[replicaKey]replicaUse
	resultsByRunner map[string]resultCounters // by runner
	runningByRunner map[string]int            // by runner
	// wakeups holds a token when a model that the VM wants is there.
	wakeups chan struct{}
}

// replicaKey names a replica on an incarnation of a runner.
type replicaKey struct {
	runner         string
	started        int64
	model, adapter string
}

type replicaUse struct {
	running  int
	requests uint64
}

type resultCounters struct{ succeeded, failed uint64 }

func newVM(incarnation uint64) *vm {
	return &vm{
		incarnation: incarnation, uses: make(map[replicaKey]replicaUse), resultsByRunner: make(map[string]resultCounters),
		runningByRunner: make(map[string]int), wakeups: make(chan struct{}, 1),
	}
}

// runningTotals are the running requests of all VMs.
type runningTotals struct {
	byRunner  map[string]int
	byModel   map[string]map[string]int                 // by runner and model
	byAdapter map[string]map[drscheduler.AdapterKey]int // by runner and adapter
}

func newTotals() runningTotals {
	return runningTotals{
		byRunner: make(map[string]int), byModel: make(map[string]map[string]int),
		byAdapter: make(map[string]map[drscheduler.AdapterKey]int),
	}
}

// add changes the number of running requests on a replica.
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
	if key.adapter != "" {
		t.byAdapter[key.runner][drscheduler.AdapterKey{Model: key.model, Adapter: key.adapter}] += n
	}
}

// demand is the recent demand for one model.
type demand struct {
	rate      float64 // requests per second
	decayedAt time.Time
	// averageRunning is the average number of running requests.
	averageRunning float64
	averagedAt     time.Time
}

// averageIn averages the number of running requests.
func (d *demand) averageIn(running int, now time.Time) {
	weight := min(now.Sub(d.averagedAt).Seconds()/runningWindow.Seconds(), 1)
	d.averageRunning += weight * (float64(running) - d.averageRunning)
	d.averagedAt = now
}

// utilization returns the share of one runner's time that the requests take.
func (d *demand) utilization() float64 {
	return max(d.rate*workPerRequest, d.averageRunning/runningPerRunner)
}

func (d *demand) add(n float64, now time.Time) {
	d.decay(now)
	d.rate += n / rateWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		d.decayedAt = now
	}
}

// recentResults are the recent results of all VMs' requests at a runner.
type recentResults struct {
	succeeded, failed float64
	decayedAt         time.Time
}

func (o *recentResults) add(succeeded, failed float64, now time.Time) {
	if elapsed := now.Sub(o.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / failingWindow.Seconds())
		o.succeeded *= factor
		o.failed *= factor
		o.decayedAt = now
	}
	o.succeeded += succeeded
	o.failed += failed
}

// failureShare returns the share of failures, held down while there are few.
func (o *recentResults) failureShare() float64 {
	const assumedSuccesses = 4 // requests without which a failure says little
	return o.failed / (o.succeeded + o.failed + assumedSuccesses)
}

// runnerState is what the controller knows of a runner besides its entry.
type runnerState struct {
	started int64
	// orderMu orders the orders to the runner, each of which names the count
	// of those before it.
	orderMu sync.Mutex
	// swap is the swap in progress.
	swap            *drscheduler.Swap
	expectedDoneAt  time.Time
	loadingAdapters []drscheduler.AdapterKey
	// unloadingAdapters are the adapters that those on their way replace.
	unloadingAdapters []drscheduler.AdapterKey
	// epoch counts the reports that were taken. What was planned before a
	// report must not be carried out after it.
	epoch    int
	querying bool
	// needsReport is set while the runner's own description must be asked for
	// before it is ordered anything.
	needsReport bool
	// lastSwapAt is when the last order was carried out.
	lastSwapAt time.Time
	// retryAt is when a runner that failed an order is asked again.
	retryAt       time.Time
	loadedAt      map[string]time.Time
	usedAdapter   map[drscheduler.AdapterKey]time.Time
	recentResults recentResults
}

func newRunnerState(started int64) *runnerState {
	return &runnerState{
		started: started, needsReport: true, loadedAt: make(map[string]time.Time),
		usedAdapter: make(map[drscheduler.AdapterKey]time.Time),
	}
}

// applyUses takes what a VM runs and counts what is new. The first report of a
// VM only sets the counts that later ones are compared with.
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
		for _, p := range u.GetReplicas() {
			k := replicaKey{u.GetRunner(), u.GetStarted(), p.GetModel(), p.GetAdapter()}
			before := v.uses[k]
			c.running.add(k, int(p.GetRunning())-before.running)
			v.runningByRunner[k.runner] += int(p.GetRunning()) - before.running
			v.uses[k] = replicaUse{int(p.GetRunning()), p.GetRequests()}
			if known && !first {
				c.applyReplicaUse(s, k, p, counterIncrease(p.GetRequests(), before.requests), now)
			}
		}
	}
}

// subtractUses takes a VM's running requests out of the totals. The counts of its
// requests stay.
func (c *Controller) subtractUses(v *vm) {
	for k, u := range v.uses {
		c.running.add(k, -u.running)
		u.running = 0
		v.uses[k] = u
	}
	clear(v.runningByRunner)
}

func (c *Controller) applyReplicaUse(s *runnerState, key replicaKey, use *drpb.FleetReplicaUse, requests float64, now time.Time) {
	if key.model == "" {
		return
	}
	if requests > 0 {
		c.demandOf(key.model).add(requests, now)
	}
	if key.adapter != "" && (requests > 0 || use.GetRunning() > 0) {
		s.usedAdapter[drscheduler.AdapterKey{Model: key.model, Adapter: key.adapter}] = now
	}
	if use.GetMissing() && !s.needsReport && s.swap == nil {
		if r, ok := c.view.Runner(key.runner); ok && r.Holds(key.model, key.adapter) {
			s.needsReport = true // it does not hold what we believe
		}
	}
}

// counterIncrease returns by how much a counter grew; a smaller one has started anew.
func counterIncrease(now, before uint64) float64 {
	if now < before {
		return float64(now)
	}
	return float64(now - before)
}

func (c *Controller) demandOf(model string) *demand {
	d, ok := c.demands[model]
	if !ok {
		d = &demand{decayedAt: c.Clock.Now()}
		c.demands[model] = d
	}
	return d
}

// schedulerState returns what a plan for a service starts from.
func (c *Controller) schedulerState(service *drfleet.Service, now time.Time) drscheduler.State {
	state := drscheduler.State{
		Now: now, Engine: service.Engine, Work: make(map[string]float64), Rate: make(map[string]float64),
		Stored:     make(map[string]bool),
		StoreLoads: c.storeLoads.available(now),
	}
	byModel := make(map[string]int)
	for _, models := range c.running.byModel {
		for m, n := range models {
			byModel[m] += n
		}
	}
	for model, d := range c.demands {
		d.decay(now)
		d.averageIn(byModel[model], now)
		state.Rate[model] = d.rate
		state.Work[model] = d.utilization()
	}
	for _, r := range c.view.Runners(service.Name) {
		for _, m := range slices.Concat(r.OnDisk, r.InMemory) {
			state.Stored[m] = true
		}
		tracked := c.runnerStates[r.ID]
		if tracked == nil || tracked.started != r.Started || tracked.needsReport || now.Before(tracked.retryAt) {
			continue
		}
		runner := drscheduler.Runner{
			Runner: r, Running: c.running.byModel[r.ID], RunningAdapter: c.running.byAdapter[r.ID], LoadedAt: tracked.loadedAt,
			UsedAdapter: tracked.usedAdapter, LoadingAdapters: tracked.loadingAdapters, UnloadingAdapters: tracked.unloadingAdapters,
		}
		if tracked.swap != nil {
			runner.Busy, runner.Loading = true, tracked.swap.Load
		}
		state.Runners = append(state.Runners, runner)
	}
	state.Backlogs = c.backlogs(service.Name, now)
	return state
}

// refreshAdapterSwaps takes the adapter swaps that have begun since into a state.
func (c *Controller) refreshAdapterSwaps(s *drscheduler.State) {
	for i := range s.Runners {
		rs := c.runnerStates[s.Runners[i].ID]
		s.Runners[i].LoadingAdapters, s.Runners[i].UnloadingAdapters = rs.loadingAdapters, rs.unloadingAdapters
	}
}

// backlogs joins the wants of all VMs by model and adapter.
func (c *Controller) backlogs(service string, now time.Time) []drscheduler.Backlog {
	byAdapter := make(map[drscheduler.AdapterKey]*drscheduler.Backlog)
	var order []drscheduler.AdapterKey
	for _, v := range c.vms {
		if now.Sub(v.lastReportAt) > vmReportTimeout {
			continue
		}
		for _, m := range v.wants {
			s, w := decodeWant(m)
			if s != service {
				continue
			}
			age := now.Sub(v.wantsReceivedAt)
			w.ObjectiveLeft -= age
			w.DeadlineLeft -= age
			key := drscheduler.AdapterKey{Model: w.Model, Adapter: w.Adapter}
			if old := byAdapter[key]; old != nil {
				old.Waiting += w.Waiting
				if w.ObjectiveLeft > 0 && (old.ObjectiveLeft <= 0 || w.ObjectiveLeft < old.ObjectiveLeft) {
					old.ObjectiveLeft = w.ObjectiveLeft
				}
				old.DeadlineLeft = max(old.DeadlineLeft, w.DeadlineLeft)
				old.Urgency = min(old.Urgency, w.Urgency)
				continue
			}
			byAdapter[key] = &w
			order = append(order, key)
		}
	}
	var backlogs []drscheduler.Backlog
	for _, k := range order {
		backlogs = append(backlogs, *byAdapter[k])
	}
	return backlogs
}
