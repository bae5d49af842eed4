package drcontroller

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drzone"
)

func encodeOutages(o drzone.Outages) *drpb.FleetOutages {
	m := &drpb.FleetOutages{End: o.End(), Era: o.Era()}
	for _, zone := range o.Zones() {
		m.Zones = append(m.Zones, &drpb.FleetOutage{Zone: zone, Offset: o.Since(zone)})
	}
	return m
}

func decodeOutages(m *drpb.FleetOutages) drzone.Outages {
	since := make(map[string]int64)
	for _, z := range m.GetZones() {
		since[z.GetZone()] = z.GetOffset()
	}
	return drzone.New(m.GetEnd(), since).InEra(m.GetEra())
}

// offerOutages passes zones out of service to a view and logs if that changes what this
// VM knows. source says where that was heard.
func offerOutages(v *drfleetview.View, offered drzone.Outages, source string) {
	before := v.Outages()
	if now, changed := v.OfferOutages(offered); changed {
		log.WithFields(log.Fields{"event": "zones-out-of-service-changed", "zones": now.Zones(), "before": before.Zones(), "end": now.End(),
			"source": source}).Warn("")
	}
}

// applyOutages applies the records of the deployments topic that take availability zones
// out of service or, without a value, back. The newest records alone replace what was
// known, because the records that took zones back may have expired.
func (r *reader) applyOutages(records []drstore.Record, fromNewest bool) {
	if fromNewest {
		offerOutages(r.view, drzone.New(r.deployments.next, r.newestOutages(records)).InEra(r.deployments.era), "store")
		return
	}
	outages := r.view.Outages()
	if outages.Era() != r.deployments.era {
		r.deployments.started = false // what is known is of another era than the records, so the newest are read
		return
	}
	for _, rec := range records {
		if zone, ok := r.codec.OutOfService(rec.Key); ok {
			outages = outages.With(zone, rec.Offset, len(rec.Value) == 0)
		}
	}
	offerOutages(r.view, outages.WithEnd(r.deployments.next), "store")
}

// newestOutages returns the offsets of the records that take availability zones out of
// service, by zone.
func (r *reader) newestOutages(records []drstore.Record) map[string]int64 {
	since := make(map[string]int64)
	for _, rec := range records {
		if zone, ok := r.codec.OutOfService(rec.Key); ok && len(rec.Value) > 0 {
			since[zone] = rec.Offset
		}
	}
	return since
}

// applyOutages applies the zones out of service in a reply of the controller.
func (n *Node) applyOutages(reply *drpb.FleetSyncReply) {
	offerOutages(n.View, decodeOutages(reply.GetOutages()), "controller")
}

// noteOutages reports whether other zones are out of service than in the last plan. The
// caller holds mu.
func (c *Controller) noteOutages() (changed bool) {
	before := c.outages
	c.outages = c.view.Outages()
	return !c.outages.SameZones(before)
}

// lacksOutages reports whether the controller's view changes the zones out of service
// that a VM knows.
func (c *Controller) lacksOutages(request *drpb.FleetSyncRequest) bool {
	known := decodeOutages(request.GetOutages())
	return !known.Merge(c.view.Outages()).SameZones(known)
}

// deploymentBound is the time within which this VM must apply a change of the
// deployments topic.
func (n *Node) deploymentBound() time.Duration {
	zoneDrain := n.View.ZoneDrain()
	if zoneDrain <= 0 {
		return n.Propagation
	}
	return min(n.Propagation, zoneDrain)
}
