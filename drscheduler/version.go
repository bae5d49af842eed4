package drscheduler

const (
	// atVersionLoad is the utilization by the requests of one software version, as a share of one
	// runner's time, above which a model gets a second replica at that version.
	atVersionLoad = 0.1
	// idleEvictionLoss is the eviction loss that this may cause, in requests per second. While
	// versions are mixed runners have models of each to hold.
	idleEvictionLoss = 0.1
)

// secondAtVersion plans a second replica for the most used model that a single runner holds at a
// software version. A stream goes on at its own version only, so that with that runner all
// streams of the model would be lost, also if runners of other versions hold it.
func (p *planner) secondAtVersion() {
	var best Demand
	for d, use := range p.AtVersion {
		switch most := p.AtVersion[best].Work; {
		case use.Work <= atVersionLoad || p.count(d) != 1:
		case use.Work > most, use.Work == most && compareDemands(d, best) < 0:
			best = d
		}
	}
	if best.Model != "" {
		p.planLoad(best, AtVersion)
	}
}
