package drfleetview

import (
	"maps"
	"time"

	"github.com/dotterelridge/dotterelridge/drzone"
)

// zoneMargin is how long before its bound a zone that was taken out of service gets its
// last requests. It covers their way to the runner from a VM that has little processor
// time.
const zoneMargin = time.Second

// SetZoneDrain sets the time within which a zone that was taken out of service must get no
// more requests. Until then, less zoneMargin, its runners take those for which there are
// no others. With 0 they take none from the moment on at which this VM learns of it. A
// shorter time than before applies to the zones that are out of service already, too, a
// longer one only to those that are taken out later.
func (v *View) SetZoneDrain(bound time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for zone := range v.closing {
		v.closing[zone] -= max(v.zoneDrain-bound, 0)
	}
	v.zoneDrain = bound
	v.notify()
}

// ZoneDrain returns the time that SetZoneDrain has set.
func (v *View) ZoneDrain() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.zoneDrain
}

// OfferOutages merges what has been read or received about availability zones that are
// out of service into what this VM knows, and returns the zones that are out of service
// now and whether that has changed. Requests that wait are woken then. ConfirmDeployment
// confirms the zones, too: the same topic of the store holds both.
func (v *View) OfferOutages(offered drzone.Outages) (now drzone.Outages, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.outages
	v.outages = before.Merge(offered)
	if v.outages.SameZones(before) {
		return v.outages, false
	}
	v.setClosing(before)
	uptime := v.clock.Uptime()
	for _, e := range v.runners {
		if before.Has(e.runner.Zone) && !v.outages.Has(e.runner.Zone) {
			e.startReturning(uptime)
			v.assumeCold(e, uptime)
		}
	}
	v.notify()
	return v.outages, true
}

// setClosing sets when the zones that were not out of service before get their last
// requests. They were taken out of service after the store last confirmed what this VM
// knew. The caller holds mu.
func (v *View) setClosing(before drzone.Outages) {
	maps.DeleteFunc(v.closing, func(zone string, _ time.Duration) bool { return !v.outages.Has(zone) })
	if v.zoneDrain <= 0 || !v.deploymentConfirmed {
		return
	}
	for _, zone := range v.outages.Zones() {
		if !before.Has(zone) {
			v.closing[zone] = v.deploymentAt + v.zoneDrain - zoneMargin
		}
	}
}

// closed reports whether the runners of a zone get no requests. The caller holds mu.
func (v *View) closed(zone string) bool {
	return v.outages.Has(zone) && v.clock.Uptime() >= v.closing[zone]
}

// Outages returns the availability zones that are out of service.
func (v *View) Outages() drzone.Outages {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outages
}

// startReturning makes the load return to the runner gradually, as after a pause.
func (e *entry) startReturning(uptime time.Duration) {
	if e.pauseLeft(uptime) == 0 {
		e.pause = pause{e.runner.Started, uptime}
	}
}

// AllOutOfService reports whether a service has runners that take requests and all of
// them are in availability zones that are out of service and get no requests any more.
func (v *View) AllOutOfService(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.outages.Empty() {
		return false
	}
	staying := v.listed(service, func(e *entry) bool { return !e.runner.Draining })
	for _, e := range staying {
		if !v.closed(e.runner.Zone) {
			return false
		}
	}
	return len(staying) > 0
}

// OutOfServiceCount returns the number of listed runners of a service in availability
// zones that are out of service.
func (v *View) OutOfServiceCount(service string) int {
	return v.count(service, func(e *entry) bool { return v.outages.Has(e.runner.Zone) })
}

// RunningOutOfService returns the number of requests of this VM that run on runners of a
// service in availability zones that are out of service.
func (v *View) RunningOutOfService(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	running := 0
	for _, e := range v.listed(service, func(e *entry) bool { return v.outages.Has(e.runner.Zone) }) {
		running += e.running
	}
	return running
}

// AnyRunner reports whether a service has a runner that takes requests in one of the zones
// that accept selects.
func (v *View) AnyRunner(service string, accept func(zone string) bool) bool {
	return v.count(service, func(e *entry) bool {
		return !e.runner.Draining && !v.closed(e.runner.Zone) && accept(e.runner.Zone)
	}) > 0
}
