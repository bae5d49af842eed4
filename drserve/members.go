package drserve

import (
	"time"

	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// reachablePeers returns the other entry VMs that are not known to be unreachable.
func (v *VM) reachablePeers() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if m.VM != v.Settings.VM && m.State != drmember.Unreachable {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// majorityMembers returns the entry VMs of which this VM must reach a majority to
// keep serving while the log is down: all that are not certainly gone, this one
// included.
func (v *VM) majorityMembers() []string {
	var vms []string
	for _, m := range v.members.Members() {
		if !v.members.Gone(m.VM) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// ranksFirst reports whether this VM is the first choice for key under rendezvous
// hashing.
func (v *VM) ranksFirst(key string) bool {
	ranked := drmember.Rank(key, v.members.Candidates())
	return len(ranked) > 0 && ranked[0].VM == v.Settings.VM
}

// freshnessAdapter adapts drlog.Freshness to drgateway.Freshness.
type freshnessAdapter struct{ freshness *drlog.Freshness }

// Isolated implements drgateway.Freshness.
func (f freshnessAdapter) Isolated() bool { return f.freshness.State() == drlog.Isolated }

// keyedStreamPause returns how long this VM waits between two reads of a stream of
// calls with an Idempotency-Key. It is zero on the VMs that need the stream up to
// date: its homes, which decide about a call after they have read their own record
// back, and the writer of its snapshots. The homes are the first
// dridempotency.MaxHomes VMs by rendezvous hashing. Other VMs ask a home about keys
// that they do not know.
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
