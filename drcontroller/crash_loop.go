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
	// in between are reported together.
	crashReportPause = 50 * time.Millisecond
)

// crashLoop reports crashes at once. The regular reports may wait for more than half a
// second, in which requests that crash runners end several more.
func (n *Node) crashLoop() {
	for {
		select {
		case <-n.Crashes.News():
		case <-n.ctx.Done():
			return
		}
		n.reportCrashes()
		if n.Clock.Sleep(n.ctx, crashReportPause) != nil {
			return
		}
	}
}

// reportCrashes reports to the controller. What it does not take goes into the next
// regular report.
func (n *Node) reportCrashes() {
	leader, reached := n.Leader()
	if !reached {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, crashReportTimeout)
	defer cancel()
	report := n.Crashes.TakeReport(false)
	request, reply := encodeCrashes(report), new(drpb.FleetCrashReply)
	if err := n.Peers.Call(ctx, leader.VM, methodCrash, request, reply); err != nil || !reply.GetLeading() {
		n.Crashes.Requeue(report)
		log.WithFields(log.Fields{"event": "crashes-not-reported", "controller": leader.VM, "term": leader.Term, "crashes": len(report.Crashes)}).
			WithError(err).Info("")
		return
	}
	n.Crashes.SetVerdict(decodeVerdict(reply.GetTerm(), reply.GetVerdict()))
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
