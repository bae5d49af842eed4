package drscheduler

import "slices"

const (
	// saturatedLoad is the utilization per replica above which a model's requests
	// queue at its runners, as a share of one runner's time.
	saturatedLoad = 0.65
	// reservedForWanted is the number of loads from the weight store that are left
	// to models that no runner holds while requests for others queue.
	reservedForWanted = 1
)

// isSaturated reports whether the requests of a demand queue at its runners.
func (p *planner) isSaturated(d Demand) bool {
	return p.work(d) > saturatedLoad*float64(p.count(d))
}

// isBusyAlone reports whether a model that is in much use has one replica for a demand, on
// which a few slow requests make the others queue.
func (p *planner) isBusyAlone(d Demand) bool {
	return p.count(d) == 1 && p.work(d) > addReplicaLoad
}

// needsRelief reports whether the requests of a demand queue at its runners, or soon will
// at the only one, and no runner loads a further replica for it yet.
func (p *planner) needsRelief(d Demand) bool {
	n := p.count(d)
	return n > 0 && n < maxReplicas && (p.isSaturated(d) || p.isBusyAlone(d)) && !p.isLoading(d)
}

// saturated returns the demands that need relief, in descending order of utilization.
// Each load shows its effect before the next one, because a queue counts as
// utilization.
func (p *planner) saturated() []Demand { return p.byWork(p.needsRelief) }

// isLoading reports whether a runner loads a model for a demand.
func (p *planner) isLoading(d Demand) bool {
	return slices.ContainsFunc(p.Runners, func(r Runner) bool { return r.Loading == d.Model && d.Zones.Allow(r.Zone) })
}

// mayUseStore reports whether a model may be loaded for a demand from the weight store. A
// model that no runner in service holds may if none has a copy. One whose requests queue
// may if no runner could load a further replica from a copy, even once it is free, so may one
// that needs a second replica at a software version, and one whose runners take too few if the
// others have no copy.
func (p *planner) mayUseStore(d Demand, reason Reason) bool {
	switch reason {
	case Wanted, Relocated:
		return !p.Stored.In(d.Model, d.Zones)
	case Limited:
		return p.exceedsLimits(d) && p.StoreLoads > reservedForWanted && !p.hasUnlimitedCopy(d)
	case AtVersion:
		return p.StoreLoads > reservedStoreLoads && !p.hasSpareCopy(d)
	}
	return reason == Queued && p.isSaturated(d) && p.StoreLoads > reservedForWanted && !p.hasSpareCopy(d)
}

// hasCopy reports whether the runner has a local copy of a model's weights.
func (r *Runner) hasCopy(model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

// hasSpareCopy reports whether a runner that can serve a demand and does not hold the model
// has a copy of its weights, and room or models that are worth less than a further replica.
func (p *planner) hasSpareCopy(d Demand) bool {
	limit := p.replicaGain(d)
	return slices.ContainsFunc(p.Runners, func(r Runner) bool {
		_, holds := r.Replica(d.Model)
		if r.Draining || holds || !d.Zones.Allow(r.Zone) || !r.hasCopy(d.Model) {
			return false
		}
		room := p.Engine.WeightMemory - p.usedMemory(&r)
		for _, m := range r.Replicas {
			if p.evictionLoss(m.Model, r.Zone) < limit {
				room += p.modelMemory(&r, m.Model)
			}
		}
		return room >= p.Engine.Models[d.Model].Size
	})
}
