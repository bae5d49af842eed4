package drcontroller

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// maxReportedLimits bounds the limits in one report of a VM, and maxToldLimits those in a
// reply besides the ones that correct the report.
const (
	maxReportedLimits = 64
	maxToldLimits     = 64
)

func encodeLimit(l drfleetview.Limit) *drpb.FleetLimit {
	return &drpb.FleetLimit{Runner: encodeIncarnation(l.Incarnation), Rate: l.Rate, AgeMs: uint32(milliseconds(l.Age))}
}

func encodeLimits(limits []drfleetview.Limit) []*drpb.FleetLimit {
	var encoded []*drpb.FleetLimit
	for _, l := range limits[:min(len(limits), maxReportedLimits)] {
		encoded = append(encoded, encodeLimit(l))
	}
	return encoded
}

// offerReportedLimits records what a VM reports of limits. A report may be long on its way,
// and what it says must not count as later than what other VMs have heard meanwhile. If
// it does not say when it was made, only lower limits count.
func (c *Controller) offerReportedLimits(name string, request *drpb.FleetSyncRequest, received time.Duration) {
	limits, made := request.GetLimits(), received
	if m := request.GetMade(); m != nil && m.GetTerm() == c.Term {
		made = min(made, time.Duration(m.GetUptimeMs())*time.Millisecond)
	} else {
		limits = c.lowerLimits(limits)
	}
	offerLimits(c.view, limits, made, log.Fields{"source": "vm", "reported-by": name, "term": c.Term})
}

// lowerLimits returns those of the limits that let runners get less than is known.
func (c *Controller) lowerLimits(limits []*drpb.FleetLimit) []*drpb.FleetLimit {
	var lower []*drpb.FleetLimit
	for _, l := range limits {
		known, _ := c.view.LimitOf(decodeIncarnation(l.GetRunner()))
		if l.GetRate() > 0 && (known.Rate == 0 || l.GetRate() < known.Rate) {
			lower = append(lower, l)
		}
	}
	return lower
}

// offerLimits records what another VM knows of the limits of runners. made is the uptime
// at which it said so, and source says where that was heard, for the log.
func offerLimits(view *drfleetview.View, limits []*drpb.FleetLimit, made time.Duration, source log.Fields) {
	for _, l := range limits {
		i := decodeIncarnation(l.GetRunner())
		if !(l.GetRate() >= 0) || !view.OfferLimit(i, l.GetRate(), made-time.Duration(l.GetAgeMs())*time.Millisecond) {
			continue
		}
		event := "runner-limited"
		if l.GetRate() == 0 {
			event = "runner-unlimited"
		}
		log.WithFields(source).WithFields(log.Fields{"event": event, "runner": i.Runner, "started": i.Started, "rate": l.GetRate(),
			"age": l.GetAgeMs()}).Info("")
	}
}

// fillLimits adds to a reply what the VM does not know of limits: corrections of what it
// has reported, and the limits of other runners that it has sent requests to.
func (c *Controller) fillLimits(name string, request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	reported := make(map[drfleetview.Incarnation]bool)
	for _, l := range request.GetLimits() {
		i := decodeIncarnation(l.GetRunner())
		reported[i] = true
		if known, ok := c.view.LimitOf(i); ok && known.Rate != l.GetRate() {
			reply.Limits = append(reply.Limits, encodeLimit(known))
		}
	}
	reply.Limits = append(reply.Limits, c.untoldLimits(name, reported)...)
}

// untoldLimits returns the limits of runners that a VM has sent requests to since its process
// started, without those that it has reported, maxToldLimits at most.
func (c *Controller) untoldLimits(vm string, reported map[drfleetview.Incarnation]bool) []*drpb.FleetLimit {
	limits := c.view.Limits()
	if len(limits) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.vms[vm]
	if !ok {
		return nil
	}
	var untold []*drpb.FleetLimit
	for _, l := range limits {
		if len(untold) == maxToldLimits {
			break
		}
		if _, used := v.resultsByRunner[l.Runner]; used && l.Rate > 0 && !reported[l.Incarnation] {
			untold = append(untold, encodeLimit(l))
		}
	}
	return untold
}

// limitOf returns how many requests a second a runner takes over all VMs, 0 for any
// number.
func (c *Controller) limitOf(r *drfleet.Runner) float64 {
	l, _ := c.view.LimitOf(drfleetview.IncarnationOf(r))
	return l.Rate
}
