package drcontroller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// minSyncWait and maxSyncWait bound how long the controller may hold a
	// report back if nothing changes; syncLimit is how long a VM waits beyond
	// that.
	minSyncWait = 250 * time.Millisecond
	maxSyncWait = 600 * time.Millisecond
	syncLimit   = 500 * time.Millisecond
	// syncPerVM is the time between two reports per VM, which bounds the
	// controller's work for reports.
	syncPerVM = 4 * time.Millisecond
	// syncRetry is the pause after a failed report. It doubles up to
	// maxSyncRetry, so that a fleet does not keep an overloaded controller from
	// answering anybody.
	syncRetry    = 50 * time.Millisecond
	maxSyncRetry = 800 * time.Millisecond
	// wholeLimit is how long a VM waits for an answer with the whole table.
	wholeLimit = 2500 * time.Millisecond
	// reserveLimit bounds a question for tokens.
	reserveLimit = 250 * time.Millisecond
)

// syncLoop reports to the controller and takes its changes.
func (n *Node) syncLoop() {
	retry := syncRetry
	for n.ctx.Err() == nil {
		if n.controller.Load() == nil && !n.knowsLeader() {
			_ = n.Clock.Sleep(n.ctx, syncRetry)
			continue
		}
		if n.sync() {
			retry = syncRetry
			continue
		}
		_ = n.Clock.Sleep(n.ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxSyncRetry)
	}
}

func (n *Node) knowsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != ""
}

// sync makes one report. A new want of this VM is not held back: it cuts the
// report short, so that the next one carries it.
func (n *Node) sync() bool {
	n.mu.Lock()
	limit := maxSyncWait + syncLimit
	if n.term != n.leader.Term {
		limit = wholeLimit
	}
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	leader, request := n.leader, &drpb.FleetSyncRequest{
		Zone: n.Zone, Term: n.term, Revision: n.revision, WaitMs: uint32(n.syncWait.Milliseconds()), Whole: n.tellAll,
		Processor: n.Processor,
	}
	n.tellAll = true // unless this report arrives
	n.mu.Unlock()
	drainToken(n.View.Wanted())
	n.describe(request)
	done := make(chan struct{})
	defer close(done)
	var cut atomic.Bool
	go func() {
		select {
		case <-n.View.Wanted():
			cut.Store(true)
			cancel()
		case <-done:
		}
	}()
	sent := n.Clock.Uptime()
	reply := new(drpb.FleetSyncReply)
	if err := n.Peers.Call(ctx, leader.VM, methodSync, request, reply); err != nil {
		if cut.Load() {
			return true
		}
		n.leaderFailed(leader.VM, err)
		return false
	}
	if !reply.GetLeading() {
		n.forgetLeader(leader.VM)
		return false
	}
	n.apply(reply, sent)
	return true
}

func drainToken(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// describe fills in what this VM runs, wants and has spent.
func (n *Node) describe(m *drpb.FleetSyncRequest) {
	_, version, _ := n.View.DeploymentRecord()
	m.Deployment = version
	m.Wants = encodeWants(n.View.Wants())
	m.Uses = encodeUses(n.View.Uses(m.GetWhole()))
	for _, s := range n.Allowances.Spendings() {
		m.Spendings = append(m.Spendings, &drpb.FleetSpending{Account: s.Account, Spent: s.Spent, Granted: s.Granted})
	}
}

// leaderFailed logs the loss of the controller. The lease tells who is next.
func (n *Node) leaderFailed(vm string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil && n.leader.VM == vm && !n.heardAt.IsZero() {
		log.WithFields(log.Fields{"event": "controller-lost", "controller": vm, "term": n.leader.Term,
			"heard-ago": n.Clock.Since(n.heardAt)}).WithError(err).Warn("")
		n.heardAt = time.Time{}
	}
}

func (n *Node) forgetLeader(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader.VM == vm {
		n.leader.VM = ""
		n.heardAt = time.Time{}
	}
}

// apply takes the controller's changes. The reply was made no earlier than the
// report was sent plus the time that the controller held it back; when it
// arrived says nothing, because it may have been held up.
func (n *Node) apply(reply *drpb.FleetSyncReply, sent time.Duration) {
	n.mu.Lock()
	if n.heardAt.IsZero() {
		log.WithFields(log.Fields{"event": "controller-reached", "controller": n.leader.VM, "term": reply.GetTerm()}).Info("")
	}
	n.heardAt = n.Clock.Now()
	n.mu.Unlock()
	n.View.ConfirmController()
	if n.controller.Load() == nil {
		n.applyTable(reply)
		n.applyDeployment(reply)
		age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
		made := sent + age(reply.GetHeldMs())
		n.View.ConfirmDeployment(made - age(reply.GetDeploymentAgeMs()))
		n.View.ConfirmRunners(made - age(reply.GetRunnersAgeMs()))
	}
	n.mu.Lock()
	n.tellAll = n.term != reply.GetTerm()
	n.term, n.revision = reply.GetTerm(), reply.GetRevision()
	n.mostProcessor = reply.GetMostProcessor()
	n.syncWait = min(max(time.Duration(reply.GetNextWaitMs())*time.Millisecond, minSyncWait), maxSyncWait)
	n.mu.Unlock()
	n.View.ForgetLoads()
	for _, l := range reply.GetLoads() {
		n.View.SetLoad(l.GetRunner(), int(l.GetRunning()), float64(l.GetFailingPercent())/100)
	}
	for _, f := range reply.GetForecasts() {
		n.View.SetForecast(decodeReplica(f.GetReplica()), time.Duration(f.GetExpectedMs())*time.Millisecond)
	}
	for _, g := range reply.GetGrants() {
		n.Allowances.SetGrant(g.GetAccount(), drtokenpool.Grant{Granted: g.GetGranted(), Share: g.GetShare(), Level: g.GetLevel()})
	}
	n.Allowances.RecordControllerReply(int(reply.GetVms()))
}

func (n *Node) applyTable(reply *drpb.FleetSyncReply) {
	listed := make(map[string]bool)
	for _, m := range reply.GetRunners() {
		if m.GetGone() {
			n.View.RemoveRunner(m.GetId())
			continue
		}
		listed[m.GetId()] = true
		n.View.OfferRunner(decodeRunner(m), drfleetview.FromController)
	}
	if reply.GetWhole() {
		n.View.KeepRunners(listed)
	}
}

func (n *Node) applyDeployment(reply *drpb.FleetSyncReply) {
	if len(reply.GetDeployment()) == 0 {
		return
	}
	d, err := n.Codec.Deployment(reply.GetDeployment())
	if err != nil {
		log.WithField("event", "deployment-unreadable").WithError(err).Error("")
		return
	}
	if n.View.OfferDeployment(d, reply.GetDeployment()) {
		log.WithFields(log.Fields{"event": "deployment-changed", "version": d.Version, "source": "controller"}).Info("")
		n.Allowances.SetLimits(limitsOf(d))
	}
}

// Reserve implements drtokenpool.Reserver.
func (n *Node) Reserve(ctx context.Context, account string, tokens float64) (granted bool, retryAfter time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	leader, reached := n.Leader()
	if !reached {
		return false, 0, false
	}
	reply := new(drpb.FleetReserveReply)
	if err := n.Peers.Call(ctx, leader.VM, methodReserve, &drpb.FleetReserveRequest{Account: account, Tokens: tokens}, reply); err != nil {
		log.WithFields(log.Fields{"event": "reserve-failed", "account": account, "tokens": tokens, "controller": leader.VM,
			"term": leader.Term}).WithError(err).Info("")
		return false, 0, false
	}
	return reply.GetGranted(), time.Duration(reply.GetRetryAfterMs()) * time.Millisecond, true
}
