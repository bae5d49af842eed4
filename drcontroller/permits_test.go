package drcontroller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// newColdFixture returns a controller whose runner r1 is cold for a while.
func newColdFixture(t *testing.T) *controllerFixture {
	w := newControllerFixture(t, func(c *ControllerConfig) { c.ColdBound = drwarmup.Bound{Window: time.Second, Overage: 1.5, Slack: 3} })
	old, _ := w.view.Deployment()
	config := old.Config
	config.Version++
	config.Services[0].ColdRate = 4
	d, err := drfleet.NewDeployment(config)
	if err != nil {
		t.Fatal(err)
	}
	w.view.OfferDeployment(d, []byte("2"))
	w.view.OfferRunner(&drfleet.Runner{ID: "r1", Service: "llm", Beat: 1, Cold: time.Minute,
		Replicas: []drfleet.Replica{{Model: "a"}, {Model: "b"}}}, drfleetview.FromRunner)
	return w
}

// wantOfModelA returns a report with requests that wait for model a.
func wantOfModelA(waiting, waitMs uint32) *drpb.FleetSyncRequest {
	return &drpb.FleetSyncRequest{WaitMs: waitMs, Wants: []*drpb.FleetWant{
		{Replica: &drpb.FleetReplica{Service: "llm", Model: "a"}, Waiting: waiting, ObjectiveLeftMs: 1000, DeadlineLeftMs: 9000},
	}}
}

// syncWant sends a report of a VM with requests that wait for model a, and returns the
// permits in the reply.
func (w *controllerFixture) syncWant(vm string, waiting, waitMs uint32) (permits int) {
	request := wantOfModelA(waiting, waitMs)
	request.Term = w.controller.Term
	reply := w.controller.Sync(context.Background(), vm, 1, request)
	for _, p := range reply.GetPermits() {
		permits += int(p.GetPermits())
		if p.GetLeftMs() < uint32(drwarmup.PermitTime.Milliseconds()) {
			return -1
		}
	}
	return permits
}

// Guards against a model whose only runner is cold and that nobody may use, and against
// permits for more requests than the runner bears, over all VMs.
func TestControllerSharesColdRunner(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	began := time.Now()
	eventually(t, "the first permits are given", func() bool { return w.syncWant("vm-a", 2, 0) > 0 })
	is.True(time.Since(began) >= drwarmup.PermitTime) // a former controller's may be used until then
	given := 0
	for time.Since(began) < drwarmup.PermitTime+2*time.Second {
		given += w.syncWant("vm-b", 9, 200) // held until there is one
	}
	is.True(given >= 6 && given <= 12)
}

// Guards against permits of a controller that has lost its lease, beside those of its
// successor.
func TestNoPermitsWithoutLease(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	eventually(t, "permits are given", func() bool { return w.syncWant("vm-a", 1, 0) > 0 })
	w.holdsLease.Store(false)
	time.Sleep(time.Second)
	is.Equal(w.syncWant("vm-a", 1, 0), 0)
}

// Guards against permits of a controller that is releasing its lease, which its successor may
// have acquired before the call to the store returns.
func TestNoPermitsOfClosedController(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	eventually(t, "permits can be given", func() bool { return w.controller.canGivePermits(wantOfModelA(2, 0)) })
	w.controller.Close()
	is.Equal(w.syncWant("vm-a", 1, 0), 0)
}

// Guards against a cold runner that has named a limit and gets more than one of the two bounds
// allows, because only the lower rate counts, with a slack that the other one does not have.
func TestColdLimitedRunnerGetsWhatBothAllow(t *testing.T) {
	for _, c := range []struct {
		limit float64
		cold  drwarmup.Bound
	}{
		{5, drwarmup.Bound{Window: time.Second, Overage: 1.5, Slack: 20}},
		{3, drwarmup.Bound{Window: time.Second, Overage: 1}},
	} {
		is := is.New(t)
		w := newColdFixture(t) // 4 requests a second while it is cold
		w.controller.ColdBound = c.cold
		r1, _ := w.view.Runner("r1")
		w.view.OfferLimit(drfleetview.IncarnationOf(r1), c.limit, 0)
		bounded := w.view.BoundedRunners(drfleetview.Replica{Service: "llm", Model: "a"})[0]
		given := func(window time.Duration) (n int) {
			budget := drwarmup.NewBudget(0)
			for at := time.Duration(0); at < window+drwarmup.PermitTime; at += 10 * time.Millisecond {
				n += budget.Give(bounded.Warming(), w.controller.borneBy(bounded), 99, time.Minute+at)
			}
			return n
		}
		is.True(float64(given(c.cold.Window)) <= 4*c.cold.Overage+c.cold.Slack)
		b := drwarmup.LimitBound
		is.True(float64(given(b.Window)) <= c.limit*b.Overage*b.Window.Seconds()+b.Slack)
		is.True(given(b.Window) >= int(b.Window.Seconds())) // and something
	}
}

// Guards against permits that count from when a reply arrives: it may have been under way
// for long, and the VM may have been suspended.
func TestPermitsCountFromTheReport(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].Node
	r := &drfleet.Runner{ID: "r1", Service: "llm", Started: 7, Cold: time.Hour, Replicas: []drfleet.Replica{{Model: "m"}}}
	d, err := drfleet.NewDeployment(drfleet.Config{Version: 900, Services: []drfleet.Service{{Name: "llm", ColdRate: 4}}})
	is.NoErr(err)
	n.View.OfferDeployment(d, nil)
	n.View.OfferRunner(r, drfleetview.FromRunner)
	permit := &drpb.FleetPermit{Runner: encodeIncarnation(drfleetview.IncarnationOf(r)), Permits: 1, LeftMs: 300}
	reply := &drpb.FleetSyncReply{Permits: []*drpb.FleetPermit{permit}}
	n.applyPermits(reply, n.Clock.Uptime()-400*time.Millisecond)
	is.True(!n.View.MayStart(r))
	n.applyPermits(reply, n.Clock.Uptime())
	is.True(n.View.MayStart(r))
	is.True(!n.View.MayStart(r))
}

// Guards against permits that are lost because they go to a report whose sender has
// cancelled it: a VM does that whenever a request begins to wait for something else.
func TestNoPermitsForCancelledReports(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	eventually(t, "permits can be given", func() bool { return w.controller.canGivePermits(wantOfModelA(2, 0)) })
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(len(w.controller.Sync(cancelled, "vm-a", 1, wantOfModelA(9, 0)).GetPermits()), 0)
	is.True(w.syncWant("vm-b", 1, 0) > 0)
}

// Guards against permits for a VM that cannot use them, because the runner wants nothing of
// it for a time, while the requests of other VMs wait.
func TestNoPermitsForPausedRunners(t *testing.T) {
	is := is.New(t)
	w := newColdFixture(t)
	request := wantOfModelA(9, 0)
	request.Pauses = []*drpb.FleetPause{{Runner: &drpb.FleetIncarnation{Runner: "r1"}, LeftMs: 5000}}
	eventually(t, "permits can be given", func() bool { return w.controller.canGivePermits(wantOfModelA(2, 0)) })
	is.True(!w.controller.canGivePermits(request))
	is.Equal(len(w.controller.Sync(context.Background(), "vm-a", 1, request).GetPermits()), 0)
	is.True(w.syncWant("vm-b", 1, 0) > 0)
}
