package drcontroller

import (
	"fmt"
	"hash/fnv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// putRunners adds runners to the store whose ids compress badly.
func (f *testFleet) putRunners(count int) {
	for i := range count {
		h := fnv.New128a()
		_, _ = fmt.Fprint(h, i)
		f.store.Put(drstore.Runners, fmt.Sprintf("%x", h.Sum(nil)), []byte("1"))
	}
}

// demandUntil lets a request for a new model begin to wait at each VM every 20 ms, until a time
// or until something is done.
func (f *testFleet) demandUntil(end time.Time, done func() bool) {
	for time.Now().Before(end) && !done() {
		replica := drfleetview.Replica{Service: "llm", Model: time.Now().String()}
		for _, n := range f.nodes {
			n.View.AddWaiter(replica, time.Now(), time.Now(), 0).Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against VMs that come all at once and never get their tables over the slow link of
// the controller, because others are lost with pieces on their way or while they wait. Demand
// for ever new models has their first reports sent anew.
func TestFleetGetsTablesWhileVMsAreLost(t *testing.T) {
	const (
		vms     = 45
		lost    = 15
		runners = 2000
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(1)
		defer f.close()
		f.putRunners(runners)
		time.Sleep(3 * time.Second)
		controller := f.nodes["vm-0"]
		is.Equal(controller.View.RunnerCount(), runners)
		f.mu.Lock()
		f.linkRate = 0.6e6 // bytes a second
		f.mu.Unlock()
		f.takeCalls()
		began := time.Now()
		for i := range vms {
			f.start(fmt.Sprint("new-", i), 1)
		}
		f.demandUntil(began.Add(300*time.Millisecond), func() bool { return false })
		for i := range lost {
			f.nodes[fmt.Sprint("new-", 3*i)].partition()
		}
		remaining := func() (without int) {
			for _, n := range f.nodes {
				if !n.partitioned && (!n.View.RunnersKnown() || n.View.RunnerCount() < runners) {
					without++
				}
			}
			return without
		}
		f.demandUntil(began.Add(10*time.Second), func() bool { return remaining() == 0 })
		calls := f.takeCalls()
		t.Logf("%d without tables after %v, store calls %v", remaining(), time.Since(began), calls)
		is.Equal(remaining(), 0)
		is.True(calls[drstore.Runners] <= vms) // few need to read the store themselves
		is.Equal(f.controllers(), []*testNode{controller})
		time.Sleep(forgetWaiting)
		q := controller.controller.Load().pieces
		is.True(q.admit("last", tablePosition{}))
		q.mu.Lock()
		defer q.mu.Unlock()
		is.Equal(len(q.sent), 1) // nothing is kept of the others
		is.Equal(len(q.waiting), 0)
	})
}
