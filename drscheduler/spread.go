package drscheduler

const (
	// spreadLoad is the utilization per replica above which a model gets a further
	// replica on an empty runner, as a share of one runner's time.
	spreadLoad = 0.25
	// reservedStoreLoads is the number of loads from the weight store that are left
	// to models that requests wait for.
	reservedStoreLoads = 2
)

// spread adds replicas on empty runners, so that those that have just been added or
// restarted take load although no model waits for them.
func (p *planner) spread() {
	for i := range p.Runners {
		r := &p.Runners[i]
		if len(r.Replicas) > 0 || !p.acceptsSwap(r, Spread) {
			continue
		}
		if swap, ok := p.planSpread(r); ok {
			p.addSwap(swap)
		}
	}
}

// planSpread plans the load of the model with the most work per replica into an
// empty runner. It returns false if there is none, or if the runner would have to
// load it from the weight store and the store's rate limit or the runner's local
// copies forbid that.
func (p *planner) planSpread(r *Runner) (Swap, bool) {
	var best Swap
	bestWork := spreadLoad
	mayUseStore := p.StoreLoads > reservedStoreLoads && len(r.InMemory)+len(r.OnDisk) == 0
	for _, d := range p.used() {
		n, name := p.count(d), d.Model
		model, ok := p.Engine.Models[name]
		if !ok || !d.Zones.Allow(r.Zone) || n == 0 || n >= maxReplicas || model.Size > p.Engine.WeightMemory {
			continue
		}
		duration, source := loadTime(r.Runner, model)
		if source == fromStore && !mayUseStore {
			continue
		}
		work := p.work(d) / float64(n)
		if work < bestWork || work == bestWork && best.Load != "" && name > best.Load {
			continue
		}
		bestWork = work
		best = Swap{Runner: r.Runner, Load: name, Expected: duration + orderOverhead, FromStore: source == fromStore, Why: Spread}
	}
	return best, best.Load != ""
}
