package drcontroller

import (
	"math"
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
	return &drpb.FleetLimit{Runner: encodeIncarnation(l.Incarnation), Rate: l.Rate, AgeMs: uint32(milliseconds(l.Age)),
		MaxAgeMs: uint32(millisecondsUp(l.MaxAge))}
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
	earliest, latest := time.Duration(math.MinInt32)*time.Second, received
	if m := request.GetMade(); m != nil && m.GetTerm() == c.Term {
		made := time.Duration(m.GetUptimeMs()) * time.Millisecond
		earliest = min(made, received)
		latest = min(made+time.Duration(m.GetUncertaintyMs()+1)*time.Millisecond, received)
	}
	offerLimits(c.view, request.GetLimits(), earliest, latest, log.Fields{"source": "vm", "reported-by": name, "term": c.Term})
}

// offerLimits records what another VM knows of the limits of runners. earliest and latest are
// the uptimes between which it said so, and source says where that was heard, for the log.
func offerLimits(view *drfleetview.View, limits []*drpb.FleetLimit, earliest, latest time.Duration, source log.Fields) {
	for _, l := range limits {
		i, age := decodeIncarnation(l.GetRunner()), time.Duration(l.GetAgeMs())*time.Millisecond
		maxAge := max(time.Duration(l.GetMaxAgeMs())*time.Millisecond, age)
		if !(l.GetRate() >= 0) || !view.OfferLimitBetween(i, l.GetRate(), earliest-maxAge, latest-age) {
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
