package drcontroller

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// tableFixture is a controller's table of 3,000 runners and the receiver of a VM that
// has none yet.
type tableFixture struct {
	controller *Controller
	receiver   *tableReceiver
	bytes      int // of all replies that the VM got
}

func newTableFixture(term uint64) *tableFixture {
	v := drfleetview.New(drclock.System{})
	for i := range 3000 {
		v.OfferRunner(tableRunner(i, "m1"), drfleetview.FromRunner)
	}
	v.ConfirmRunners(0, drstore.Position{})
	return &tableFixture{
		controller: &Controller{ControllerConfig: ControllerConfig{Term: term}, view: v, table: newTableSender(v)},
		receiver:   &tableReceiver{view: drfleetview.New(drclock.System{})},
	}
}

func tableRunner(i int, model string) *drfleet.Runner {
	return &drfleet.Runner{
		ID: fmt.Sprintf("i-%010x", i*7919), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256), Zone: "zone-a",
		Started: int64(i), Replicas: []drfleet.Replica{{Model: model, Version: 1}},
	}
}

// step sends one report and applies the reply, unless it is lost. It reports whether the
// VM has the whole table.
func (f *tableFixture) step(is *is.I, lost bool) (complete bool) {
	request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: f.controller.Term}
	f.receiver.fillRequest(f.controller.Term, request)
	f.controller.fillTable(request, reply, true)
	size := proto.Size(reply)
	is.True(size < 3*maxPieceBytes) // a reply whose size does not grow with the fleet
	f.bytes += size
	if lost {
		return false
	}
	complete, err := f.receiver.apply(reply, false)
	is.NoErr(err)
	return complete
}

// finish steps until the VM has the whole table, and checks that it is that of the
// controller.
func (f *tableFixture) finish(is *is.I) {
	for range 100 {
		if f.step(is, false) {
			is.True(slices.Equal(f.receiver.view.Digests(), f.controller.view.Digests()))
			is.Equal(f.receiver.view.RunnerCount(), f.controller.view.RunnerCount())
			return
		}
	}
	is.Fail() // no end
}

// Guards against a VM that begins the table anew because one reply was lost, and against
// one that keeps a runner that was removed, or misses one that was added, while it got the
// table.
func TestTableArrivesInPieces(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(1)
	is.True(!f.step(is, false))
	halfway := f.receiver.position
	f.step(is, true)
	is.Equal(f.receiver.position, halfway)
	for range 2 {
		f.step(is, false)
	}
	for i := range 100 {
		f.controller.view.RemoveRunner(tableRunner(i*30, "").ID)
	}
	f.controller.view.OfferRunner(tableRunner(3001, "m1"), drfleetview.FromRunner)
	f.finish(is)
}

// Guards against a change of the controller that costs each VM the whole table, also
// while the VM is still receiving it.
func TestTableSurvivesControllerChange(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(1)
	f.finish(is)
	whole := f.bytes
	next := newTableFixture(2)
	next.controller.view.OfferRunner(tableRunner(5, "m2").WithDraining(), drfleetview.FromController)
	f.controller, f.bytes = next.controller, 0
	f.finish(is)
	is.True(f.bytes < whole/50)

	f.receiver = &tableReceiver{view: drfleetview.New(drclock.System{})} // the VM has restarted
	f.bytes = 0
	f.step(is, false)
	f.step(is, false)
	f.controller = newTableFixture(3).controller
	f.finish(is)
	is.True(f.bytes < whole*5/4)
}

// Guards against a reply with thousands of changes, for example after a zone was cut off,
// and against a table that is never complete because it changes meanwhile.
func TestManyChangesArriveInPieces(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(1)
	f.finish(is)
	for round := range 3 {
		for i := range 1000 {
			f.controller.view.OfferRunner(tableRunner(i, fmt.Sprint("m", 2+round)), drfleetview.FromController)
		}
		f.step(is, false)
		f.step(is, false)
	}
	f.finish(is)
}

// Guards against an update that leaves out what the VM does not know, and against a VM
// that stays without the runner afterwards.
func TestUpdateOfUnknownRunner(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(1)
	f.finish(is)
	f.receiver.view.RemoveRunner(tableRunner(7, "").ID)
	f.controller.view.OfferRunner(tableRunner(7, "m2"), drfleetview.FromController)
	request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: 1}
	f.receiver.fillRequest(1, request)
	f.controller.fillTable(request, reply, true)
	is.Equal(len(reply.GetRunners()), 1)
	is.Equal(reply.GetRunners()[0].GetAddress(), "") // the VM had it
	_, err := f.receiver.apply(reply, false)
	is.Equal(err, errUnknownRunner)
	f.finish(is)
}

// Guards against VMs of an earlier version of the program that get pieces, which they
// cannot read, during a rolling restart.
func TestEarlierVersionGetsWholeTable(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(2)
	reply := &drpb.FleetSyncReply{Leading: true, Term: 2}
	f.controller.fillTable(&drpb.FleetSyncRequest{Term: 1, Revision: 9}, reply, true)
	is.True(reply.GetWhole())
	is.Equal(len(reply.GetRunners()), 3000)
	complete, err := f.receiver.apply(reply, false)
	is.NoErr(err)
	is.True(complete)
	is.True(slices.Equal(f.receiver.view.Digests(), f.controller.view.Digests()))
}

// Guards against VMs that take the empty table of a controller that has not read it yet
// for a fleet without runners.
func TestUnknownTableIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newTableFixture(2)
	f.finish(is)
	empty := drfleetview.New(drclock.System{})
	f.controller = &Controller{ControllerConfig: ControllerConfig{Term: 3}, view: empty, table: newTableSender(empty)}
	is.True(!f.step(is, false))
	is.Equal(f.receiver.view.RunnerCount(), 3000)
}

// Guards against VMs that keep another table than the controller after a start or after
// the loss of the controller.
func TestTablesAgreeAfterControllerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(6)
		defer f.close()
		for i := range 1500 {
			f.store.Put(drstore.Runners, fmt.Sprint("r", i), []byte("x"))
		}
		time.Sleep(5 * time.Second)
		agree := func() {
			digests := f.controllers()[0].View.Digests()
			for _, n := range f.nodes {
				if !n.partitioned {
					is.True(n.View.RunnersKnown())
					is.True(slices.Equal(n.View.Digests(), digests))
				}
			}
		}
		agree()
		f.controllers()[0].partition()
		f.store.Put(drstore.Runners, "r7", nil)
		f.store.Put(drstore.Runners, "added", []byte("x"))
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		is.Equal(f.controllers()[0].View.RunnerCount(), 1500)
		agree()
	})
}
