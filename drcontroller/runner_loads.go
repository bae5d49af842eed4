package drcontroller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxBusiestLoads is how many of the busiest runners each reply names, and
	// maxOwnLoads how many of those that hold what the VM uses. Replies would grow
	// with the runners otherwise.
	maxBusiestLoads = 64
	maxOwnLoads     = 256
	// maxRecentUses is how many models each VM is known to use, and recentUse how long
	// ago it last did.
	maxRecentUses = 64
	recentUse     = 5 * time.Second
)

// usedModel is what a VM sends requests for: a model, or a plain service as a whole.
type usedModel struct{ service, model string }

// modelsOf returns what a runner can be used for.
func modelsOf(r *drfleet.Runner) []usedModel {
	if len(r.Replicas) == 0 {
		return []usedModel{{service: r.Service}}
	}
	var models []usedModel
	for _, p := range r.Replicas {
		models = append(models, usedModel{r.Service, p.Model})
	}
	return models
}

// loadIndex says whose load matters to which VM, as of the last plan. The zero value
// names no runner.
type loadIndex struct {
	holders map[usedModel][]string
	busiest []string
}

// makeLoadIndex returns the index of the listed runners. The caller holds mu.
func (c *Controller) makeLoadIndex(runners []*drfleet.Runner) loadIndex {
	index := loadIndex{holders: make(map[usedModel][]string)}
	for _, r := range runners {
		for _, m := range modelsOf(r) {
			index.holders[m] = append(index.holders[m], r.ID)
		}
		if s := c.runnerStates[r.ID]; s != nil && (c.running.byRunner[r.ID] > 0 || s.recentResults.failureShare() > 0) {
			index.busiest = append(index.busiest, r.ID)
		}
	}
	slices.SortStableFunc(index.busiest, func(a, b string) int {
		return cmp.Compare(c.loadRank(b), c.loadRank(a))
	})
	index.busiest = index.busiest[:min(len(index.busiest), maxBusiestLoads)]
	return index
}

// loadRank orders runners by how much a VM must know of their load. A runner of which
// every request fails counts as a full one. The caller holds mu.
func (c *Controller) loadRank(id string) float64 {
	return float64(c.running.byRunner[id]) + runningPerRunner*c.runnerStates[id].recentResults.failureShare()
}

// recordUse remembers that a VM uses a model. The caller holds mu.
func (v *vm) recordUse(m usedModel, now time.Time) {
	v.used[m] = now
	if len(v.used) <= maxRecentUses {
		return
	}
	oldest := m
	for u, at := range v.used {
		if at.Before(v.used[oldest]) {
			oldest = u
		}
	}
	delete(v.used, oldest)
}

// recentUses returns what a VM has lately used or waits for. The caller holds mu.
func (v *vm) recentUses(request *drpb.FleetSyncRequest, now time.Time) []usedModel {
	maps.DeleteFunc(v.used, func(_ usedModel, at time.Time) bool { return now.Sub(at) > recentUse })
	models := slices.Collect(maps.Keys(v.used))
	for _, w := range request.GetWants() {
		models = append(models, usedModel{w.GetReplica().GetService(), w.GetReplica().GetModel()})
	}
	return models
}

// fillLoads adds to a reply the requests that other VMs run on the runners that matter
// to the VM, and the runners' shares of failures. The caller holds mu.
func (c *Controller) fillLoads(name string, request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	reporter, listed := c.vms[name], make(map[string]bool)
	list := func(id string) {
		if s := c.runnerStates[id]; s != nil && !listed[id] {
			listed[id] = true
			reply.Loads = appendLoad(reply.Loads, id, c.running.byRunner[id]-reporter.runningOn(id), c.tokens[id].Minus(reporter.tokensOn(id)), s)
		}
	}
	if len(c.runnerStates) <= maxBusiestLoads {
		for _, id := range slices.Sorted(maps.Keys(c.runnerStates)) {
			list(id)
		}
		return
	}
	for _, id := range c.loads.busiest {
		list(id)
	}
	if reporter == nil {
		return
	}
	for _, m := range reporter.recentUses(request, c.Clock.Now()) {
		for _, id := range c.loads.holders[m] {
			if len(listed) < maxBusiestLoads+maxOwnLoads {
				list(id)
			}
		}
	}
}

// runningOn returns the number of a VM's running requests on a runner, 0 for a VM that
// is not known.
func (v *vm) runningOn(runner string) int {
	if v == nil {
		return 0
	}
	return v.runningByRunner[runner]
}

// tokensOn returns the tokens of a VM's running requests on a runner, none for a VM that
// is not known.
func (v *vm) tokensOn(runner string) drfleetview.Tokens {
	if v == nil {
		return drfleetview.Tokens{}
	}
	return v.tokens[runner]
}

// appendLoad appends the load of a runner, unless it has neither requests of other VMs
// nor failures.
func appendLoad(loads []*drpb.FleetLoad, id string, others int, tokens drfleetview.Tokens, s *runnerState) []*drpb.FleetLoad {
	failing := uint32(s.recentResults.failureShare() * 100)
	if others <= 0 && failing == 0 {
		return loads
	}
	return append(loads, &drpb.FleetLoad{
		Runner: id, Running: uint32(max(others, 0)), FailingPercent: failing,
		RunningTokens: uint32(max(tokens.Running, 0)), UnreadTokens: uint32(max(tokens.Unread, 0)),
	})
}
