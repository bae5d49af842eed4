package drscheduler

import (
	"cmp"
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
	// Stored is the set of models whose weights at least one runner has a local
	// copy of. Runners that cannot accept orders now count too, unless they
	// drain.
	Stored map[string]bool
	// Work is each model's utilization, as a share of one runner's time.
	Work map[string]float64
	// Rate is the number of requests per second, by model.
	Rate map[string]float64
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
//   - loads of models that requests wait for, in descending order of value;
//   - loads of models that only runners out of service hold;
//   - additional replicas of busy models;
//   - loads of models whose requests can all wait;
//   - replicas on empty runners.
//
// A load from the weight store blocks a runner for seconds. It is planned only if no
// runner has a local copy of the weights, into a runner without any local copies, or if
// requests queue and all runners with a copy hold the model.
func Plan(s State) []Swap {
	p := &planner{State: s, swapPlanned: make(map[string]bool), replicas: make(map[string]int)}
	for _, r := range s.Runners {
		if r.Draining {
			continue
		}
		for _, m := range r.Replicas {
			p.replicas[m.Model]++
		}
		if r.Loading != "" {
			p.replicas[r.Loading]++
		}
	}
	for _, m := range p.saturatedModels() {
		p.planLoad(m, Queued)
	}
	due, patient := p.missingModels()
	for _, m := range due {
		p.planLoad(m, Wanted)
	}
	for _, m := range p.modelsToRelocate() {
		p.planLoad(m, Relocated)
	}
	for _, m := range p.busyModels() {
		p.planLoad(m, Busy)
	}
	for _, m := range patient {
		p.planLoad(m, Wanted)
	}
	p.spread()
	return p.swaps
}

type planner struct {
	State
	swapPlanned map[string]bool // by ID of the runners that already have a swap in this plan
	replicas    map[string]int  // by model, including replicas that are being loaded
	swaps       []Swap
}

// missingModels returns the models that requests wait for and that no runner
// holds or loads, in descending order of the value of loading them now. Those whose
// requests all can wait are apart.
func (p *planner) missingModels() (due, patient []string) {
	value := make(map[string]float64)
	for _, w := range p.Backlogs {
		if p.replicas[w.Model] == 0 {
			value[w.Model] += backlogValue(w)
		}
	}
	for m := range value {
		if p.canWaitForLoad(m) {
			patient = append(patient, m)
		} else {
			due = append(due, m)
		}
	}
	byValue := func(a, b string) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), cmp.Compare(a, b))
	}
	slices.SortFunc(due, byValue)
	slices.SortFunc(patient, byValue)
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

// busyModels returns the models whose utilization calls for another replica, in
// descending order of utilization.
func (p *planner) busyModels() []string {
	var models []string
	for m, work := range p.Work {
		if n := p.replicas[m]; n > 0 && n < maxReplicas && (work > addReplicaLoad*float64(n) || n == 1 && work > secondReplicaLoad) {
			models = append(models, m)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.Work[b], p.Work[a]), cmp.Compare(a, b))
	})
	return models
}

// planLoad adds a swap that loads a model into the runner with the lowest cost
// among those that have a local copy of its weights and no swap in this plan, or
// else from the weight store if mayUseStore permits that. planLoad adds nothing if
// no runner is suitable.
func (p *planner) planLoad(name string, reason Reason) {
	model, ok := p.Engine.Models[name]
	if !ok {
		return
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(name); holds || !p.acceptsSwap(r) {
			continue
		}
		loadDuration, source := loadTime(r.Runner, model)
		if source == fromStore {
			continue
		}
		if swap, cost, ok := p.planSwap(r, model, loadDuration, reason); ok && (best == nil || cost < bestCost) {
			best, bestCost = &swap, cost
		}
	}
	if best == nil && p.mayUseStore(model, reason) {
		best = p.planStoreLoad(model, reason)
	}
	if best != nil {
		p.addSwap(*best)
	}
}

// acceptsSwap reports whether a swap can start on a runner now.
func (p *planner) acceptsSwap(r *Runner) bool {
	return !r.Draining && !r.Busy && len(r.LoadingAdapters) == 0 && !p.swapPlanned[r.ID]
}

// addSwap adds a swap to the plan.
func (p *planner) addSwap(swap Swap) {
	p.swapPlanned[swap.Runner.ID] = true
	p.replicas[swap.Load]++
	if swap.FromStore {
		p.StoreLoads--
	}
	p.swaps = append(p.swaps, swap)
}

// planStoreLoad returns a swap that loads a model from the weight store, or nil
// if the store's rate limit permits none or no runner is suitable.
func (p *planner) planStoreLoad(model drfleet.Model, reason Reason) *Swap {
	if p.StoreLoads <= 0 {
		return nil
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(model.Name); holds || !p.acceptsSwap(r) {
			continue
		}
		if swap, cost, ok := p.planSwap(r, model, model.FromStore, reason); ok && (best == nil || cost < bestCost) {
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

// planSwap plans the load of a model into one runner and the evictions that it
// needs. The cost is the load time plus the eviction losses, as seconds. It
// returns false if the runner cannot free enough memory, or if an eviction would
// lose at least evictionLimit.
func (p *planner) planSwap(r *Runner, model drfleet.Model, loadDuration time.Duration, reason Reason) (Swap, time.Duration, bool) {
	missingMemory := model.Size - (p.Engine.WeightMemory - p.usedMemory(r))
	swap := Swap{Runner: r.Runner, Load: model.Name, Expected: loadDuration + orderOverhead, Why: reason}
	cost := swap.Expected
	limit := p.evictionLimit(model.Name, swap.Expected, reason)
	for _, v := range p.evictableModels(r) {
		if missingMemory <= 0 {
			break
		}
		loss := p.evictionLoss(v)
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
		if r.Running[m.Model] > 0 || p.Now.Sub(r.LoadedAt[m.Model]) < modelGracePeriod || p.isLastReplicaAwaited(m.Model) {
			continue
		}
		models = append(models, m.Model)
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.evictionLoss(a), p.evictionLoss(b)), cmp.Compare(a, b))
	})
	return models
}

// isLastReplicaAwaited reports whether requests wait for a model that has at
// most one replica.
func (p *planner) isLastReplicaAwaited(model string) bool {
	return p.replicas[model] <= 1 && slices.ContainsFunc(p.Backlogs, func(w Backlog) bool { return w.Model == model })
}

// evictionLoss estimates the cost of unloading one replica of a model, in
// requests per second that would have to wait or would overload the remaining
// replicas.
func (p *planner) evictionLoss(model string) float64 {
	replicas := p.replicas[model]
	if replicas <= 1 {
		return p.Rate[model]
	}
	if p.Work[model] > saturatedLoad*float64(replicas-1) {
		return p.Rate[model] / float64(replicas-1) // requests would queue at the others
	}
	if p.Work[model] > addReplicaLoad*float64(replicas-1) || replicas == 2 && p.Work[model] > secondReplicaLoad {
		return p.Rate[model] / float64(replicas)
	}
	return p.Rate[model] / float64(replicas) * redundantReplicaWeight
}

// replicaGain estimates the benefit of another replica of a busy model, in the
// unit of evictionLoss. It relieves all requests of a runner at which they queue.
func (p *planner) replicaGain(model string) float64 {
	if p.isSaturated(model) {
		return p.Rate[model] / float64(p.replicas[model])
	}
	return p.Rate[model] / float64(p.replicas[model]+1) / 2
}
