package dridempotency

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// batcher combines the entries of one partition into batches and appends each
// batch as one record, which bounds the number of appends to the log. It is
// safe for concurrent use.
type batcher struct {
	ctx     context.Context
	clock   drclock.Clock
	journal Journal
	flushes sync.WaitGroup

	mu        sync.Mutex
	openBatch *batch
	// entryRate is the number of entries per second, an exponentially decaying
	// count with a time constant of 1 s. entryRateAt is when it was updated.
	entryRate   float64
	entryRateAt time.Time
}

// appendEntry appends an entry with the open batch and waits until its record
// is applied to this VM's Partition. After an error with a verdict other than
// NotRun the entry may be in the stream, or may appear there later.
func (b *batcher) appendEntry(ctx context.Context, entry *drpb.OnceEntry) error {
	joined, err := b.enqueue(entry)
	if err != nil {
		return err
	}
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return drerror.Wrap(drerror.MayHaveRun, drerror.Deadline, ctx.Err(), "the append of the idempotency entry has not completed")
	}
}

// enqueue adds an entry to the open batch and returns that batch. If there is
// none it opens one, which is flushed after nextBatchWait. A batch that reaches
// maxBatchEntries takes no more entries, but is not flushed earlier.
func (b *batcher) enqueue(entry *drpb.OnceEntry) (*batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Draining, "this VM is stopping and appends no more idempotency entries")
	}
	wait := b.nextBatchWait(b.clock.Now())
	current := b.openBatch
	if current == nil {
		current = &batch{done: make(chan struct{})}
		b.openBatch = current
		b.flushes.Go(func() {
			_ = b.clock.Sleep(b.ctx, wait)
			b.mu.Lock()
			if b.openBatch == current {
				b.openBatch = nil
			}
			b.mu.Unlock()
			b.flush(current)
		})
	}
	current.add(entry)
	if current.size >= maxBatchEntries {
		b.openBatch = nil
	}
	return current, nil
}

// close waits until all flushes have ended. The batcher's ctx must be canceled
// before.
func (b *batcher) close() {
	b.mu.Lock()
	b.mu.Unlock() //nolint:staticcheck // waits for an enqueue that saw ctx not yet canceled
	b.flushes.Wait()
}

// nextBatchWait counts one entry into entryRate and returns how long a batch
// that is opened now collects entries. b.mu must be held.
func (b *batcher) nextBatchWait(now time.Time) time.Duration {
	b.entryRate = b.entryRate*math.Exp(-now.Sub(b.entryRateAt).Seconds()) + 1
	b.entryRateAt = now
	if b.entryRate > highLoadEntriesPerSecond {
		return highLoadBatchWait
	}
	return batchWait
}

// flush appends a batch that takes no more entries, waits until its record is
// applied to this VM's Partition, and wakes the callers that wait for it.
func (b *batcher) flush(sealed *batch) {
	defer close(sealed.done)
	data, err := proto.Marshal(&sealed.entry)
	if err != nil {
		sealed.err = drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encoding a batch of idempotency entries")
		return
	}
	ctx, cancel := drclock.WithTimeout(b.ctx, b.clock, appendTimeout)
	defer cancel()
	offset, err := b.journal.Append(ctx, data)
	if err != nil {
		sealed.err = drerror.Wrap(drerror.VerdictOf(err), drerror.LogUnavailable, err, "append")
		return
	}
	if err := b.journal.WaitFor(ctx, offset); err != nil {
		sealed.err = drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, err, "waiting to read back an appended idempotency record")
	}
}
