package drcontroller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// largeFleet returns a controller of 1,000 runners, of which each runs a request of vm-1.
// Runner 500 holds "rare" and runs one more, which fails.
func largeFleet(t *testing.T) *Controller {
	discardLogs()
	v := drfleetview.New(drclock.System{})
	c := NewController(ControllerConfig{Clock: drclock.System{}, Term: 1, Holds: func() bool { return false }}, v)
	t.Cleanup(c.Close)
	request := &drpb.FleetSyncRequest{Term: 1, Whole: true}
	for i := range 1000 {
		model := "m"
		if i == 500 {
			model = "rare"
		}
		id := fmt.Sprintf("r%04d", i)
		v.OfferRunner(&drfleet.Runner{ID: id, Service: "llm", Replicas: []drfleet.Replica{{Model: model}}}, drfleetview.FromRunner)
		request.Uses = append(request.Uses, &drpb.FleetUse{Runner: id, Replicas: []*drpb.FleetReplicaUse{{Model: model, Running: 1, Requests: 1}}})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range v.Runners("") {
		c.runnerStates[r.ID] = newRunnerState(r.Started)
	}
	c.vms["vm-1"] = newVM(1)
	c.applyUses(c.vms["vm-1"], request, false, c.Clock.Now())
	c.loads = c.makeLoadIndex(v.Runners(""))
	return c
}

// loadsFor returns the loads by runner that a VM gets.
func loadsFor(c *Controller, vm string, request *drpb.FleetSyncRequest) map[string]uint32 {
	reply := c.Sync(context.Background(), vm, 1, request)
	loads := make(map[string]uint32)
	for _, l := range reply.GetLoads() {
		loads[l.GetRunner()] = l.GetRunning()
	}
	return loads
}

// Guards against replies that list every runner in use to every VM, which fill the link of
// the controller, and against a VM that does not learn the load of what it uses.
func TestLoadsAreLimited(t *testing.T) {
	is := is.New(t)
	c := largeFleet(t)
	is.True(len(loadsFor(c, "vm-2", &drpb.FleetSyncRequest{Term: 1})) <= maxBusiestLoads)

	loads := loadsFor(c, "vm-2", &drpb.FleetSyncRequest{Term: 1, Uses: []*drpb.FleetUse{
		{Runner: "r0500", Replicas: []*drpb.FleetReplicaUse{{Model: "rare", Requests: 1}}},
	}})
	is.Equal(loads["r0500"], uint32(1))
	loads = loadsFor(c, "vm-2", &drpb.FleetSyncRequest{Term: 1, Uses: []*drpb.FleetUse{
		{Runner: "r0001", Replicas: []*drpb.FleetReplicaUse{{Model: "m", Requests: 1}}},
	}})
	is.True(len(loads) <= maxBusiestLoads+maxOwnLoads)
	is.True(len(loads) > maxOwnLoads)
}

// Guards against a hot runner that VMs take for an idle one because they have not used its
// models lately.
func TestBusiestLoadsReachAllVMs(t *testing.T) {
	is := is.New(t)
	c := largeFleet(t)
	loadsFor(c, "vm-3", &drpb.FleetSyncRequest{Term: 1, Uses: []*drpb.FleetUse{
		{Runner: "r0777", Replicas: []*drpb.FleetReplicaUse{{Model: "m", Running: 30, Requests: 30}}},
	}})
	c.mu.Lock()
	c.loads = c.makeLoadIndex(c.view.Runners(""))
	c.mu.Unlock()
	is.Equal(loadsFor(c, "vm-2", &drpb.FleetSyncRequest{Term: 1})["r0777"], uint32(31))
}

// Guards against a record of a VM's uses that grows with the models of the fleet.
func TestRecentUsesAreBounded(t *testing.T) {
	is := is.New(t)
	v, now := newVM(1), time.Now()
	for i := range 1000 {
		v.recordUse(usedModel{"llm", fmt.Sprint(i)}, now.Add(time.Duration(i)))
	}
	is.Equal(len(v.recentUses(nil, now)), maxRecentUses)
	_, newest := v.used[usedModel{"llm", "999"}]
	is.True(newest)
	is.Equal(len(v.recentUses(nil, now.Add(recentUse+time.Second))), 0)
}
