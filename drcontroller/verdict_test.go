package drcontroller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

var deadly = drcrash.Identity{Request: drrequest.Fingerprint{1}}

// deadlyCrashes returns what is reported of as many runners as make a request refused.
func deadlyCrashes() *drpb.FleetCrashReport {
	var report drcrash.Report
	for i := range drcrash.MaxCrashes {
		report.Crashes = append(report.Crashes, drcrash.Crash{Identity: deadly, Runner: fmt.Sprint("r", i)})
	}
	return encodeCrashes(report)
}

// Guards against a VM that goes on sending requests which crash runners because it waits
// for the table of a new controller, while all VMs that have it are told to refuse them.
func TestVMWithoutTableIsToldOfBlocks(t *testing.T) {
	discardLogs()
	for name, request := range map[string]*drpb.FleetSyncRequest{
		"has the verdict": {VerdictTerm: 7},
		"has that of another term, of the same revision": {Term: 6, VerdictTerm: 6, Verdict: 1},
		"has none": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := bubbleClock{start: time.Now()}
				// It has not read the table yet, so no VM can get it.
				c := NewController(ControllerConfig{Clock: clock, Metrics: drmetric.New(), Term: 7, Holds: func() bool { return true }}, drfleetview.New(clock))
				defer c.Close()
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.addCrashes("vm1", deadlyCrashes())
				}()
				request.ReadsUpdates, request.WaitMs = true, uint32(maxSyncWait.Milliseconds())
				reply := c.Sync(context.Background(), "vm2", 1, request)
				is.Equal(len(reply.GetVerdict().GetBlocks()), 1)
				is.True(clock.Uptime() < 200*time.Millisecond)
			})
		})
	}
}

// recordingPeers is a Caller whose controller has term 7 and knows of no crash.
type recordingPeers struct{ reported []*drpb.FleetCrashReport }

func (p *recordingPeers) Call(_ context.Context, _, _ string, request, reply proto.Message) error {
	switch m := request.(type) {
	case *drpb.FleetSyncRequest:
		p.reported = append(p.reported, m.GetCrashReport())
		proto.Merge(reply, &drpb.FleetSyncReply{Leading: true, Term: 7})
	case *drpb.FleetCrashReport:
		p.reported = append(p.reported, m)
		proto.Merge(reply, &drpb.FleetCrashReply{Leading: true, Term: 7})
	}
	return nil
}

// Guards against a VM that forgets what it refuses with the first reply of a new controller,
// and has not told that one: it learned of the controller between two reports.
func TestNewControllerIsToldOfBlocks(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].withoutLoops()
	for _, report := range []func() bool{n.report, n.reportCrashes} {
		n.Crashes = drcrash.NewLedger(f.clock)
		n.Crashes.SetVerdict(drcrash.Verdict{Term: 6, Blocks: []drcrash.Block{{Cause: deadly.Request, Left: time.Minute, Span: time.Minute}}})
		peers := new(recordingPeers)
		n.Peers, n.fullReport, n.reportedTerm = peers, false, 6
		n.setLeader(drlease.Lease{VM: "other", Term: 7})
		report()
		is.Equal(len(peers.reported), 1)
		is.Equal(len(peers.reported[0].GetBlocks()), 1)
	}
}
