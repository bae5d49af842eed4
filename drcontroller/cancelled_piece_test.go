package drcontroller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// slowPeers is a Caller whose controller replies after a time, with a piece of its table.
// Requests begin to wait while it does, but for its first reply.
type slowPeers struct {
	view    *drfleetview.View
	replies int
}

func (p *slowPeers) Call(ctx context.Context, _, _ string, _, reply proto.Message) error {
	if p.replies > 0 {
		defer p.view.AddWaiter(drfleetview.Replica{Service: "llm", Model: "a"}, time.Now(), time.Now(), 0).Close()
	}
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		return ctx.Err()
	}
	p.replies++
	proto.Merge(reply, &drpb.FleetSyncReply{Leading: true, Term: 7, TablePosition: &drpb.FleetTablePosition{Term: 7, NextBucket: 1}})
	return nil
}

// Guards against a VM that never gets the table of a controller, because requests that wait
// for models cancel each of its reports before the reply.
func TestWaitingRequestsDoNotCancelPieces(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].withoutLoops()
	peers := &slowPeers{view: n.View}
	n.Peers = peers
	n.setLeader(drlease.Lease{VM: "other", Term: 7})
	for range 3 {
		is.True(n.report())
	}
	is.Equal(peers.replies, 3)
	_, reached := n.Leader()
	is.True(reached)
}
