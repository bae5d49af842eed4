package drcontroller

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// minVersionsGain is how much further back the controller must know which versions of the
// runners' software have served for a VM to be told.
const minVersionsGain = time.Second

// minVersionsCovered is for how long a VM must know which versions have served so that the
// controller may hold its reports.
const minVersionsCovered = 10 * time.Second

// inheritVersions takes over which versions of the runners' software have served from the
// lease. The first controller knows that none has before.
func (c *Controller) inheritVersions() {
	if drlease.FirstOfEra(c.Term) && !c.Inherited.HistoryLost {
		c.view.CoverAllVersions()
		return
	}
	record := c.Inherited.Versions
	if record != nil && c.view.MergeVersions(record, c.Clock.Uptime()-c.Inherited.LeastAge) {
		log.WithFields(log.Fields{"event": "versions-learned", "covered-ms": record.GetCoveredMs(), "source": "lease", "term": c.Term}).Info("")
	}
}

// fillVersions adds to a reply which versions have served, if that reaches further back than
// what the VM knows.
func (c *Controller) fillVersions(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	if c.knowsMoreVersions(request) {
		reply.Versions = c.view.VersionRecord()
	}
}

// knowsMoreVersions reports whether the controller knows further back than a VM which versions
// have served.
func (c *Controller) knowsMoreVersions(request *drpb.FleetSyncRequest) bool {
	known := time.Duration(request.GetVersionsCoveredMs()) * time.Millisecond
	return c.view.VersionsCovered() >= known+minVersionsGain
}
