package drlog

import (
	"context"
	"crypto/rand"
	"crypto/sha256"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// maxPartTries is how often appending a part is tried before the snapshot is
// abandoned. Retries are safe, because a part that appears twice does no harm.
const maxPartTries = 3

// writeSnapshots writes a snapshot whenever one is due and this VM is the one that
// writes them. It returns when ctx ends.
func (f *Follower) writeSnapshots(ctx context.Context) {
	for f.config.Clock.Sleep(ctx, snapshotCheckInterval) == nil {
		if !f.config.IsSnapshotter() {
			continue
		}
		if err := f.writeSnapshotIfDue(ctx); err != nil {
			f.recordEvent(drtimeline.LogSnapshotFailed, "error=%q", err)
		}
	}
}

// writeSnapshotIfDue writes a snapshot of the current state unless none is due or
// the state is not fit for one.
func (f *Follower) writeSnapshotIfDue(ctx context.Context) error {
	f.mu.RLock()
	now := f.config.Clock.Now()
	// A snapshot from a VM that lags behind the log would be of no use to others.
	current := f.scan == nil && !f.skippedNewerFormat && now.Sub(f.progress.confirmedAt()) <= FreshBound
	if !current || !f.policy.isDue(now, f.config.Retention, f.config.SnapshotEvery) {
		f.mu.RUnlock()
		return nil
	}
	offset, data := f.progress.appliedOffset(), f.config.Folder.Snapshot()
	f.mu.RUnlock()
	if err := f.writeSnapshot(ctx, offset, data); err != nil {
		return err
	}
	f.recordEvent(drtimeline.LogSnapshotWritten, "covers=%d bytes=%d", offset, len(data))
	return nil
}

// writeSnapshot appends a snapshot to the stream in parts of partSize.
func (f *Follower) writeSnapshot(ctx context.Context, covers uint64, data []byte) error {
	hash := sha256.Sum256(data)
	attempt := rand.Text()
	count := max(1, (len(data)+partSize-1)/partSize)
	for i := range count {
		part := &drpb.LogSnapshotPart{
			Attempt: attempt, Covers: covers, Index: uint32(i), Count: uint32(count), Hash: hash[:],
			Data: data[i*partSize : min((i+1)*partSize, len(data))],
		}
		if err := f.writePart(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// writePart appends one part, with up to maxPartTries tries.
func (f *Follower) writePart(ctx context.Context, part *drpb.LogSnapshotPart) error {
	record := &drpb.LogRecord{Version: envelopeVersion, Body: &drpb.LogRecord_SnapshotPart{SnapshotPart: part}}
	var err error
	for range maxPartTries {
		callCtx, cancel := drclock.WithTimeout(ctx, f.config.Clock, defaultCallTimeout)
		_, err = appendRecord(callCtx, f.config.Log, f.config.Stream, record)
		cancel()
		if err == nil {
			return nil
		}
		if drerror.VerdictOf(err) == drerror.NotRun && f.config.Clock.Sleep(ctx, appendRetryDelay) != nil {
			return err
		}
	}
	return err
}
