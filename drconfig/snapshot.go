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
	// maxSnapshotBytes limits a decompressed snapshot. A configuration of the
	// target size takes about 4 MB.
	maxSnapshotBytes = 64 << 20
	// compressionWindow is the window size of the zstd encoder in bytes. Objects
	// of a kind are similar and adjacent, so a larger window costs memory and
	// gains little.
	compressionWindow = 128 << 10
)

// Snapshot implements drlog.Folder. Equal states give equal bytes.
func (f *Fold) Snapshot() []byte {
	// A single goroutine makes the compressed bytes deterministic.
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(compressionWindow), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err) // the options are constant
	}
	defer e.Close()
	return e.EncodeAll(f.encodeSnapshot(), nil)
}

// encodeSnapshot returns the snapshot before compression.
func (f *Fold) encodeSnapshot() []byte {
	f.mu.RLock()
	defer f.mu.RUnlock()
	c := f.Current()
	message := &drpb.ConfigSnapshot{Format: ChangeFormat, Applied: f.appliedOffset, Offset: c.offset}
	for _, o := range c.Objects() {
		r := o.Ref()
		message.Objects = append(message.Objects, &drpb.ConfigObject{Kind: string(r.Kind), Name: r.Name, Json: EncodeObject(o), Changed: f.lastChanged[r]})
	}
	for _, d := range f.deletions {
		message.Deleted = append(message.Deleted, &drpb.ConfigRef{Kind: string(d.ref.Kind), Name: d.ref.Name, Changed: d.offset})
	}
	for _, id := range f.resultIDs {
		r := f.results[id]
		message.Results = append(message.Results, &drpb.ConfigResult{ChangeId: id, Offset: r.Offset, Accepted: r.Accepted, Problems: r.Problems})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // all strings were decoded from valid records
	}
	return b
}

// Restore implements drlog.Folder. It returns an error and leaves the state unchanged
// if the snapshot is older than the state, was taken after offset, or cannot be
// decoded. Otherwise it calls the listeners.
func (f *Fold) Restore(offset uint64, snapshot []byte) error {
	message, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if message.Applied > offset {
		return fmt.Errorf("restore configuration: the snapshot was taken at offset %d, which is after offset %d that it is restored for", message.Applied, offset)
	}
	objects, err := decodeObjects(message)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if offset < f.appliedOffset {
		defer f.mu.Unlock()
		return fmt.Errorf("restore configuration: the snapshot covers offset %d, but offset %d is applied", offset, f.appliedOffset)
	}
	before := f.Current()
	f.appliedOffset = offset
	f.lastChanged = make(map[Ref]uint64, len(message.Objects)+len(message.Deleted))
	f.deletions, f.resultIDs, f.results = nil, nil, make(map[string]Result, len(message.Results))
	for _, o := range message.Objects {
		f.lastChanged[Ref{Kind(o.Kind), o.Name}] = o.Changed
	}
	for _, d := range message.Deleted {
		r := Ref{Kind(d.Kind), d.Name}
		f.lastChanged[r] = d.Changed
		f.deletions = append(f.deletions, deletion{r, d.Changed})
	}
	for _, r := range message.Results {
		f.results[r.ChangeId] = Result{r.Offset, r.Accepted, r.Problems}
		f.resultIDs = append(f.resultIDs, r.ChangeId)
	}
	f.dropExpired()
	after := Config{}.With(objects...).WithOffset(message.Offset)
	f.current.Store(&after)
	f.mu.Unlock()
	f.notify(before, after)
	return nil
}

// decodeSnapshot decompresses and decodes a snapshot.
func decodeSnapshot(snapshot []byte) (*drpb.ConfigSnapshot, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder for a configuration snapshot: %w", err)
	}
	defer d.Close()
	b, err := d.DecodeAll(snapshot, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration snapshot: %w", err)
	}
	message := new(drpb.ConfigSnapshot)
	if err := proto.Unmarshal(b, message); err != nil {
		return nil, fmt.Errorf("decode configuration snapshot: %w", err)
	}
	if message.Format != ChangeFormat {
		return nil, fmt.Errorf("configuration snapshot has unsupported format %d, want %d", message.Format, ChangeFormat)
	}
	return message, nil
}

// decodeObjects decodes the objects of a snapshot. It uses encoding/json, which is
// faster than the strict decoder drjson. That is enough, because the objects were
// checked when they were accepted.
func decodeObjects(message *drpb.ConfigSnapshot) (Objects, error) {
	objects := make(Objects, 0, len(message.Objects))
	for _, encoded := range message.Objects {
		target := newObject(Kind(encoded.Kind))
		if target == nil {
			return nil, fmt.Errorf("configuration snapshot has an object of unknown kind %q", encoded.Kind)
		}
		if err := json.Unmarshal(encoded.Json, target); err != nil {
			return nil, fmt.Errorf("decode %s %s in a configuration snapshot: %w", encoded.Kind, encoded.Name, err)
		}
		objects = append(objects, reflect.ValueOf(target).Elem().Interface().(Object))
	}
	return objects, nil
}
