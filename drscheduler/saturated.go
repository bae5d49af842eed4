package drscheduler

import (
	"cmp"
	"slices"
)

// saturatedLoad is the utilization per replica above which a model's requests queue
// at its runners, as a share of one runner's time.
const saturatedLoad = 0.8

// isSaturated reports whether the requests for a model queue at its runners.
func (p *planner) isSaturated(model string) bool {
	return p.Work[model] > saturatedLoad*float64(p.replicas[model])
}

// saturatedModels returns the models whose requests queue at their runners and of
// which no runner loads a further replica yet, in descending order of utilization.
// Each load shows its effect before the next one, because a queue counts as
// utilization.
func (p *planner) saturatedModels() []string {
	var models []string
	for m := range p.Work {
		if n := p.replicas[m]; n > 0 && n < maxReplicas && p.isSaturated(m) && !p.isLoading(m) {
			models = append(models, m)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.Work[b], p.Work[a]), cmp.Compare(a, b))
	})
	return models
}

// isLoading reports whether a runner loads a model.
func (p *planner) isLoading(model string) bool {
	return slices.ContainsFunc(p.Runners, func(r Runner) bool { return r.Loading == model })
}

// mayUseStore reports whether a model may be loaded from the weight store: if
// requests wait for it and no runner has a copy, or if its requests queue and no
// runner could load a further replica from a copy, even once it is free.
func (p *planner) mayUseStore(model string, reason Reason) bool {
	if reason == Wanted {
		return !p.Stored[model]
	}
	return p.isSaturated(model) && !p.isLoading(model) && p.StoreLoads > reservedStoreLoads && !p.hasSpareCopy(model)
}

// hasSpareCopy reports whether a runner that does not hold a model has a copy of its
// weights.
func (p *planner) hasSpareCopy(model string) bool {
	return slices.ContainsFunc(p.Runners, func(r Runner) bool {
		_, holds := r.Replica(model)
		return !r.Draining && !holds && (slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model))
	})
}
