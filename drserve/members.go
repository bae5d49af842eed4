package drserve

import (
	"time"

	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// reachable returns the other VMs that may be asked.
func (v *VM) reachable() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if m.VM != v.Settings.VM && m.State != drmember.Unreachable {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// counted returns the VMs that count for a majority: all that are not certainly
// gone, this one included.
func (v *VM) counted() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if !v.members.Gone(m.VM) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// isHome reports whether rendezvous hashing chooses this VM for key.
func (v *VM) isHome(key string) bool {
	ranked := drmember.Rank(key, v.members.Candidates())
	return len(ranked) > 0 && ranked[0].VM == v.Settings.VM
}

// freshness adapts drlog.Freshness to the gate.
type freshness struct{ f *drlog.Freshness }

// Isolated implements drgateway.Freshness.
func (f freshness) Isolated() bool { return f.f.State() == drlog.Isolated }

// oncePause returns how long to wait between two reads of a stream of keyed
// calls. Only its homes, of which callers try the first dridempotency.MaxHomes, and
// the writer of its snapshots need it up to date: a home decides after it has
// read its own record back, and other VMs ask a home about a key that they do
// not know.
func (v *VM) oncePause(stream string) time.Duration {
	ranked := drmember.Rank(stream, v.members.Candidates())
	if len(ranked) <= dridempotency.MaxHomes || v.isHome("snapshot/"+stream) {
		return 0
	}
	for _, m := range ranked[:dridempotency.MaxHomes] {
		if m.VM == v.Settings.VM {
			return 0
		}
	}
	return oncePause
}
