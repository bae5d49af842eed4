package drcapacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drqueue"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// localParts measures the parts of an entry VM that need no network: time line,
// metrics, queues, prefix blocks, and the encoding of residency replies.
func (b *bench) localParts() error {
	for _, n := range []int{256, 1024, 4096} {
		b.memory("timeline-memory", "events", float64(n), func() any { return filledRing(n) })
	}
	r := filledRing(16)
	if err := b.cpu("timeline-record", "", "events", 16, func() error { r.Record(rightGrantedEvent(1)); return nil }); err != nil {
		return err
	}
	for _, n := range []int{10, 40, 160} {
		b.memory("metric-memory", "series", float64(n), func() any {
			m := drmetric.New()
			for i := range n {
				m.Observe(drmetric.QueueWait, time.Duration(i), fmt.Sprint("model-", i))
			}
			return m
		})
	}
	return b.queues()
}

func rightGrantedEvent(i int) drtimeline.Event {
	return drtimeline.Event{Name: drtimeline.RightGranted, Backend: "runner-vm-0001", Model: "model-1", Detail: fmt.Sprint("fence=", i)}
}

func filledRing(n int) *drtimeline.Ring {
	r := drtimeline.NewRing(drtimeline.NewHybridClock(drclock.System{}), "entry-vm-0001", n)
	for i := range n {
		r.Record(rightGrantedEvent(i))
	}
	return r
}

func (b *bench) queues() error {
	for _, n := range []int{60, 120, 240} {
		b.memory("queue-memory", "models", float64(n), func() any {
			qs := make([]*drqueue.Queue, n)
			for i := range qs {
				qs[i] = newQueue(fmt.Sprint("model-", i))
				_ = enqueueAndRelease(qs[i], "account-1")
			}
			return qs
		})
	}
	for _, n := range []int{4, 16, 64} {
		q := newQueue("model-1")
		i := 0
		if err := b.cpu("queue-pass", "", "accounts", float64(n), func() error {
			i++
			return enqueueAndRelease(q, fmt.Sprint("account-", i%n))
		}); err != nil {
			return err
		}
	}
	for _, n := range []int{1024, 4096, 16384} {
		prompt := strings.Repeat("x", n)
		if err := b.cpu("prefix-blocks", "", "bytes", float64(n), func() error { drengine.PrefixBlocks(prompt); return nil }); err != nil {
			return err
		}
	}
	for _, n := range []int{1024, 4096, 16384} {
		b.memory("prefix-memory", "blocks", float64(n), func() any { return routerFollowingCache(n) })
	}
	return b.residencyReplies()
}

func newQueue(model string) *drqueue.Queue {
	q := drqueue.New(drqueue.Config{Clock: drclock.System{}, Recorder: drtimeline.Discard{}, Model: model, MaxCount: 1000, MaxBytes: 1 << 20})
	q.SetWindow(4)
	return q
}

func enqueueAndRelease(q *drqueue.Queue, account string) error {
	release, err := q.Enqueue(context.Background(), drqueue.Item{
		Account: account, Weight: 1, Priority: drconfig.Interactive, Cost: 100, Bytes: 1000, Deadline: time.Now().Add(time.Minute),
	})
	if err == nil {
		release(100)
	}
	return err
}

// cacheEngine is an engine that reports the given number of cached blocks in one
// event. It closes eventsRead when it is asked for later events.
type cacheEngine struct {
	drengine.Engine
	blocks     int
	eventsRead chan struct{}
}

// CacheEvents implements drengine.Engine.
func (e *cacheEngine) CacheEvents(ctx context.Context, after uint64, _ time.Duration) ([]drengine.CacheEvent, error) {
	if after > 0 {
		close(e.eventsRead)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	added := make([]uint64, e.blocks)
	for i := range added {
		added[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	return []drengine.CacheEvent{{Seq: 1, Model: "model-1", Added: added}}, nil
}

// singleEngine is a drrouter.Engines with the same engine at every address.
type singleEngine struct{ engine drengine.Engine }

// Engine implements drrouter.Engines.
func (e singleEngine) Engine(string) drengine.Engine { return e.engine }

// routerFollowingCache returns a router that follows a cache of n blocks. Its
// goroutine runs until the process ends, because the router drops the map of
// cached blocks when FollowCache returns.
func routerFollowingCache(n int) *drrouter.Router {
	e := &cacheEngine{blocks: n, eventsRead: make(chan struct{})}
	r := drrouter.New(drrouter.Config{Clock: drclock.System{}, Engines: singleEngine{e}, Recorder: drtimeline.Discard{}})
	go r.FollowCache(context.Background(), "10.0.0.1:9000")
	<-e.eventsRead
	return r
}

// residencyReplies measures the size of a reply to a residency subscriber and
// the processor time to encode and decode it.
func (b *bench) residencyReplies() error {
	for _, n := range []int{1, 4, 9, 36} {
		reply := &drpb.PlacementResidencyReply{}
		for i := range n {
			reply.Statuses = append(reply.Statuses, runnerStatus(i))
		}
		b.addSample("residency-reply-bytes", "B", "runners", float64(n), float64(proto.Size(reply)))
		if err := b.cpu("residency-reply", "", "runners", float64(n), func() error {
			data, err := proto.Marshal(reply)
			if err != nil {
				return err
			}
			return proto.Unmarshal(data, &drpb.PlacementResidencyReply{})
		}); err != nil {
			return err
		}
	}
	return nil
}

// runnerStatus returns a status with 2 loaded models, 4 adapters, and 4
// checkpoints in each cache.
func runnerStatus(i int) *drpb.PlacementStatus {
	s := &drpb.PlacementStatus{
		Runner: fmt.Sprintf("runner-vm-%04d", i), Version: 1 << 20, Fence: 1 << 20, Capacity: 32, Running: 16, Waiting: 3,
		MemoryBytes: 80 << 30, ReservedBytes: 40 << 30, Instance: fmt.Sprintf("runner-vm-%04d-1", i),
	}
	for k := range 4 {
		s.Loaded = append(s.Loaded, &drpb.PlacementStatus_Replica{Model: fmt.Sprint("model-", k/2), Adapter: fmt.Sprint("model-", k/2, "-", k)})
		s.CachedMemory = append(s.CachedMemory, fmt.Sprint("model-", k))
		s.CachedDisk = append(s.CachedDisk, fmt.Sprint("model-", 10+k))
	}
	return s
}
