package drlog

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxAttempts bounds the unfinished snapshots that are kept. More than one
	// is rare: the writer died or two VMs saw different members.
	maxAttempts = 4

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
func (a *assembler) add(p *drpb.LogSnapshotPart, at time.Time) *snapshot {
	if p.Count == 0 || p.Count > maxSnapshotParts || p.Index >= p.Count {
		return nil
	}
	t := a.attempt(p)
	if t.first.Count != p.Count || t.first.Covers != p.Covers || !bytes.Equal(t.first.Hash, p.Hash) {
		return nil
	}
	t.parts[p.Index] = p.Data
	if len(t.parts) < int(p.Count) {
		return nil
	}
	a.drop(t)
	var data []byte
	for i := range p.Count {
		data = append(data, t.parts[i]...)
	}
	if sum := sha256.Sum256(data); !bytes.Equal(sum[:], p.Hash) {
		return nil
	}
	return &snapshot{covers: p.Covers, data: data, time: at}
}

func (a *assembler) attempt(p *drpb.LogSnapshotPart) *attempt {
	for _, t := range a.attempts {
		if t.first.Attempt == p.Attempt {
			return t
		}
	}
	if len(a.attempts) == maxAttempts {
		a.attempts = a.attempts[1:]
	}
	t := &attempt{first: p, parts: make(map[uint32][]byte)}
	a.attempts = append(a.attempts, t)
	return t
}

func (a *assembler) drop(t *attempt) {
	for i, o := range a.attempts {
		if o == t {
			a.attempts = append(a.attempts[:i:i], a.attempts[i+1:]...)
			return
		}
	}
}
