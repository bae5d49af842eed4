package drcontroller

import (
	"errors"
	"fmt"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// maxNamedOlder is how many runners of an older table one log line names.
const maxNamedOlder = 8

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
	// comparing is the newest of this VM's own readings of the store that the comparison with
	// that table includes.
	comparing drstore.Position
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
	if p.nextBucket == 0 {
		t.comparing = t.view.OwnReading()
	}
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
	p, asOf := reply.GetTablePosition(), decodePosition(reply.GetRunnersAsOf())
	if p != nil && t.position.nextBucket == 0 && !asOf.Before(t.comparing) {
		t.view.ForgetOwnReading(t.comparing)
	}
	if p != nil && p.GetNextBucket() < drfleetview.Buckets {
		t.term, t.position = 0, tablePosition{p.GetTerm(), p.GetRevision(), p.GetNextBucket()}
		return false, nil
	}
	if p != nil {
		log.WithFields(log.Fields{"event": "table-received", "term": p.GetTerm(), "revision": p.GetRevision()}).Info("")
	}
	t.term, t.revision, t.position = reply.GetTerm(), reply.GetRevision(), tablePosition{}
	return own || !t.compareAnew(asOf), nil
}

// compareAnew has the table compared with the controller's, which it reports, once that is as of
// a reading that includes this VM's own ones. What they changed may be no change for the
// controller, so that its changes alone don't bring the two together.
func (t *tableReceiver) compareAnew(asOf drstore.Position) bool {
	own := t.view.OwnReading()
	if !own.Known() || asOf.Before(own) {
		return false
	}
	log.WithFields(log.Fields{"event": "table-compared-anew", "term": t.term, "era": asOf.Era, "as-of": asOf.Next, "own-era": own.Era,
		"own-reading": own.Next}).Info("")
	t.term = 0
	return true
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
	c := tableContent{receiver: t, asOf: decodePosition(reply.GetRunnersAsOf()), listed: make(map[string]bool)}
	defer c.logOlder(reply.GetTerm())
	for _, m := range reply.GetRunners() {
		if err := c.applyRunner(m); err != nil {
			return err
		}
	}
	if reply.GetWhole() {
		c.older = append(c.older, t.view.KeepRunners(c.listed, c.asOf)...)
	}
	for _, b := range reply.GetTableBlocks() {
		if err := c.applyBlock(b); err != nil {
			return fmt.Errorf("bucket %d: %w", b.GetBucket(), err)
		}
	}
	return nil
}

// tableContent applies what a reply says of runners as of a reading of the store.
type tableContent struct {
	receiver *tableReceiver
	asOf     drstore.Position
	listed   map[string]bool
	// older lists the runners of which this VM knows better from a later reading.
	older []string
}

// applyRunner applies one entry or change of the table.
func (c *tableContent) applyRunner(m *drpb.FleetRunner) error {
	view := c.receiver.view
	if m.GetGone() {
		c.note(m.GetId(), view.RemoveRunnerAsOf(m.GetId(), drfleetview.FromController, c.asOf))
		return nil
	}
	c.listed[m.GetId()] = true
	r := decodeRunner(m)
	if m.GetUpdate() {
		known, ok := view.Runner(r.ID)
		switch {
		case !ok && view.MissesAsOf(r.ID, c.asOf):
			c.note(r.ID, drfleetview.Older)
			return nil
		case !ok, known.Started < r.Started:
			return errUnknownRunner
		}
		r.Service, r.Address, r.Zone, r.Slots, r.Version = known.Service, known.Address, known.Zone, known.Slots, known.Version
	}
	c.note(r.ID, view.OfferRunnerAsOf(r, drfleetview.FromController, c.asOf))
	return nil
}

// note records what became of an entry or change.
func (c *tableContent) note(id string, result drfleetview.Offer) {
	if result == drfleetview.Older {
		c.older = append(c.older, id)
	}
}

// logOlder logs the runners of which this VM knows better.
func (c *tableContent) logOlder(term uint64) {
	if len(c.older) == 0 {
		return
	}
	log.WithFields(log.Fields{"event": "table-entries-older", "term": term, "era": c.asOf.Era, "as-of": c.asOf.Next, "count": len(c.older),
		"runners": c.older[:min(len(c.older), maxNamedOlder)]}).Info("")
}

func (c *tableContent) applyBlock(b *drpb.FleetTableBlock) error {
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
	c.listed = make(map[string]bool)
	for _, m := range content.GetRunners() {
		if err := c.applyRunner(m); err != nil {
			return err
		}
	}
	c.older = append(c.older, c.receiver.view.KeepBucket(int(b.GetBucket()), c.listed, c.asOf)...)
	return nil
}
