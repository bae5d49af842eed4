package drcontroller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drzone"
)

// Guards against a zone that gets requests again, or none for good, because the store has
// dropped the records that took it out of service or back; and against taking such a
// record for a configuration.
func TestReaderFollowsZonesOutOfService(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	zones := func() []string {
		is.NoErr(w.reader.readDeployment(ctx, 0))
		return w.view.Outages().Zones()
	}
	w.store.Put(drstore.Deployments, "config", []byte("3"))
	w.store.Put(drstore.Deployments, "out/a", []byte("{}"))
	is.Equal(zones(), []string{"a"})
	w.store.Put(drstore.Deployments, "out/b", []byte("{}"))
	is.Equal(zones(), []string{"a", "b"})
	w.store.Put(drstore.Deployments, "out/a", nil)
	w.store.Put(drstore.Deployments, "out/c", []byte("{}"))
	w.store.Put(drstore.Deployments, "config", []byte("4"))
	w.store.Expire(drstore.Deployments)
	is.Equal(zones(), []string{"b", "c"})
	w.store.Put(drstore.Deployments, "out/b", nil)
	is.Equal(zones(), []string{"c"})
	w.store.Put(drstore.Deployments, "out/c", nil) // withdrawn and set again at once
	w.store.Put(drstore.Deployments, "out/c", []byte("{}"))
	is.Equal(zones(), []string{"c"})
	w.store.SetFault(drstandin.ErrNoAnswer, false)
	is.True(w.reader.readDeployment(ctx, 0) != nil)
	is.Equal(w.view.Outages().Zones(), []string{"c"})
	d, _ := w.view.Deployment()
	is.Equal(d.Version, int64(4))
}

// knowing returns the number of VMs that know that just the given zones are out of service.
func (f *testFleet) knowing(zones ...string) int {
	n := 0
	for _, node := range f.nodes {
		if slices.Equal(node.View.Outages().Zones(), zones) {
			n++
		}
	}
	return n
}

// Guards against VMs that learn late that a zone was taken out of service: in a large
// fleet, whose pending reports are not answered at each change, and if the controller is
// lost before it has told them.
func TestAllVMsLearnOfZoneOutOfService(t *testing.T) {
	const vms = 40 // above maxBroadcastVMs
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(vms)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.store.Put(drstore.Deployments, "out/a", []byte("{}"))
		time.Sleep(100 * time.Millisecond) // sooner than the next regular replies
		is.Equal(f.knowing("a"), vms)
		f.store.Put(drstore.Deployments, "out/b", []byte("{}"))
		f.store.Put(drstore.Deployments, "out/a", nil)
		time.Sleep(100 * time.Millisecond) // sooner than the next regular replies
		is.Equal(f.knowing("b"), vms)

		f.start("late", 1)
		time.Sleep(time.Second)
		is.Equal(f.knowing("b"), vms+1)

		f.controllers()[0].partition()
		f.store.Put(drstore.Deployments, "out/c", []byte("{}"))
		time.Sleep(2 * time.Second)
		is.True(f.knowing("b", "c") >= vms) // all but perhaps the one that is cut off
	})
}

// Guards against a new controller that takes zones back into service because the store is
// away when it begins, and against VMs that start meanwhile and count as informed.
func TestZonesStayOutWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(5)
		defer f.close()
		f.store.Put(drstore.Deployments, "out/a", []byte("{}"))
		time.Sleep(3 * time.Second)
		is.Equal(f.knowing("a"), 5)
		f.mu.Lock()
		f.outageUntil = time.Now().Add(8 * time.Second)
		f.mu.Unlock()
		f.start("late", 1)
		for range 16 {
			time.Sleep(500 * time.Millisecond)
			for name, n := range f.nodes {
				_, _, known := n.View.Ages()
				if known && !n.View.Outages().Has("a") {
					t.Fatalf("%s would send requests to the zone", name)
				}
			}
		}
		time.Sleep(4 * time.Second)
		is.Equal(f.knowing("a"), 6)
	})
}

// Guards against a controller that calls the zones of a reply that has been under way for
// long the newest.
func TestLateReplyTakesNothingBack(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].Node
	n.View.OfferOutages(drzone.New(900, map[string]int64{"a": 899}))
	n.applyOutages(&drpb.FleetSyncReply{Outages: encodeOutages(drzone.New(800, nil))})
	is.True(n.View.Outages().Has("a"))
	n.applyOutages(&drpb.FleetSyncReply{}) // of an earlier version of the program
	is.True(n.View.Outages().Has("a"))
	n.applyOutages(&drpb.FleetSyncReply{Outages: encodeOutages(drzone.New(901, nil))})
	is.True(n.View.Outages().Empty())
}

// Guards against models that only a zone out of service holds and that are loaded
// elsewhere only once they are missed, and against loads into that zone.
func TestControllerRelocatesModels(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	w.engines.mu.Lock()
	w.engines.runners["r2"] = &fakeRunner{onDisk: []string{"a", "b"}, orders: 1}
	w.engines.mu.Unlock()
	w.view.OfferRunner(&drfleet.Runner{ID: "r2", Service: "llm", Zone: "other"}, drfleetview.FromRunner)
	eventually(t, "both runners have reported", func() bool {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		s := w.controller.runnerStates["r2"]
		return s != nil && s.reported
	})
	w.controller.mu.Lock()
	w.controller.demandOf(drscheduler.Demand{Model: "a"}).add(10, w.controller.Clock.Now())
	w.controller.mu.Unlock()
	w.view.OfferOutages(drzone.New(1, map[string]int64{"": 0})) // that of r1
	eventually(t, "a is loaded elsewhere", func() bool { return slices.Contains(w.engines.loadedModels("r2"), "a") })
	w.reportWant("c")
	eventually(t, "c is loaded elsewhere, too", func() bool { return slices.Contains(w.engines.loadedModels("r2"), "c") })
	is.Equal(w.engines.loadedModels("r1"), []string{"a", "b"})
}

// draining counts the VMs that know that a runner drains.
func (f *testFleet) draining(id string) (n int) {
	for _, v := range f.nodes {
		if r, ok := v.View.Runner(id); ok && r.Draining {
			n++
		}
	}
	return n
}

// Guards against VMs of a large fleet that send requests to a runner for up to 0.6 s after
// the controller has heard that it leaves, beside the time that it took to hear.
func TestAllVMsLearnOfDrainAtOnce(t *testing.T) {
	const vms = 40 // above maxBroadcastVMs
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(vms)
		defer f.close()
		for i := range 5 {
			f.store.Put(drstore.Runners, fmt.Sprint("r", i), []byte("x"))
		}
		time.Sleep(3 * time.Second)
		for i := range 5 {
			id := fmt.Sprint("r", i)
			is.True(f.controllers()[0].View.MarkLeaving(drfleetview.Incarnation{Runner: id}))
			time.Sleep(50 * time.Millisecond) // sooner than the next regular replies to all
			is.Equal(f.draining(id), vms)
			time.Sleep(time.Duration(i+1) * 137 * time.Millisecond)
		}
	})
}
