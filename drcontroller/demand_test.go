package drcontroller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// Demand moves to a model within a second. Guards against a utilization that shows
// it only once requests queue, and against one that forgets it as fast.
func TestDemandRisesFasterThanItFalls(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	d := demand{decayedAt: start, averagedAt: start}
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		d.add(5, now) // 50 requests per second
	}
	is.True(d.utilization(runningPerRunner) > 0.6)
	d.decay(now.Add(2 * time.Second))
	is.True(d.utilization(runningPerRunner) > 0.15)
}

// Guards against runners with few slots that count as little used while requests
// wait for their slots.
func TestUtilizationCountsSlots(t *testing.T) {
	is := is.New(t)
	d := demand{averageRunning: 16}
	is.Equal(d.utilization(16), 1.0)
	is.Equal(d.utilization(64), 16.0/runningPerRunner)
}

// A third of the VMs is cut off from the controller and goes on sending requests.
// Guards against models that count as less used because of that, for longer than
// the VMs may merely be cut off, or by any factor.
func TestDemandOfVMsThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := bubbleClock{start: time.Now()}
		c := NewController(ControllerConfig{Clock: clock, Metrics: drmetric.New(), Holds: func() bool { return false }}, drfleetview.New(clock))
		defer c.Close()
		state := func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.demandOf(drscheduler.Demand{Model: "m"}).averageRunning, c.demandOf(drscheduler.Demand{Model: "m"}).averagedAt = 12, clock.Now()
			return c.schedulerState(&drfleet.Service{Name: "llm", Engine: &drfleet.Engine{}}, clock.Now()).Work["m"]
		}
		is.Equal(state(), 0.5) // no VM at all
		for id, age := range map[string]time.Duration{"vm1": 0, "vm2": time.Second, "vm3": 3 * time.Second} {
			c.vms[id] = newVM(1)
			c.vms[id].lastReportAt = clock.Now().Add(-age)
		}
		is.Equal(state(), 0.75)
		c.vms["vm2"].lastReportAt = clock.Now().Add(-3 * time.Second)
		is.Equal(state(), 0.75) // one of three reports
	})
}
