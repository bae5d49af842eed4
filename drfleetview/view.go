// Package drfleetview holds what one VM knows about the deployment and its
// runners, how old that knowledge is, and which requests of this VM are running
// or waiting.
package drfleetview

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drversion"
	"github.com/dotterelridge/dotterelridge/drwarmup"
	"github.com/dotterelridge/dotterelridge/drzone"
)

// Replica names what a request needs from a runner: a service, and for services
// with engines a model and optionally an adapter of it ("" for none), in one of the zones.
// What waits for a runner of one software version names that; "" stands for any.
type Replica struct {
	Service, Model, Adapter string
	Zones                   drfleet.Zones
	Version                 string
}

// View is one VM's view of the fleet. It is safe for concurrent use.
type View struct {
	clock Clock

	mu sync.Mutex
	// changed is closed and replaced by a new channel at each change after
	// which a waiting request may find a runner or be refused.
	changed chan struct{}

	deployment *drfleet.Deployment
	// record is the deployment in its stored encoding, compressed, to pass on
	// to other VMs.
	record []byte
	// deploymentAt and runnersAt are the uptimes at which the store last
	// confirmed that nothing newer existed.
	deploymentAt, runnersAt time.Duration
	// runnersNext is the store's offset from which on newer descriptions of runners than
	// those as of runnersAt follow, zero if it is unknown.
	runnersNext drstore.Position
	// tableAsOf is the newest reading of the store as of which the table is complete, and
	// ownReading that by which this VM itself knows other runners than a controller may know.
	tableAsOf, ownReading drstore.Position
	deploymentConfirmed   bool
	runnersConfirmed      bool
	// newsNext is the store's offset from which on newer descriptions of the listed runners
	// may follow, although the table may lack others, and newsAt the uptime of that. It is
	// zero if it is unknown.
	newsAt   time.Duration
	newsNext drstore.Position
	// outages are the availability zones that are out of service.
	outages drzone.Outages
	// zoneDrain is the bound that SetZoneDrain sets, and closing the uptimes from which
	// on zones out of service get no requests at all.
	zoneDrain time.Duration
	closing   map[string]time.Duration
	// permits are those of this VM to send requests to bounded runners.
	permits drwarmup.Permits
	// controllerAt is the uptime at which a controller last answered, or at
	// which this View was created.
	controllerAt time.Duration

	runners map[string]*entry
	// versions says which software versions of runners have served.
	versions *drversion.History
	// streams says at which of them streams have begun.
	streams      *drversion.Streams
	versionLooks map[string]versionLook // by service
	stall        stallWatch
	// bounded finds the runners that need permits.
	bounded          boundIndex
	buckets          [Buckets]bucket
	revision         uint64
	changes          []loggedChange // by revision
	drainBegins      []drainBegin   // the latest last
	drainRevision    uint64         // of the latest
	waitersByReplica map[Replica]*waiterSet
	forecasts        map[Replica]forecast
	// demandAdded receives a value when a replica gets its first waiter.
	demandAdded chan struct{}
}

// Clock is what a View needs to tell the time. Ages are measured by uptime, which
// also counts while the VM is suspended.
type Clock interface {
	drclock.Clock
	drclock.Uptime
}

// New returns a View without a deployment and runners.
func New(clock Clock) *View {
	return &View{
		clock: clock, controllerAt: clock.Uptime(), changed: make(chan struct{}), runners: make(map[string]*entry), bounded: make(boundIndex),
		waitersByReplica: make(map[Replica]*waiterSet), forecasts: make(map[Replica]forecast), demandAdded: make(chan struct{}, 1),
		closing: make(map[string]time.Duration), versions: drversion.NewHistory(), streams: drversion.NewStreams(), versionLooks: make(map[string]versionLook),
	}
}

// Changed returns a channel that is closed at the next change after which a
// waiting request may find a runner or be refused. Get it before looking for a
// runner, so that no change is missed.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify wakes everything that waits on Changed. The caller holds mu.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// OfferDeployment puts a version of the configuration in force if it is newer
// than the current one, and reports whether it is. record is its stored
// encoding, compressed.
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

// ConfirmDeployment records that, at the given uptime, the store had no newer
// configuration than the one in force. Earlier uptimes than known are ignored.
func (v *View) ConfirmDeployment(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.deploymentAt = max(v.deploymentAt, at)
	v.deploymentConfirmed = true
}

// Deployment returns the configuration in force, nil if none is known yet, and
// the time since the store last confirmed it.
func (v *View) Deployment() (*drfleet.Deployment, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.deployment, v.clock.Uptime() - v.deploymentAt
}

// DeploymentRecord returns the compressed stored encoding of the configuration in
// force, its version, and the uptime at which the store last confirmed it. The record is
// nil and the version 0 if no configuration is known yet.
func (v *View) DeploymentRecord() (record []byte, version int64, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.deployment == nil {
		return nil, 0, v.deploymentAt
	}
	return v.record, v.deployment.Version, v.deploymentAt
}

// ConfirmRunners records that, at an uptime, the store had no newer descriptions of runners.
// next is where newer ones follow in the store, zero if it is unknown. Earlier uptimes than
// known are ignored.
func (v *View) ConfirmRunners(at time.Duration, next drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at >= v.runnersAt || !v.runnersConfirmed {
		v.runnersAt, v.runnersNext = at, next
		v.confirmNews(at, next)
	}
	if !v.runnersConfirmed {
		v.runnersConfirmed = true
		v.versions.Begin(v.clock.Uptime())
		v.observeAllVersions()
	}
	v.confirmVersions(at)
}

// ConfirmNews records that, at an uptime, the store had no newer descriptions of the listed
// runners up to a position. There may be others.
func (v *View) ConfirmNews(at time.Duration, next drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmNews(at, next)
}

// confirmNews is ConfirmNews. The caller holds mu.
func (v *View) confirmNews(at time.Duration, next drstore.Position) {
	if !next.Before(v.newsNext) {
		v.newsAt, v.newsNext = max(v.newsAt, at), next
	}
}

// BeginNews is ConfirmNews for the first of the runners that are listed. It changes nothing if
// there is a position already: that holds for all of them.
func (v *View) BeginNews(at time.Duration, next drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.newsNext.Known() {
		v.newsAt, v.newsNext = at, next
	}
}

// News returns the newest uptime and position of ConfirmNews. The position is zero if it is
// unknown.
func (v *View) News() (at time.Duration, next drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newsAt, v.newsNext
}

// RunnersConfirmed returns the newest uptime and position of ConfirmRunners. The position is
// zero if it is unknown.
func (v *View) RunnersConfirmed() (at time.Duration, next drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runnersAt, v.runnersNext
}

// RunnersKnown reports whether ConfirmRunners has been called, that is whether
// the runner table has been read completely at least once.
func (v *View) RunnersKnown() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runnersConfirmed
}

// ConfirmController records that a controller has just answered this VM.
func (v *View) ConfirmController() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.controllerAt = v.clock.Uptime()
}

// ControllerSilence returns the time since a controller last answered this VM,
// or since the View was created if none has.
func (v *View) ControllerSilence() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Uptime() - v.controllerAt
}

// Ages returns the times since the store last confirmed the deployment and the
// runner table. They are meaningless while known is false, which it is until
// both have been read once.
func (v *View) Ages() (deployment, runners time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Uptime()
	return now - v.deploymentAt, now - v.runnersAt, v.deployment != nil && v.deploymentConfirmed && v.runnersConfirmed
}
