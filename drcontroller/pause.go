package drcontroller

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxReportedPauses bounds the pauses in one report of a VM.
	maxReportedPauses = 64
	// minPlannedPause is the least rest of a pause that changes a plan. Loading a model
	// elsewhere takes about as long.
	minPlannedPause = time.Second
)

func encodePauses(pauses []drfleetview.Pause) []*drpb.FleetPause {
	var encoded []*drpb.FleetPause
	for _, p := range pauses[:min(len(pauses), maxReportedPauses)] {
		encoded = append(encoded, &drpb.FleetPause{Runner: encodeIncarnation(p.Incarnation), LeftMs: uint32(milliseconds(p.Left))})
	}
	return encoded
}

// decodePauses returns when the pauses of a report that was received at a time end.
func decodePauses(encoded []*drpb.FleetPause, received time.Time) map[drfleetview.Incarnation]time.Time {
	until := make(map[drfleetview.Incarnation]time.Time)
	for _, p := range encoded[:min(len(encoded), maxReportedPauses)] {
		until[decodeIncarnation(p.GetRunner())] = received.Add(time.Duration(p.GetLeftMs()) * time.Millisecond)
	}
	return until
}

// pausedRunners are the runners that a plan counts as leaving, because they want no
// requests for a time.
type pausedRunners map[drfleetview.Incarnation]bool

// runnersPausedForMost returns the runners from which at least half of the VMs whose requests
// wait for a service keep away for minPlannedPause or longer. A pause binds only the VM
// that was asked, so that one of many does not move models. The caller holds mu.
func (c *Controller) runnersPausedForMost(service string, now time.Time) pausedRunners {
	waiting, pausing := 0, make(map[drfleetview.Incarnation]int)
	for _, v := range c.vms {
		if now.Sub(v.lastReportAt) > vmReportTimeout || !v.waitsFor(service) {
			continue
		}
		waiting++
		for i, until := range v.pausedUntil {
			if until.Sub(now) >= minPlannedPause {
				pausing[i]++
			}
		}
	}
	paused := make(pausedRunners)
	for i, n := range pausing {
		paused[i] = 2*n >= waiting
	}
	return paused
}

// waitsFor reports whether requests of the VM wait for a replica of a service.
func (v *vm) waitsFor(service string) bool {
	for _, w := range v.wants {
		if w.GetReplica().GetService() == service && w.GetWaiting() > 0 {
			return true
		}
	}
	return false
}

// asPlanned returns a runner as a plan sees it. The caller holds mu.
func (c *Controller) asPlanned(r *drfleet.Runner, tracked *runnerState, paused pausedRunners) *drfleet.Runner {
	if c.view.Outages().Has(r.Zone) {
		return r.WithDraining()
	}
	isPaused := paused[drfleetview.IncarnationOf(r)]
	if isPaused != tracked.paused {
		tracked.paused = isPaused
		log.WithFields(log.Fields{"event": "runner-plan-pause", "runner": r.ID, "started": r.Started, "service": r.Service,
			"paused": isPaused, "term": c.Term}).Info("")
	}
	if !isPaused {
		return r
	}
	return r.WithDraining()
}
