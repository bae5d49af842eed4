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
	group   sync.WaitGroup

	mu   sync.Mutex
	open *batch
	// load is the weighted number of entries per second.
	load   float64
	loadAt time.Time
}

// add appends an entry with the next batch and waits until the record is
// folded. After an error other than NotRun the entry may be in the stream.
func (b *batcher) add(ctx context.Context, entry *drpb.OnceEntry) error {
	o, err := b.join(entry)
	if err != nil {
		return err
	}
	select {
	case <-o.done:
		return o.err
	case <-ctx.Done():
		return drerror.Wrap(drerror.MayHaveRun, drerror.Deadline, ctx.Err(), "append under way")
	}
}

// join puts an entry into the open batch, which it opens if there is none.
func (b *batcher) join(entry *drpb.OnceEntry) (*batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Draining, "the home is stopping")
	}
	wait := b.wait(b.clock.Now())
	o := b.open
	if o == nil {
		o = &batch{done: make(chan struct{})}
		b.open = o
		b.group.Go(func() {
			_ = b.clock.Sleep(b.ctx, wait)
			b.mu.Lock()
			if b.open == o {
				b.open = nil
			}
			b.mu.Unlock()
			b.flush(o)
		})
	}
	o.add(entry)
	if o.size >= maxBatch {
		b.open = nil
	}
	return o, nil
}

func (b *batcher) close() {
	b.mu.Lock()
	b.mu.Unlock() //nolint:staticcheck // waits for a join that has seen ctx alive
	b.group.Wait()
}

// wait returns how long the next batch stays open.
func (b *batcher) wait(now time.Time) time.Duration {
	b.load = b.load*math.Exp(-now.Sub(b.loadAt).Seconds()) + 1
	b.loadAt = now
	if b.load > loadedEntries {
		return loadedBatchWait
	}
	return batchWait
}

func (b *batcher) flush(o *batch) {
	defer close(o.done)
	data, err := proto.Marshal(&o.entry)
	if err != nil {
		o.err = drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encoding a batch")
		return
	}
	ctx, cancel := drclock.WithTimeout(b.ctx, b.clock, appendTimeout)
	defer cancel()
	offset, err := b.journal.Append(ctx, data)
	if err != nil {
		o.err = drerror.Wrap(drerror.Of(err), drerror.LogUnavailable, err, "append")
		return
	}
	if err := b.journal.WaitFor(ctx, offset); err != nil {
		o.err = drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, err, "reading back")
	}
}
