package drcontroller

import (
	"compress/flate"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// maxPieceBytes is the size of the blocks in one reply from which on the next ones wait
// for another reply. A VM with a slow link reads it well within the time for a reply.
const maxPieceBytes = 16 << 10

// tableSender makes the pieces in which VMs that know another table get that of the
// controller. Its memory does not grow with the VMs: each keeps its own position. It is
// safe for concurrent use.
type tableSender struct {
	view *drfleetview.View

	mu     sync.Mutex
	writer *flate.Writer
	blocks [drfleetview.Buckets]tableBlock
}

// tableBlock is a compressed bucket of the table, as of its version.
type tableBlock struct {
	version  uint64
	deflated []byte // nil until some VM has needed it
}

func newTableSender(v *drfleetview.View) *tableSender { return &tableSender{view: v} }

// fill adds to a reply of a controller what differs in the next buckets after the
// position of a VM, and what has changed since in those before. If too much has, the VM
// begins anew, but then lacks less than before.
func (t *tableSender) fill(term uint64, position *drpb.FleetTablePosition, reply *drpb.FleetSyncReply) error {
	after, next := position.GetRevision(), int(position.GetNextBucket())
	if position.GetTerm() != term || next > drfleetview.Buckets {
		after, next = 0, 0
	}
	revision := t.view.Revision()
	var changes []drfleetview.Change
	tooMany := false
	if next > 0 {
		changes, revision, tooMany = t.view.NextChanges(after, maxChanges)
	}
	if !tooMany {
		for _, c := range changes {
			if drfleetview.BucketOf(c.Runner.ID) < next {
				reply.Runners = append(reply.Runners, encodeRunner(c))
			}
		}
	}
	next, err := t.fillBlocks(next, position.GetDigests(), reply)
	if err != nil {
		return err
	}
	if tooMany {
		revision, next = t.view.Revision(), 0
	}
	reply.TablePosition = &drpb.FleetTablePosition{Term: term, Revision: revision, NextBucket: uint32(next)}
	return nil
}

// fillBlocks adds to a reply the buckets from one on that differ from what a VM has. It
// returns the first one that had no room. The VM's digests end with that of the last
// bucket.
func (t *tableSender) fillBlocks(next int, theirs []uint32, reply *drpb.FleetSyncReply) (int, error) {
	current := t.view.Digests()
	skipped := drfleetview.Buckets - len(theirs)
	for size := 0; next < drfleetview.Buckets && size < maxPieceBytes; next++ {
		version, cold := t.view.BucketVersion(next)
		if i := next - skipped; !cold && i >= 0 && i < len(theirs) && theirs[i] == current[next] {
			continue // digests don't say for how long runners are cold
		}
		block, err := t.block(next, version)
		if err != nil {
			return 0, err
		}
		size += len(block)
		reply.TableBlocks = append(reply.TableBlocks, &drpb.FleetTableBlock{Bucket: uint32(next), RunnersDeflated: block})
	}
	return next, nil
}

// block returns a compressed bucket of the version or a newer one.
func (t *tableSender) block(i int, version uint64) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.blocks[i]
	if b.deflated != nil && b.version == version {
		return b.deflated, nil
	}
	runners, _ := t.view.Bucket(i)
	content := new(drpb.FleetTableRunners)
	lasting := true
	for _, r := range runners {
		content.Runners = append(content.Runners, encodeRunner(r))
		lasting = lasting && r.Cold == 0 // the time left passes
	}
	encoded, err := proto.Marshal(content)
	if err != nil {
		return nil, err
	}
	deflated, err := t.deflate(encoded)
	if err != nil {
		return nil, err
	}
	if lasting {
		b.version, b.deflated = version, deflated
	}
	return deflated, nil
}

// deflate is the function deflate with a writer that is used again. The caller holds mu.
func (t *tableSender) deflate(record []byte) ([]byte, error) {
	if t.writer == nil {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		t.writer = w
	}
	return deflateWith(t.writer, record)
}
