package drmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// fault can be injected into a system and healed. The subject is the entry VM
// that the scenario's step runs on.
type fault struct {
	column string
	inject func(s *system, subject *drserve.VM)
	// heal is nil for faults that stay.
	heal func(s *system, subject *drserve.VM)
}

func logFault(column string, f drstandin.LogFaults) fault {
	return fault{column, func(s *system, _ *drserve.VM) { s.logFaults(f) }, func(s *system, _ *drserve.VM) { s.logFaults(drstandin.LogFaults{}) }}
}

// streams are the log's streams.
var streams = []string{"config", "placement", "shares", "suspects", "once-0", "once-1", "once-2", "once-3", "once-4", "once-5", "once-6", "once-7"}

// truncateAll drops all records of all streams while the subject cannot read.
func truncateAll(s *system, subject *drserve.VM) {
	s.mu.Lock()
	l := s.links[subject.Settings.VM]
	s.mu.Unlock()
	l.set(true)
	s.platform.Log.Append("config", drconfig.Change{ID: fmt.Sprintf("gap-%d", s.changes.Add(1))}.Encode())
	time.Sleep(300 * time.Millisecond) // the other VMs read it
	for _, name := range streams {
		s.platform.Log.Truncate(name, 1<<40)
	}
	l.set(false)
}

// reclaim ends the VM and takes it off the list.
func reclaim(s *system, subject *drserve.VM) {
	s.kill(subject)
	if err := s.platform.RemoveEntry(subject.Settings.VM); err != nil {
		s.t.Error(err)
	}
}

// race submits conflicting changes at two VMs.
func race(s *system, _ *drserve.VM) {
	offset := s.offset()
	results := make(chan dradmin.ChangeResult, 2)
	vms := s.live()
	for i := range 2 {
		c := s.change("raced", 2+i, offset)
		go func() { results <- s.submit(vms[i], c) }()
	}
	a, b := <-results, <-results
	if a.Accepted == b.Accepted {
		s.t.Errorf("conflicting changes: accepted %v and %v", a.Accepted, b.Accepted)
	}
}

// withdraw deletes the key that another client account uses.
func withdraw(s *system, account string) dradmin.ChangeResult {
	return s.submit(s.live()[0], s.withdrawal(account))
}

func (s *system) withdrawal(account string) dradmin.Change {
	return dradmin.Change{
		ID: fmt.Sprintf("matrix-%d", s.changes.Add(1)), BasedOn: s.offset(), Author: "matrix",
		Deletes: []dradmin.ObjectName{{Kind: string(drconfig.KindKey), Name: account + "-1"}},
	}
}

// sendPoison sends a request that crashes the engines that run it.
func sendPoison(s *system, _ *drserve.VM) {
	vms := s.live()
	stream(vms[len(vms)-1], "drk_demo_passasjer-app", s.model(false), poison, 8, 10*time.Second, nil)
	crashes := 0
	for _, e := range s.platform.Engines {
		crashes += e.Counts().Crashes
	}
	if crashes > 2 {
		s.t.Errorf("one request crashed %d engines", crashes)
	}
}

var faults = []fault{
	{"process death", func(s *system, v *drserve.VM) { s.kill(v) }, nil},
	logFault("log down", drstandin.LogFaults{Down: true}),
	logFault("log slow", drstandin.LogFaults{Delay: drstandin.Duration(400 * time.Millisecond)}),
	logFault("log answer lost", drstandin.LogFaults{LoseAnswer: true}),
	logFault("late append", drstandin.LogFaults{LateAppend: drstandin.Duration(700 * time.Millisecond)}),
	{"log gap", truncateAll, nil},
	{
		"weight store slow",
		func(s *system, _ *drserve.VM) { s.platform.Store.SetFaults(drstandin.WeightStoreFaults{Slow: 4}) },
		func(s *system, _ *drserve.VM) { s.platform.Store.SetFaults(drstandin.WeightStoreFaults{}) },
	},
	{"VM reclaimed", reclaim, nil},
	{
		"zone partition",
		func(s *system, v *drserve.VM) { s.partition(v, true) },
		func(s *system, v *drserve.VM) { s.partition(v, false) },
	},
	{
		"one-way partition",
		func(s *system, v *drserve.VM) { s.cutOff(v, true, false) },
		func(s *system, v *drserve.VM) { s.cutOff(v, false, false) },
	},
	{"key withdrawn", func(s *system, _ *drserve.VM) { withdraw(s, "passasjer-app") }, nil},
	{"operators racing", race, nil},
	{"poison request", sendPoison, nil},
}

// faultSpan is how long a fault lasts. It covers several polls and calls, and
// with the log down leaves the VMs fresh.
const faultSpan = 2 * time.Second

// start injects the fault and returns a function that waits until it healed.
func (f fault) start(s *system, subject *drserve.VM) (healed func()) {
	f.inject(s, subject)
	done := make(chan struct{})
	time.AfterFunc(faultSpan, func() {
		if f.heal != nil {
			f.heal(s, subject)
		}
		close(done)
	})
	return func() { <-done }
}

// ready waits until the VM is ready.
func (s *system) ready(v *drserve.VM, bound time.Duration) {
	s.t.Helper()
	s.until(bound, v.Settings.VM+" ready", func() bool {
		st, err := s.Admin(v).Status(context.Background())
		return err == nil && st.Ready
	})
}
