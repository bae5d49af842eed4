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
// revision, or if that is of another term the next piece. VMs of an earlier version of
// the program get the whole table then.
func (c *Controller) fillTable(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	if request.GetTerm() != c.Term && request.GetReadsUpdates() {
		c.fillPiece(request, reply)
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
// progress if the controller does not know the table.
func (c *Controller) fillPiece(request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	if c.hasPieceFor(request) {
		err := c.table.fill(c.Term, request.GetTablePosition(), reply)
		if err == nil {
			reply.Revision = reply.GetTablePosition().GetRevision()
			return
		}
		log.WithFields(log.Fields{"event": "table-piece-failed", "bucket": request.GetTablePosition().GetNextBucket()}).WithError(err).Error("")
		reply.Runners, reply.TableBlocks = nil, nil
	}
	reply.TablePosition = &drpb.FleetTablePosition{Term: c.Term}
}

// hasPieceFor reports whether the table can be sent to a VM that has that of another
// term. A VM that reads pieces waits until the controller has read it once.
func (c *Controller) hasPieceFor(request *drpb.FleetSyncRequest) bool {
	return !request.GetReadsUpdates() || c.view.RunnersKnown()
}
