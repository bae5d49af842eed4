package drcontroller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// reserveProcessorShare is the part of this VM's processor that may go to calls
	// about single requests. The rest is left for reports, plans and requests.
	reserveProcessorShare = 0.25
	// reserveCallCost is the processor time that one such call takes.
	reserveCallCost = 100 * time.Microsecond
)

// Reserve takes tokens from a client account for one request of a VM. The error
// is drtokenpool.ErrUnknownAccount if the account has no limit.
func (c *Controller) Reserve(vm string, request *drpb.FleetReserveRequest) (*drpb.FleetReserveReply, error) {
	r, err := c.pool.Claim(vm, request.GetAccount(), claimOf(request))
	if err != nil {
		return nil, err
	}
	return &drpb.FleetReserveReply{
		Granted: r.Granted, Saturated: r.Saturated, RetryAfterMs: uint32(milliseconds(r.RetryAfter)),
		RefillUs: microseconds(r.Refill), Repeated: r.Repeated,
	}, nil
}

// Sync records a VM's report and replies with the changes since the revision
// that the VM has, or with the next piece of the runner table if that revision is of
// another term. It waits for a change up to the time that the request allows.
func (c *Controller) Sync(ctx context.Context, name string, incarnation uint64, request *drpb.FleetSyncRequest) *drpb.FleetSyncReply {
	received := c.Clock.Uptime()
	c.addCrashes(name, request.GetCrashReport())
	c.recordLeavingOf(name, request)
	c.view.OfferStreams(decodeStreams(request.GetStreams()), 0)
	c.offerReportedLimits(name, request, received)
	if request.GetTerm() == c.Term {
		c.wakeVMs(c.pieces.complete(name))
	}
	v, applied := c.applyReport(name, incarnation, request)
	if !applied {
		return &drpb.FleetSyncReply{} // which nobody reads
	}
	getsPiece := c.awaitChange(ctx, name, v, request)
	reply := &drpb.FleetSyncReply{Leading: c.Holds(), Term: c.Term}
	runnersAt, runnersNext := c.view.RunnersConfirmed() // of the table, or somewhat older
	c.fillTable(request, reply, getsPiece)
	record, version, at := c.view.DeploymentRecord()
	if version > request.GetDeployment() {
		fillDeployment(reply, record, request.GetReadsDeflated())
	}
	now := c.Clock.Uptime()
	reply.HeldMs, reply.UptimeMs = uint32(milliseconds(now-received)), uint64(now.Milliseconds())
	reply.DeploymentAgeMs = uint32(milliseconds(now - at))
	reply.RunnersAgeMs, reply.RunnersNext = uint32(milliseconds(now-runnersAt)), runnersNext.Next
	if c.Validity != nil {
		v := c.Validity()
		reply.LeaseOffset, reply.LeaseLeftMs = uint64(v.Offset), uint32(milliseconds(v.Left))
	}
	c.fillVersions(request, reply)
	c.fillStreams(name, request, reply)
	reply.Verdict = encodeVerdict(c.crashes.VerdictFor(name))
	reply.Outages = encodeOutages(c.view.Outages())
	c.fillReply(name, v, request, reply)
	c.fillLimits(name, request, reply)
	reply.Permits = c.givePermits(ctx, name, request, received)
	if getsPiece && name != c.Holder {
		c.wakeVMs(c.pieces.sending(name, positionOf(c.Term, request), proto.Size(reply)))
	}
	return reply
}

// addCrashes adds the crashes that a VM reports. If they change what is to be refused,
// all VMs are told at once.
func (c *Controller) addCrashes(name string, report *drpb.FleetCrashReport) {
	before := c.crashes.Revision()
	for _, blocked := range c.crashes.Add(name, decodeCrashes(report)) {
		event := "request-blocked"
		if blocked.Part {
			event = "prompt-part-blocked"
		}
		log.WithFields(log.Fields{"event": event, "fingerprint": blocked.Cause, "crashes": blocked.Crashes, "span": blocked.Span,
			"reported-by": name, "term": c.Term}).Warn("")
	}
	if c.crashes.Revision() != before {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wakeAllVMs()
	}
}

// recordLeavingOf records the runners that have told a VM that they leave.
func (c *Controller) recordLeavingOf(vm string, request *drpb.FleetSyncRequest) {
	for _, i := range request.GetLeaving() {
		c.recordLeaving(decodeIncarnation(i), log.Fields{"source": "vm", "reported-by": vm})
	}
}

// recordLeaving records that a runner has said that it leaves. All VMs learn it with the
// runner table, and models that would go with it are loaded elsewhere. source says where
// that was heard, for the log.
func (c *Controller) recordLeaving(i drfleetview.Incarnation, source log.Fields) {
	if !c.view.MarkLeaving(i) {
		return
	}
	log.WithFields(source).WithFields(log.Fields{"event": "runner-leaving", "runner": i.Runner, "started": i.Started, "term": c.Term}).Info("")
	c.requestPlan()
}

// fillDeployment adds a compressed configuration to a reply. VMs of an earlier
// version of the program get it uncompressed.
func fillDeployment(reply *drpb.FleetSyncReply, deflated []byte, readsDeflated bool) {
	if readsDeflated {
		reply.DeploymentDeflated = deflated
		return
	}
	record, err := inflate(deflated)
	if err != nil {
		log.WithField("event", "deployment-unreadable").WithError(err).Error("")
		return
	}
	reply.Deployment = record
}

// applyReport records a VM's report and returns the VM's record, or false if a later report
// of the VM has come before.
func (c *Controller) applyReport(name string, incarnation uint64, request *drpb.FleetSyncRequest) (v *vm, applied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	v, known := c.vms[name]
	if known && v.hasOvertaken(incarnation, request, now) {
		return v, false
	}
	if !known || v.incarnation != incarnation {
		if known {
			c.subtractUses(v)
		}
		v = newVM(incarnation)
		c.vms[name] = v
	}
	first := v.lastReportAt.IsZero()
	v.processor = request.GetProcessor()
	v.newest = request
	v.lastReportAt, v.wants, v.wantsReceivedAt = now, request.GetWants(), now
	v.pausedUntil = decodePauses(request.GetPauses(), now)
	c.applyUses(v, request, first, now)
	if len(v.wants) > 0 {
		c.requestPlan()
	}
	return v, true
}

// hasOvertaken reports whether a later report than one that arrives has come from the VM, of
// the same process or a later one. Counts in the earlier one would seem to have begun anew.
// The incarnation of a later process is lower if the VM's clock has been set back, so that a
// process with a lower one counts as later once the known one no longer reports.
func (v *vm) hasOvertaken(incarnation uint64, request *drpb.FleetSyncRequest, now time.Time) bool {
	if v.incarnation != incarnation {
		return v.incarnation > incarnation && now.Sub(v.lastReportAt) < maxSyncWait+syncReplyTimeout
	}
	return request.GetNumber() > 0 && request.GetNumber() < v.newest.GetNumber()
}

// awaitChange waits until a change concerns the VM, its time to wait is over or
// the controller is closed. It reports whether the VM gets a piece of the table.
func (c *Controller) awaitChange(ctx context.Context, name string, v *vm, request *drpb.FleetSyncRequest) (getsPiece bool) {
	if c.admitsPiece(name, request) {
		return true
	}
	if request.GetWaitMs() == 0 || c.mustBeReached(name, request) {
		return false
	}
	t := c.Clock.NewTimer(time.Duration(request.GetWaitMs()) * time.Millisecond)
	defer t.Stop()
	for ended := false; !ended; {
		changed := c.changeChannel()
		if ctx.Err() != nil || c.hasFollower(name, v, request) {
			signal(v.wakeups) // the token was for the report that follows
			return false
		}
		if c.admitsPiece(name, request) {
			return true
		}
		if c.needsReply(request) {
			_ = c.Clock.Sleep(ctx, replyBatchDelay)
			return false
		}
		recheck, stop := c.recheckPermits(request)
		select {
		case <-v.wakeups:
		case <-changed:
		case <-recheck:
		case <-t.C():
			ended = true
		case <-ctx.Done():
			ended = true
		case <-c.ctx.Done():
			ended = true
		}
		stop()
	}
	return false
}

// admitsPiece reports whether a VM gets a piece of the table now. The VM of the controller,
// and those of an earlier version of the program, don't wait for their turn.
func (c *Controller) admitsPiece(name string, request *drpb.FleetSyncRequest) bool {
	if request.GetTerm() == c.Term || !c.hasPieceFor(request) {
		return false
	}
	return name == c.Holder || !request.GetReadsUpdates() || c.pieces.admit(name, positionOf(c.Term, request))
}

// hasFollower reports whether a VM has sent a newer report than one that is held, which it
// has given up then, or has restarted.
func (c *Controller) hasFollower(name string, v *vm, request *drpb.FleetSyncRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name] != v || v.newest != request
}

// mustBeReached reports whether a VM whose piece of the table must wait is to be answered
// without one, because it may never have had a reply of this controller. Requests that begin
// to wait have its report sent anew until it has one, so one that is held may be in vain.
// The controller's own VM waits for no table.
func (c *Controller) mustBeReached(name string, request *drpb.FleetSyncRequest) bool {
	if request.GetTerm() == c.Term || !request.GetWhole() {
		return false
	}
	return name == c.Holder || c.hasPieceFor(request)
}

// changeChannel returns a channel that is closed with the next change of the
// view, or nil if the fleet has too many VMs to wake all of them each time.
func (c *Controller) changeChannel() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.vms) > maxBroadcastVMs {
		return nil
	}
	return c.view.Changed()
}

// needsReply reports whether the view has a change that the VM must learn at
// once.
func (c *Controller) needsReply(request *drpb.FleetSyncRequest) bool {
	_, version, _ := c.view.DeploymentRecord()
	if version > request.GetDeployment() || c.lacksVerdict(request) || c.lacksOutages(request) || request.GetLacksVersions() && c.knowsMoreVersions(request) {
		return true
	}
	if request.GetTerm() != c.Term {
		return c.canNameRunners(request) // permits may be for runners that it does not know
	}
	if c.canGivePermits(request) {
		return true
	}
	if c.view.Revision() == request.GetRevision() {
		return false
	}
	if c.view.DrainRevision() > request.GetRevision() {
		return true
	}
	c.mu.Lock()
	few := len(c.vms) <= maxBroadcastVMs
	c.mu.Unlock()
	return few || slices.ContainsFunc(request.GetWants(), func(w *drpb.FleetWant) bool {
		return c.view.Holds(decodeReplica(w.GetReplica()))
	})
}

// lacksVerdict reports whether a VM has not been told of a change of what is to be refused. A
// VM may wait for the table for long, and goes on sending requests meanwhile. One of an
// earlier version of the program does not say of which term its verdict is; once it has one,
// that is this controller's only if its table is.
func (c *Controller) lacksVerdict(request *drpb.FleetSyncRequest) bool {
	revision := c.crashes.Revision()
	switch term := request.GetVerdictTerm(); {
	case term == c.Term, term == 0 && request.GetTerm() == c.Term:
		return revision != request.GetVerdict()
	case term == 0:
		return revision > 0 && request.GetVerdict() == 0
	default:
		return revision > 0 && term < c.Term
	}
}

// wakeAllVMs makes the pending reports of all VMs check again whether they need
// a reply. The caller holds mu.
func (c *Controller) wakeAllVMs() {
	for _, v := range c.vms {
		signal(v.wakeups)
	}
}

// wakeVMs makes the pending reports of some VMs check again whether they need a reply.
func (c *Controller) wakeVMs(names []string) {
	if len(names) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if v := c.vms[name]; v != nil {
			signal(v.wakeups)
		}
	}
}

// wakeVMsWaitingFor makes the pending reports of the VMs whose requests wait
// for a model check again whether they need a reply. The caller holds mu.
func (c *Controller) wakeVMsWaitingFor(model string) {
	for _, v := range c.vms {
		if slices.ContainsFunc(v.wants, func(w *drpb.FleetWant) bool { return w.GetReplica().GetModel() == model }) {
			signal(v.wakeups)
		}
	}
}

// fillReply adds token grants, runner loads, load forecasts and fleet-wide
// values to a reply.
func (c *Controller) fillReply(name string, v *vm, request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms[name] == v && request.GetNumber() >= v.charged {
		v.charged = request.GetNumber()
		c.fillGrants(name, request, reply)
	}
	now := c.Clock.Now()
	c.fillLoads(name, request, reply)
	for _, w := range request.GetWants() {
		if expected, ok := c.forecast(w, now); ok {
			reply.Forecasts = append(reply.Forecasts, &drpb.FleetForecast{Replica: w.GetReplica(), ExpectedMs: uint32(milliseconds(expected))})
		}
	}
	vms := c.countReportingVMs(now)
	reply.MostProcessor = c.maxProcessor()
	reply.ReserveCalls = c.Processor * reserveProcessorShare / reserveCallCost.Seconds()
	reply.Vms = uint32(c.fleetSize(vms, now))
	reply.NextWaitMs = uint32(milliseconds(time.Duration(vms) * syncIntervalPerVM))
}

// fillGrants charges what a VM has spent and adds the token grants to a reply. The caller
// holds mu.
func (c *Controller) fillGrants(name string, request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	for _, s := range request.GetSpendings() {
		g := c.pool.Report(name, drtokenpool.Spending{
			Account: s.GetAccount(), Spent: s.GetSpent(), Granted: s.GetGranted(), Requested: s.GetRequested(), Unasked: s.GetUnasked(), Share: s.GetShare(),
		})
		reply.Grants = append(reply.Grants, &drpb.FleetGrant{
			Account: s.GetAccount(), Granted: g.Granted, Share: g.Share, Level: g.Level, Saturated: g.Saturated,
			RetryAfterMs: uint32(milliseconds(g.RetryAfter)),
		})
	}
}

// countReportingVMs returns the number of VMs whose last report is within
// vmReportTimeout. The caller holds mu.
func (c *Controller) countReportingVMs(now time.Time) int {
	n := 0
	for _, v := range c.vms {
		if now.Sub(v.lastReportAt) <= vmReportTimeout {
			n++
		}
	}
	return n
}

// fleetSize returns the number of VMs that share rates and budgets: those that report, or
// that reported to the former controller while this one has not heard from all of them.
func (c *Controller) fleetSize(reporting int, now time.Time) int {
	if now.Sub(c.startedAt) < maxFormerVMsAge {
		return max(reporting, c.Inherited.VMs)
	}
	return reporting
}

// maxProcessor returns the part of a core that the strongest VM may use, 0 if
// no VM has reported. The caller holds mu.
func (c *Controller) maxProcessor() float64 {
	maximum := 0.0
	for _, v := range c.vms {
		maximum = max(maximum, v.processor)
	}
	return maximum
}

// countRunners returns the number of known runners, or that of the former controller until
// the table has been read: VMs that start meanwhile take their turns at the store by it.
func (c *Controller) countRunners() int {
	if n := c.view.RunnerCount(); c.view.RunnersKnown() {
		return n
	}
	return c.Inherited.Runners
}

// Handover returns the state to store in the lease for the next controller.
func (c *Controller) Handover() drlease.Handover {
	c.mu.Lock()
	now := c.Clock.Now()
	handover := drlease.Handover{VMs: c.fleetSize(c.countReportingVMs(now), now), Runners: c.countRunners(), MostProcessor: c.maxProcessor(), Counted: now}
	c.mu.Unlock()
	handover.Levels, handover.Versions = c.pool.Levels(), c.view.VersionRecord()
	if now.Sub(c.startedAt) < c.OrderPause {
		handover.RecentHolders = c.Inherited.RecentHolders
	}
	return handover
}

// modelBacklog is what forecasts of a service's loads rest on.
type modelBacklog struct {
	count  int                // number of models and adapters that requests wait for
	stored drscheduler.Copies // models of which a runner has a local copy
	// copiesKnown is set if stored is complete.
	copiesKnown bool
	engine      *drfleet.Engine
}

// forecast estimates the time until the requests that wait for a replica can be served. It
// returns false for a plain service without bounded runners: nothing is loaded there. The
// caller holds mu.
func (c *Controller) forecast(want *drpb.FleetWant, now time.Time) (expected time.Duration, ok bool) {
	replica := decodeReplica(want.GetReplica())
	permitted, bounded := c.forecastPermits(want, now)
	if !bounded {
		return c.forecastLoad(replica, now), replica.Model != ""
	}
	if left, loading := c.loadLeft(replica, now); loading {
		return min(permitted, left), true
	}
	return permitted, true
}

// loadLeft returns the estimated time until a model is loaded where requests for a replica
// may be served, and false if no load of it is in progress there. The caller holds mu.
func (c *Controller) loadLeft(replica drfleetview.Replica, now time.Time) (left time.Duration, loading bool) {
	for id, s := range c.runnerStates {
		if replica.Model != "" && s.swap != nil && s.swap.Load == replica.Model && c.mayServe(replica, id) {
			return max(s.expectedDoneAt.Sub(now), 0), true
		}
	}
	return 0, false
}

// mayServe reports whether a runner is in one of a replica's zones and has its software version.
func (c *Controller) mayServe(replica drfleetview.Replica, runner string) bool {
	if !replica.Zones.Bind() && replica.Version == "" {
		return true
	}
	r, ok := c.view.Runner(runner)
	return ok && replica.Zones.Allow(r.Zone) && (replica.Version == "" || r.Version == replica.Version)
}

// forecastLoad estimates the time until a replica's model is loaded. Without a swap in
// progress it assumes that the current backlogs are spread evenly over the
// runners, and that a model without a local copy comes from the weight store. The
// caller holds mu.
func (c *Controller) forecastLoad(replica drfleetview.Replica, now time.Time) time.Duration {
	if left, loading := c.loadLeft(replica, now); loading {
		return left
	}
	b, engines := c.backlogs[replica.Service], max(len(c.runnerStates), 1)
	expected := time.Duration(b.count+engines) * swapTime / time.Duration(engines)
	if b.copiesKnown && !b.stored.In(replica.Model, c.places[replica.Service].allowed(replica.Zones, replica.Version)) {
		expected = max(expected, b.engine.Models[replica.Model].FromStore+swapOverhead)
	}
	return expected
}

// swapTime is the typical time of a swap that loads from disk.
const swapTime = 800 * time.Millisecond
