package drfleetview

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drversion"
)

// versionInterval is the least time between two looks at the versions of a service: each goes
// through all of its runners, which may change many times a second.
const versionInterval = 50 * time.Millisecond

// versionLook says when the versions of a service were last looked at, and whether a runner has
// changed since.
type versionLook struct {
	at      time.Duration // uptime
	changed bool
}

// noteVersions records which software versions serve a service, one of whose runners has
// changed, unless they have just been looked at. The caller holds mu.
func (v *View) noteVersions(service string) {
	look, known := v.versionLooks[service]
	if !known {
		look.at = -versionInterval
	}
	look.changed = true
	v.versionLooks[service] = look
	v.lookAtVersions(service)
}

// lookAtVersions records which software versions serve a service if a runner has changed since
// the last look and that is long enough ago. The caller holds mu.
func (v *View) lookAtVersions(service string) {
	if v.clock.Uptime()-v.versionLooks[service].at >= versionInterval {
		v.lookAtChange(service)
	}
}

// lookAtChange records which software versions serve a service if a runner has changed since the
// last look. The caller holds mu.
func (v *View) lookAtChange(service string) {
	if v.versionLooks[service].changed && v.runnersConfirmed {
		v.versionLooks[service] = versionLook{at: v.clock.Uptime()}
		v.observeVersions(service)
	}
}

// observeVersions records which software versions serve a service from now on. The caller
// holds mu.
func (v *View) observeVersions(service string) {
	snapshot := v.versionSnapshot(service, func(*entry) []drversion.Replica { return nil })
	if len(snapshot.Runners) > 1 || v.versions.Mixed(service) {
		snapshot = v.versionSnapshot(service, replicasOf)
	}
	v.versions.Observe(service, v.clock.Uptime(), snapshot)
}

// versionSnapshot returns which versions serve a service, with the replicas that replicas
// returns for each runner. The caller holds mu.
func (v *View) versionSnapshot(service string, replicas func(*entry) []drversion.Replica) drversion.Snapshot {
	var snapshot drversion.Snapshot
	for _, e := range v.runners {
		if !e.removed && !e.runner.Draining && e.runner.Service == service {
			snapshot.Add(e.runner.Version, replicas(e))
		}
	}
	return snapshot
}

// replicasOf returns the replicas that the runner of an entry holds, with that of plain
// services.
func replicasOf(e *entry) []drversion.Replica {
	replicas := []drversion.Replica{drversion.ReplicaOf("", "")}
	for _, p := range e.runner.Replicas {
		replicas = append(replicas, drversion.ReplicaOf(p.Model, ""))
		for _, a := range p.Adapters {
			replicas = append(replicas, drversion.ReplicaOf(p.Model, a))
		}
	}
	return replicas
}

// observeAllVersions is observeVersions for all services. The caller holds mu.
func (v *View) observeAllVersions() {
	services := make(map[string]bool)
	for _, e := range v.runners {
		services[e.runner.Service] = true
	}
	for s := range services {
		v.observeVersions(s)
	}
}

// confirmVersions says that this VM knows what served at an uptime. The caller holds mu.
func (v *View) confirmVersions(at time.Duration) {
	for service := range v.versionLooks {
		v.lookAtChange(service)
	}
	v.versions.Confirm(at, v.clock.Uptime())
}

// Versions returns the software versions of the listed runners of a service, sorted.
func (v *View) Versions(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]bool)
	for _, e := range v.runners {
		if !e.removed && e.runner.Service == service {
			versions[e.runner.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// VersionsMixed reports whether several software versions of a service have served lately.
func (v *View) VersionsMixed(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookAtVersions(service)
	return v.versions.Mixed(service)
}

// ChooseVersion returns the software version at which a stream with an id begins now. bound is
// false if any may.
func (v *View) ChooseVersion(replica Replica, id string) (version string, bound bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookAtVersions(replica.Service)
	return v.versions.Choose(replica.Service, id, drversion.ReplicaOf(replica.Model, replica.Adapter), v.clock.Uptime())
}

// MayBeginStreams reports whether streams of a service may begin at this VM, so that each VM that
// is asked later can know their software version.
func (v *View) MayBeginStreams(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookAtVersions(service)
	return v.versions.MayBegin(service, v.clock.Uptime())
}

// VersionBegan returns the software version at which a stream with an id began, up to age ago.
func (v *View) VersionBegan(replica Replica, id string, age time.Duration) (version string, basis drversion.Basis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookAtVersions(replica.Service)
	return v.versions.Began(replica.Service, id, drversion.ReplicaOf(replica.Model, replica.Adapter), age, v.clock.Uptime())
}

// ServesVersion reports whether a runner of a service that takes new requests has a software
// version.
func (v *View) ServesVersion(service, version string) bool {
	return v.count(service, func(e *entry) bool { return !e.runner.Draining && e.runner.Version == version }) > 0
}

// VersionsCovered returns for how long up to now this VM knows which software versions have
// served.
func (v *View) VersionsCovered() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versions.Covered(v.clock.Uptime())
}

// VersionRecord returns which software versions have served, for other VMs.
func (v *View) VersionRecord() *drpb.FleetVersions {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service := range v.versionLooks {
		v.lookAtVersions(service)
	}
	return v.versions.Record(v.clock.Uptime())
}

// MergeVersions adds a record that was made at an uptime, or somewhat earlier, to what this VM
// knows. It reports whether that was of use.
func (v *View) MergeVersions(record *drpb.FleetVersions, at time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	useful := v.versions.Merge(record, at)
	if useful && v.runnersConfirmed {
		v.observeAllVersions()
	}
	return useful
}

// CoverAllVersions says that no software version has served before what this VM knows.
func (v *View) CoverAllVersions() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions.CoverAll()
}

// VersionsInStep reports whether this VM knows all by which streams may have begun up to now.
func (v *View) VersionsInStep() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versions.InStep(v.clock.Uptime())
}

// RecordStream remembers at which software version a stream began at this VM.
func (v *View) RecordStream(b drversion.Beginning) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.streams.Add(b, 0, v.clock.Uptime())
}

// OfferStreams remembers at which software versions streams began at other VMs. term is that of the
// controller that has named them, 0 if the VMs have themselves.
func (v *View) OfferStreams(beginnings []drversion.Beginning, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range beginnings {
		v.streams.Add(b, term, v.clock.Uptime())
	}
}

// StreamVersion returns the software version at which a stream began, if that is remembered.
func (v *View) StreamVersion(key drversion.Key) (version string, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.streams.Version(key)
}

// StreamsAfter returns streams that are remembered for other VMs, none unless the versions of a
// service are mixed; see drversion.Streams.After.
func (v *View) StreamsAfter(number uint64, limit int, term uint64) (beginnings []drversion.Beginning, upTo uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.versions.AnyMixed() {
		return nil, number
	}
	return v.streams.After(number, limit, term, v.clock.Uptime())
}
