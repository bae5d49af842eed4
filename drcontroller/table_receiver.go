package drcontroller

import (
	"errors"
	"fmt"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

var (
	errUnknownBucket = errors.New("the table has no such bucket")
	errUnknownRunner = errors.New("an update names a runner that this VM does not know")
)

// tableReceiver brings the view of a VM up to the table of a controller and remembers
// how far it is. It is used by one goroutine at a time.
type tableReceiver struct {
	view *drfleetview.View
	// term and revision say which table the view has completely, 0 if none.
	term, revision uint64
	// position is how far a table of another term has been received.
	position tablePosition
}

// tablePosition is a FleetTablePosition without digests.
type tablePosition struct {
	term, revision uint64
	nextBucket     uint32
}

// fillRequest adds to a report what table this VM has. leaderTerm is the term of the
// controller that the report goes to.
func (t *tableReceiver) fillRequest(leaderTerm uint64, request *drpb.FleetSyncRequest) {
	request.Term, request.Revision, request.ReadsUpdates = t.term, t.revision, true
	if t.term == leaderTerm {
		return
	}
	if t.position.term != leaderTerm {
		t.position = tablePosition{term: leaderTerm}
	}
	p := t.position
	request.TablePosition = &drpb.FleetTablePosition{
		Term: p.term, Revision: p.revision, NextBucket: p.nextBucket, Digests: t.view.Digests()[p.nextBucket:],
	}
}

// apply applies the runners in a reply and reports whether the view has the whole table
// of the controller now. After an error the table is asked for anew. A controller passes
// own, because its replies to itself describe this view.
func (t *tableReceiver) apply(reply *drpb.FleetSyncReply, own bool) (complete bool, err error) {
	if !own {
		if err := t.applyRunners(reply); err != nil {
			t.term, t.position = 0, tablePosition{}
			return false, err
		}
		t.applyDraining(reply)
	}
	p := reply.GetTablePosition()
	if p != nil && p.GetNextBucket() < drfleetview.Buckets {
		t.term, t.position = 0, tablePosition{p.GetTerm(), p.GetRevision(), p.GetNextBucket()}
		return false, nil
	}
	if p != nil {
		log.WithFields(log.Fields{"event": "table-received", "term": p.GetTerm(), "revision": p.GetRevision()}).Info("")
	}
	t.term, t.revision, t.position = reply.GetTerm(), reply.GetRevision(), tablePosition{}
	return true, nil
}

// applyDraining marks the runners that have begun to drain, as a VM must know them before it
// has the table.
func (t *tableReceiver) applyDraining(reply *drpb.FleetSyncReply) {
	for _, m := range reply.GetDraining() {
		t.view.UpdateRunner(m.GetRunner(), m.GetStarted(), func(r drfleet.Runner) drfleet.Runner { return *r.WithDraining() })
	}
}

// applyRunners applies the reply's changes and blocks to the view. If the reply has the
// whole table, runners that are missing from it are removed.
func (t *tableReceiver) applyRunners(reply *drpb.FleetSyncReply) error {
	listed := make(map[string]bool)
	for _, m := range reply.GetRunners() {
		if m.GetGone() {
			t.view.RemoveRunner(m.GetId())
			continue
		}
		listed[m.GetId()] = true
		r := decodeRunner(m)
		if m.GetUpdate() {
			known, ok := t.view.Runner(r.ID)
			if !ok || known.Started < r.Started {
				return errUnknownRunner
			}
			r.Service, r.Address, r.Zone, r.Slots = known.Service, known.Address, known.Zone, known.Slots
		}
		t.view.OfferRunner(r, drfleetview.FromController)
	}
	if reply.GetWhole() {
		t.view.KeepRunners(listed)
	}
	for _, b := range reply.GetTableBlocks() {
		if err := t.applyBlock(b); err != nil {
			return fmt.Errorf("bucket %d: %w", b.GetBucket(), err)
		}
	}
	return nil
}

func (t *tableReceiver) applyBlock(b *drpb.FleetTableBlock) error {
	if b.GetBucket() >= drfleetview.Buckets {
		return errUnknownBucket
	}
	encoded, err := inflate(b.GetRunnersDeflated())
	if err != nil {
		return err
	}
	content := new(drpb.FleetTableRunners)
	if err := proto.Unmarshal(encoded, content); err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, m := range content.GetRunners() {
		listed[m.GetId()] = true
		t.view.OfferRunner(decodeRunner(m), drfleetview.FromController)
	}
	t.view.KeepBucket(int(b.GetBucket()), listed)
	return nil
}
