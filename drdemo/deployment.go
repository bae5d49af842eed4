// Package drdemo runs deployments of stand-ins and entry VMs for
// demonstrations, measurements and tests.
package drdemo

import (
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/examples"
)

// Deployment describes one of the example deployments.
type Deployment struct {
	Name  string
	Zones []string
	// Secret and Operator are the public demonstration secrets of examples/.
	Secret, Operator string
	// Runners and Services are the fleets with their numbers of VMs.
	RunnerFleet    string
	Runners        int
	ServiceFleet   string
	Services       int
	LoadsPerSecond float64
	ChecksFencing  bool
	// EntryPrefix starts the names of the entry VMs.
	EntryPrefix string
}

// Deployments returns the example deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"fjordsnor": {
			Name: "fjordsnor", Zones: []string{"hall-en", "hall-to", "hall-tre"},
			Secret: "demo-only-fjordsnor-deployment-secret", Operator: "demo-operator-token-kari",
			RunnerFleet: "ferje-llm", Runners: 9, ServiceFleet: "ferje-app", Services: 3,
			LoadsPerSecond: 8, ChecksFencing: true, EntryPrefix: "ferje-entry",
		},
		"retoque": {
			Name: "retoque", Zones: []string{"recife-a", "recife-b", "fortaleza", "salvador"},
			Secret: "demo-only-retoque-deployment-secret", Operator: "demo-operator-token-joana",
			RunnerFleet: "tinta-llm", Runners: 9, ServiceFleet: "pedidos", Services: 4,
			LoadsPerSecond: 3, ChecksFencing: false, EntryPrefix: "tinta-entry",
		},
	}
}

// Load times of the stand-ins' models. Real ones take minutes; these keep a
// demonstration short while the sources still differ.
const (
	RemoteLoad = 800 * time.Millisecond
	DiskLoad   = 300 * time.Millisecond
	memoryLoad = 100 * time.Millisecond
)

// Objects returns the deployment's declarations.
func (d Deployment) Objects() (drconfig.Objects, error) {
	objects, problems := drconfig.LoadFS(examples.Files, d.Name)
	if len(problems) > 0 {
		return nil, fmt.Errorf("declarations of %s: %v", d.Name, problems[0])
	}
	return objects, nil
}

// zone returns the availability zone of the n-th VM of its kind.
func (d Deployment) zone(index int) string { return d.Zones[index%len(d.Zones)] }
