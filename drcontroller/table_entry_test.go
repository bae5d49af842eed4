package drcontroller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// runnerWithOrders returns a runner that holds one model.
func runnerWithOrders(model string, orders int, cold time.Duration) *drfleet.Runner {
	return &drfleet.Runner{
		ID: "r", Service: "llm", Address: "10.0.0.1:1", Zone: "z", Started: 1, Orders: orders, Cold: cold,
		Replicas: []drfleet.Replica{{Model: model, Version: 1}},
	}
}

// tableController returns a controller that has read some runners from the store, without
// its loops.
func tableController(clock drfleetview.Clock, term uint64, runners ...*drfleet.Runner) *Controller {
	v := drfleetview.New(clock)
	for _, r := range runners {
		v.OfferRunner(r, drfleetview.FromRunner)
	}
	if len(runners) > 0 {
		v.ConfirmRunners(0, drstore.Position{})
	}
	return &Controller{ControllerConfig: ControllerConfig{Term: term}, view: v, table: newTableSender(v)}
}

// exchangeTable brings a VM up to the controller's table, as far as 10 replies do.
func exchangeTable(t *testing.T, c *Controller, r *tableReceiver) {
	t.Helper()
	for range 10 {
		request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: c.Term}
		r.fillRequest(c.Term, request)
		c.fillTable(request, reply, true)
		complete, err := r.apply(reply, false)
		if err != nil {
			t.Fatal(err)
		}
		if complete {
			return
		}
	}
	t.Fatal("the table is not complete")
}

// Guards against a VM that keeps an entry of a former term: it refuses that of a new
// controller, which has not counted the runner's orders yet, and hears no more of it.
func TestRefusedEntryIsSentAgain(t *testing.T) {
	for _, late := range []bool{false, true} {
		is := is.New(t)
		clock := drclock.NewFake(time.Unix(0, 0))
		c := tableController(clock, 2, runnerWithOrders("m1", 0, 0))
		if late { // another VM had the piece made before
			exchangeTable(t, c, &tableReceiver{view: drfleetview.New(clock)})
		}
		vm := &tableReceiver{view: drfleetview.New(clock)}
		vm.view.OfferRunner(runnerWithOrders("m2", 5, 0), drfleetview.FromController)
		if !late {
			exchangeTable(t, c, vm)
		}
		c.view.UpdateRunner("r", 1, func(r drfleet.Runner) drfleet.Runner {
			r.Orders = 7
			return r
		})
		exchangeTable(t, c, vm)
		r, _ := vm.view.Runner("r")
		is.Equal(r.Replicas[0].Model, "m1")
	}
}

// Guards against a piece that was made while a runner was warm and is sent after it has
// turned cold again.
func TestPieceTellsOfColdRunner(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	c := tableController(clock, 2, runnerWithOrders("m1", 0, time.Second))
	clock.Advance(2 * time.Second)
	exchangeTable(t, c, &tableReceiver{view: drfleetview.New(clock)})
	c.view.OfferRunner(runnerWithOrders("m1", 0, 9*time.Second), drfleetview.FromRunner)
	vm := &tableReceiver{view: drfleetview.New(clock)}
	exchangeTable(t, c, vm)
	changes, _ := vm.view.Changes(0)
	is.Equal(changes[0].Cold, 9*time.Second)
}

// Guards against a VM that loses its table to a controller that has read none: the same VM
// again, restarted, which it still takes for the former one.
func TestUnreadTableDoesNotReplaceAnother(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	vm := &tableReceiver{view: drfleetview.New(clock)}
	exchangeTable(t, tableController(clock, 5, runnerWithOrders("m1", 0, 0)), vm)
	restarted := tableController(clock, 6)
	request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: 6}
	vm.fillRequest(5, request)
	is.True(!restarted.hasPieceFor(request))
	restarted.fillTable(request, reply, true)
	_, err := vm.apply(reply, false)
	is.NoErr(err)
	_, known := vm.view.Runner("r")
	is.True(known)
}

// Guards against a VM that waits for its turn to get the table, and goes on using a runner
// that began to drain seconds ago.
func TestVMThatWaitsForTableHearsOfDrains(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	c := tableController(clock, 2, runnerWithOrders("m1", 0, 0))
	vm := &tableReceiver{view: drfleetview.New(clock)}
	exchangeTable(t, tableController(clock, 1, runnerWithOrders("m1", 0, 0)), vm)
	drains := func() bool {
		request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: c.Term}
		vm.fillRequest(c.Term, request)
		c.fillTable(request, reply, false) // it must wait
		complete, err := vm.apply(reply, false)
		is.NoErr(err)
		is.True(!complete)
		r, known := vm.view.Runner("r")
		is.True(known)
		return r.Draining
	}
	is.True(!drains())
	c.view.OfferRunner(runnerWithOrders("m1", 0, 0).WithDraining(), drfleetview.FromRunner)
	is.True(drains())
	restarted := runnerWithOrders("m1", 0, 0)
	restarted.Started = 2
	vm.view.OfferRunner(restarted, drfleetview.FromRunner)
	is.True(!drains()) // another incarnation
	clock.Advance(time.Minute)
	is.Equal(len(c.view.DrainingNews()), 0)
}
