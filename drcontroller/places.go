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

// versionedModel is a model at runners of a software version.
type versionedModel struct{ model, version string }

// useAtVersions returns the use of each model by software version, in proportion to the requests
// that run at runners of each, nothing unless versions are mixed. The caller holds mu.
func (c *Controller) useAtVersions(state *drscheduler.State, service string, at places) map[drscheduler.Demand]drscheduler.Use {
	if len(at.versions) == 0 {
		return nil
	}
	total, byVersion := make(map[string]float64), make(map[versionedModel]float64) // running requests
	for _, r := range c.view.Runners(service) {
		for model, n := range c.running.byModel[r.ID] {
			total[model] += float64(n)
			byVersion[versionedModel{model, r.Version}] += float64(n)
		}
	}
	uses := make(map[drscheduler.Demand]drscheduler.Use)
	for k, n := range byVersion {
		if total[k.model] > 0 {
			share := n / total[k.model]
			d := drscheduler.Demand{Model: k.model, Zones: at.allowed(drfleet.Zones{}, k.version)}
			uses[d] = drscheduler.Use{Work: share * state.Work[k.model], Rate: share * state.Rate[k.model]}
		}
	}
	return uses
}
