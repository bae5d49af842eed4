// Package drdemo runs example deployments in one process, with entry VMs and stand-ins
// of the platform services, for demonstrations, measurements and tests.
package drdemo

import (
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/examples"
)

// Deployment describes an example deployment. Its declarations are in examples/NAME.
type Deployment struct {
	Name  string
	Zones []string
	// Secret is the deployment secret and Operator the operator token. They are
	// published in examples/ and must not be used elsewhere.
	Secret, Operator string
	// Runners and Services are the numbers of VMs of the two fleets.
	RunnerFleet  string
	Runners      int
	ServiceFleet string
	Services     int
	// LoadsPerSecond is how many model loads the weight store starts per second.
	LoadsPerSecond float64
	// ChecksFencing is whether the engines check fencing tokens.
	ChecksFencing bool
	// EntryPrefix precedes the number in the names of the entry VMs.
	EntryPrefix string
}

// Deployments returns the example deployments by name. The caller may change the map.
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

// Load times of the models in the stand-in engines, by the source of the weights. Real
// loads take minutes; these are short enough for a demonstration and still differ by
// source.
const (
	RemoteLoad = 800 * time.Millisecond
	DiskLoad   = 300 * time.Millisecond
	memoryLoad = 100 * time.Millisecond
)

// Objects loads the deployment's declarations, which are embedded in the program.
func (d Deployment) Objects() (drconfig.Objects, error) {
	objects, problems := drconfig.LoadFS(examples.Files, d.Name)
	if len(problems) > 0 {
		return nil, fmt.Errorf("declarations of %s: %v", d.Name, problems[0])
	}
	return objects, nil
}

// zone returns the availability zone of the VM with the given index in its fleet. VMs
// are spread over the zones in turn.
func (d Deployment) zone(index int) string { return d.Zones[index%len(d.Zones)] }
