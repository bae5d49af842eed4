package drplacement

import (
	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// vmStates is the state of the entry VMs as far as ownership is concerned.
type vmStates struct {
	view drmember.View
	// present holds the VMs that keep their runners. A leaving owner hands
	// its runners over itself.
	present drcollection.Set[string]
	// unreachable holds the VMs that were seen to fail.
	unreachable drcollection.Set[string]
	// incarnations holds the running process of each VM that told it.
	incarnations map[string]uint64
}

func newVMStates(view drmember.View) vmStates {
	states := vmStates{view: view, present: make(drcollection.Set[string]), unreachable: make(drcollection.Set[string]), incarnations: make(map[string]uint64)}
	for _, m := range view.Members() {
		states.incarnations[m.VM] = m.Incarnation
		if m.State == drmember.Unreachable {
			states.unreachable.Add(m.VM)
		} else {
			states.present.Add(m.VM)
		}
	}
	return states
}

// ownerIsRunning reports whether the process that owns a runner runs and keeps it. A
// later process on the same VM does not: it claims the runner by itself, unless
// it is cut off from the log, and then another VM has to.
func (s vmStates) ownerIsRunning(ownership Ownership) bool {
	return s.present.Has(ownership.VM) && s.incarnations[ownership.VM] <= ownership.Incarnation
}

// failed reports whether a VM is known to have failed. A VM that is not present
// and not lost may merely not have been heard of yet, as when this VM or that
// one has just started.
func (s vmStates) failed(vm string) bool { return s.unreachable.Has(vm) || s.view.Gone(vm) }
