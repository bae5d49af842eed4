package drconfig

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// maxSnapshot bounds a decompressed snapshot in bytes. The target size
	// needs about 4 MB.
	maxSnapshot = 64 << 20
	// snapshotWindow is the history of the compressor in bytes. Objects of a
	// kind are alike and adjacent, so a larger one costs memory for little.
	snapshotWindow = 128 << 10
)

// Snapshot implements drlog.Folder. Equal folds give equal bytes.
func (f *Fold) Snapshot() []byte {
	// A single goroutine makes the compressed bytes deterministic.
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(snapshotWindow), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err) // the options are constant
	}
	defer e.Close()
	return e.EncodeAll(f.encode(), nil)
}

// encode returns the uncompressed snapshot.
func (f *Fold) encode() []byte {
	f.mu.RLock()
	defer f.mu.RUnlock()
	c := f.Current()
	m := &drpb.ConfigSnapshot{Format: ChangeFormat, Applied: f.applied, Offset: c.offset}
	for _, o := range c.Objects() {
		r := o.Ref()
		m.Objects = append(m.Objects, &drpb.ConfigObject{Kind: string(r.Kind), Name: r.Name, Json: EncodeObject(o), Changed: f.changed[r]})
	}
	for _, d := range f.deleted {
		m.Deleted = append(m.Deleted, &drpb.ConfigRef{Kind: string(d.ref.Kind), Name: d.ref.Name, Changed: d.offset})
	}
	for _, id := range f.recent {
		r := f.results[id]
		m.Results = append(m.Results, &drpb.ConfigResult{ChangeId: id, Offset: r.Offset, Accepted: r.Accepted, Problems: r.Problems})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // all strings were decoded from valid records
	}
	return b
}

// Restore implements drlog.Folder. It refuses a snapshot that is older than
// the current state or that cannot be decoded, and leaves the state as it is.
func (f *Fold) Restore(offset uint64, snapshot []byte) error {
	m, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if m.Applied > offset {
		return fmt.Errorf("restore configuration: the snapshot is of offset %d, after offset %d that it is said to cover", m.Applied, offset)
	}
	objects, err := snapshotObjects(m)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if offset < f.applied {
		defer f.mu.Unlock()
		return fmt.Errorf("restore configuration: the snapshot covers offset %d, but offset %d is applied", offset, f.applied)
	}
	before := f.Current()
	f.applied = offset
	f.changed = make(map[Ref]uint64, len(m.Objects)+len(m.Deleted))
	f.deleted, f.recent, f.results = nil, nil, make(map[string]Result, len(m.Results))
	for _, o := range m.Objects {
		f.changed[Ref{Kind(o.Kind), o.Name}] = o.Changed
	}
	for _, d := range m.Deleted {
		r := Ref{Kind(d.Kind), d.Name}
		f.changed[r] = d.Changed
		f.deleted = append(f.deleted, deletion{r, d.Changed})
	}
	for _, r := range m.Results {
		f.results[r.ChangeId] = Result{r.Offset, r.Accepted, r.Problems}
		f.recent = append(f.recent, r.ChangeId)
	}
	f.forget()
	after := Config{}.With(objects...).WithOffset(m.Offset)
	f.current.Store(&after)
	f.mu.Unlock()
	f.notify(before, after)
	return nil
}

func decodeSnapshot(snapshot []byte) (*drpb.ConfigSnapshot, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxSnapshot))
	if err != nil {
		return nil, fmt.Errorf("restore configuration: %w", err)
	}
	defer d.Close()
	b, err := d.DecodeAll(snapshot, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration snapshot: %w", err)
	}
	m := new(drpb.ConfigSnapshot)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("decode configuration snapshot: %w", err)
	}
	if m.Format != ChangeFormat {
		return nil, fmt.Errorf("configuration snapshot has unsupported format %d, want %d", m.Format, ChangeFormat)
	}
	return m, nil
}

// snapshotObjects uses the standard decoder, which is faster than the strict
// one; the objects were checked when they were accepted.
func snapshotObjects(m *drpb.ConfigSnapshot) (Objects, error) {
	objects := make(Objects, 0, len(m.Objects))
	for _, p := range m.Objects {
		into := newObject(Kind(p.Kind))
		if into == nil {
			return nil, fmt.Errorf("configuration snapshot has an object of unknown kind %q", p.Kind)
		}
		if err := json.Unmarshal(p.Json, into); err != nil {
			return nil, fmt.Errorf("decode %s %s in a configuration snapshot: %w", p.Kind, p.Name, err)
		}
		objects = append(objects, reflect.ValueOf(into).Elem().Interface().(Object))
	}
	return objects, nil
}
