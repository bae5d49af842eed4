package drplacement

import (
	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// vmStates is a snapshot of the states of the entry VMs, used to decide whether
// the owner of a runner or the holder of a slot still runs.
type vmStates struct {
	view drmember.View
	// present holds the members that are not unreachable. Members that are
	// shutting down are included, because they hand their runners over
	// themselves.
	present drcollection.Set[string]
	// unreachable holds the members that failure detection marks as
	// unreachable.
	unreachable drcollection.Set[string]
	// incarnations holds the incarnation number of each member, which
	// identifies its process. It is 0 for a VM known only from the list.
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

// ownerIsRunning reports whether the process that owns a runner is present. It
// returns false for a later process on the same VM: that process claims the
// runner anew, and if it cannot, for instance because it is cut off from the
// log, another VM has to.
func (s vmStates) ownerIsRunning(ownership Ownership) bool {
	return s.present.Has(ownership.VM) && s.incarnations[ownership.VM] <= ownership.Incarnation
}

// failed reports whether a VM is known to have failed. A VM that is neither
// present nor failed may merely not be discovered yet, because this VM or that
// one has just started.
func (s vmStates) failed(vm string) bool { return s.unreachable.Has(vm) || s.view.Gone(vm) }
