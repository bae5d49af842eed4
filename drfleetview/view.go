// Package drfleetview holds what one VM knows of the deployment and its runners,
// how old that knowledge is, and which requests of this VM run or wait.
package drfleetview

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Replica names a model, or an adapter of it, of a service.
type Replica struct {
	Service, Model, Adapter string
}

// View is the knowledge of one VM. It is safe for concurrent use.
type View struct {
	clock Clock

	mu sync.Mutex
	// changed is closed, and replaced, with each change that may let a
	// waiting request go on.
	changed chan struct{}

	deployment *drfleet.Deployment
	// record is the deployment as stored, to pass on to other VMs.
	record []byte
	// deploymentAt and runnersAt are the uptimes at which the store last
	// confirmed that nothing newer existed.
	deploymentAt, runnersAt time.Duration
	deploymentConfirmed     bool
	runnersConfirmed        bool
	// controllerAt is the uptime at which a controller last answered.
	controllerAt time.Duration

	runners          map[string]*entry
	revision         uint64
	waitersByReplica map[Replica]*waiterSet
	forecasts        map[Replica]forecast
	// demandAdded holds a token when a new want appeared.
	demandAdded chan struct{}
}

// Clock is the time that a View needs.
type Clock interface {
	drclock.Clock
	drclock.Uptime
}

// New returns an empty View.
func New(clock Clock) *View {
	return &View{
		clock: clock, controllerAt: clock.Uptime(), changed: make(chan struct{}), runners: make(map[string]*entry),
		waitersByReplica: make(map[Replica]*waiterSet), forecasts: make(map[Replica]forecast), demandAdded: make(chan struct{}, 1),
	}
}

// Changed returns a channel that is closed with the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify wakes all who wait for a change. The caller holds mu.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// OfferDeployment takes a version of the configuration unless it is older than
// the one in force, and reports whether it is newer.
func (v *View) OfferDeployment(deployment *drfleet.Deployment, record []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.deployment != nil && deployment.Version <= v.deployment.Version {
		return false
	}
	v.deployment, v.record = deployment, record
	v.notify()
	return true
}

// ConfirmDeployment notes that at uptime at the store had nothing newer.
func (v *View) ConfirmDeployment(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.deploymentAt = max(v.deploymentAt, at)
	v.deploymentConfirmed = true
}

// Deployment returns the configuration in force and its age, nil if none is
// known yet.
func (v *View) Deployment() (*drfleet.Deployment, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.deployment, v.clock.Uptime() - v.deploymentAt
}

// DeploymentRecord returns the configuration as stored, its version, and the
// uptime of its confirmation.
func (v *View) DeploymentRecord() (record []byte, version int64, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.deployment == nil {
		return nil, 0, v.deploymentAt
	}
	return v.record, v.deployment.Version, v.deploymentAt
}

// ConfirmRunners notes that at uptime at the store had no newer entries.
func (v *View) ConfirmRunners(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runnersAt = max(v.runnersAt, at)
	v.runnersConfirmed = true
}

// RunnersKnown reports whether the runner table has been read once.
func (v *View) RunnersKnown() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runnersConfirmed
}

// ConfirmController notes that a controller answers.
func (v *View) ConfirmController() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.controllerAt = v.clock.Uptime()
}

// ControllerSilence returns the time since a controller last answered, or since
// the process started.
func (v *View) ControllerSilence() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Uptime() - v.controllerAt
}

// Ages returns the ages of the deployment and of the runner table; known is
// false until both have been read once.
func (v *View) Ages() (deployment, runners time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Uptime()
	return now - v.deploymentAt, now - v.runnersAt, v.deployment != nil && v.deploymentConfirmed && v.runnersConfirmed
}
