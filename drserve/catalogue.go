package drserve

import (
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drplacement"
)

// catalogue adapts the configuration to drplacement.Catalogue.
type catalogue struct{ config *drconfig.Fold }

// Offset implements drplacement.Catalogue. It returns the offset of the last accepted
// configuration change.
func (c catalogue) Offset() uint64 { return c.config.Current().Offset() }

// Models implements drplacement.Catalogue. It leaves out models whose maximum number
// of replicas is 0.
func (c catalogue) Models() []string {
	cfg := c.config.Current()
	var names []string
	for _, m := range cfg.Models() {
		if cfg.Replicas(m.Name).Max > 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// Model implements drplacement.Catalogue.
func (c catalogue) Model(name string) (drplacement.ModelSpec, bool) {
	cfg := c.config.Current()
	m, ok := cfg.Model(name)
	if !ok {
		return drplacement.ModelSpec{}, false
	}
	r := cfg.Replicas(name)
	return drplacement.ModelSpec{
		Name: name, Fleet: m.Fleet, Bytes: m.Bytes, Min: r.Min, Max: r.Max, IdleTimeout: cfg.IdleTimeout(name),
	}, true
}

// Adapter implements drplacement.Catalogue.
func (c catalogue) Adapter(name string) (drplacement.AdapterSpec, bool) {
	a, ok := c.config.Current().Adapter(name)
	return drplacement.AdapterSpec{Name: a.Name, Base: a.Base, Bytes: a.Bytes}, ok
}

// EngineFleets implements drplacement.Catalogue.
func (c catalogue) EngineFleets() []string {
	var names []string
	for _, f := range c.config.Current().Fleets() {
		if f.Kind == drconfig.EngineFleet {
			names = append(names, f.Name)
		}
	}
	return names
}

// ChecksFencing implements drplacement.Catalogue.
func (c catalogue) ChecksFencing(fleet string) bool {
	f, ok := c.config.Current().Fleet(fleet)
	return ok && f.ChecksFencing
}
