package drcontroller

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

const (
	// crashReportTimeout is the timeout of one call to report crashes.
	crashReportTimeout = 300 * time.Millisecond
	// crashReportPause is the minimum pause between two such calls of a VM. Crashes
	// in between are reported together. It doubles with each call that fails, up to
	// maxSyncRetryPause.
	crashReportPause = 50 * time.Millisecond
	// verdictPause is the pause between such calls while this VM of a small fleet lacks the
	// table of the controller. A large piece of it may be on its way for seconds, and until it is
	// there no other reply can bring a verdict.
	verdictPause = 300 * time.Millisecond
)

// crashLoop reports crashes at once, and all that this VM knows of them to a new controller.
// The regular reports may wait for more than half a second, or for the table of the new
// controller, while requests that crash runners end several more. A report that fails is
// repeated.
func (n *Node) crashLoop() {
	again, pause := false, crashReportPause
	for n.ctx.Err() == nil {
		if !again && !n.awaitCrashNews() {
			continue
		}
		failed := !n.reportCrashes()
		if failed {
			pause = min(2*pause, maxSyncRetryPause)
		} else {
			pause = crashReportPause
		}
		again = n.awaitSignal(n.controllerNamed, pause) || failed
	}
}

// awaitCrashNews waits for a crash to report, another controller or verdictPause, and
// reports whether there is something to report or to hear.
func (n *Node) awaitCrashNews() bool {
	t := n.Clock.NewTimer(verdictPause)
	defer t.Stop()
	select {
	case <-n.Crashes.News():
		return true
	case <-n.controllerNamed:
		return n.inSmallFleet() || !n.Crashes.Empty()
	case <-t.C():
		return n.inSmallFleet() && n.lacksTable()
	case <-n.ctx.Done():
		return false
	}
}

// inSmallFleet reports whether VMs may ask the controller for the verdict in calls of their
// own. In a larger fleet these would delay the regular replies, which bring a changed
// verdict at once.
func (n *Node) inSmallFleet() bool { return n.Allowances.VMs() <= maxBroadcastVMs }

// lacksTable reports whether this VM knows the controller and has not received the whole
// runner table of its term.
func (n *Node) lacksTable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != "" && n.completeTerm != n.leader.Term
}

// reportCrashes reports to the controller, if one is known. What it does not take goes into
// the next report of any kind. It returns false if the call failed.
func (n *Node) reportCrashes() bool {
	leader, _ := n.Leader()
	if leader.VM == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, crashReportTimeout)
	defer cancel()
	all := n.lacksVerdictOf(leader.Term)
	report := n.Crashes.TakeReport(all)
	request, reply := encodeCrashes(report), new(drpb.FleetCrashReply)
	if err := n.Peers.Call(ctx, leader.VM, methodCrash, request, reply); err != nil || !reply.GetLeading() {
		n.Crashes.Requeue(report)
		log.WithFields(log.Fields{"event": "crashes-not-reported", "controller": leader.VM, "term": leader.Term, "crashes": len(report.Crashes)}).
			WithError(err).Info("")
		return false
	}
	n.applyVerdict(all, reply.GetTerm(), reply.GetVerdict())
	return true
}

// lacksVerdictOf reports whether this VM has no verdict of a term yet, so that the
// controller may not know what this VM knows of crashes.
func (n *Node) lacksVerdictOf(term uint64) bool {
	known, _ := n.Crashes.Position()
	return known < term
}

// applyVerdict applies the verdict in the reply to a report. The first one of a term
// replaces the blocks of the former controller, which the new one must have been told: all
// says whether the report had all that this VM knows.
func (n *Node) applyVerdict(all bool, term uint64, verdict *drpb.FleetVerdict) {
	if all || !n.lacksVerdictOf(term) {
		n.Crashes.SetVerdict(decodeVerdict(term, verdict))
	}
}

func (n *Node) handleCrash(_ context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	m := new(drpb.FleetCrashReport)
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, err
	}
	c := n.controller.Load()
	if c == nil || !c.Holds() {
		return &drpb.FleetCrashReply{}, nil
	}
	c.addCrashes(from.VM, m)
	return &drpb.FleetCrashReply{Leading: true, Term: c.Term, Verdict: encodeVerdict(c.crashes.VerdictFor(from.VM))}, nil
}
