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
	// coldWindow is how many requests for a model that is not loaded are
	// dispatched and wait for its load. One is enough to cause the load; the
	// others stay in the queue.
	coldWindow        = 1
	maxQueuedPerModel = 4096
)

// modelQueues holds one queue for each model that had a request on this VM. It is
// safe for concurrent use.
type modelQueues struct {
	clock    drclock.Clock
	events   drtimeline.Recorder
	config   *drconfig.Fold
	policy   drqueue.Policy
	maxBytes int64
	// concurrency returns how many generations of a model may run at the same
	// time on its loaded replicas; see drrouter.Router.DispatchSlots.
	concurrency func(model, adapter string) int
	// requestReplica asks the placement for another replica of a model that has
	// a backlog. It must not block.
	requestReplica func(model string)

	mu     sync.Mutex
	queues map[string]*drqueue.Queue
}

// Enqueue implements drgateway.Queue. An account that is not in the configuration has
// the weight 1.
func (q *modelQueues) Enqueue(ctx context.Context, item drgateway.Item) (func(float64), error) {
	weight := 1
	if a, ok := q.config.Current().Account(item.Account); ok {
		weight = max(a.Weight, 1)
	}
	queue := q.queue(item.Model)
	queue.SetWindow(q.window(item.Model))
	release, err := queue.Enqueue(ctx, drqueue.Item{
		Account: item.Account, Weight: weight, Priority: item.Priority, Cost: item.Tokens, Bytes: int64(item.Bytes), Deadline: item.Deadline,
		RequestID: item.RequestID,
	})
	if err != nil {
		return nil, err
	}
	return release, nil
}

// refreshWindows updates the dispatch window of every queue. It asks for another
// replica of each model whose requests wait although its window is full and larger
// than coldWindow.
func (q *modelQueues) refreshWindows() {
	q.mu.Lock()
	models := make(map[string]*drqueue.Queue, len(q.queues))
	for m, queue := range q.queues {
		models[m] = queue
	}
	q.mu.Unlock()
	for m, queue := range models {
		window := q.window(m)
		queue.SetWindow(window)
		if waiting, running := queue.Len(); waiting > 0 && running >= window && window > coldWindow {
			q.requestReplica(m)
		}
	}
}

// updateWindow updates the dispatch window of one model without waiting for the next
// refresh.
func (q *modelQueues) updateWindow(model string) { q.queue(model).SetWindow(q.window(model)) }

// window returns how many requests for a model may be dispatched at the same time.
func (q *modelQueues) window(model string) int { return max(q.concurrency(model, ""), coldWindow) }

// queue returns the queue of a model and creates it for the first request.
func (q *modelQueues) queue(model string) *drqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[model]
	if queue == nil {
		queue = drqueue.New(drqueue.Config{
			Clock: q.clock, Recorder: q.events, Policy: q.policy, Model: model, MaxCount: maxQueuedPerModel, MaxBytes: q.maxBytes,
		})
		q.queues[model] = queue
	}
	return queue
}

func newQueueMap() map[string]*drqueue.Queue { return make(map[string]*drqueue.Queue) }

// models returns the models that had a request on this VM, in no particular order.
func (q *modelQueues) models() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.queues))
}

// queued returns the number of waiting requests and their memory in bytes.
func (q *modelQueues) queued() (count int, bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queue := range q.queues {
		waiting, _ := queue.Len()
		count += waiting
		bytes += queue.Bytes()
	}
	return count, bytes
}

// status returns the queues with waiting or running requests, sorted by model.
func (q *modelQueues) status() []dradmin.QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var statuses []dradmin.QueueStatus
	for m, queue := range q.queues {
		if waiting, running := queue.Len(); waiting+running > 0 {
			statuses = append(statuses, dradmin.QueueStatus{Model: m, Waiting: waiting, Running: running})
		}
	}
	slices.SortFunc(statuses, func(a, b dradmin.QueueStatus) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return statuses
}
