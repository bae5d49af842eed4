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

// batcher collects the entries of one partition into records.
type batcher struct {
	ctx     context.Context
	clock   drclock.Clock
	journal Journal
	flushes sync.WaitGroup

	mu        sync.Mutex
	openBatch *batch
	// entryRate is the weighted number of entries per second.
	entryRate   float64
	entryRateAt time.Time
}

// appendEntry appends an entry with the next batch and waits until the record is
// folded. After an error other than NotRun the entry may be in the stream.
func (b *batcher) appendEntry(ctx context.Context, entry *drpb.OnceEntry) error {
	joined, err := b.enqueue(entry)
	if err != nil {
		return err
	}
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return drerror.Wrap(drerror.MayHaveRun, drerror.Deadline, ctx.Err(), "append under way")
	}
}

// enqueue puts an entry into the open batch, which it opens if there is none.
func (b *batcher) enqueue(entry *drpb.OnceEntry) (*batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Draining, "the home is stopping")
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

func (b *batcher) close() {
	b.mu.Lock()
	b.mu.Unlock() //nolint:staticcheck // waits for a join that has seen ctx alive
	b.flushes.Wait()
}

// nextBatchWait returns how long the next batch stays open.
func (b *batcher) nextBatchWait(now time.Time) time.Duration {
	b.entryRate = b.entryRate*math.Exp(-now.Sub(b.entryRateAt).Seconds()) + 1
	b.entryRateAt = now
	if b.entryRate > highLoadEntriesPerSecond {
		return highLoadBatchWait
	}
	return batchWait
}

func (b *batcher) flush(sealed *batch) {
	defer close(sealed.done)
	data, err := proto.Marshal(&sealed.entry)
	if err != nil {
		sealed.err = drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encoding a batch")
		return
	}
	ctx, cancel := drclock.WithTimeout(b.ctx, b.clock, appendTimeout)
	defer cancel()
	offset, err := b.journal.Append(ctx, data)
	if err != nil {
		sealed.err = drerror.Wrap(drerror.Of(err), drerror.LogUnavailable, err, "append")
		return
	}
	if err := b.journal.WaitFor(ctx, offset); err != nil {
		sealed.err = drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, err, "reading back")
	}
}
