package drscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// orderOverhead is the time that a swap takes in addition to the load
	// itself: the preceding unload and the calls to the runner.
	orderOverhead = 150 * time.Millisecond
	// modelGracePeriod is the time after a model's load during which it is not
	// evicted. Without it, a model could be evicted before the requests that
	// waited for it have started.
	modelGracePeriod = time.Second
	// addReplicaLoad is the utilization per replica above which a model gets
	// another replica, as a share of one runner's time.
	addReplicaLoad = 0.45
	// secondReplicaLoad is the utilization above which a model with one replica
	// gets a second one, so that the loss of a runner does not interrupt the
	// model. It is a share of one runner's time.
	secondReplicaLoad = 0.08
	// redundantReplicaWeight scales down the eviction loss of a replica whose
	// load the model's other replicas can take.
	redundantReplicaWeight = 0.1
	// maxReplicas is the maximum number of replicas of one model.
	maxReplicas = 6
	// urgencyPenalty is what each level of Backlog.Urgency adds to the divisor
	// of the value of waiting requests, which is 1 at level 0, the most urgent.
	urgencyPenalty = 0.5
	// missedObjectiveWeight scales down the value of requests that have already
	// missed their latency objective.
	missedObjectiveWeight = 0.25
)

// Backlog describes the requests that wait for a model, or for an adapter of
// it, that is not loaded. Adapter is empty if they wait for the model itself.
type Backlog struct {
	Model, Adapter string
	// Zones are those in which the requests may be served.
	Zones drfleet.Zones
	// Waiting is the number of waiting requests.
	Waiting int
	// ObjectiveLeft is the time until the next request misses its latency
	// objective. It is negative once all requests have missed it.
	ObjectiveLeft time.Duration
	// DeadlineLeft is the time until the last request reaches its deadline.
	DeadlineLeft time.Duration
	// Urgency is the urgency level of the most urgent request, 0 being the
	// highest.
	Urgency int
}

// demand returns the demand that the requests belong to.
func (b Backlog) demand() Demand { return Demand{b.Model, b.Zones} }

// Runner is the snapshot of a runner that a plan is computed from.
type Runner struct {
	*drfleet.Runner
	// Busy is set while the runner loads or unloads a model.
	Busy bool
	// Loading is the name of the model that the runner loads, or empty.
	Loading string
	// LoadingAdapters are the adapters that the runner loads, and
	// UnloadingAdapters the ones that it unloads to make room for them.
	LoadingAdapters   []AdapterKey
	UnloadingAdapters []AdapterKey
	// Running is the number of running requests by model, and RunningAdapter by
	// adapter.
	Running        map[string]int
	RunningAdapter map[AdapterKey]int
	// Limit is how many requests a second the runner takes, 0 for any number.
	Limit float64
	// OutOfService is set if the runner drains because its availability zone is out of
	// service.
	OutOfService bool
	// LoadedAt is the time of the last load by model, and UsedAdapter the time
	// of the last use by adapter.
	LoadedAt    map[string]time.Time
	UsedAdapter map[AdapterKey]time.Time
}

// State is the input of a plan: a snapshot of the runners and of the demand for
// one service.
type State struct {
	Now      time.Time
	Engine   *drfleet.Engine
	Runners  []Runner // only those that accept orders now
	Backlogs []Backlog
	// Stored names the models whose weights at least one runner has a local
	// copy of. Runners that cannot accept orders now count too, unless they
	// drain.
	Stored Copies
	// Work is each model's utilization, as a share of one runner's time, by requests
	// that may be served in any availability zone.
	Work map[string]float64
	// Rate is the number of such requests per second, by model.
	Rate map[string]float64
	// AtHome holds the same of the requests that must stay in some zones.
	AtHome map[Demand]Use
	// AtVersion holds the use by the requests at runners of each software version, whose zones
	// then name the version, too. It is empty unless several serve.
	AtVersion map[Demand]Use
	// StoreLoads is the number of loads from the weight store that may start
	// now.
	StoreLoads int
}

// Swap is a planned load of a model, with the unloads that free the memory for
// it.
type Swap struct {
	Runner *drfleet.Runner
	Unload []string
	Load   string
	// Expected is the estimated time until the model is loaded.
	Expected time.Duration
	// FromStore is set if the weights are fetched from the weight store instead
	// of a local copy.
	FromStore bool
	Why       Reason
}

// Plan returns the swaps to start now, at most one for each runner. It plans, in this
// order:
//
//   - a further replica of each model whose requests queue at its runners: the few
//     runners with a copy of it would otherwise be taken by other models all the time;
//   - loads of models whose requests wait because only runners that take few hold them;
//   - loads of models that requests wait for, in descending order of value;
//   - loads of models that only runners out of service hold;
//   - additional replicas of busy models;
//   - loads of models whose requests can all wait;
//   - replicas on empty runners;
//   - a second replica of the most used model that one runner alone holds at its software version.
//
// A load from the weight store blocks a runner for seconds. It is planned only if no
// runner has a local copy of the weights, into a runner without any local copies, if
// requests queue and all runners with a copy hold the model, or for a second replica at a
// software version.
//
// Requests that must stay in some availability zones count only with the replicas there,
// and what is loaded for them is loaded there.
func Plan(s State) []Swap {
	p := newPlanner(s)
	p.planEach(p.saturated(), Queued, p.needsRelief)
	p.planEach(p.limited(), Limited, always)
	due, patient := p.missing()
	p.planEach(due, Wanted, always)
	p.planEach(p.toRelocate(), Relocated, always)
	p.planEach(p.busy(), Busy, p.isBusy)
	p.planEach(patient, Wanted, always)
	p.spread()
	p.secondAtVersion()
	return p.swaps
}

type planner struct {
	State
	swapPlanned map[string]bool // by ID of the runners that already have a swap in this plan
	// replicas is by model and availability zone, including replicas that are being
	// loaded.
	replicas map[string]map[string]int
	total    map[string]int // of all zones
	// bound holds the demands that must stay in some zones, by model.
	bound map[string][]Demand
	swaps []Swap
}

func newPlanner(s State) *planner {
	p := &planner{State: s, swapPlanned: make(map[string]bool), replicas: make(map[string]map[string]int), total: make(map[string]int), bound: make(map[string][]Demand)}
	for _, r := range s.Runners {
		if r.Draining {
			continue
		}
		for _, m := range r.Replicas {
			p.addReplica(m.Model, r.Zone)
		}
		if r.Loading != "" {
			p.addReplica(r.Loading, r.Zone)
		}
	}
	demands := slices.Collect(maps.Keys(s.AtHome))
	for _, w := range s.Backlogs {
		if d := w.demand(); d.Zones.Bind() && !slices.Contains(demands, d) {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, compareDemands)
	for _, d := range demands {
		p.bound[d.Model] = append(p.bound[d.Model], d)
	}
	return p
}

// isMissing reports whether no runner that could serve a demand holds or loads the model.
func (p *planner) isMissing(d Demand) bool { return p.count(d) == 0 }

// missing returns the demands with requests that wait and with models that no runner
// holds or loads for them, in descending order of the value of loading the models now.
// Those whose requests all can wait are apart.
func (p *planner) missing() (due, patient []Demand) {
	own, value := make(map[Demand]float64), make(map[Demand]float64)
	for _, w := range p.Backlogs {
		if p.isMissing(w.demand()) {
			own[w.demand()] += backlogValue(w)
		}
	}
	for d := range own {
		value[d] = own[d]
		for _, other := range p.others(d) {
			if d.Zones.Within(other.Zones) {
				value[d] += own[other] // the load serves it, too
			}
		}
	}
	all := slices.SortedFunc(maps.Keys(value), func(a, b Demand) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), compareDemands(a, b))
	})
	for _, d := range all {
		if p.canWaitForLoad(d) {
			patient = append(patient, d)
		} else {
			due = append(due, d)
		}
	}
	return due, patient
}

// backlogValue returns the value of loading a model for its waiting requests.
// Requests that can still meet their latency objective count more than those
// that have missed it, and more still if less time is left.
func backlogValue(backlog Backlog) float64 {
	value := float64(backlog.Waiting) / (1 + urgencyPenalty*float64(backlog.Urgency))
	if backlog.ObjectiveLeft <= 0 {
		return value * missedObjectiveWeight
	}
	return value * (1 + 1/(1+backlog.ObjectiveLeft.Seconds()))
}

// isBusy reports whether the utilization by a demand calls for another replica.
func (p *planner) isBusy(d Demand) bool {
	n := p.count(d)
	return n > 0 && n < maxReplicas && (p.work(d) > addReplicaLoad*float64(n) || n == 1 && p.ownWork(d) > secondReplicaLoad)
}

// busy returns the demands whose utilization calls for another replica, in
// descending order of utilization.
func (p *planner) busy() []Demand { return p.byWork(p.isBusy) }

// byWork returns the selected demands in descending order of utilization.
func (p *planner) byWork(selects func(Demand) bool) []Demand {
	var demands []Demand
	work := make(map[Demand]float64)
	for _, d := range p.used() {
		if selects(d) {
			demands = append(demands, d)
			work[d] = p.work(d)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(work[b], work[a]), compareDemands(a, b))
	})
	return demands
}

// planLoad adds a swap that loads a model for a demand into the runner with the lowest
// cost among those in its zones that have a local copy of the weights and no swap in this
// plan, or else from the weight store if mayUseStore permits that. planLoad adds nothing
// if no runner is suitable.
func (p *planner) planLoad(d Demand, reason Reason) {
	model, ok := p.Engine.Models[d.Model]
	if !ok {
		return
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(d.Model); holds || !p.acceptsLoad(r, d, reason) {
			continue
		}
		loadDuration, source := loadTime(r.Runner, model)
		if source == fromStore {
			continue
		}
		if swap, cost, ok := p.planSwap(r, d, loadDuration, reason); ok && (best == nil || cost < bestCost) {
			best, bestCost = &swap, cost
		}
	}
	if best == nil && p.mayUseStore(d, reason) {
		best = p.planStoreLoad(d, model.FromStore, reason)
	}
	if best != nil {
		p.addSwap(*best)
	}
}

// acceptsSwap reports whether a swap can start on a runner now. A runner that takes few
// requests relieves no others.
func (p *planner) acceptsSwap(r *Runner, reason Reason) bool {
	if r.Limit > 0 && reason != Wanted && reason != Relocated {
		return false
	}
	return !r.Draining && !r.Busy && len(r.LoadingAdapters) == 0 && !p.swapPlanned[r.ID]
}

// acceptsLoad reports whether a load for a demand can start on a runner now and serves it.
func (p *planner) acceptsLoad(r *Runner, d Demand, reason Reason) bool {
	return d.Zones.Allow(r.Zone) && p.acceptsSwap(r, reason)
}

// addSwap adds a swap to the plan.
func (p *planner) addSwap(swap Swap) {
	p.swapPlanned[swap.Runner.ID] = true
	p.addReplica(swap.Load, swap.Runner.Zone)
	if swap.FromStore {
		p.StoreLoads--
	}
	p.swaps = append(p.swaps, swap)
}

// planStoreLoad returns a swap that loads a model for a demand from the weight store, or
// nil if the store's rate limit permits none or no runner is suitable.
func (p *planner) planStoreLoad(d Demand, loadDuration time.Duration, reason Reason) *Swap {
	if p.StoreLoads <= 0 {
		return nil
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(d.Model); holds || !p.acceptsLoad(r, d, reason) {
			continue
		}
		if swap, cost, ok := p.planSwap(r, d, loadDuration, reason); ok && (best == nil || cost < bestCost) {
			swap.FromStore = true
			best, bestCost = &swap, cost
		}
	}
	return best
}

// weightSource is where a runner reads a model's weights from.
type weightSource int

const (
	fromMemory weightSource = iota
	fromDisk
	fromStore
)

// loadTime returns how long a runner takes to load a model and the fastest
// source that it can load the weights from.
func loadTime(r *drfleet.Runner, model drfleet.Model) (time.Duration, weightSource) {
	switch {
	case slices.Contains(r.InMemory, model.Name):
		return model.FromMemory, fromMemory
	case slices.Contains(r.OnDisk, model.Name):
		return model.FromDisk, fromDisk
	}
	return model.FromStore, fromStore
}

// planSwap plans the load of a model for a demand into one runner and the evictions that it
// needs. The cost is the load time plus the eviction losses, as seconds. It
// returns false if the runner cannot free enough memory, or if an eviction would
// lose at least evictionLimit.
func (p *planner) planSwap(r *Runner, d Demand, loadDuration time.Duration, reason Reason) (Swap, time.Duration, bool) {
	model := p.Engine.Models[d.Model]
	missingMemory := model.Size - (p.Engine.WeightMemory - p.usedMemory(r))
	swap := Swap{Runner: r.Runner, Load: model.Name, Expected: loadDuration + orderOverhead, Why: reason}
	cost := swap.Expected
	limit := p.evictionLimit(d, swap.Expected, reason)
	for _, v := range p.evictableModels(r) {
		if missingMemory <= 0 {
			break
		}
		loss := p.evictionLoss(v, r.Zone)
		if loss >= limit {
			return Swap{}, 0, false
		}
		swap.Unload = append(swap.Unload, v)
		missingMemory -= p.modelMemory(r, v)
		cost += time.Duration(loss * float64(time.Second))
	}
	return swap, cost, missingMemory <= 0
}

// usedMemory returns the memory in MB that a runner's models and adapters use.
func (p *planner) usedMemory(r *Runner) float64 {
	sum := 0.0
	for _, m := range r.Replicas {
		sum += p.modelMemory(r, m.Model)
	}
	return sum
}

// modelMemory returns the memory in MB that a model and its loaded and loading
// adapters use. A model that is missing from the configuration counts as using
// all memory.
func (p *planner) modelMemory(r *Runner, model string) float64 {
	config, ok := p.Engine.Models[model]
	if !ok {
		return p.Engine.WeightMemory
	}
	replica, _ := r.Replica(model)
	adapters := len(replica.Adapters)
	for _, c := range r.LoadingAdapters {
		if c.Model == model {
			adapters++
		}
	}
	return config.Size + float64(adapters)*config.AdapterSize
}

// evictableModels returns the models that a runner may unload, in ascending
// order of eviction loss. It leaves out models with running requests, models
// that were just loaded and the last replica of a model that requests wait for.
func (p *planner) evictableModels(r *Runner) []string {
	var models []string
	for _, m := range r.Replicas {
		if r.Running[m.Model] > 0 || p.Now.Sub(r.LoadedAt[m.Model]) < modelGracePeriod || p.isLastReplicaAwaited(m.Model, r.Zone) {
			continue
		}
		models = append(models, m.Model)
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.evictionLoss(a, r.Zone), p.evictionLoss(b, r.Zone)), cmp.Compare(a, b))
	})
	return models
}

// isLastReplicaAwaited reports whether requests that a runner in a zone could serve wait
// for a model that has at most one replica for them.
func (p *planner) isLastReplicaAwaited(model, zone string) bool {
	return slices.ContainsFunc(p.Backlogs, func(w Backlog) bool {
		return w.Model == model && w.Zones.Allow(zone) && p.count(w.demand()) <= 1
	})
}

// evictionLoss estimates the cost of unloading a replica of a model in a zone, in
// requests per second that would have to wait or would overload the remaining
// replicas.
func (p *planner) evictionLoss(model, zone string) float64 {
	if len(p.bound[model]) == 0 {
		return p.lossOf(Demand{Model: model})
	}
	loss := 0.0
	for _, d := range p.demandsAt(model, zone) {
		loss += p.lossOf(d)
	}
	return loss
}

// lossOf is evictionLoss for one demand.
func (p *planner) lossOf(d Demand) float64 {
	replicas, rate := p.count(d), p.use(d).Rate
	if replicas <= 1 || rate == 0 {
		return rate
	}
	work := p.work(d)
	if work > saturatedLoad*float64(replicas-1) {
		return rate / float64(replicas-1) // requests would queue at the others
	}
	if work > addReplicaLoad*float64(replicas-1) || replicas == 2 && p.ownWork(d) > secondReplicaLoad {
		return rate / float64(replicas)
	}
	return rate / float64(replicas) * redundantReplicaWeight
}

// replicaGain estimates the benefit of another replica for a busy demand, in the
// unit of evictionLoss. It relieves all requests of a runner at which they queue, and all
// that may be served wherever those of the demand may.
func (p *planner) replicaGain(d Demand) float64 {
	gain := p.gainOf(d)
	for _, other := range p.others(d) {
		if d.Zones.Within(other.Zones) {
			gain += p.gainOf(other)
		}
	}
	return gain
}

// gainOf is replicaGain for one demand alone.
func (p *planner) gainOf(d Demand) float64 {
	replicas, rate := p.count(d), p.use(d).Rate
	if replicas > 0 && p.isSaturated(d) {
		return rate / float64(replicas)
	}
	return rate / float64(replicas+1) / 2
}
