package drlog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Follower reads a stream and applies its records, in order, to a Folder. It
// never moves to a lower offset and never restores a state older than the one it
// holds. Its methods are safe for concurrent use; Run is called once.
type Follower struct {
	config FollowerConfig
	ready  chan struct{} // closed by the first confirmation
	wake   chan struct{} // ends the wait before the next read

	progress *progress

	readMu sync.Mutex // serializes changes from the log and from peers

	mu            sync.RWMutex // guards the fields below and the Folder
	recentRecords recentRecords
	scan          *snapshotScan // nil unless recovering from a gap
	assembler     assembler
	policy        snapshotPolicy
	caughtUp      bool // whether the last read caught up with the log
	// skippedNewerFormat is set once a record of a newer format was skipped. The
	// state is then incomplete and must not be written as a snapshot or sent to
	// a peer. Restoring a snapshot clears it.
	skippedNewerFormat bool
}

// NewFollower returns a Follower at offset 0. It reads nothing until Run or
// ReadPeers is called.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		config: config.withDefaults(), ready: make(chan struct{}),
		wake: make(chan struct{}, 1), progress: newProgress(),
	}
}

// Stream returns the name of the followed stream.
func (f *Follower) Stream() string { return f.config.Stream }

// Offset returns the offset of the last applied record, 0 if there is none. It
// may be called from Folder.Apply.
func (f *Follower) Offset() uint64 { return f.progress.appliedOffset() }

// Confirmed returns the latest local time at which the Folder is known to have
// held every record of the stream, according to the log or a peer. It is zero if
// the Follower has never caught up. It may be called from Folder.Apply.
func (f *Follower) Confirmed() time.Time { return f.progress.confirmedAt() }

// Ready returns a channel that is closed once the Follower has caught up with the
// log or a peer for the first time.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// View calls fn while no record is applied, so that fn can read the Folder's
// state. fn must not call the Follower.
func (f *Follower) View(fn func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn()
}

// Wake ends the current wait between two reads, or the next one if none is in
// progress. Such waits come from failed reads and from FollowerConfig.Pause. Wake
// never blocks.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// WaitFor blocks until the record at offset is applied. It returns an error if ctx
// ends first.
func (f *Follower) WaitFor(ctx context.Context, offset uint64) error {
	for {
		applied, changed := f.progress.watch()
		if applied >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d of stream %q: %w", offset, f.config.Stream, context.Cause(ctx))
		}
	}
}

// Run reads the stream until ctx ends and returns ctx.Err(). While the log cannot
// be read it catches up through peers instead. It also writes snapshots, if
// FollowerConfig.IsSnapshotter says so.
func (f *Follower) Run(ctx context.Context) error {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { f.writeSnapshots(ctx) })
	// The first read does not wait for records, so that a VM is ready at once
	// when the stream is empty.
	wait, failing := time.Duration(0), false
	for ctx.Err() == nil {
		start := f.config.Clock.Now()
		err := f.readLog(ctx, wait)
		if err == nil {
			slow := f.config.Clock.Since(start) > wait+slowReadThreshold
			if wait = pollWait; slow {
				wait = 0
			}
			failing = false
			if d := f.config.Pause(); d > 0 && f.isCaughtUp() {
				f.waitOrWake(ctx, d)
				wait = 0
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !failing {
			f.recordEvent(drtimeline.LogReadFailed, "error=%q", err)
		}
		wait, failing = 0, true
		f.ReadPeers(ctx)
		f.waitOrWake(ctx, retryInterval-f.config.Clock.Since(start))
	}
	return ctx.Err()
}

func (f *Follower) isCaughtUp() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.caughtUp
}

// waitOrWake waits for d, or until Wake is called or ctx ends.
func (f *Follower) waitOrWake(ctx context.Context, d time.Duration) {
	t := f.config.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-f.wake:
	case <-ctx.Done():
	}
}

// readLog reads one page from the log and applies it. If the log has already
// removed the next record, it starts a scan for a snapshot. An error means that
// the log could not be read, or that neither the log nor a peer has a snapshot to
// continue from.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) error {
	f.mu.RLock()
	from := f.nextOffset()
	if f.scan != nil {
		wait = 0
	}
	f.mu.RUnlock()
	sent := f.config.Clock.Now()
	callCtx, cancel := drclock.WithTimeout(ctx, f.config.Clock, wait+readTimeout)
	defer cancel()
	page, err := f.config.Log.Read(callCtx, f.config.Stream, from, maxPageRecords, wait)
	if gap, ok := errors.AsType[*GapError](err); ok {
		f.beginScan(gap)
		return nil
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		return fmt.Errorf("log lost records: its next offset is %d, want at least %d", page.Next, from)
	}
	// The log held this empty poll open for the whole wait, so its answer
	// reflects the stream as of the end of the wait.
	if len(page.Records) == 0 && f.config.Clock.Since(sent) >= wait {
		sent = sent.Add(wait)
	}
	f.readMu.Lock()
	defer f.readMu.Unlock()
	return f.applyPage(ctx, page, sent)
}

// nextOffset returns the offset to read next from the log. f.mu must be held.
func (f *Follower) nextOffset() uint64 {
	if f.scan != nil {
		return f.scan.next
	}
	return f.progress.appliedOffset() + 1
}

// applyPage applies a page that reflects the log at or after time at. It returns
// an error if the log skipped an offset, or if a scan reached the end of the log
// without a snapshot and no peer had a usable state.
func (f *Follower) applyPage(ctx context.Context, page Page, at time.Time) error {
	f.mu.Lock()
	before := f.nextOffset()
	for _, r := range page.Records {
		f.apply(r)
	}
	f.confirm(page.Next, at)
	f.caughtUp = f.scan == nil && f.progress.appliedOffset()+1 >= page.Next
	noProgress := len(page.Records) > 0 && f.nextOffset() == before && before < page.Next
	scanExhausted := f.scan != nil && f.scan.next >= page.Next
	f.mu.Unlock()
	if noProgress {
		return fmt.Errorf("log returned records but not the next one, offset %d", before)
	}
	if !scanExhausted {
		return nil
	}
	if err := f.fetchState(ctx); err != nil {
		return fmt.Errorf("no usable snapshot in the retained records of the log, nor from peers: %w", err)
	}
	return nil
}

// apply passes the next record to the Folder or, while a scan is in progress,
// collects it. Records out of order are ignored. f.mu must be held.
func (f *Follower) apply(r Record) {
	if f.scan != nil {
		if f.scan.add(r) {
			f.restoreAndReplay(f.scan.found.covers, f.scan.found.data)
		}
		return
	}
	if r.Offset != f.progress.appliedOffset()+1 {
		return
	}
	entry, part, ok := decodeRecord(r.Data)
	switch {
	case !ok:
		f.skippedNewerFormat = f.skippedNewerFormat || hasNewerFormat(r.Data)
		f.recordEvent(drtimeline.LogRecordSkipped, "offset=%d", r.Offset)
	case part != nil:
		if s := f.assembler.add(part, r.Time); s != nil && s.covers < r.Offset {
			f.policy.markCovered(s.covers, s.time)
		}
	default:
		f.policy.addEntry(r.Offset, r.Time)
		f.config.Folder.Apply(Record{Offset: r.Offset, Time: r.Time, Data: entry})
	}
	f.recentRecords.add(r)
	f.progress.advance(r.Offset)
}

// confirm takes note that the stream had no record at or above offset next at the
// given local time. If all records below next are applied, the state is confirmed
// as of then. A zero time is ignored.
func (f *Follower) confirm(next uint64, at time.Time) {
	if f.scan != nil || f.progress.appliedOffset()+1 < next || at.IsZero() {
		return
	}
	f.progress.confirm(at)
	f.markReady()
}

// markReady closes the ready channel unless it is closed already. f.mu must be held.
func (f *Follower) markReady() {
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// beginScan starts a scan of the retained records for a snapshot, unless peers
// have meanwhile supplied the records up to the first retained one.
func (f *Follower) beginScan(gap *GapError) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gap.First <= f.progress.appliedOffset()+1 {
		f.scan = nil
		return
	}
	f.scan = &snapshotScan{first: gap.First, next: gap.First}
	f.recordEvent(drtimeline.LogGap, "held=%d first=%d next=%d", f.progress.appliedOffset(), gap.First, gap.Next)
}

// restoreAndReplay restores a state that reaches up to the scanned records, then
// applies the scanned records after it and ends the scan. It returns false, and
// the scan goes on, if records would be missing in between or the Folder rejects
// the state.
func (f *Follower) restoreAndReplay(covers uint64, data []byte) bool {
	s := f.scan
	if covers+1 < s.first || !f.restore(covers, data) {
		return false
	}
	f.scan = nil
	for _, r := range s.records {
		if r.Offset > covers {
			f.apply(r)
		}
	}
	return true
}

// restore replaces the Folder's state with one that includes all records up to
// offset covers. It returns false if that is not newer than the current state or
// the Folder rejects it.
func (f *Follower) restore(covers uint64, data []byte) bool {
	if covers <= f.progress.appliedOffset() {
		return false
	}
	if err := f.config.Folder.Restore(covers, data); err != nil {
		f.recordEvent(drtimeline.LogSnapshotRejected, "covers=%d error=%q", covers, err)
		return false
	}
	f.recordEvent(drtimeline.LogSnapshotRestored, "held=%d covers=%d", f.progress.appliedOffset(), covers)
	f.progress.advance(covers)
	f.recentRecords.clear()
	f.assembler = assembler{}
	f.skippedNewerFormat = false
	f.policy = snapshotPolicy{}
	f.policy.resetAfterRestore(f.config.Clock.Now(), f.config.Retention)
	return true
}

// recordEvent records a timeline event with the stream's name in its detail.
func (f *Follower) recordEvent(name, format string, args ...any) {
	f.config.Events.Record(drtimeline.Event{
		Name: name, Detail: "stream=" + f.config.Stream + " " + fmt.Sprintf(format, args...),
	})
}
