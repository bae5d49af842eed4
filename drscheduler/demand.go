package drscheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Demand names the requests for a model that may be served in some availability zones.
type Demand struct {
	Model string
	Zones drfleet.Zones
}

// Use says how much a demand takes: the utilization, as a share of one runner's time, and
// the number of requests per second.
type Use struct{ Work, Rate float64 }

// Copies holds the availability zones of the runners that have a local copy of a model's
// weights, by model.
type Copies map[string][]string

// Add notes that a runner in a zone has a copy.
func (c Copies) Add(model, zone string) {
	if !slices.Contains(c[model], zone) {
		c[model] = append(c[model], zone)
	}
}

// In reports whether a runner in one of the zones has a copy.
func (c Copies) In(model string, zones drfleet.Zones) bool {
	return slices.ContainsFunc(c[model], zones.Allow)
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), a.Zones.Compare(b.Zones))
}

// use returns how much a demand takes.
func (p *planner) use(d Demand) Use {
	if d.Zones.Bind() {
		return p.AtHome[d]
	}
	return Use{p.Work[d.Model], p.Rate[d.Model]}
}

// used returns the demands that take anything, in no order.
func (p *planner) used() []Demand {
	demands := slices.Collect(maps.Keys(p.AtHome))
	for model := range p.Work {
		demands = append(demands, Demand{Model: model})
	}
	return demands
}

// demandsAt returns the demands for a model that a runner in a zone can serve.
func (p *planner) demandsAt(model, zone string) []Demand {
	demands := []Demand{{Model: model}}
	for _, d := range p.bound[model] {
		if d.Zones.Allow(zone) {
			demands = append(demands, d)
		}
	}
	return demands
}

// count returns the number of replicas that can serve a demand, including those that are
// being loaded.
func (p *planner) count(d Demand) int {
	if !d.Zones.Bind() {
		return p.total[d.Model]
	}
	n := 0
	for zone, replicas := range p.replicas[d.Model] {
		if d.Zones.Allow(zone) {
			n += replicas
		}
	}
	return n
}

func (p *planner) addReplica(model, zone string) {
	if p.replicas[model] == nil {
		p.replicas[model] = make(map[string]int)
	}
	p.replicas[model][zone]++
	p.total[model]++
}

// ownWork returns the utilization by requests that only the replicas of a demand can
// serve.
func (p *planner) ownWork(d Demand) float64 {
	sum := p.use(d).Work
	for _, other := range p.others(d) {
		if other.Zones.Within(d.Zones) && p.count(other) > 0 {
			sum += p.use(other).Work
		}
	}
	return sum
}

// others returns the other demands for the same model.
func (p *planner) others(d Demand) []Demand {
	if len(p.bound[d.Model]) == 0 {
		return nil
	}
	var others []Demand
	for _, o := range p.bound[d.Model] {
		if o != d {
			others = append(others, o)
		}
	}
	if d.Zones.Bind() {
		others = append(others, Demand{Model: d.Model})
	}
	return others
}

// work returns the utilization of the replicas of a demand, as a share of one runner's
// time. They serve other demands, too, which use the replicas that are left to them
// evenly.
func (p *planner) work(d Demand) float64 {
	shared := func(o Demand) bool { return p.use(o).Work > 0 && p.count(o) > 0 }
	if !slices.ContainsFunc(p.others(d), shared) {
		return p.use(d).Work
	}
	zones := p.fill(d.Model)
	lowest, found := 0.0, false
	for zone, z := range zones {
		if d.Zones.Allow(zone) && (!found || z.level() < lowest) {
			lowest, found = z.level(), true
		}
	}
	return lowest * float64(p.count(d))
}

// filledZone is the utilization of a model's replicas in one availability zone.
type filledZone struct {
	replicas int
	work     float64
}

func (z *filledZone) level() float64 { return z.work / float64(z.replicas) }

// fillRounds is how often fill spreads each demand anew.
const fillRounds = 8

// fill spreads the demands for a model over its replicas as evenly as their zones allow.
func (p *planner) fill(model string) map[string]*filledZone {
	zones := make(map[string]*filledZone)
	for zone, n := range p.replicas[model] {
		zones[zone] = &filledZone{replicas: n}
	}
	demands := append(slices.Clone(p.bound[model]), Demand{Model: model})
	taken := make([]map[*filledZone]float64, len(demands))
	for range fillRounds {
		for i, d := range demands {
			for z, work := range taken[i] {
				z.work -= work
			}
			var own []*filledZone
			for _, zone := range slices.Sorted(maps.Keys(zones)) {
				if d.Zones.Allow(zone) {
					own = append(own, zones[zone])
				}
			}
			taken[i] = spreadWork(p.use(d).Work, own)
		}
	}
	return zones
}

// spreadWork adds work to the zones so that those that get any are at one level, below
// that of the others. It returns what it has added to each.
func spreadWork(work float64, zones []*filledZone) map[*filledZone]float64 {
	slices.SortStableFunc(zones, func(a, b *filledZone) int { return cmp.Compare(a.level(), b.level()) })
	sum, replicas, level := work, 0, 0.0
	filled := 0
	for _, z := range zones {
		if filled > 0 && level <= z.level() {
			break
		}
		sum += z.work
		replicas += z.replicas
		level = sum / float64(replicas)
		filled++
	}
	added := make(map[*filledZone]float64, filled)
	for _, z := range zones[:filled] {
		added[z] = level*float64(z.replicas) - z.work
		z.work += added[z]
	}
	return added
}

// always selects all demands.
func always(Demand) bool { return true }

// planEach plans a load for each of the demands that still need one after those before it
// and that have none in this plan for the same reason.
func (p *planner) planEach(demands []Demand, reason Reason, needs func(Demand) bool) {
	for _, d := range demands {
		if needs(d) && !p.isPlanned(d, reason) {
			p.planLoad(d, reason)
		}
	}
}

// isPlanned reports whether the plan has a load for a demand already, for the same reason.
func (p *planner) isPlanned(d Demand, reason Reason) bool {
	return slices.ContainsFunc(p.swaps, func(s Swap) bool {
		return s.Load == d.Model && s.Why == reason && d.Zones.Allow(s.Runner.Zone)
	})
}
