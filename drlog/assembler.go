package drlog

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxUnfinishedSnapshots limits the incomplete snapshots kept in memory; the
	// oldest is dropped first. More than one is rare: either a writer died or two
	// VMs saw different member lists and both wrote a snapshot.
	maxUnfinishedSnapshots = 4

	// maxSnapshotParts limits a snapshot to 256 MiB, with parts of partSize.
	maxSnapshotParts = 1024
)

// snapshot is a complete snapshot whose hash was verified.
type snapshot struct {
	covers uint64 // last offset that the snapshot includes
	data   []byte
	time   time.Time // append time of the record that completed it
}

// assembler reassembles snapshots from their parts, which may be interleaved
// with the parts of other snapshots. It returns only complete snapshots whose
// hash matches. It is not safe for concurrent use.
type assembler struct {
	attempts []*attempt // oldest first
}

// attempt is one writer's try at writing a snapshot, identified by a random ID
// that all its parts carry.
type attempt struct {
	first *drpb.LogSnapshotPart
	parts map[uint32][]byte // by index
}

// add stores a part. It returns the snapshot if this part completes one, and nil
// if parts are missing, the part is inconsistent, or the hash does not match.
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

// findOrStart returns the attempt that the part belongs to, and starts one with
// the part as its first if there is none.
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
