package drserve

import (
	"time"

	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// reachablePeers returns the other VMs that may be asked.
func (v *VM) reachablePeers() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if m.VM != v.Settings.VM && m.State != drmember.Unreachable {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// majorityMembers returns the VMs that count for a majority: all that are not certainly
// gone, this one included.
func (v *VM) majorityMembers() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if !v.members.Gone(m.VM) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// ranksFirst reports whether rendezvous hashing chooses this VM for key.
func (v *VM) ranksFirst(key string) bool {
	ranked := drmember.Rank(key, v.members.Candidates())
	return len(ranked) > 0 && ranked[0].VM == v.Settings.VM
}

// freshnessAdapter adapts drlog.Freshness to the gate.
type freshnessAdapter struct{ freshness *drlog.Freshness }

// Isolated implements drgateway.Freshness.
func (f freshnessAdapter) Isolated() bool { return f.freshness.State() == drlog.Isolated }

// keyedStreamPause returns how long to wait between two reads of a stream of keyed
// calls. Only its homes, of which callers try the first dridempotency.MaxHomes, and
// the writer of its snapshots need it up to date: a home decides after it has
// read its own record back, and other VMs ask a home about a key that they do
// not know.
func (v *VM) keyedStreamPause(stream string) time.Duration {
	ranked := drmember.Rank(stream, v.members.Candidates())
	if len(ranked) <= dridempotency.MaxHomes || v.ranksFirst("snapshot/"+stream) {
		return 0
	}
	for _, m := range ranked[:dridempotency.MaxHomes] {
		if m.VM == v.Settings.VM {
			return 0
		}
	}
	return nonHomeReadPause
}
