package drcontroller

import (
	"math"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// maxChanges is how many changes of the table one reply has at most. A VM that lacks more
// gets the table in pieces, which are compressed.
const maxChanges = 256

// fillTable adds to a reply what the VM lacks of the runner table: the changes since its
// revision, or if that is of another term the next piece, unless the VM must wait for it.
// VMs of an earlier version of the program get the whole table then.
func (c *Controller) fillTable(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply, getsPiece bool) {
	reply.RunnersAsOf = encodePosition(c.view.TableAsOf()) // before the table is read, which may be newer
	if request.GetTerm() != c.Term && request.GetReadsUpdates() {
		c.fillPiece(request, reply, getsPiece)
		c.nameRunners(request, reply)
		return
	}
	after, limit := request.GetRevision(), maxChanges
	if request.GetTerm() != c.Term {
		after, reply.Whole = 0, true
	}
	if !request.GetReadsUpdates() {
		limit = math.MaxInt // an earlier version reads no pieces
	}
	changes, revision, tooMany := c.view.NextChanges(after, limit)
	if tooMany {
		reply.TablePosition = &drpb.FleetTablePosition{Term: c.Term}
		return
	}
	reply.Revision = revision
	for _, ch := range changes {
		if ch.Gone && reply.Whole {
			continue
		}
		m := encodeRunner(ch)
		if ch.Update && request.GetReadsUpdates() {
			m = withoutIdentity(m)
		}
		reply.Runners = append(reply.Runners, m)
	}
}

// fillPiece adds the next piece of the table to a reply, or the position without any
// progress if the VM gets none. Until it has the table, it hears at least of the runners
// that have begun to drain.
func (c *Controller) fillPiece(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply, getsPiece bool) {
	for _, i := range c.view.DrainingNews() {
		reply.Draining = append(reply.Draining, encodeIncarnation(i))
	}
	if getsPiece && c.hasPieceFor(request) {
		err := c.table.fill(c.Term, request.GetTablePosition(), reply)
		if err == nil {
			reply.Revision = reply.GetTablePosition().GetRevision()
			return
		}
		log.WithFields(log.Fields{"event": "table-piece-failed", "bucket": request.GetTablePosition().GetNextBucket()}).WithError(err).Error("")
		reply.Runners, reply.TableBlocks = nil, nil
	}
	p := positionOf(c.Term, request)
	reply.TablePosition = &drpb.FleetTablePosition{Term: p.term, Revision: p.revision, NextBucket: p.nextBucket}
}

// positionOf returns how far a VM has the table of the controller of a term.
func positionOf(term uint64, request *drpb.FleetSyncRequest) tablePosition {
	p := request.GetTablePosition()
	if p.GetTerm() != term {
		return tablePosition{term: term}
	}
	return tablePosition{term: term, revision: p.GetRevision(), nextBucket: p.GetNextBucket()}
}

// hasPieceFor reports whether the table can be sent to a VM that has that of another
// term. A VM that reads pieces waits until the controller has read it once.
func (c *Controller) hasPieceFor(request *drpb.FleetSyncRequest) bool {
	return !request.GetReadsUpdates() || c.view.RunnersKnown()
}
