package drscheduler

import (
	"cmp"
	"slices"
)

// limitUtilization is the share of a runner's limit up to which requests hardly wait for
// their turn.
const limitUtilization = 0.5

// exceedsRoom reports whether runners hold the model for a demand but all of these are
// asked for more requests than they take.
func (p *planner) exceedsRoom(d Demand) bool { return p.count(d) > 0 && !p.hasRoom(d) }

// limited returns the demands with requests that wait although runners hold the model for
// them, because all of these are asked for more requests than they take, in descending
// order of their requests.
func (p *planner) limited() []Demand {
	var demands []Demand
	for _, w := range p.Backlogs {
		if d := w.demand(); p.exceedsRoom(d) && !slices.Contains(demands, d) {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(p.requests(b), p.requests(a)), compareDemands(a, b))
	})
	return demands
}

// hasRoom reports whether a runner that can serve a demand holds or loads its model and
// takes any number of requests, or well more than its models are asked for.
func (p *planner) hasRoom(d Demand) bool {
	return slices.ContainsFunc(p.Runners, func(r Runner) bool {
		_, holds := r.Replica(d.Model)
		return !r.Draining && d.Zones.Allow(r.Zone) && (holds || r.Loading == d.Model) && (r.Limit == 0 || p.askedOf(&r) <= limitUtilization*r.Limit)
	})
}

// askedOf returns the number of requests a second for the models of a runner and the one
// that it loads, those that wait included.
func (p *planner) askedOf(r *Runner) float64 {
	models := []string{r.Loading}
	for _, m := range r.Replicas {
		models = append(models, m.Model)
	}
	asked := 0.0
	for _, m := range models {
		for _, d := range p.demandsAt(m, r.Zone) {
			asked += p.requests(d)
		}
	}
	return asked
}

// requests returns the number of requests of a demand that run in a second or wait.
func (p *planner) requests(d Demand) float64 { return p.use(d).Rate + p.waitingFor(d) }

// exceedsLimits reports whether the requests of a demand alone are more than its runners
// take.
func (p *planner) exceedsLimits(d Demand) bool {
	sum := 0.0
	for i := range p.Runners {
		r := &p.Runners[i]
		if _, holds := r.Replica(d.Model); holds && d.Zones.Allow(r.Zone) {
			sum += r.Limit
		}
	}
	return p.requests(d) > sum
}

// hasUnlimitedCopy reports whether a runner that can serve a demand and takes any number
// of requests has a copy of the model's weights.
func (p *planner) hasUnlimitedCopy(d Demand) bool {
	return slices.ContainsFunc(p.Runners, func(r Runner) bool {
		return r.Limit == 0 && !r.Draining && d.Zones.Allow(r.Zone) && r.hasCopy(d.Model)
	})
}

// waitingFor returns the number of requests of a demand that wait.
func (p *planner) waitingFor(d Demand) float64 {
	waiting := 0
	for _, w := range p.Backlogs {
		if w.demand() == d {
			waiting += w.Waiting
		}
	}
	return float64(waiting)
}
