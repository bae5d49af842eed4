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

// Follower folds a stream into a Folder. It never moves to a lower offset and
// never restores a state older than the one it holds.
type Follower struct {
	config FollowerConfig
	ready  chan struct{}
	wake   chan struct{}

	progress *progress

	readMu sync.Mutex // held by the one goroutine that changes the state

	mu        sync.RWMutex // guards everything below and the Folder
	tail      tail
	scan      *snapshotScan // nil unless a gap is being closed
	assembler assembler
	policy    snapshotPolicy
	caughtUp  bool // by the last read
	// skippedNewerFormat is set after a record of a newer format was skipped. The state
	// then lacks something and must not be passed on as a snapshot.
	skippedNewerFormat bool
}

// NewFollower returns a Follower that holds nothing.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		config: config.withDefaults(), ready: make(chan struct{}),
		wake: make(chan struct{}, 1), progress: newProgress(),
	}
}

// Stream returns the stream's name.
func (f *Follower) Stream() string { return f.config.Stream }

// Offset returns the offset of the last record that the Folder holds.
func (f *Follower) Offset() uint64 { return f.progress.appliedOffset() }

// Confirmed returns the last local time at which the Folder certainly held all
// records of the stream, by the log's own word or a peer's. It is zero if that
// was never so.
func (f *Follower) Confirmed() time.Time { return f.progress.confirmedAt() }

// Ready is closed after the first catch-up with the log or a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// View runs fn while the Folder does not change. fn must not call the Follower.
func (f *Follower) View(fn func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn()
}

// Wake makes a Follower that waits to retry read at once.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// WaitFor blocks until the Folder holds the record at offset.
func (f *Follower) WaitFor(ctx context.Context, offset uint64) error {
	for {
		held, changed := f.progress.watch()
		if held >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d of stream %q: %w", offset, f.config.Stream, context.Cause(ctx))
		}
	}
}

// Run follows the stream and writes snapshots until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { f.writeSnapshots(ctx) })
	// The first read is not held open, so that a VM is ready at once when the
	// stream is empty.
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

func (f *Follower) waitOrWake(ctx context.Context, d time.Duration) {
	t := f.config.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-f.wake:
	case <-ctx.Done():
	}
}

// readLog reads one page. An error means that the log could not be read, or
// that it does not hold what is needed to go on.
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
		return fmt.Errorf("log moved back: next offset %d, want at least %d", page.Next, from)
	}
	// The log held an empty poll open, so that its answer is as recent as that.
	if len(page.Records) == 0 && f.config.Clock.Since(sent) >= wait {
		sent = sent.Add(wait)
	}
	f.readMu.Lock()
	defer f.readMu.Unlock()
	return f.applyPage(ctx, page, sent)
}

// nextOffset returns the offset to read next.
func (f *Follower) nextOffset() uint64 {
	if f.scan != nil {
		return f.scan.next
	}
	return f.progress.appliedOffset() + 1
}

// applyPage applies a page that the log returned at or after time at.
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
		return fmt.Errorf("log skipped offset %d", before)
	}
	if !scanExhausted {
		return nil
	}
	if err := f.fetchState(ctx); err != nil {
		return fmt.Errorf("no snapshot is retained: %w", err)
	}
	return nil
}

// apply folds a record or, while a gap is being closed, collects it.
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
	f.tail.add(r)
	f.progress.advance(r.Offset)
}

// confirm notes that no record from next on existed at a time.
func (f *Follower) confirm(next uint64, at time.Time) {
	if f.scan != nil || f.progress.appliedOffset()+1 < next || at.IsZero() {
		return
	}
	f.progress.confirm(at)
	f.markReady()
}

func (f *Follower) markReady() {
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// beginScan starts to look for a snapshot in the retained records.
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

// restoreAndReplay restores a state that joins the scanned records and applies
// those after it. It reports whether it did.
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

// restore replaces the state by a newer one.
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
	f.tail.clear()
	f.assembler = assembler{}
	f.skippedNewerFormat = false
	f.policy = snapshotPolicy{}
	f.policy.resetAfterRestore(f.config.Clock.Now(), f.config.Retention)
	return true
}

func (f *Follower) recordEvent(name, format string, args ...any) {
	f.config.Events.Record(drtimeline.Event{
		Name: name, Detail: "stream=" + f.config.Stream + " " + fmt.Sprintf(format, args...),
	})
}
