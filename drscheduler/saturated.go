package drscheduler

import (
	"cmp"
	"slices"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// saturatedLoad is the utilization per replica above which a model's requests
	// queue at its runners, as a share of one runner's time.
	saturatedLoad = 0.65
	// reservedForWanted is the number of loads from the weight store that are left
	// to models that no runner holds while requests for others queue.
	reservedForWanted = 1
)

// isSaturated reports whether the requests for a model queue at its runners.
func (p *planner) isSaturated(model string) bool {
	return p.Work[model] > saturatedLoad*float64(p.replicas[model])
}

// isBusyAlone reports whether a model that is in much use has one replica, on which
// a few slow requests make the others queue.
func (p *planner) isBusyAlone(model string) bool {
	return p.replicas[model] == 1 && p.Work[model] > addReplicaLoad
}

// saturatedModels returns the models whose requests queue at their runners, or soon
// will at the only one, and of which no runner loads a further replica yet, in
// descending order of utilization.
// Each load shows its effect before the next one, because a queue counts as
// utilization.
func (p *planner) saturatedModels() []string {
	var models []string
	for m := range p.Work {
		if n := p.replicas[m]; n > 0 && n < maxReplicas && (p.isSaturated(m) || p.isBusyAlone(m)) && !p.isLoading(m) {
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

// mayUseStore reports whether a model may be loaded from the weight store. A model that
// no runner in service holds may if none has a copy. One whose requests queue may if no
// runner could load a further replica from a copy, even once it is free.
func (p *planner) mayUseStore(model drfleet.Model, reason Reason) bool {
	if reason == Wanted || reason == Relocated {
		return !p.Stored[model.Name]
	}
	return reason == Queued && p.isSaturated(model.Name) && p.StoreLoads > reservedForWanted && !p.hasSpareCopy(model)
}

// hasSpareCopy reports whether a runner that does not hold a model has a copy of its
// weights, and room or models that are worth less than a further replica.
func (p *planner) hasSpareCopy(model drfleet.Model) bool {
	limit := p.replicaGain(model.Name)
	return slices.ContainsFunc(p.Runners, func(r Runner) bool {
		_, holds := r.Replica(model.Name)
		if r.Draining || holds || !slices.Contains(r.InMemory, model.Name) && !slices.Contains(r.OnDisk, model.Name) {
			return false
		}
		room := p.Engine.WeightMemory - p.usedMemory(&r)
		for _, m := range r.Replicas {
			if p.evictionLoss(m.Model) < limit {
				room += p.modelMemory(&r, m.Model)
			}
		}
		return room >= model.Size
	})
}
