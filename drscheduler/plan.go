package drscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// orderOverhead is the time of an order besides the load itself: the
	// unload before it and the calls.
	orderOverhead = 150 * time.Millisecond
	// modelGracePeriod protects a loaded model from being evicted before the
	// requests that waited for it have begun.
	modelGracePeriod = time.Second
	// addReplicaLoad is the share of a runner's time above which a model gets
	// another replica.
	addReplicaLoad = 0.45
	// secondReplicaLoad is the share below which a busy model still gets a second
	// replica, so that the loss of a runner does not stop it.
	secondReplicaLoad = 0.08
	// redundantReplicaWeight is what a replica that the others could replace is worth.
	redundantReplicaWeight = 0.1
	// maxReplicas bounds the replicas of one model.
	maxReplicas = 6
	// urgencyPenalty is how much one step of urgency weighs against waiting
	// requests.
	urgencyPenalty = 0.5
	// missedObjectiveWeight is the weight of a request that missed its objective.
	missedObjectiveWeight = 0.25
)

// Backlog says that requests wait for a model or adapter.
type Backlog struct {
	Model, Adapter string
	Waiting        int
	// ObjectiveLeft is the time until the next request misses its objective;
	// negative once all have.
	ObjectiveLeft time.Duration
	DeadlineLeft  time.Duration
	Urgency       int
}

// Runner is the state of a runner that the plan starts from.
type Runner struct {
	*drfleet.Runner
	// Busy is set while an order of a model is carried out.
	Busy bool
	// Loading is the model that is being loaded.
	Loading string
	// LoadingAdapters are adapters on their way, Leaving those that they replace.
	LoadingAdapters   []AdapterKey
	UnloadingAdapters []AdapterKey
	// Running counts the running requests by model, and by model and adapter.
	Running        map[string]int
	RunningAdapter map[AdapterKey]int
	// LoadedAt and UsedAt are by model; UsedAdapter by model and adapter.
	LoadedAt    map[string]time.Time
	UsedAdapter map[AdapterKey]time.Time
}

// State is what a plan is made from.
type State struct {
	Now      time.Time
	Engine   *drfleet.Engine
	Runners  []Runner // that can take orders
	Backlogs []Backlog
	// Stored names the models whose weights some runner has copies of, also
	// one that cannot take orders now.
	Stored map[string]bool
	// Work is the share of one runner's time that each model's requests take.
	Work map[string]float64
	// Rate is the number of requests per second by model.
	Rate map[string]float64
	// StoreLoads is the number of loads from the weight store that may begin
	// now.
	StoreLoads int
}

// Swap is a load of a model and the unloads that make room for it.
type Swap struct {
	Runner *drfleet.Runner
	Unload []string
	Load   string
	// Expected is the time until the model should be loaded.
	Expected time.Duration
	// FromStore is set if the weights come from the weight store.
	FromStore bool
	Why       string
}

// Plan returns the swaps to begin now, at most one for each runner: first for
// models that requests wait for, the most valuable first, then further
// replicas of busy models. A model is loaded from the weight store only if no
// runner has its weights, because such a load blocks a runner for seconds.
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
	for _, m := range p.missingModels() {
		p.planLoad(m, "wanted")
	}
	for _, m := range p.busyModels() {
		p.planLoad(m, "busy")
	}
	return p.swaps
}

type planner struct {
	State
	swapPlanned map[string]bool // runners that a swap was planned for
	replicas    map[string]int  // by model, loading ones included
	swaps       []Swap
}

// missingModels returns the models that no runner holds and that requests wait
// for, by the value of loading them now.
func (p *planner) missingModels() []string {
	value := make(map[string]float64)
	for _, w := range p.Backlogs {
		if p.replicas[w.Model] == 0 {
			value[w.Model] += backlogValue(w)
		}
	}
	var models []string
	for m := range value {
		models = append(models, m)
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), cmp.Compare(a, b))
	})
	return models
}

// backlogValue weighs the waiting requests: those that can still meet their
// objective first, of these the ones with less time left.
func backlogValue(backlog Backlog) float64 {
	value := float64(backlog.Waiting) / (1 + urgencyPenalty*float64(backlog.Urgency))
	if backlog.ObjectiveLeft <= 0 {
		return value * missedObjectiveWeight
	}
	return value * (1 + 1/(1+backlog.ObjectiveLeft.Seconds()))
}

// busyModels returns the models that need another replica, the busiest first.
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

// planLoad plans a load of a model onto the best free runner.
func (p *planner) planLoad(name, reason string) {
	model, ok := p.Engine.Models[name]
	if !ok {
		return
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(name); holds || r.Draining {
			continue
		}
		loadDuration, source := loadTime(r.Runner, model)
		if r.Busy || len(r.LoadingAdapters) > 0 || p.swapPlanned[r.ID] || source == fromStore {
			continue
		}
		if swap, cost, ok := p.planSwap(r, model, loadDuration, reason); ok && (best == nil || cost < bestCost) {
			best, bestCost = &swap, cost
		}
	}
	if best == nil && !p.Stored[name] && reason == "wanted" {
		best = p.planStoreLoad(model)
	}
	if best == nil {
		return
	}
	p.swapPlanned[best.Runner.ID] = true
	p.replicas[name]++
	p.swaps = append(p.swaps, *best)
}

// planStoreLoad plans a load from the weight store within its rate.
func (p *planner) planStoreLoad(model drfleet.Model) *Swap {
	if p.StoreLoads <= 0 {
		return nil
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if r.Busy || len(r.LoadingAdapters) > 0 || r.Draining || p.swapPlanned[r.ID] {
			continue
		}
		if swap, cost, ok := p.planSwap(r, model, model.FromStore, "wanted"); ok && (best == nil || cost < bestCost) {
			swap.FromStore = true
			best, bestCost = &swap, cost
		}
	}
	if best != nil {
		p.StoreLoads--
	}
	return best
}

type weightSource int

const (
	fromMemory weightSource = iota
	fromDisk
	fromStore
)

func loadTime(r *drfleet.Runner, model drfleet.Model) (time.Duration, weightSource) {
	switch {
	case slices.Contains(r.InMemory, model.Name):
		return model.FromMemory, fromMemory
	case slices.Contains(r.OnDisk, model.Name):
		return model.FromDisk, fromDisk
	}
	return model.FromStore, fromStore
}

// planSwap plans a load on a runner and picks what makes room. The cost adds the
// loss of the evicted models to the load time.
func (p *planner) planSwap(r *Runner, model drfleet.Model, loadDuration time.Duration, reason string) (Swap, time.Duration, bool) {
	missingMemory := model.Size - (p.Engine.WeightMemory - p.usedMemory(r))
	swap := Swap{Runner: r.Runner, Load: model.Name, Expected: loadDuration + orderOverhead, Why: reason}
	cost := swap.Expected
	for _, v := range p.evictableModels(r) {
		if missingMemory <= 0 {
			break
		}
		loss := p.evictionLoss(v)
		if reason == "busy" && loss >= p.replicaGain(model.Name) {
			return Swap{}, 0, false
		}
		swap.Unload = append(swap.Unload, v)
		missingMemory -= p.modelMemory(r, v)
		cost += time.Duration(loss * float64(time.Second))
	}
	return swap, cost, missingMemory <= 0
}

// usedMemory returns the memory that a runner's models and adapters take, in MB.
func (p *planner) usedMemory(r *Runner) float64 {
	sum := 0.0
	for _, m := range r.Replicas {
		sum += p.modelMemory(r, m.Model)
	}
	return sum
}

// modelMemory returns the memory of a model with its adapters, in MB. A model that
// the configuration does not know takes all memory.
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

// evictableModels returns the models that a runner may unload, the least valuable
// first. Models that requests wait for, run on, or were just loaded stay.
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

func (p *planner) isLastReplicaAwaited(model string) bool {
	return p.replicas[model] <= 1 && slices.ContainsFunc(p.Backlogs, func(w Backlog) bool { return w.Model == model })
}

// evictionLoss estimates what dropping a replica costs, in requests per second that
// would have to wait or crowd the remaining replicas.
func (p *planner) evictionLoss(model string) float64 {
	replicas := p.replicas[model]
	if replicas <= 1 {
		return p.Rate[model]
	}
	if p.Work[model] > addReplicaLoad*float64(replicas-1) || replicas == 2 && p.Work[model] > secondReplicaLoad {
		return p.Rate[model] / float64(replicas)
	}
	return p.Rate[model] / float64(replicas) * redundantReplicaWeight
}

// replicaGain estimates what another replica of a busy model brings.
func (p *planner) replicaGain(model string) float64 {
	return p.Rate[model] / float64(p.replicas[model]+1) / 2
}
