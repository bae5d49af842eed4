package drcontroller

import (
	"slices"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// versionMark separates a zone from a software version in the name of a place. It is in no
// name of either.
const versionMark = "\x01"

// places are where the runners of one service are for the plans: their availability zones, or
// while several software versions serve, the zone and version of each. A request that is bound
// to a version can then be planned for like one that is bound to zones.
type places struct {
	zones, versions []string // none unless versions are mixed
}

// placesOf returns the places of a service.
func placesOf(view *drfleetview.View, service string) places {
	versions := view.Versions(service)
	if len(versions) <= 1 {
		return places{}
	}
	p := places{versions: versions}
	for _, r := range view.Runners(service) {
		if !slices.Contains(p.zones, r.Zone) {
			p.zones = append(p.zones, r.Zone)
		}
	}
	return p
}

// of returns the place of a runner.
func (p places) of(r *drfleet.Runner) string {
	if len(p.versions) == 0 {
		return r.Zone
	}
	return r.Zone + versionMark + r.Version
}

// within returns a runner with its place for a zone.
func (p places) within(r *drfleet.Runner) *drfleet.Runner {
	if len(p.versions) == 0 {
		return r
	}
	placed := *r
	placed.Zone = p.of(r)
	return &placed
}

// allowed returns the places in some zones at a version, "" for any.
func (p places) allowed(zones drfleet.Zones, version string) drfleet.Zones {
	if len(p.versions) == 0 || !zones.Bind() && version == "" {
		return zones
	}
	var names []string
	for _, z := range p.zones {
		for _, v := range p.versions {
			if zones.Allow(z) && (version == "" || v == version) {
				names = append(names, z+versionMark+v)
			}
		}
	}
	return drfleet.ZonesOf(names...)
}

// splitByVersion makes the use of each model that of the software versions at which its requests
// run, while versions are mixed, so that plans keep replicas at each. The caller holds mu.
func (c *Controller) splitByVersion(state *drscheduler.State, service string, at places) {
	if len(at.versions) == 0 {
		return
	}
	state.VersionsMixed = true
	running := make(map[string]map[string]int) // by model and version
	for _, r := range c.view.Runners(service) {
		for model, n := range c.running.byModel[r.ID] {
			if running[model] == nil {
				running[model] = make(map[string]int)
			}
			running[model][r.Version] += n
		}
	}
	for model, versions := range running {
		total := 0
		for _, n := range versions {
			total += n
		}
		if _, used := state.Work[model]; !used || total == 0 {
			continue
		}
		work, rate := state.Work[model]/float64(total), state.Rate[model]/float64(total)
		for v, n := range versions {
			d := drscheduler.Demand{Model: model, Zones: at.allowed(drfleet.Zones{}, v)}
			use := state.AtHome[d]
			state.AtHome[d] = drscheduler.Use{Work: use.Work + work*float64(n), Rate: use.Rate + rate*float64(n)}
		}
		delete(state.Work, model)
		delete(state.Rate, model)
	}
}
