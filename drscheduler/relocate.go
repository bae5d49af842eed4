package drscheduler

import (
	"cmp"
	"slices"
)

// toRelocate returns the demands with requests whose models only runners out of service
// hold for them, in descending order of the requests.
func (p *planner) toRelocate() []Demand {
	var demands []Demand
	for i := range p.Runners {
		r := &p.Runners[i]
		if !r.OutOfService {
			continue
		}
		for _, m := range r.Replicas {
			for _, d := range p.demandsAt(m.Model, r.Zone) {
				if p.isMissing(d) && p.use(d).Rate > 0 && !slices.Contains(demands, d) {
					demands = append(demands, d)
				}
			}
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(p.use(b).Rate, p.use(a).Rate), compareDemands(a, b))
	})
	return demands
}
