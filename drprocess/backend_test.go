package drprocess

import (
	"fmt"

	"github.com/dotterelridge/dotterelridge/drstandin"
)

// backend is a backend server as the platform's VM list shows it.
type backend struct{ id, fleet, zone, address string }

// backend returns the n-th engine, or the n-th plain service if engine is false.
func (c *cluster) backend(n int, engine bool) backend {
	fleet, addresses := c.ServiceFleet, c.services
	if engine {
		fleet, addresses = c.RunnerFleet, c.engines
	}
	return backend{fmt.Sprintf("%s-%d", fleet, n+1), fleet, c.Zones[n%len(c.Zones)], addresses[n]}
}

// listChange returns a change of the backend server's entry in the VM list: "add"
// or "leaving".
func (b backend) listChange(operation string) drstandin.VMChange {
	return drstandin.VMChange{Op: operation, VM: drstandin.VM{
		ID: b.id, Role: "backend", Fleet: b.fleet, Zone: b.zone, Address: b.address, State: "live",
	}}
}
