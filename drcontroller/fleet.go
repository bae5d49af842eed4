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
	// vmSilence is how long after its last report a VM's wants and running
	// requests count.
	vmSilence = 1500 * time.Millisecond
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
	incarnation uint64
	processor   float64
	heard       time.Time
	wants       []*drpb.FleetWant
	wantsAt     time.Time
	uses        map[useKey]replicaUse
	results     map[string]results // by runner
	running     map[string]int     // by runner
	// wake holds a token when a model that the VM wants is there.
	wake chan struct{}
}

// useKey names a replica on an incarnation of a runner.
type useKey struct {
	runner         string
	started        int64
	model, adapter string
}

type replicaUse struct {
	running  int
	requests uint64
}

type results struct{ succeeded, failed uint64 }

func newVM(incarnation uint64) *vm {
	return &vm{
		incarnation: incarnation, uses: make(map[useKey]replicaUse), results: make(map[string]results),
		running: make(map[string]int), wake: make(chan struct{}, 1),
	}
}

// totals are the running requests of all VMs.
type totals struct {
	runners  map[string]int
	models   map[string]map[string]int                 // by runner and model
	adapters map[string]map[drscheduler.AdapterKey]int // by runner and adapter
}

func newTotals() totals {
	return totals{
		runners: make(map[string]int), models: make(map[string]map[string]int),
		adapters: make(map[string]map[drscheduler.AdapterKey]int),
	}
}

// add changes the number of running requests on a replica.
func (t *totals) add(k useKey, n int) {
	if n == 0 {
		return
	}
	t.runners[k.runner] += n
	if k.model == "" {
		return
	}
	if t.models[k.runner] == nil {
		t.models[k.runner], t.adapters[k.runner] = make(map[string]int), make(map[drscheduler.AdapterKey]int)
	}
	t.models[k.runner][k.model] += n
	if k.adapter != "" {
		t.adapters[k.runner][drscheduler.AdapterKey{Model: k.model, Adapter: k.adapter}] += n
	}
}

// demand is the recent demand for one model.
type demand struct {
	rate float64 // requests per second
	at   time.Time
	// running is the average number of running requests.
	running   float64
	runningAt time.Time
}

// observe averages the number of running requests.
func (d *demand) observe(running int, now time.Time) {
	weight := min(now.Sub(d.runningAt).Seconds()/runningWindow.Seconds(), 1)
	d.running += weight * (float64(running) - d.running)
	d.runningAt = now
}

// work returns the share of one runner's time that the requests take.
func (d *demand) work() float64 {
	return max(d.rate*workPerRequest, d.running/runningPerRunner)
}

func (d *demand) add(n float64, now time.Time) {
	d.decay(now)
	d.rate += n / rateWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.rate *= math.Exp(-dt.Seconds() / rateWindow.Seconds())
		d.at = now
	}
}

// outcomes are the recent results of all VMs' requests at a runner.
type outcomes struct {
	succeeded, failed float64
	at                time.Time
}

func (o *outcomes) add(succeeded, failed float64, now time.Time) {
	if dt := now.Sub(o.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / failingWindow.Seconds())
		o.succeeded *= f
		o.failed *= f
		o.at = now
	}
	o.succeeded += succeeded
	o.failed += failed
}

// failing returns the share of failures, held down while there are few.
func (o *outcomes) failing() float64 {
	const doubt = 4 // requests without which a failure says little
	return o.failed / (o.succeeded + o.failed + doubt)
}

// runnerState is what the controller knows of a runner besides its entry.
type runnerState struct {
	started int64
	// sending orders the orders to the runner, each of which names the count
	// of those before it.
	sending sync.Mutex
	// swap is the swap in progress.
	swap   *drscheduler.Swap
	doneAt time.Time
	coming []drscheduler.AdapterKey
	// leaving are the adapters that those on their way replace.
	leaving []drscheduler.AdapterKey
	// epoch counts the reports that were taken. What was planned before a
	// report must not be carried out after it.
	epoch  int
	asking bool
	// doubtful is set while the runner's own description must be asked for
	// before it is ordered anything.
	doubtful bool
	// swappedAt is when the last order was carried out.
	swappedAt time.Time
	// retryAt is when a runner that failed an order is asked again.
	retryAt     time.Time
	loadedAt    map[string]time.Time
	usedAdapter map[drscheduler.AdapterKey]time.Time
	outcomes    outcomes
}

func newRunnerState(started int64) *runnerState {
	return &runnerState{
		started: started, doubtful: true, loadedAt: make(map[string]time.Time),
		usedAdapter: make(map[drscheduler.AdapterKey]time.Time),
	}
}

// takeUses takes what a VM runs and counts what is new. The first report of a
// VM only sets the counts that later ones are compared with.
func (c *Controller) takeUses(v *vm, m *drpb.FleetSyncRequest, first bool, now time.Time) {
	if m.GetWhole() {
		c.dropUses(v)
	}
	for _, u := range m.GetUses() {
		s := c.runners[u.GetRunner()]
		known := s != nil && s.started == u.GetStarted()
		if before := v.results[u.GetRunner()]; known && !first {
			s.outcomes.add(grown(u.GetSucceeded(), before.succeeded), grown(u.GetFailed(), before.failed), now)
		}
		v.results[u.GetRunner()] = results{u.GetSucceeded(), u.GetFailed()}
		for _, p := range u.GetReplicas() {
			k := useKey{u.GetRunner(), u.GetStarted(), p.GetModel(), p.GetAdapter()}
			before := v.uses[k]
			c.totals.add(k, int(p.GetRunning())-before.running)
			v.running[k.runner] += int(p.GetRunning()) - before.running
			v.uses[k] = replicaUse{int(p.GetRunning()), p.GetRequests()}
			if known && !first {
				c.takeReplicaUse(s, k, p, grown(p.GetRequests(), before.requests), now)
			}
		}
	}
}

// dropUses takes a VM's running requests out of the totals. The counts of its
// requests stay.
func (c *Controller) dropUses(v *vm) {
	for k, u := range v.uses {
		c.totals.add(k, -u.running)
		u.running = 0
		v.uses[k] = u
	}
	clear(v.running)
}

func (c *Controller) takeReplicaUse(s *runnerState, k useKey, p *drpb.FleetReplicaUse, requests float64, now time.Time) {
	if k.model == "" {
		return
	}
	if requests > 0 {
		c.demandOf(k.model).add(requests, now)
	}
	if k.adapter != "" && (requests > 0 || p.GetRunning() > 0) {
		s.usedAdapter[drscheduler.AdapterKey{Model: k.model, Adapter: k.adapter}] = now
	}
	if p.GetMissing() && !s.doubtful && s.swap == nil {
		if r, ok := c.view.Runner(k.runner); ok && r.Holds(k.model, k.adapter) {
			s.doubtful = true // it does not hold what we believe
		}
	}
}

// grown returns by how much a counter grew; a smaller one has started anew.
func grown(now, before uint64) float64 {
	if now < before {
		return float64(now)
	}
	return float64(now - before)
}

func (c *Controller) demandOf(model string) *demand {
	d, ok := c.demands[model]
	if !ok {
		d = &demand{at: c.Clock.Now()}
		c.demands[model] = d
	}
	return d
}

// state returns what a plan for a service starts from.
func (c *Controller) state(service *drfleet.Service, now time.Time) drscheduler.State {
	s := drscheduler.State{
		Now: now, Engine: service.Engine, Work: make(map[string]float64), Rate: make(map[string]float64),
		Stored:     make(map[string]bool),
		StoreLoads: c.loads.available(now),
	}
	byModel := make(map[string]int)
	for _, models := range c.totals.models {
		for m, n := range models {
			byModel[m] += n
		}
	}
	for model, d := range c.demands {
		d.decay(now)
		d.observe(byModel[model], now)
		s.Rate[model] = d.rate
		s.Work[model] = d.work()
	}
	for _, r := range c.view.Runners(service.Name) {
		for _, m := range slices.Concat(r.OnDisk, r.InMemory) {
			s.Stored[m] = true
		}
		rs := c.runners[r.ID]
		if rs == nil || rs.started != r.Started || rs.doubtful || now.Before(rs.retryAt) {
			continue
		}
		p := drscheduler.Runner{
			Runner: r, Running: c.totals.models[r.ID], RunningAdapter: c.totals.adapters[r.ID], LoadedAt: rs.loadedAt,
			UsedAdapter: rs.usedAdapter, LoadingAdapters: rs.coming, UnloadingAdapters: rs.leaving,
		}
		if rs.swap != nil {
			p.Busy, p.Loading = true, rs.swap.Load
		}
		s.Runners = append(s.Runners, p)
	}
	s.Backlogs = c.wants(service.Name, now)
	return s
}

// refreshAdapters takes the adapter swaps that have begun since into a state.
func (c *Controller) refreshAdapters(s *drscheduler.State) {
	for i := range s.Runners {
		rs := c.runners[s.Runners[i].ID]
		s.Runners[i].LoadingAdapters, s.Runners[i].UnloadingAdapters = rs.coming, rs.leaving
	}
}

// wants joins the wants of all VMs by model and adapter.
func (c *Controller) wants(service string, now time.Time) []drscheduler.Backlog {
	byReplica := make(map[drscheduler.AdapterKey]*drscheduler.Backlog)
	var order []drscheduler.AdapterKey
	for _, v := range c.vms {
		if now.Sub(v.heard) > vmSilence {
			continue
		}
		for _, m := range v.wants {
			s, w := decodeWant(m)
			if s != service {
				continue
			}
			age := now.Sub(v.wantsAt)
			w.ObjectiveLeft -= age
			w.DeadlineLeft -= age
			key := drscheduler.AdapterKey{Model: w.Model, Adapter: w.Adapter}
			if old := byReplica[key]; old != nil {
				old.Waiting += w.Waiting
				if w.ObjectiveLeft > 0 && (old.ObjectiveLeft <= 0 || w.ObjectiveLeft < old.ObjectiveLeft) {
					old.ObjectiveLeft = w.ObjectiveLeft
				}
				old.DeadlineLeft = max(old.DeadlineLeft, w.DeadlineLeft)
				old.Urgency = min(old.Urgency, w.Urgency)
				continue
			}
			byReplica[key] = &w
			order = append(order, key)
		}
	}
	var ws []drscheduler.Backlog
	for _, k := range order {
		ws = append(ws, *byReplica[k])
	}
	return ws
}
