package drcontroller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// minSyncWait and maxSyncWait bound how long the controller may hold a
	// report if nothing changes. syncReplyTimeout is how much longer a VM waits
	// for the reply.
	minSyncWait      = 250 * time.Millisecond
	maxSyncWait      = 600 * time.Millisecond
	syncReplyTimeout = 500 * time.Millisecond
	// syncIntervalPerVM is multiplied by the number of VMs to get the time for
	// which the controller holds each VM's next report. It bounds the
	// controller's work for reports.
	syncIntervalPerVM = 4 * time.Millisecond
	// minSyncRetryPause is the pause after a failed report. It doubles up to
	// maxSyncRetryPause, because the retries of a large fleet would otherwise
	// keep an overloaded controller from replying to any VM.
	minSyncRetryPause = 50 * time.Millisecond
	maxSyncRetryPause = 800 * time.Millisecond
	// fullTableTimeout is how long a VM waits for a reply with a piece of the
	// runner table, or with all of it from a controller of an earlier version.
	fullTableTimeout = 2500 * time.Millisecond
	// pieceTime is how long requests don't cancel a report that is to bring a piece of
	// the runner table.
	pieceTime = 400 * time.Millisecond
	// reserveTimeout is the timeout of one call to reserve tokens.
	reserveTimeout = 250 * time.Millisecond
)

// syncLoop reports to the controller and applies its replies.
func (n *Node) syncLoop() {
	retry := minSyncRetryPause
	for n.ctx.Err() == nil {
		if n.controller.Load() == nil && !n.knowsLeader() {
			_ = n.Clock.Sleep(n.ctx, minSyncRetryPause)
			continue
		}
		if n.report() {
			retry = minSyncRetryPause
			continue
		}
		if n.awaitSignal(n.leaderFound, retry/2+rand.N(retry/2)) {
			retry = minSyncRetryPause
			continue
		}
		retry = min(2*retry, maxSyncRetryPause)
	}
}

// awaitSignal waits until signal holds a token, which it takes, at most for the
// given time. It reports whether there was one.
func (n *Node) awaitSignal(signal <-chan struct{}, limit time.Duration) bool {
	t := n.Clock.NewTimer(limit)
	defer t.Stop()
	select {
	case <-signal:
		return true
	case <-t.C():
	case <-n.ctx.Done():
	}
	return false
}

func (n *Node) knowsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != ""
}

// report sends one report and applies the reply. It returns false if it failed.
// If requests of this VM begin to wait for a model meanwhile, or another VM
// becomes the controller, it cancels the call, so that the next report carries
// them at once or goes there. A call to a controller that replies and is to bring a
// piece of its table has pieceTime before requests cancel it: they may come faster
// than the pieces, and this VM would never get any.
func (n *Node) report() bool {
	clearSignal(n.leaderFound)
	n.mu.Lock()
	limit := maxSyncWait + syncReplyTimeout
	if n.table.term != n.leader.Term {
		limit = fullTableTimeout
	}
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	leader, request := n.leader, &drpb.FleetSyncRequest{
		Zone: n.Zone, WaitMs: uint32(n.syncWait.Milliseconds()), Whole: n.fullReport || n.reportedTerm != n.leader.Term,
		Processor: n.Processor, ReadsDeflated: true,
	}
	n.reports++
	request.Number = n.reports
	n.table.fillRequest(leader.Term, request)
	n.fullReport = true // reset by applyReply if this report arrives
	uninterrupted := time.Duration(0)
	if !n.lastReplyAt.IsZero() && n.table.term != leader.Term {
		uninterrupted = pieceTime
	}
	n.mu.Unlock()
	clearSignal(n.View.DemandAdded())
	crashes := n.fillRequest(request)
	told := n.told.fill(leader.Term, n.controller.Load() != nil, n.View, request)
	n.copied.fill(request)
	n.named.markUnlisted(n.View, request)
	done := make(chan struct{})
	defer close(done)
	var superseded atomic.Bool
	go func() {
		if n.awaitSupersession(done, uninterrupted) {
			superseded.Store(true)
			cancel()
		}
	}()
	sent := n.Clock.Uptime()
	reply := new(drpb.FleetSyncReply)
	if err := n.Peers.Call(ctx, leader.VM, methodSync, request, reply); err != nil {
		n.Crashes.Requeue(crashes)
		if superseded.Load() {
			return true
		}
		n.recordLeaderFailure(leader.VM, err)
		return false
	}
	if !reply.GetLeading() {
		n.Crashes.Requeue(crashes)
		n.forgetLeader(leader.VM)
		return false
	}
	n.applyVerdict(request.GetWhole(), reply.GetTerm(), reply.GetVerdict())
	n.named = n.named.withReply(request, reply)
	n.told = told
	return n.applyReply(reply, sent)
}

// awaitSupersession waits until a report must be sent anew, which it reports, or is done.
// Requests that begin to wait for a model count only after a time.
func (n *Node) awaitSupersession(done <-chan struct{}, uninterrupted time.Duration) bool {
	if uninterrupted > 0 {
		t := n.Clock.NewTimer(uninterrupted)
		defer t.Stop()
		select {
		case <-t.C():
		case <-n.leaderFound:
			return true
		case <-done:
			return false
		}
	}
	select {
	case <-n.View.DemandAdded():
	case <-n.leaderFound:
	case <-done:
		return false
	}
	return true
}

// clearSignal removes the token from a channel, if there is one.
func clearSignal(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// fillRequest adds to a report the version of the configuration that this VM
// has, its waiting requests, its use of runners, the tokens that it has spent and
// what it has not reported about crashes, which it returns.
func (n *Node) fillRequest(request *drpb.FleetSyncRequest) drcrash.Report {
	n.fillLimits(request)
	_, version, _ := n.View.DeploymentRecord()
	request.Deployment = version
	covered := n.View.VersionsCovered()
	request.VersionsCoveredMs, request.LacksVersions = uint32(milliseconds(covered)), covered < minVersionsCovered
	request.Wants = encodeWants(n.View.DemandSummaries())
	request.Uses = encodeUses(n.View.Uses(request.GetWhole()))
	for _, i := range n.View.Leaving() {
		request.Leaving = append(request.Leaving, encodeIncarnation(i))
	}
	request.Pauses = encodePauses(n.View.Pauses())
	request.Outages = encodeOutages(n.View.Outages())
	crashes := n.Crashes.TakeReport(request.GetWhole())
	request.CrashReport = encodeCrashes(crashes)
	request.VerdictTerm, request.Verdict = n.Crashes.Position()
	for _, s := range n.Allowances.Spendings() {
		request.Spendings = append(request.Spendings, &drpb.FleetSpending{
			Account: s.Account, Spent: s.Spent, Granted: s.Granted, Requested: s.Requested, Unasked: s.Unasked, Share: s.Share,
		})
	}
	return crashes
}

// fillLimits adds to a report the limits of runners that this VM knows, and between which
// moments on the controller's clock their ages were taken. This VM may be suspended meanwhile.
func (n *Node) fillLimits(request *drpb.FleetSyncRequest) {
	before := n.Clock.Uptime()
	request.Limits = encodeLimits(n.View.Limits())
	n.mu.Lock()
	defer n.mu.Unlock()
	request.Made = n.controllerClock.moment(before, n.Clock.Uptime())
}

// recordLeaderFailure logs that the controller no longer replies. The leader
// stays set until the lease names another one.
func (n *Node) recordLeaderFailure(vm string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil && n.leader.VM == vm && !n.lastReplyAt.IsZero() {
		log.WithFields(log.Fields{"event": "controller-lost", "controller": vm, "term": n.leader.Term,
			"heard-ago": n.Clock.Since(n.lastReplyAt)}).WithError(err).Warn("")
		n.lastReplyAt = time.Time{}
		signal(n.leaderLost)
	}
}

// signal puts a token into a channel, unless it holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// forgetLeader makes this VM look up the controller in the lease, because the
// named VM is no longer the controller.
func (n *Node) forgetLeader(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader.VM == vm {
		n.elector.Deny(n.leader.Term)
		n.former, n.leader.VM = n.leader, ""
		n.lastReplyAt = time.Time{}
		signal(n.leaderLost)
	}
}

// retryFormerLeader makes this VM report once more to the controller that did not lead, if it
// knows none and can't read the lease: that one may have renewed or acquired it since.
func (n *Node) retryFormerLeader() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader.VM == "" && n.former.VM != "" {
		n.leader = n.former
		signal(n.leaderFound)
	}
}

// applyReply applies the changes in a reply of the controller. The age of the
// data counts from the time at which the report was sent plus the time that the
// controller held it. The arrival time cannot be used, because the reply may
// have been delayed on the way. It returns false if the runners in the reply could not
// be used.
func (n *Node) applyReply(reply *drpb.FleetSyncReply, sent time.Duration) bool {
	n.mu.Lock()
	if n.lastReplyAt.IsZero() {
		log.WithFields(log.Fields{"event": "controller-reached", "controller": n.leader.VM, "term": reply.GetTerm()}).Info("")
	}
	n.lastReplyAt = n.Clock.Now()
	age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
	made := sent + age(reply.GetHeldMs())
	received := n.Clock.Uptime()
	n.controllerClock = n.controllerClock.withReply(reply, made, received)
	n.mu.Unlock()
	n.elector.RecordValidity(drlease.Validity{
		Offset: int64(reply.GetLeaseOffset()), Left: time.Duration(reply.GetLeaseLeftMs()) * time.Millisecond,
	})
	n.View.ConfirmController()
	own := n.controller.Load() != nil
	complete, err := n.applyTable(reply, own)
	if !own {
		n.View.OfferStreams(decodeStreams(reply.GetStreams()), reply.GetTerm())
		n.copied = n.copied.withReply(reply)
		n.applyDeployment(reply)
		n.applyOutages(reply)
		offerLimits(n.View, reply.GetLimits(), made, received, log.Fields{"source": "controller", "term": reply.GetTerm()})
		n.View.ConfirmDeployment(made - age(reply.GetDeploymentAgeMs()))
		next := runnersNextOf(reply)
		n.View.BeginNews(made-age(reply.GetRunnersAgeMs()), next)
		if reply.GetVersions() != nil && n.View.MergeVersions(reply.GetVersions(), received) {
			log.WithFields(log.Fields{"event": "versions-learned", "covered-ms": reply.GetVersions().GetCoveredMs(), "source": "controller",
				"term": reply.GetTerm()}).Info("")
		}
		if complete {
			n.View.ConfirmTable(decodePosition(reply.GetRunnersAsOf()))
			n.View.ConfirmRunners(made-age(reply.GetRunnersAgeMs()), next)
		}
	}
	n.mu.Lock()
	n.fullReport = n.reportedTerm != reply.GetTerm()
	n.reportedTerm = reply.GetTerm()
	if complete {
		n.completeTerm = reply.GetTerm()
	}
	n.maxProcessor = reply.GetMostProcessor()
	n.syncWait = min(max(time.Duration(reply.GetNextWaitMs())*time.Millisecond, minSyncWait), maxSyncWait)
	n.mu.Unlock()
	n.applyPermits(reply, sent)
	n.View.ForgetLoads()
	for _, l := range reply.GetLoads() {
		n.View.SetLoad(l.GetRunner(), int(l.GetRunning()), float64(l.GetFailingPercent())/100)
		n.View.SetTokens(l.GetRunner(), decodeTokens(l.GetRunningTokens(), l.GetUnreadTokens()))
	}
	for _, f := range reply.GetForecasts() {
		n.View.SetForecast(decodeReplica(f.GetReplica()), time.Duration(f.GetExpectedMs())*time.Millisecond)
	}
	for _, g := range reply.GetGrants() {
		n.Allowances.SetGrant(g.GetAccount(), drtokenpool.Grant{
			Granted: g.GetGranted(), Share: g.GetShare(), Level: g.GetLevel(), Saturated: g.GetSaturated(),
			RetryAfter: time.Duration(g.GetRetryAfterMs()) * time.Millisecond,
		})
	}
	n.Allowances.SetCallRate(reply.GetReserveCalls())
	n.Allowances.RecordControllerReply(int(reply.GetVms()))
	return err == nil
}

// runnersNextOf returns the position from which on newer entries of runners than the
// controller's follow, zero if it is unknown.
func runnersNextOf(reply *drpb.FleetSyncReply) drstore.Position {
	if reply.GetRunnersNext() == 0 {
		return drstore.Position{}
	}
	return drstore.Position{Era: reply.GetRunnersAsOf().GetEra(), Next: reply.GetRunnersNext()}
}

// applyTable applies the reply's runners to the view and reports whether it has the
// whole table of the controller now.
func (n *Node) applyTable(reply *drpb.FleetSyncReply, own bool) (complete bool, err error) {
	complete, err = n.table.apply(reply, own)
	if err != nil {
		log.WithFields(log.Fields{"event": "table-unreadable", "term": reply.GetTerm(), "revision": reply.GetRevision()}).WithError(err).Warn("")
	}
	return complete, err
}

func (n *Node) applyDeployment(reply *drpb.FleetSyncReply) {
	record, deflated, err := deploymentOf(reply)
	if err != nil {
		log.WithField("event", "deployment-unreadable").WithError(err).Error("")
		return
	}
	if len(record) == 0 {
		return
	}
	d, err := n.Codec.Deployment(record)
	if err != nil {
		log.WithField("event", "deployment-unreadable").WithError(err).Error("")
		return
	}
	if n.View.OfferDeployment(d, deflated) {
		log.WithFields(log.Fields{"event": "deployment-changed", "version": d.Version, "bytes": len(record), "deflated": len(deflated),
			"source": "controller"}).Info("")
		n.Allowances.SetLimits(limitsOf(d))
	}
}

// deploymentOf returns the configuration in a reply in its stored encoding and
// compressed. A controller of an earlier version of the program sends it
// uncompressed.
func deploymentOf(reply *drpb.FleetSyncReply) (record, deflated []byte, err error) {
	if deflated = reply.GetDeploymentDeflated(); len(deflated) > 0 {
		record, err = inflate(deflated)
		return record, deflated, err
	}
	if record = reply.GetDeployment(); len(record) > 0 {
		deflated, err = deflate(record)
	}
	return record, deflated, err
}
