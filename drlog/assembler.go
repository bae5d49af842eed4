package drlog

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxUnfinishedSnapshots bounds the unfinished snapshots that are kept. More than one
	// is rare: the writer died or two VMs saw different members.
	maxUnfinishedSnapshots = 4

	// maxSnapshotParts bounds a snapshot to 256 MiB.
	maxSnapshotParts = 1024
)

// snapshot is a whole, verified snapshot.
type snapshot struct {
	covers uint64
	data   []byte
	time   time.Time // of the last part
}

// assembler puts the parts of snapshots together. Unfinished and corrupt
// snapshots never come out.
type assembler struct {
	attempts []*attempt // oldest first
}

type attempt struct {
	first *drpb.LogSnapshotPart
	parts map[uint32][]byte
}

// add takes a part and returns the snapshot that it completes, else nil.
func (a *assembler) add(part *drpb.LogSnapshotPart, completed time.Time) *snapshot {
	if part.Count == 0 || part.Count > maxSnapshotParts || part.Index >= part.Count {
		return nil
	}
	current := a.findOrStart(part)
	if current.first.Count != part.Count || current.first.Covers != part.Covers || !bytes.Equal(current.first.Hash, part.Hash) {
		return nil
	}
	current.parts[part.Index] = part.Data
	if len(current.parts) < int(part.Count) {
		return nil
	}
	a.remove(current)
	var data []byte
	for i := range part.Count {
		data = append(data, current.parts[i]...)
	}
	if sum := sha256.Sum256(data); !bytes.Equal(sum[:], part.Hash) {
		return nil
	}
	return &snapshot{covers: part.Covers, data: data, time: completed}
}

func (a *assembler) findOrStart(part *drpb.LogSnapshotPart) *attempt {
	for _, t := range a.attempts {
		if t.first.Attempt == part.Attempt {
			return t
		}
	}
	if len(a.attempts) == maxUnfinishedSnapshots {
		a.attempts = a.attempts[1:]
	}
	started := &attempt{first: part, parts: make(map[uint32][]byte)}
	a.attempts = append(a.attempts, started)
	return started
}

func (a *assembler) remove(finished *attempt) {
	for i, other := range a.attempts {
		if other == finished {
			a.attempts = append(a.attempts[:i:i], a.attempts[i+1:]...)
			return
		}
	}
}
