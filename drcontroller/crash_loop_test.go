package drcontroller

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// failingPeers is a Caller whose calls all fail.
type failingPeers struct{}

func (failingPeers) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return errors.New("no reply")
}

// Guards against crashes and successes that the controller never hears of because the
// report with them failed or was superseded by another.
func TestFailedReportKeepsCrashes(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].withoutLoops()
	n.Peers = failingPeers{}
	n.leader = drlease.Lease{VM: "other"}
	crashed, served := drcrash.Identity{Request: drrequest.Fingerprint{1}}, drcrash.Identity{Request: drrequest.Fingerprint{2}}
	n.Crashes.RecordCrash(drcrash.Crash{Identity: crashed, Runner: "r1"})
	n.Crashes.RecordCrash(drcrash.Crash{Identity: served, Runner: "r1"})
	n.Crashes.RecordServed(served)
	for _, report := range []func() bool{n.report, n.reportCrashes} {
		n.lastReplyAt = f.clock.Now()
		report()
		left := n.Crashes.TakeReport(false)
		is.Equal(len(left.Crashes), 1)
		is.Equal(left.Crashes[0].Request, crashed.Request)
		is.Equal(left.Cleared, []drrequest.Fingerprint{served.Request})
		n.Crashes.Requeue(left)
	}
}
