package drserve

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/drqueue"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// coldWindow is how many requests for a model that is not loaded may wait
	// for its wake-up outside the queue. One suffices to cause the wake-up.
	coldWindow = 1
	maxQueued  = 4096 // requests of one model
)

// queues holds the queue of each model in use.
type queues struct {
	clock    drclock.Clock
	events   drtimeline.Recorder
	fold     *drconfig.Fold
	policy   drqueue.Policy
	maxBytes int64
	// places returns how many generations of a model may run at once.
	places func(model, adapter string) int
	// demand asks for another replica of a model that has a backlog.
	demand func(model string)

	mu     sync.Mutex
	queues map[string]*drqueue.Queue
}

// Enqueue implements drgateway.Queue.
func (q *queues) Enqueue(ctx context.Context, i drgateway.Item) (func(float64), error) {
	weight := 1
	if a, ok := q.fold.Current().Account(i.Account); ok {
		weight = max(a.Weight, 1)
	}
	queue := q.queue(i.Model)
	queue.SetWindow(q.window(i.Model))
	release, err := queue.Enqueue(ctx, drqueue.Item{
		Account: i.Account, Weight: weight, Priority: i.Priority, Cost: i.Tokens, Bytes: int64(i.Bytes), Deadline: i.Deadline,
		RequestID: i.RequestID,
	})
	if err != nil {
		return nil, err
	}
	return release, nil
}

// refresh follows the dispatch windows and asks for replicas where requests
// wait although all places are taken.
func (q *queues) refresh() {
	q.mu.Lock()
	models := make(map[string]*drqueue.Queue, len(q.queues))
	for m, x := range q.queues {
		models[m] = x
	}
	q.mu.Unlock()
	for m, x := range models {
		w := q.window(m)
		x.SetWindow(w)
		if waiting, running := x.Len(); waiting > 0 && running >= w && w > coldWindow {
			q.demand(m)
		}
	}
}

// follow takes over the dispatch window of a model at once.
func (q *queues) follow(model string) { q.queue(model).SetWindow(q.window(model)) }

func (q *queues) window(model string) int { return max(q.places(model, ""), coldWindow) }

func (q *queues) queue(model string) *drqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	x := q.queues[model]
	if x == nil {
		x = drqueue.New(drqueue.Config{
			Clock: q.clock, Recorder: q.events, Policy: q.policy, Model: model, MaxCount: maxQueued, MaxBytes: q.maxBytes,
		})
		q.queues[model] = x
	}
	return x
}

func newQueueMap() map[string]*drqueue.Queue { return make(map[string]*drqueue.Queue) }

// models returns the models that were asked for here.
func (q *queues) models() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.queues))
}

// held returns the number and the memory of the waiting requests.
func (q *queues) held() (count int, bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, x := range q.queues {
		waiting, _ := x.Len()
		count += waiting
		bytes += x.Bytes()
	}
	return count, bytes
}

// status returns the queues that hold requests.
func (q *queues) status() []dradmin.QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ss []dradmin.QueueStatus
	for m, x := range q.queues {
		if waiting, running := x.Len(); waiting+running > 0 {
			ss = append(ss, dradmin.QueueStatus{Model: m, Waiting: waiting, Running: running})
		}
	}
	slices.SortFunc(ss, func(a, b dradmin.QueueStatus) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return ss
}
