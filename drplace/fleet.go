package drplace

import (
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drset"
)

// fleet is the state of the entry VMs as far as ownership is concerned.
type fleet struct {
	view drmember.View
	// present holds the VMs that keep their runners. A leaving owner hands
	// its runners over itself.
	present drset.Set[string]
	// unreachable holds the VMs that were seen to fail.
	unreachable drset.Set[string]
}

func newFleet(v drmember.View) fleet {
	f := fleet{view: v, present: make(drset.Set[string]), unreachable: make(drset.Set[string])}
	for _, m := range v.Members() {
		if m.State == drmember.Unreachable {
			f.unreachable.Add(m.VM)
		} else {
			f.present.Add(m.VM)
		}
	}
	return f
}

// lost reports whether a VM is known to have failed. A VM that is not present
// and not lost may merely not have been heard of yet, as when this VM or that
// one has just started.
func (f fleet) lost(vm string) bool { return f.unreachable.Has(vm) || f.view.Gone(vm) }
