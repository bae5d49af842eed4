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
	// settleTime protects a loaded model from being evicted before the
	// requests that waited for it have begun.
	settleTime = time.Second
	// hotLoad is the share of a runner's time above which a model gets
	// another replica.
	hotLoad = 0.45
	// spareLoad is the share below which a busy model still gets a second
	// replica, so that the loss of a runner does not stop it.
	spareLoad = 0.08
	// spareWeight is what a replica that the others could replace is worth.
	spareWeight = 0.1
	// maxReplicas bounds the replicas of one model.
	maxReplicas = 6
	// urgentStep is how much one step of urgency weighs against waiting
	// requests.
	urgentStep = 0.5
	// lateWeight is the weight of a request that missed its objective.
	lateWeight = 0.25
)

// Want says that requests wait for a model or adapter.
type Want struct {
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
	// Ordered is set while an order of a model is carried out.
	Ordered bool
	// Loading is the model that is being loaded.
	Loading string
	// Coming are adapters on their way, Leaving those that they replace.
	Coming  []Coming
	Leaving []Coming
	// Running counts the running requests by model, and by model and adapter.
	Running        map[string]int
	RunningAdapter map[Coming]int
	// LoadedAt and UsedAt are by model; UsedAdapter by model and adapter.
	LoadedAt    map[string]time.Time
	UsedAdapter map[Coming]time.Time
}

// State is what a plan is made from.
type State struct {
	Now     time.Time
	Engine  *drfleet.Engine
	Runners []Runner // that can take orders
	Wants   []Want
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
	p := &planner{State: s, taken: make(map[string]bool), replicas: make(map[string]int)}
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
	for _, m := range p.wantedModels() {
		p.load(m, "wanted")
	}
	for _, m := range p.busyModels() {
		p.load(m, "busy")
	}
	return p.swaps
}

type planner struct {
	State
	taken    map[string]bool // runners that a swap was planned for
	replicas map[string]int  // by model, loading ones included
	swaps    []Swap
}

// wantedModels returns the models that no runner holds and that requests wait
// for, by the value of loading them now.
func (p *planner) wantedModels() []string {
	value := make(map[string]float64)
	for _, w := range p.Wants {
		if p.replicas[w.Model] == 0 {
			value[w.Model] += valueOf(w)
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

// valueOf weighs the waiting requests: those that can still meet their
// objective first, of these the ones with less time left.
func valueOf(w Want) float64 {
	v := float64(w.Waiting) / (1 + urgentStep*float64(w.Urgency))
	if w.ObjectiveLeft <= 0 {
		return v * lateWeight
	}
	return v * (1 + 1/(1+w.ObjectiveLeft.Seconds()))
}

// busyModels returns the models that need another replica, the busiest first.
func (p *planner) busyModels() []string {
	var models []string
	for m, work := range p.Work {
		if n := p.replicas[m]; n > 0 && n < maxReplicas && (work > hotLoad*float64(n) || n == 1 && work > spareLoad) {
			models = append(models, m)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.Work[b], p.Work[a]), cmp.Compare(a, b))
	})
	return models
}

// load plans a load of a model onto the best free runner.
func (p *planner) load(name, why string) {
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
		from, source := loadTime(r.Runner, model)
		if r.Ordered || len(r.Coming) > 0 || p.taken[r.ID] || source == fromStore {
			continue
		}
		if s, cost, ok := p.swap(r, model, from, why); ok && (best == nil || cost < bestCost) {
			best, bestCost = &s, cost
		}
	}
	if best == nil && !p.Stored[name] && why == "wanted" {
		best = p.loadFromStore(model)
	}
	if best == nil {
		return
	}
	p.taken[best.Runner.ID] = true
	p.replicas[name]++
	p.swaps = append(p.swaps, *best)
}

// loadFromStore plans a load from the weight store within its rate.
func (p *planner) loadFromStore(model drfleet.Model) *Swap {
	if p.StoreLoads <= 0 {
		return nil
	}
	var best *Swap
	var bestCost time.Duration
	for i := range p.Runners {
		r := &p.Runners[i]
		if r.Ordered || len(r.Coming) > 0 || r.Draining || p.taken[r.ID] {
			continue
		}
		if s, cost, ok := p.swap(r, model, model.FromStore, "wanted"); ok && (best == nil || cost < bestCost) {
			s.FromStore = true
			best, bestCost = &s, cost
		}
	}
	if best != nil {
		p.StoreLoads--
	}
	return best
}

type source int

const (
	fromMemory source = iota
	fromDisk
	fromStore
)

func loadTime(r *drfleet.Runner, m drfleet.Model) (time.Duration, source) {
	switch {
	case slices.Contains(r.InMemory, m.Name):
		return m.FromMemory, fromMemory
	case slices.Contains(r.OnDisk, m.Name):
		return m.FromDisk, fromDisk
	}
	return m.FromStore, fromStore
}

// swap plans a load on a runner and picks what makes room. The cost adds the
// loss of the evicted models to the load time.
func (p *planner) swap(r *Runner, m drfleet.Model, from time.Duration, why string) (Swap, time.Duration, bool) {
	need := m.Size - (p.Engine.WeightMemory - p.held(r))
	s := Swap{Runner: r.Runner, Load: m.Name, Expected: from + orderOverhead, Why: why}
	cost := s.Expected
	for _, v := range p.victims(r) {
		if need <= 0 {
			break
		}
		loss := p.loss(v)
		if why == "busy" && loss >= p.gain(m.Name) {
			return Swap{}, 0, false
		}
		s.Unload = append(s.Unload, v)
		need -= p.sizeOf(r, v)
		cost += time.Duration(loss * float64(time.Second))
	}
	return s, cost, need <= 0
}

// held returns the memory that a runner's models and adapters take, in MB.
func (p *planner) held(r *Runner) float64 {
	sum := 0.0
	for _, m := range r.Replicas {
		sum += p.sizeOf(r, m.Model)
	}
	return sum
}

// sizeOf returns the memory of a model with its adapters, in MB. A model that
// the configuration does not know takes all memory.
func (p *planner) sizeOf(r *Runner, model string) float64 {
	m, ok := p.Engine.Models[model]
	if !ok {
		return p.Engine.WeightMemory
	}
	replica, _ := r.Replica(model)
	n := len(replica.Adapters)
	for _, c := range r.Coming {
		if c.Model == model {
			n++
		}
	}
	return m.Size + float64(n)*m.AdapterSize
}

// victims returns the models that a runner may unload, the least valuable
// first. Models that requests wait for, run on, or were just loaded stay.
func (p *planner) victims(r *Runner) []string {
	var vs []string
	for _, m := range r.Replicas {
		if r.Running[m.Model] > 0 || p.Now.Sub(r.LoadedAt[m.Model]) < settleTime || p.isWanted(m.Model) {
			continue
		}
		vs = append(vs, m.Model)
	}
	slices.SortFunc(vs, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(a, b))
	})
	return vs
}

func (p *planner) isWanted(model string) bool {
	return p.replicas[model] <= 1 && slices.ContainsFunc(p.Wants, func(w Want) bool { return w.Model == model })
}

// loss estimates what dropping a replica costs, in requests per second that
// would have to wait or crowd the remaining replicas.
func (p *planner) loss(model string) float64 {
	n := p.replicas[model]
	if n <= 1 {
		return p.Rate[model]
	}
	if p.Work[model] > hotLoad*float64(n-1) || n == 2 && p.Work[model] > spareLoad {
		return p.Rate[model] / float64(n)
	}
	return p.Rate[model] / float64(n) * spareWeight
}

// gain estimates what another replica of a busy model brings.
func (p *planner) gain(model string) float64 {
	return p.Rate[model] / float64(p.replicas[model]+1) / 2
}
