package drcontroller

import (
	"slices"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxNamedFor is how many runners a reply names for one replica, and maxNamed for all.
	maxNamedFor = 8
	maxNamed    = 64
)

// nameRunners adds to a reply runners that serve what requests of a VM wait for and the VM
// lists no runner of, because it waits for pieces of the table. They are the whole entries.
func (c *Controller) nameRunners(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	if !c.view.RunnersKnown() {
		return
	}
	left := maxNamed
	for _, w := range request.GetWants() {
		if !w.GetUnlisted() {
			continue
		}
		named := c.view.Serving(decodeReplica(w.GetReplica()), request.GetZone(), min(maxNamedFor, left))
		left -= len(named)
		for _, ch := range named {
			reply.Runners = append(reply.Runners, encodeRunner(ch))
		}
	}
}

// canNameRunners reports whether nameRunners would name any.
func (c *Controller) canNameRunners(request *drpb.FleetSyncRequest) bool {
	return c.view.RunnersKnown() && slices.ContainsFunc(request.GetWants(), func(w *drpb.FleetWant) bool {
		return w.GetUnlisted() && c.view.Holds(decodeReplica(w.GetReplica()))
	})
}

// namedReplicas are those for which the controller of a term has named runners to a VM that
// has not the whole table. It is asked once for each, because the VM may know better of a
// runner than its entry says, and would ask again at once.
type namedReplicas struct {
	term     uint64
	replicas map[drfleetview.Replica]bool
}

// markUnlisted marks the wants in a report for which the controller is to name runners.
func (n namedReplicas) markUnlisted(view *drfleetview.View, request *drpb.FleetSyncRequest) {
	position := request.GetTablePosition()
	if position == nil {
		return
	}
	for _, w := range request.GetWants() {
		replica := decodeReplica(w.GetReplica())
		asked := n.term == position.GetTerm() && n.replicas[replica]
		w.Unlisted = !asked && !view.Holds(replica)
	}
}

// withReply returns the replicas with those for which a reply to a report names runners.
func (n namedReplicas) withReply(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) namedReplicas {
	if reply.GetTablePosition() == nil {
		return namedReplicas{} // the VM has the whole table
	}
	if n.term != reply.GetTerm() {
		n = namedReplicas{reply.GetTerm(), make(map[drfleetview.Replica]bool)}
	}
	for _, w := range request.GetWants() {
		replica := decodeReplica(w.GetReplica())
		if !w.GetUnlisted() || !names(reply, replica) {
			continue
		}
		n.replicas[replica] = true
		log.WithFields(log.Fields{"event": "runners-named", "service": replica.Service, "model": replica.Model, "adapter": replica.Adapter,
			"waiting": w.GetWaiting(), "term": reply.GetTerm()}).Info("")
	}
	return n
}

// names reports whether a reply has the entry of a runner that serves a replica.
func names(reply *drpb.FleetSyncReply, replica drfleetview.Replica) bool {
	return slices.ContainsFunc(reply.GetRunners(), func(m *drpb.FleetRunner) bool {
		return m.GetService() == replica.Service && !m.GetGone() && decodeRunner(m).Holds(replica.Model, replica.Adapter)
	})
}
