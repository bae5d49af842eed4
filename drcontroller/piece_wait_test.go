package drcontroller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// pieceWaitFixture is a controller whose window is full of pieces for other VMs.
type pieceWaitFixture struct{ *controllerFixture }

func newPieceWaitFixture(t *testing.T) pieceWaitFixture {
	f := pieceWaitFixture{newControllerFixture(t, func(c *ControllerConfig) { c.Clock = bubbleClock{start: time.Now()} })}
	f.view.ConfirmRunners(0, drstore.Position{})
	f.fillWindow()
	return f
}

func (f pieceWaitFixture) fillWindow() {
	for i := range firstWindow / maxPieceBytes {
		vm := fmt.Sprint("other-", i)
		f.controller.pieces.admit(vm, tablePosition{})
		f.controller.pieces.sending(vm, tablePosition{}, maxPieceBytes)
	}
}

// sync sends a report of the VM "waits", which has no table yet. The reply follows.
func (f pieceWaitFixture) sync(ctx context.Context, change func(*drpb.FleetSyncRequest)) <-chan *drpb.FleetSyncReply {
	request := &drpb.FleetSyncRequest{
		WaitMs: 600, ReadsUpdates: true, ReadsDeflated: true, Deployment: 1, TablePosition: &drpb.FleetTablePosition{Term: f.controller.Term},
	}
	change(request)
	replies := make(chan *drpb.FleetSyncReply, 1)
	go func() { replies <- f.controller.Sync(ctx, "waits", 1, request) }()
	synctest.Wait()
	return replies
}

// atOnce returns a reply if there is one within 50 ms, nil otherwise.
func atOnce(replies <-chan *drpb.FleetSyncReply) *drpb.FleetSyncReply {
	select {
	case r := <-replies:
		return r
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}

// Guards against a VM of an earlier version of the program that gets the table, all of it
// in one reply anyway, only after it has waited for a turn.
func TestEarlierVersionWaitsForNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPieceWaitFixture(t)
		reply := atOnce(f.sync(t.Context(), func(r *drpb.FleetSyncRequest) { r.ReadsUpdates, r.TablePosition = false, nil }))
		is.True(reply.GetWhole())
	})
}

// Guards against a VM that hears of a block only when its time to wait for a piece is over.
func TestVMThatWaitsForPieceHearsOfBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPieceWaitFixture(t)
		replies := f.sync(t.Context(), func(*drpb.FleetSyncRequest) {})
		is.Equal(atOnce(replies), nil)
		var report drcrash.Report
		for i := range drcrash.MaxCrashes {
			request := drrequest.NewFingerprint("account", "POST /", []byte("poison"))
			report.Crashes = append(report.Crashes, drcrash.Crash{Identity: drcrash.Identity{Request: request}, Runner: fmt.Sprint("r", i)})
		}
		f.controller.addCrashes("other", encodeCrashes(report))
		reply := atOnce(replies)
		is.Equal(len(reply.GetVerdict().GetBlocks()), 1)
		is.Equal(len(reply.GetTableBlocks()), 0)
		is.Equal(reply.GetTablePosition().GetNextBucket(), uint32(0)) // it still has nothing of the table
	})
}

// Guards against a VM that never reaches a new controller, because that holds its first
// report until there is room for a piece, and requests that wait have it sent anew sooner.
func TestFirstReportOfWaitingVMIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPieceWaitFixture(t)
		reply := atOnce(f.sync(t.Context(), func(r *drpb.FleetSyncRequest) { r.Whole = true }))
		is.True(reply.GetLeading())
		is.Equal(len(reply.GetTableBlocks()), 0)
	})
}

// Guards against requests that are refused at a VM which waits seconds for the table of a
// large fleet, although the controller knows runners that serve them.
func TestWaitingVMIsNamedRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPieceWaitFixture(t)
		f.view.OfferRunner(&drfleet.Runner{ID: "far", Service: "app", Zone: "z2", Address: "2:80"}, drfleetview.FromRunner)
		f.view.OfferRunner(&drfleet.Runner{ID: "near", Service: "app", Zone: "z1", Address: "1:80"}, drfleetview.FromRunner)
		vm := drfleetview.New(f.controller.Clock)
		receiver, named := tableReceiver{view: vm}, namedReplicas{}
		ask := func() (*drpb.FleetSyncRequest, *drpb.FleetSyncReply) {
			request := &drpb.FleetSyncRequest{Wants: []*drpb.FleetWant{{Replica: &drpb.FleetReplica{Service: "app"}}}}
			receiver.fillRequest(f.controller.Term, request)
			named.markUnlisted(vm, request)
			reply := atOnce(f.sync(t.Context(), func(r *drpb.FleetSyncRequest) {
				r.Zone, r.Wants, r.TablePosition = "z1", request.GetWants(), request.GetTablePosition()
			}))
			return request, reply
		}
		request, reply := ask()
		is.Equal(reply.GetTablePosition().GetNextBucket(), uint32(0)) // no piece
		is.Equal(len(reply.GetForecasts()), 0)                        // nothing is loaded for a plain service
		is.Equal(len(reply.GetRunners()), 2)
		is.Equal(reply.GetRunners()[0].GetId(), "near")
		named = named.withReply(request, reply)
		_, err := receiver.apply(reply, false)
		is.NoErr(err)
		is.Equal(len(vm.Candidates(drfleetview.Replica{Service: "app"})), 2)
		vm.RemoveRunner("near")
		vm.RemoveRunner("far")
		_, reply = ask() // the VM knows better than the entries
		is.Equal(reply, nil)
	})
}

// Guards against a VM that runs the controller and does not reach it for a quarter of a
// second, because its first report is held while nobody knows the runners.
func TestFirstReportOfControllersVMIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControllerFixture(t, func(c *ControllerConfig) { c.Clock = bubbleClock{start: time.Now()} })
		request := &drpb.FleetSyncRequest{WaitMs: 600, ReadsUpdates: true, ReadsDeflated: true, Deployment: 1, Whole: true}
		sent := time.Now()
		reply := f.controller.Sync(t.Context(), f.controller.Holder, 1, request)
		is.True(reply.GetLeading())
		is.True(time.Since(sent) < 50*time.Millisecond)
	})
}

// Guards against a piece for a report that the VM has given up, while its next report waits.
func TestGivenUpReportTakesNoPiece(t *testing.T) {
	for range 20 { // the wake-up may be seen before the end of the report, or after it
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newPieceWaitFixture(t)
			ctx, cancel := context.WithCancel(t.Context())
			f.sync(ctx, func(*drpb.FleetSyncRequest) {})
			replies := f.sync(t.Context(), func(*drpb.FleetSyncRequest) {})
			f.controller.wakeVMs(f.controller.pieces.complete("other-0"))
			cancel()
			is.True(len(atOnce(replies).GetTableBlocks()) > 0)
		})
	}
}
