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

// fault is a failure that can be injected into a system and healed. The subject is
// the entry VM that faults of a single VM hit; the other faults ignore it.
type fault struct {
	column string
	inject func(s *system, subject *drserve.VM)
	// heal is nil for permanent faults.
	heal func(s *system, subject *drserve.VM)
}

func newLogFault(column string, logFaults drstandin.LogFaults) fault {
	return fault{column, func(s *system, _ *drserve.VM) { s.setLogFaults(logFaults) }, func(s *system, _ *drserve.VM) { s.setLogFaults(drstandin.LogFaults{}) }}
}

// logStreams are the names of all streams of the log.
var logStreams = []string{"config", "placement", "shares", "suspects", "once-0", "once-1", "once-2", "once-3", "once-4", "once-5", "once-6", "once-7"}

// truncateUnreadRecords drops all records of all streams of the log while the
// subject cannot read, so that the subject misses a record.
func truncateUnreadRecords(s *system, subject *drserve.VM) {
	s.mu.Lock()
	l := s.logLinks[subject.Settings.VM]
	s.mu.Unlock()
	l.setCut(true)
	s.platform.Log.Append("config", drconfig.Change{ID: fmt.Sprintf("gap-%d", s.changes.Add(1))}.Encode())
	time.Sleep(300 * time.Millisecond) // lets the other VMs read the record
	for _, name := range logStreams {
		s.platform.Log.Truncate(name, 1<<40)
	}
	l.setCut(false)
}

// reclaim kills the VM and removes it from the VM list.
func reclaim(s *system, subject *drserve.VM) {
	s.kill(subject)
	if err := s.platform.RemoveEntry(subject.Settings.VM); err != nil {
		s.t.Error(err)
	}
}

// submitConflictingChanges submits two changes of one object at two VMs at the
// same time, and checks that exactly one is accepted.
func submitConflictingChanges(s *system, _ *drserve.VM) {
	offset := s.configOffset()
	results := make(chan dradmin.ChangeResult, 2)
	vms := s.live()
	for i := range 2 {
		c := s.newAccountChange("raced", 2+i, offset)
		go func() { results <- s.submit(vms[i], c) }()
	}
	a, b := <-results, <-results
	if a.Accepted == b.Accepted {
		s.t.Errorf("want exactly one of two conflicting changes accepted, got %v and %v", a.Accepted, b.Accepted)
	}
}

// withdrawKey deletes the demonstration key of a client account.
func withdrawKey(s *system, account string) dradmin.ChangeResult {
	return s.submit(s.live()[0], s.keyDeletion(account))
}

func (s *system) keyDeletion(account string) dradmin.Change {
	return dradmin.Change{
		ID: fmt.Sprintf("matrix-%d", s.changes.Add(1)), BasedOn: s.configOffset(), Author: "matrix",
		Deletes: []dradmin.ObjectName{{Kind: string(drconfig.KindKey), Name: account + "-1"}},
	}
}

// sendPoison sends a request that crashes each engine that runs it, and checks
// that at most two engines crashed.
func sendPoison(s *system, _ *drserve.VM) {
	vms := s.live()
	streamCompletion(vms[len(vms)-1], "drk_demo_passasjer-app", s.pickModel(false), poisonPrompt, 8, 10*time.Second, nil)
	crashes := 0
	for _, e := range s.platform.Engines {
		crashes += e.Counts().Crashes
	}
	if crashes > 2 {
		s.t.Errorf("one request crashed %d engines", crashes)
	}
}

var faults = []fault{
	{"process death", func(s *system, vm *drserve.VM) { s.kill(vm) }, nil},
	newLogFault("log down", drstandin.LogFaults{Down: true}),
	newLogFault("log slow", drstandin.LogFaults{Delay: drstandin.Duration(400 * time.Millisecond)}),
	newLogFault("log answer lost", drstandin.LogFaults{LoseAnswer: true}),
	newLogFault("late append", drstandin.LogFaults{LateAppend: drstandin.Duration(700 * time.Millisecond)}),
	{"log gap", truncateUnreadRecords, nil},
	{
		"weight store slow",
		func(s *system, _ *drserve.VM) { s.platform.Store.SetFaults(drstandin.WeightStoreFaults{Slow: 4}) },
		func(s *system, _ *drserve.VM) { s.platform.Store.SetFaults(drstandin.WeightStoreFaults{}) },
	},
	{"VM reclaimed", reclaim, nil},
	{
		"zone partition",
		func(s *system, vm *drserve.VM) { s.setPartitioned(vm, true) },
		func(s *system, vm *drserve.VM) { s.setPartitioned(vm, false) },
	},
	{
		"one-way partition",
		func(s *system, vm *drserve.VM) { s.setPeersBlocked(vm, true, false) },
		func(s *system, vm *drserve.VM) { s.setPeersBlocked(vm, false, false) },
	},
	{"key withdrawn", func(s *system, _ *drserve.VM) { withdrawKey(s, "passasjer-app") }, nil},
	{"operators racing", submitConflictingChanges, nil},
	{"poison request", sendPoison, nil},
}

// faultDuration is how long a temporary fault lasts: long enough for several polls
// and calls, but too short for VMs without the log to stop counting as fresh.
const faultDuration = 2 * time.Second

// start injects the fault and heals it after faultDuration. It returns a function
// that waits for the end of that time.
func (f fault) start(s *system, subject *drserve.VM) (awaitHeal func()) {
	f.inject(s, subject)
	done := make(chan struct{})
	time.AfterFunc(faultDuration, func() {
		if f.heal != nil {
			f.heal(s, subject)
		}
		close(done)
	})
	return func() { <-done }
}

// awaitReady waits until the VM reports that it is ready, and fails the test after
// bound.
func (s *system) awaitReady(vm *drserve.VM, bound time.Duration) {
	s.t.Helper()
	s.waitFor(bound, vm.Settings.VM+" ready", func() bool {
		st, err := s.Admin(vm).Status(context.Background())
		return err == nil && st.Ready
	})
}
